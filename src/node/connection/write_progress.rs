//! How much of a request has been written to a connection, observed by the socket that the bytes go through.
//!
//! It decides whether an attempt may have run: an endpoint starts to work on a request with its last byte.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The progress of the present request on a connection.
#[derive(Debug, Default)]
pub struct WriteProgress {
    /// Length of the request's body, if it is known from the start.
    body_length: Cell<Option<usize>>,
    /// Set once the last byte of a streamed body was handed over.
    is_body_finished: RefCell<Option<Rc<Cell<bool>>>>,
    written_bytes: Cell<usize>,
    /// Length of the request with its head, known from the first write on, which begins with the complete head.
    request_length: Cell<Option<usize>>,
    /// The first bytes of the final response have arrived.
    has_response_started: Cell<bool>,
    /// Incremented when the request is written completely.
    sent_counter: RefCell<Option<Rc<Cell<u64>>>>,
}

impl WriteProgress {
    /// Starts over for a new request. `is_body_finished` belongs to a streamed body.
    pub fn start_request(&self, body_length: Option<usize>, is_body_finished: Option<Rc<Cell<bool>>>) {
        self.body_length.set(body_length);
        self.is_body_finished.replace(is_body_finished);
        self.written_bytes.set(0);
        self.request_length.set(None);
        self.has_response_started.set(false);
    }

    /// Sets the counter to be incremented when the next request is written completely.
    pub fn count_sent_in(&self, counter: &Rc<Cell<u64>>) {
        self.sent_counter.replace(Some(counter.clone()));
    }

    /// Whether not one byte of the request was written.
    pub fn is_unwritten(&self) -> bool {
        self.written_bytes.get() == 0
    }

    /// Whether the last byte of the request was written, so that the endpoint may work on it.
    pub fn is_completely_written(&self) -> bool {
        match self.request_length.get() {
            Some(length) => self.written_bytes.get() >= length,
            // The end mark of a chunked body follows its last byte at once.
            None => self.is_body_finished.borrow().as_ref().is_some_and(|is_finished| is_finished.get()),
        }
    }

    /// Whether bytes of the final response have arrived.
    pub fn has_response_started(&self) -> bool {
        self.has_response_started.get()
    }

    fn note_written(&self, bytes: usize) {
        self.written_bytes.set(self.written_bytes.get() + bytes);
        if self.is_completely_written() {
            if let Some(counter) = self.sent_counter.take() {
                counter.set(counter.get() + 1);
            }
        }
    }

    /// An interim response (1xx) is not the final one.
    fn note_read(&self, bytes: &[u8]) {
        if !bytes.is_empty() && !bytes.starts_with(b"HTTP/1.1 1") {
            self.has_response_started.set(true);
        }
    }

    /// Works out the request's length from the bytes of its first write.
    fn note_write_offered(&self, bytes: &[u8]) {
        if self.request_length.get().is_some() {
            return;
        }
        if let Some(body_length) = self.body_length.get() {
            let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
            let head_length = head_end.map_or(bytes.len(), |end| end + 4);
            self.request_length.set(Some(head_length + body_length));
        }
    }
}

/// A socket that records the progress. It offers no vectored writes, so that hyper hands over the head, with what it
/// has of the body, in one buffer.
pub struct CountedSocket {
    pub socket: Rc<TcpStream>,
    pub progress: Rc<WriteProgress>,
}

impl AsyncRead for CountedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.socket.try_read(output.initialize_unfilled()) {
                Ok(count) => {
                    output.advance(count);
                    let filled = output.filled();
                    self.progress.note_read(&filled[filled.len() - count..]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CountedSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.progress.note_write_offered(bytes);
        loop {
            match self.socket.try_write(bytes) {
                Ok(count) => {
                    self.progress.note_written(count);
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
            ready!(self.socket.poll_write_ready(cx))?;
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The close that follows ends it.
        Poll::Ready(Ok(()))
    }
}

/// A view of a request's progress for those that wait for it from outside, such as its time-out. It is empty until the
/// request has a connection.
#[derive(Debug, Clone, Default)]
pub struct WriteProgressHandle(Rc<RefCell<Option<Rc<WriteProgress>>>>);

impl WriteProgressHandle {
    /// Follows the progress on a connection from now on.
    pub fn attach(&self, progress: Rc<WriteProgress>) {
        self.0.replace(Some(progress));
    }

    /// Whether the request was written completely, so that the endpoint may work on it.
    pub fn may_have_run(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|progress| progress.is_completely_written())
    }

    /// Whether bytes of the final response have arrived.
    pub fn has_response_started(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|progress| progress.has_response_started())
    }
}
