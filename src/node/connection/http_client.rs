//! One HTTP connection to an endpoint, which knows how much of a request has been written to it.
//!
//! The connection has no task of its own: its owner polls it during an exchange. Dropping it closes the socket at once,
//! and nothing is sent a second time behind the owner's back.

use crate::node::{
    connection::{
        response_body::{BufferLimits, OpenStream, read_body},
        socket_input::has_input,
        write_progress::{CountedSocket, WriteProgress},
    },
    wire::{limits::MAX_HEAD_BYTES, stream::OutgoingBody},
};
use bytes::Bytes;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::{Request, Response, body::Body};
use hyper_util::rt::TokioIo;
use std::{
    cell::Cell,
    future::{Future, poll_fn},
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};
use thiserror::Error;
use tokio::{
    net::TcpStream,
    time::{Sleep, sleep, timeout},
};

/// Longest time from a response's first byte to the end of its head; slow endpoints write in small pieces.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// How an exchange failed, by what it says about whether the request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ExchangeError {
    /// It can't have run, and may be sent on another connection.
    #[error("the connection was closed before the request's first byte was written")]
    NotWritten,
    /// It can't have run.
    #[error("the connection broke before the request's last byte was written")]
    PartlyWritten,
    /// It may have run.
    #[error("the connection broke, or brought no valid response, after the request's last byte")]
    NoResponse,
}

/// How an exchange failed, as hyper shows it.
enum Interruption {
    /// hyper gave the request back untouched.
    RequestReturned,
    Broken,
}

/// See the [module](self).
pub struct HttpClient {
    sender: SendRequest<OutgoingBody>,
    /// hyper's side of the connection, which reads and writes when it is polled.
    driver: Pin<Box<Connection<TokioIo<CountedSocket>, OutgoingBody>>>,
    progress: Rc<WriteProgress>,
    socket: Rc<TcpStream>,
}

impl HttpClient {
    /// Connects within a time limit.
    ///
    /// # Errors
    /// The connection did not come up.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let socket = timeout(limit, TcpStream::connect(address)).await??;
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let progress = Rc::new(WriteProgress::default());
        let counted = CountedSocket { socket: socket.clone(), progress: progress.clone() };
        let handshake = Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(counted));
        let (sender, driver) = handshake.await.map_err(io::Error::other)?;
        Ok(Self { sender, driver: Box::pin(driver), progress, socket })
    }

    /// The progress of the present request, which stays readable after the connection is gone.
    pub fn progress(&self) -> Rc<WriteProgress> {
        self.progress.clone()
    }

    /// Whether the idle connection can carry a request. Input that arrived without a request would be taken for the
    /// next response, so a connection with such input can't.
    pub fn is_ready(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        !has_input(&self.socket) && self.driver.as_mut().poll(&mut cx).is_pending() && self.sender.is_ready()
    }

    /// Sends a request and reads the response. A body beyond `limits` goes to the stream that `open_stream` returns;
    /// the response is then returned with an empty body, once the stream has ended.
    ///
    /// # Errors
    /// The connection broke, or brought no valid response.
    pub async fn exchange(
        &mut self,
        request: Request<OutgoingBody>,
        limits: BufferLimits,
        open_stream: &OpenStream<'_>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let body_length = request.body().size_hint().exact().map(|length| length as usize);
        self.progress.start_request(body_length, request.body().finished_flag());
        let response = self.sender.try_send_request(request);
        let has_head = Cell::new(false);
        let response = pin!(async {
            let response = response.await.map_err(|mut error| match error.take_message() {
                Some(_) => Interruption::RequestReturned,
                None => Interruption::Broken,
            })?;
            has_head.set(true);
            let (parts, body) = response.into_parts();
            let body = read_body(&parts, body, limits, open_stream).await;
            let body = body.map_err(|_| Interruption::Broken)?;
            Ok(Response::from_parts(parts, body))
        });
        let result = drive(&mut self.driver, &self.progress, &has_head, response).await;
        result.map_err(|interruption| self.classify(&interruption))
    }

    fn classify(&self, interruption: &Interruption) -> ExchangeError {
        let is_returned = matches!(interruption, Interruption::RequestReturned);
        if self.progress.is_completely_written() {
            ExchangeError::NoResponse
        } else if is_returned || self.progress.is_unwritten() {
            ExchangeError::NotWritten
        } else {
            ExchangeError::PartlyWritten
        }
    }
}

/// Polls the connection until the response is read, the connection ends before the response's head, or that head takes
/// too long. Once the head has arrived, what follows it is still read after the connection's end.
async fn drive(
    driver: &mut Pin<Box<Connection<TokioIo<CountedSocket>, OutgoingBody>>>,
    progress: &WriteProgress,
    has_head: &Cell<bool>,
    mut response: Pin<&mut impl Future<Output = Result<Response<Bytes>, Interruption>>>,
) -> Result<Response<Bytes>, Interruption> {
    let mut is_closed = false;
    let mut head_timer: Option<Pin<Box<Sleep>>> = None;
    poll_fn(|cx| {
        // hyper's connection must not be polled after its end.
        if !is_closed {
            is_closed = driver.as_mut().poll(cx).is_ready();
        }
        if let Poll::Ready(result) = response.as_mut().poll(cx) {
            return Poll::Ready(result);
        }
        if has_head.get() {
            return Poll::Pending;
        }
        if is_closed {
            return Poll::Ready(Err(Interruption::Broken));
        }
        // Most heads arrive in one read and need no timer.
        if progress.has_response_started() {
            let timer = head_timer.get_or_insert_with(|| Box::pin(sleep(HEAD_TIMEOUT)));
            return timer.as_mut().poll(cx).map(|()| Err(Interruption::Broken));
        }
        Poll::Pending
    })
    .await
}
