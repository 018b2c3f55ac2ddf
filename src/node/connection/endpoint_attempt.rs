//! Makes attempts: sends a request to an endpoint once and returns the result.

use crate::node::{
    connection::{
        body_memory::{BodyMemory, MemoryPermit},
        endpoint_pool::{EndpointPool, Target},
        exchange_progress::ProgressHandle,
        http_connection::ExchangeError,
        response_body::{BodySink, BufferLimits, BufferedBody},
    },
    wire::{
        client_request::UpstreamRequest,
        limits::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES},
        load_report,
        stream::{BodyFrame, OutgoingBody},
    },
};
use hyper::{HeaderMap, Request, Response, StatusCode, http::response::Parts};
use oliverack::{LoadReport, Status};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{sync::mpsc, time::sleep};

/// Limits of buffered responses. A longer one, or one of unknown length that takes longer, is streamed.
const BUFFER_LIMITS: BufferLimits =
    BufferLimits { max_bytes: MAX_BUFFERED_BODY_BYTES, max_time: Duration::from_millis(50) };

/// Result of an attempt.
#[derive(Debug)]
pub struct AttemptResult {
    pub status: Status,
    /// Response body; empty if there was no response or it was streamed.
    pub body: BufferedBody,
    pub load: LoadReport,
}

impl AttemptResult {
    /// Returns the result of an attempt that got no response.
    pub fn without_response(status: Status) -> Self {
        Self { status, body: BufferedBody::default(), load: LoadReport::default() }
    }

    fn from_response(response: Response<BufferedBody>) -> Self {
        let status = attempt_status(response.status(), response.headers());
        let load = response.headers().get("x-pressure").and_then(|value| value.to_str().ok());
        let load = load.map(load_report::parse).unwrap_or_default();
        Self { status, body: response.into_body(), load }
    }
}

/// Returns the attempt's status according to the response's head.
fn attempt_status(status: StatusCode, headers: &HeaderMap) -> Status {
    let is_rejection = headers.get("x-turned-away").is_some_and(|value| value == "1");
    match status.as_u16() {
        200 => Status::Ok,
        503 | 504 if is_rejection => Status::Rejected,
        _ => Status::Error,
    }
}

/// The request that an attempt is made for.
pub trait AttemptRequest {
    /// Returns whether the attempt may still be sent.
    fn may_send(&self) -> bool;
    /// Returns how long the client still waits.
    fn remaining_wait(&self) -> Duration;
    /// Handles a pause within the response before it was delivered.
    fn response_stalled(&self);
    /// Takes over the reservation for the request's body if that was streamed, as the response shows that it was sent.
    fn take_upload_memory(&self) -> Option<MemoryPermit>;
    /// Starts the streamed response, given its length if it is known. Returns `None` if it is no longer wanted.
    fn open_stream(&self, length: Option<u64>, memory: MemoryPermit) -> Option<mpsc::Sender<BodyFrame>>;
}

/// Attempt that is in progress.
struct EndpointAttempt<'a, R> {
    pool: &'a EndpointPool,
    target: &'a Target,
    upstream: &'a UpstreamRequest,
    timeout_seconds: f64,
    started_at: Instant,
    progress: &'a ProgressHandle,
    request: &'a R,
}

impl EndpointPool {
    /// Sends a request to an endpoint once, if it may still be sent when the connection is open. The request tells the
    /// endpoint how much is left then of the `timeout_seconds` that the gateway waits; the caller enforces this timeout.
    ///
    /// A response beyond the buffer limits goes to a stream of `request`. `progress` shows how much of the request has
    /// been written.
    pub async fn attempt(
        &self,
        target: &Target,
        upstream: &UpstreamRequest,
        timeout_seconds: f64,
        progress: &ProgressHandle,
        request: &impl AttemptRequest,
    ) -> AttemptResult {
        if !upstream.body.is_available() {
            return AttemptResult::without_response(Status::NotSent);
        }
        let started_at = Instant::now();
        let attempt =
            EndpointAttempt { pool: self, target, upstream, timeout_seconds, started_at, progress, request };
        match attempt.run().await {
            Ok(response) => AttemptResult::from_response(response),
            Err(status) => AttemptResult::without_response(status),
        }
    }
}

impl<R: AttemptRequest> EndpointAttempt<'_, R> {
    /// Sends the request on an idle or new connection and reads the response. Never sends any byte of the request
    /// twice: tries another connection only if a reused one failed before the first byte was written.
    async fn run(&self) -> Result<Response<BufferedBody>, Status> {
        if let Some(reuse_delay) = self.pool.time_until_reuse(self.target) {
            sleep(reuse_delay).await;
        }
        loop {
            let mut connection = match self.pool.check_out(self.target) {
                Some(connection) => connection,
                None => self.pool.connect(self.target).await?,
            };
            self.progress.attach(connection.http.progress());
            connection.http.progress().count_request_in(&self.pool.dispatches);
            let idle_time = connection.idle_since.elapsed();
            let request = self.build_request()?;
            let exchange = connection.http.exchange(request, BUFFER_LIMITS, self);
            let error = match exchange.await {
                Ok(response) => {
                    if connection.is_reused {
                        self.pool.idle_limit.record_success(idle_time);
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
                    let has_response_started = connection.http.progress().has_response_started();
                    if connection.is_reused && !has_response_started {
                        self.pool.idle_limit.record_reset(idle_time);
                    }
                    return Err(Status::Reset);
                }
            }
        }
    }

    /// Builds the request for an open connection. Checks the endpoint and the request again, because opening the
    /// connection may have taken long. Nothing is awaited between this check and the first byte.
    fn build_request(&self) -> Result<Request<OutgoingBody>, Status> {
        if !self.pool.is_current(self.target) || !self.request.may_send() {
            return Err(Status::NotSent);
        }
        // A streamed body that was given to an earlier connection can't be sent on another one.
        let remaining_seconds = self.timeout_seconds - self.started_at.elapsed().as_secs_f64();
        self.upstream.build_attempt_request(remaining_seconds.max(0.0)).ok_or(Status::ConnectFailed)
    }
}

impl<R: AttemptRequest> BodySink for EndpointAttempt<'_, R> {
    fn memory(&self) -> Option<&Rc<BodyMemory>> {
        Some(&self.pool.body_memory)
    }

    /// Accepts a successful response that is not too long. Bodies of other responses are not needed.
    fn accepts_stream(&self, parts: &Parts, length: Option<u64>) -> bool {
        parts.status == StatusCode::OK && length.is_none_or(|length| length <= MAX_BODY_BYTES as u64)
    }

    fn remaining_wait(&self) -> Duration {
        self.request.remaining_wait()
    }

    fn response_stalled(&self) {
        self.request.response_stalled();
    }

    fn take_request_memory(&self) -> Option<MemoryPermit> {
        self.request.take_upload_memory()
    }

    fn open_stream(&self, length: Option<u64>, memory: MemoryPermit) -> Option<mpsc::Sender<BodyFrame>> {
        self.request.open_stream(length, memory)
    }
}
