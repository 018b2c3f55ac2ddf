//! Attempts: each sends a request to an endpoint once, and reports how that ended.

use crate::node::{
    connection::{
        endpoint_pool::{EndpointPool, Target},
        http_client::ExchangeError,
        response_body::BufferLimits,
        write_progress::WriteProgressHandle,
    },
    wire::{
        client_request::UpstreamRequest,
        limits::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES},
        load_report,
        stream::{OutgoingBody, Piece},
    },
};
use bytes::Bytes;
use hyper::{HeaderMap, Request, Response, StatusCode, http::response::Parts};
use oliverack::{LoadReport, Status};
use std::time::Duration;
use tokio::{sync::mpsc, time::sleep};

/// Larger responses, and slower ones of unknown length, are streamed.
const BUFFER_LIMITS: BufferLimits =
    BufferLimits { max_bytes: MAX_BUFFERED_BODY_BYTES, max_time: Duration::from_millis(50) };

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd {
    pub status: Status,
    /// The response's body; empty if it was streamed.
    pub body: Bytes,
    pub load: LoadReport,
}

impl AttemptEnd {
    /// An attempt that got no response.
    pub fn without_response(status: Status) -> Self {
        Self { status, body: Bytes::new(), load: LoadReport::default() }
    }

    fn from_response(response: Response<Bytes>) -> Self {
        let status = attempt_status(response.status(), response.headers());
        let load = response.headers().get("x-pressure").and_then(|value| value.to_str().ok());
        let load = load.map(load_report::parse).unwrap_or_default();
        Self { status, body: response.into_body(), load }
    }
}

/// What a response's head says about the attempt.
fn attempt_status(status: StatusCode, headers: &HeaderMap) -> Status {
    let is_rejection = headers.get("x-turned-away").is_some_and(|value| value == "1");
    match status.as_u16() {
        200 => Status::Ok,
        503 | 504 if is_rejection => Status::Rejected,
        _ => Status::Error,
    }
}

/// An attempt that is under way.
struct EndpointAttempt<'a, S, O> {
    pool: &'a EndpointPool,
    target: &'a Target,
    upstream: &'a UpstreamRequest,
    wait_seconds: f64,
    progress: &'a WriteProgressHandle,
    may_start: S,
    open_stream: O,
}

impl EndpointPool {
    /// Sends a request to an endpoint once, provided that `may_start` still allows it when the connection is up. The
    /// endpoint is told that the gateway waits `wait_seconds`. A large response goes to the stream that `open_stream`
    /// returns for its length.
    pub async fn attempt(
        &self,
        target: &Target,
        upstream: &UpstreamRequest,
        wait_seconds: f64,
        progress: &WriteProgressHandle,
        may_start: impl Fn() -> bool,
        open_stream: impl Fn(Option<u64>) -> Option<mpsc::Sender<Piece>>,
    ) -> AttemptEnd {
        if !upstream.body.is_available() {
            return AttemptEnd::without_response(Status::NotSent);
        }
        let attempt =
            EndpointAttempt { pool: self, target, upstream, wait_seconds, progress, may_start, open_stream };
        match attempt.run().await {
            Ok(response) => AttemptEnd::from_response(response),
            Err(status) => AttemptEnd::without_response(status),
        }
    }
}

impl<S, O> EndpointAttempt<'_, S, O>
where
    S: Fn() -> bool,
    O: Fn(Option<u64>) -> Option<mpsc::Sender<Piece>>,
{
    /// Nothing is sent a second time: only a reused connection on which not one byte was written is replaced by
    /// another one.
    async fn run(&self) -> Result<Response<Bytes>, Status> {
        if let Some(wait) = self.pool.time_to_reuse(self.target) {
            sleep(wait).await;
        }
        loop {
            let mut connection = match self.pool.check_out(self.target) {
                Some(connection) => connection,
                None => self.pool.connect(self.target).await?,
            };
            self.progress.attach(connection.client.progress());
            connection.client.progress().count_sent_in(&self.pool.dispatches);
            let idle = connection.idle_since.elapsed();
            let request = self.build_request()?;
            let open_stream = |parts: &Parts, length| self.open_stream_if_wanted(parts, length);
            let exchange = connection.client.exchange(request, BUFFER_LIMITS, &open_stream);
            let error = match exchange.await {
                Ok(response) => {
                    if connection.is_reused {
                        self.pool.idle_limit.note_success(idle);
                    }
                    self.pool.check_in(self.target, connection);
                    return Ok(response);
                }
                Err(error) => error,
            };
            match error {
                ExchangeError::NotWritten if connection.is_reused => {}
                ExchangeError::NotWritten | ExchangeError::PartlyWritten => {
                    return Err(Status::ConnectFailed);
                }
                ExchangeError::NoResponse => {
                    let has_response_started = connection.client.progress().has_response_started();
                    if connection.is_reused && !has_response_started {
                        self.pool.idle_limit.note_reset(idle);
                    }
                    return Err(Status::Reset);
                }
            }
        }
    }

    /// The request for a connection that is up. The endpoint and the request are checked once more, because the
    /// connection may have taken long; from here on to the first byte nothing is awaited.
    fn build_request(&self) -> Result<Request<OutgoingBody>, Status> {
        if !self.pool.is_current(self.target) || !(self.may_start)() {
            return Err(Status::NotSent);
        }
        // A streamed body that an earlier connection has taken can't be sent on another one.
        self.upstream.build_attempt_request(self.wait_seconds).ok_or(Status::ConnectFailed)
    }

    /// Opens the stream for a served response that is not too long; no other has a body that matters.
    fn open_stream_if_wanted(&self, parts: &Parts, length: Option<u64>) -> Option<mpsc::Sender<Piece>> {
        let fits = length.is_none_or(|length| length <= MAX_BODY_BYTES as u64);
        if parts.status == StatusCode::OK && fits { (self.open_stream)(length) } else { None }
    }
}
