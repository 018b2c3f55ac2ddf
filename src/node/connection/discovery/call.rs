//! Calls to discovery.

use crate::node::{
    connection::{
        body_memory::{BodyMemory, MemoryPermit},
        discovery::error::DiscoveryError,
        exchange_progress::ProgressHandle,
        http_connection::HttpConnection,
        response_body::{BodySink, BufferLimits},
    },
    wire::stream::{BodyFrame, MAX_RESPONSE_FRAME_BYTES, OutgoingBody},
};
use bytes::Bytes;
use hyper::{Request, Response, StatusCode, Uri, header, http::response::Parts};
use std::{cell::Cell, net::SocketAddr, pin::pin, rc::Rc, time::Duration};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};

/// Longest time for which discovery may hold the response to a watch, from the start of the call. A change must reach
/// the gateway within 6 s of reaching discovery, even if a call fails: the hold, the grace period after it, the
/// backoff or the policy's next poll (1 s), and a connection that is slow to open fit into that.
const WATCH_HOLD: Duration = Duration::from_millis(2500);
/// Time for the beginning of the response after the hold. Then the call fails, and the next one opens a new connection.
const WATCH_GRACE: Duration = Duration::from_millis(800);
/// Longest time for a call without a hold, including connecting. A discovery that serves the calls of all gateways in
/// turn may take 2 s to respond, and a call that gives up sooner has to wait for its turn again.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Longest silence within a response. A long list, or one that discovery writes slowly, may take longer in total.
const MAX_SILENCE: Duration = Duration::from_millis(1200);
/// Longest time for a complete response, however it arrives.
const MAX_CALL_TIME: Duration = Duration::from_secs(20);
/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Call that requests the endpoint list or its changes.
#[derive(Debug, Clone, Copy)]
pub struct ListCall {
    /// Address of discovery.
    pub address: SocketAddr,
    /// Version since which changes are requested; `None` requests the complete list.
    pub version: Option<u64>,
    /// Length of the longest list that is read, in bytes.
    pub max_list_bytes: usize,
}

impl ListCall {
    /// Makes the call and returns the list as JSON text. One deadline covers connecting and the wait for a response; a
    /// response that has begun may take longer.
    ///
    /// Uses `kept_connection`, or a new connection if that is not usable, and keeps the connection there after a
    /// success. The call is a watch if the connection was kept and the version is known; otherwise it requests no
    /// hold. `progress` shows the progress of the call once it has a connection.
    pub async fn make(
        self,
        kept_connection: &mut Option<HttpConnection>,
        progress: &ProgressHandle,
    ) -> Result<Bytes, DiscoveryError> {
        let usable_connection =
            kept_connection.take().and_then(|mut connection| connection.is_ready().then_some(connection));
        let hold =
            if usable_connection.is_some() && self.version.is_some() { WATCH_HOLD } else { Duration::ZERO };
        let time_limit = if hold.is_zero() { FIRST_CALL_TIMEOUT } else { WATCH_HOLD + WATCH_GRACE };
        let deadline = Instant::now() + time_limit;
        let mut connection = match usable_connection {
            Some(connection) => connection,
            None => HttpConnection::connect(self.address, CONNECT_TIMEOUT, MAX_RESPONSE_FRAME_BYTES)
                .await
                .map_err(|_| DiscoveryError::Connect)?,
        };
        progress.attach(connection.progress());
        let request = self.request(hold)?;
        let exchange = self.exchange(&mut connection, request);
        let response = wait_for_response(exchange, progress, deadline).await?;
        if response.status() != StatusCode::OK {
            return Err(DiscoveryError::Status(response.status()));
        }
        *kept_connection = Some(connection);
        Ok(response.into_body())
    }

    fn request(self, hold: Duration) -> Result<Request<OutgoingBody>, DiscoveryError> {
        let path = match self.version {
            Some(version) => format!("/discovery/hosts?from={version}&hold_ms={}", hold.as_millis()),
            None => "/discovery/hosts".to_owned(),
        };
        let mut request = Request::new(OutgoingBody::Buffered(None));
        *request.uri_mut() = Uri::try_from(path).map_err(|_| DiscoveryError::InvalidList)?;
        request.headers_mut().insert(header::HOST, header::HeaderValue::from_static("backend.local"));
        Ok(request)
    }

    async fn exchange(
        self,
        connection: &mut HttpConnection,
        request: Request<OutgoingBody>,
    ) -> Result<Response<Bytes>, DiscoveryError> {
        let sink = LongListRejection::default();
        let limits = BufferLimits { max_bytes: self.max_list_bytes, max_time: Duration::MAX };
        let response = connection.exchange(request, limits, &sink).await.map_err(|_| {
            if sink.is_too_long.get() {
                DiscoveryError::TooLong { max_bytes: self.max_list_bytes }
            } else {
                DiscoveryError::ConnectionLost
            }
        })?;
        Ok(response.map(|body| body.bytes))
    }
}

/// Waits until the exchange ends, no response has begun by `deadline`, or a response has fallen silent.
async fn wait_for_response(
    exchange: impl Future<Output = Result<Response<Bytes>, DiscoveryError>>,
    progress: &ProgressHandle,
    deadline: Instant,
) -> Result<Response<Bytes>, DiscoveryError> {
    let mut exchange = pin!(exchange);
    let last_deadline = deadline + MAX_CALL_TIME;
    loop {
        let now = Instant::now();
        let wait_until = match progress.received() {
            Some((_, silence)) => last_deadline.min(now + MAX_SILENCE.saturating_sub(silence)),
            None => deadline,
        };
        if wait_until <= now {
            return Err(DiscoveryError::Timeout);
        }
        // A response that begins meanwhile is checked for silence in time.
        if let Ok(response) = timeout_at(wait_until.min(now + MAX_SILENCE), &mut exchange).await {
            return response;
        }
    }
}

/// Sink that rejects a list beyond the buffer limits. The buffering time is unlimited, so such a list is too long. The
/// limit on its length bounds the memory.
#[derive(Default)]
struct LongListRejection {
    is_too_long: Cell<bool>,
}

impl BodySink for LongListRejection {
    fn memory(&self) -> Option<&Rc<BodyMemory>> {
        None
    }

    fn accepts_stream(&self, _: &Parts, _: Option<u64>) -> bool {
        self.is_too_long.set(true);
        false
    }

    fn remaining_wait(&self) -> Duration {
        Duration::MAX
    }

    fn response_stalled(&self) {}

    fn take_request_memory(&self) -> Option<MemoryPermit> {
        None
    }

    fn open_stream(&self, _: Option<u64>, _: MemoryPermit) -> Option<mpsc::Sender<BodyFrame>> {
        None
    }
}
