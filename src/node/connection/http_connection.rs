//! HTTP/1 connections to endpoints and discovery that record how much of each request has been written.
//!
//! A connection has no task of its own: the exchange polls it. Dropping it closes the socket at once. No request is
//! retried here.

use crate::node::{
    connection::{
        counting_socket::CountingSocket,
        exchange_progress::ExchangeProgress,
        response_body::{BodyReader, BodySink, BufferLimits, BufferedBody, read_body},
        socket_input::has_input,
    },
    wire::{
        limits::MAX_HEAD_BYTES,
        stream::{MAX_RESPONSE_FRAME_BYTES, OutgoingBody},
    },
};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::{Request, Response, body::Body};
use hyper_util::rt::TokioIo;
use std::{
    future::{Future, poll_fn},
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};
use tracing::debug;

/// Failure of an exchange, by whether the endpoint may have run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ExchangeError {
    /// The request can't have run and may be sent on another connection.
    #[error("the connection was closed before the request's first byte was written")]
    NotWritten,
    /// The request can't have run.
    #[error("the connection failed before the request's last byte was written")]
    PartlyWritten,
    /// The request may have run.
    #[error("the request was written, but no complete and valid response was received")]
    NoResponse,
}

/// Failure of an exchange before it is classified by how much of the request was written.
enum UnclassifiedFailure {
    /// hyper returned the request unsent.
    RequestReturned,
    /// The connection failed, or the response was invalid or unwanted.
    Broken,
}

/// HTTP/1 connection that carries one request at a time.
pub struct HttpConnection {
    sender: SendRequest<OutgoingBody>,
    /// hyper's connection future, which reads and writes when polled.
    driver: Pin<Box<Connection<TokioIo<CountingSocket>, OutgoingBody>>>,
    progress: Rc<ExchangeProgress>,
    socket: Rc<TcpStream>,
}

impl HttpConnection {
    /// Opens a connection whose responses are read in frames of at most `max_frame_bytes`.
    ///
    /// # Errors
    /// The connection was refused, or was not open after `connect_timeout`.
    pub async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
        max_frame_bytes: usize,
    ) -> io::Result<Self> {
        let socket = timeout(connect_timeout, TcpStream::connect(address)).await??;
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let progress = Rc::new(ExchangeProgress::default());
        // hyper doubles its read buffer after a read that fills it, up to the largest frame.
        let is_largest = max_frame_bytes >= MAX_RESPONSE_FRAME_BYTES;
        let max_read_bytes = if is_largest { max_frame_bytes } else { max_frame_bytes - 1 };
        let counting_socket =
            CountingSocket { socket: socket.clone(), progress: progress.clone(), max_read_bytes };
        let handshake = Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(counting_socket));
        let (sender, driver) = handshake.await.map_err(io::Error::other)?;
        Ok(Self { sender, driver: Box::pin(driver), progress, socket })
    }

    /// Returns the write progress of the current request. It stays readable after the connection is dropped.
    pub fn progress(&self) -> Rc<ExchangeProgress> {
        self.progress.clone()
    }

    /// Returns whether the idle connection can carry a request. It can't if input has arrived without a request,
    /// because that would be taken for the next response.
    pub fn is_ready(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        !has_input(&self.socket) && self.driver.as_mut().poll(&mut cx).is_pending() && self.sender.is_ready()
    }

    /// Sends a request and reads the response. A body beyond `limits` goes to a stream of `sink`; then the response is
    /// returned after the end of the stream, with an empty body. The caller limits the time.
    ///
    /// # Errors
    /// The connection failed, the response was invalid, or no stream was opened for a body beyond `limits`.
    pub async fn exchange(
        &mut self,
        request: Request<OutgoingBody>,
        limits: BufferLimits,
        sink: &impl BodySink,
    ) -> Result<Response<BufferedBody>, ExchangeError> {
        let body_length = request.body().size_hint().exact().map(|length| length as usize);
        self.progress.start_request(body_length, request.body().finished_flag());
        let response = self.sender.try_send_request(request);
        let response = pin!(async {
            let response = response.await.map_err(|mut error| match error.take_message() {
                Some(_) => UnclassifiedFailure::RequestReturned,
                None => {
                    debug!(reason = %error.error(), "no response head was read");
                    UnclassifiedFailure::Broken
                }
            })?;
            self.progress.record_head();
            let (parts, body) = response.into_parts();
            let body = BodyReader::new(body, self.progress.clone());
            let body = read_body(&parts, body, limits, sink).await;
            let body = body.map_err(|error| {
                debug!(reason = %error, "response body was not read to its end");
                UnclassifiedFailure::Broken
            })?;
            Ok(Response::from_parts(parts, body))
        });
        let result = drive(&mut self.driver, &self.progress, response).await;
        result.map_err(|failure| self.classify(&failure))
    }

    fn classify(&self, failure: &UnclassifiedFailure) -> ExchangeError {
        let is_returned = matches!(failure, UnclassifiedFailure::RequestReturned);
        if self.progress.is_completely_written() {
            ExchangeError::NoResponse
        } else if is_returned || self.progress.is_unwritten() {
            ExchangeError::NotWritten
        } else {
            ExchangeError::PartlyWritten
        }
    }
}

/// Polls the connection until the response is read or the connection ends before the response's head. After the head has
/// arrived, the rest of the response is read even if the connection has ended.
async fn drive(
    driver: &mut Pin<Box<Connection<TokioIo<CountingSocket>, OutgoingBody>>>,
    progress: &ExchangeProgress,
    mut response: Pin<&mut impl Future<Output = Result<Response<BufferedBody>, UnclassifiedFailure>>>,
) -> Result<Response<BufferedBody>, UnclassifiedFailure> {
    let mut is_closed = false;
    poll_fn(|cx| {
        // hyper's connection future must not be polled after it has completed.
        if !is_closed {
            is_closed = driver.as_mut().poll(cx).is_ready();
        }
        if let Poll::Ready(result) = response.as_mut().poll(cx) {
            return Poll::Ready(result);
        }
        if is_closed && !progress.has_head() {
            return Poll::Ready(Err(UnclassifiedFailure::Broken));
        }
        Poll::Pending
    })
    .await
}
