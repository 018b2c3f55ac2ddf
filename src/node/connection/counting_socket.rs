//! Socket of a connection that records the progress of the exchange.

use crate::node::connection::exchange_progress::ExchangeProgress;
use std::{
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Socket that records the write progress. It supports vectored writes, so that hyper doesn't copy bodies into its own
/// buffer, which would keep the size of the longest one. hyper offers the head as the first slice.
pub struct CountingSocket {
    pub socket: Rc<TcpStream>,
    pub progress: Rc<ExchangeProgress>,
    /// Maximum number of bytes read at once.
    pub max_read_bytes: usize,
}

impl AsyncRead for CountingSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = output.remaining().min(self.max_read_bytes);
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.socket.try_read(output.initialize_unfilled_to(length)) {
                Ok(count) => {
                    output.advance(count);
                    let filled = output.filled();
                    self.progress.record_read(&filled[filled.len() - count..]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CountingSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Some(first_slice) = slices.first() {
            self.progress.record_first_write(first_slice);
        }
        loop {
            match self.socket.try_write_vectored(slices) {
                Ok(count) => {
                    self.progress.record_written(count);
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
            ready!(self.socket.poll_write_ready(cx))?;
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Closing the socket, which follows, also shuts down its write side.
        Poll::Ready(Ok(()))
    }
}
