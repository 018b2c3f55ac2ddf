//! One call to discovery.

use crate::node::{
    connection::{
        discovery::error::DiscoveryError, http_connection::HttpConnection, response_body::BufferLimits,
        write_progress::WriteProgressHandle,
    },
    wire::stream::OutgoingBody,
};
use bytes::Bytes;
use hyper::{Request, Response, StatusCode, Uri, header, http::response::Parts};
use std::{cell::Cell, net::SocketAddr, time::Duration};
use tokio::time::{Instant, timeout_at};

/// Longest time for which discovery may hold a watch, from the start of the call. A change must be known 6 s after
/// discovery has it, whatever becomes of a call: the hold, the grace after it, the backoff or the policy's next poll
/// (1 s), and a connection that is slow to be made fit in that.
const WATCH_HOLD: Duration = Duration::from_millis(2500);
/// Time after the hold for the complete answer; then a new connection is made.
const WATCH_GRACE: Duration = Duration::from_millis(800);
/// Longest time for a call on a new connection, the connecting included. It asks for no hold, but a service that
/// answers the calls of all gateways in turn may keep it waiting for 2 s, and giving up then costs another turn.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Longest time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// What a call asks for, and of whom.
#[derive(Debug, Clone, Copy)]
pub struct ListCall {
    /// Where discovery listens.
    pub address: SocketAddr,
    /// The version whose changes are asked for; `None` asks for the complete list.
    pub version: Option<u64>,
    /// Length of the longest list that is read.
    pub max_list_bytes: usize,
}

impl ListCall {
    /// Makes the call; returns the text of the list. If the kept connection is still usable the call is a watch on it,
    /// otherwise it is answered at once on a new connection. One deadline holds for all stages. `progress` tells how far
    /// the call has come once it has a connection, and `kept_connection` holds the connection after a success.
    pub async fn make(
        self,
        kept_connection: &mut Option<HttpConnection>,
        progress: &WriteProgressHandle,
    ) -> Result<Bytes, DiscoveryError> {
        let usable = kept_connection.take().and_then(|mut kept| kept.is_ready().then_some(kept));
        let hold = if usable.is_some() && self.version.is_some() { WATCH_HOLD } else { Duration::ZERO };
        let time_limit = if hold.is_zero() { FIRST_CALL_TIMEOUT } else { WATCH_HOLD + WATCH_GRACE };
        let deadline = Instant::now() + time_limit;
        let mut connection = match usable {
            Some(connection) => connection,
            None => HttpConnection::connect(self.address, CONNECT_TIMEOUT)
                .await
                .map_err(|_| DiscoveryError::Connect)?,
        };
        progress.attach(connection.progress());
        let request = self.request(hold)?;
        let exchange = self.exchange(&mut connection, request, time_limit);
        let response = timeout_at(deadline, exchange).await.map_err(|_| DiscoveryError::Timeout)??;
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
        *request.uri_mut() = Uri::try_from(path).map_err(|_| DiscoveryError::Unreadable)?;
        request.headers_mut().insert(header::HOST, header::HeaderValue::from_static("backend.local"));
        Ok(request)
    }

    async fn exchange(
        self,
        connection: &mut HttpConnection,
        request: Request<OutgoingBody>,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, DiscoveryError> {
        let is_too_long = Cell::new(false);
        // Called only for an answer that exceeds the limits. The time limit is the same for all answers, so that is one
        // that is too long.
        let reject = |_: &Parts, _: Option<u64>| {
            is_too_long.set(true);
            None
        };
        let limits = BufferLimits { max_bytes: self.max_list_bytes, max_time: time_limit };
        connection.exchange(request, limits, &reject).await.map_err(|_| {
            if is_too_long.get() {
                DiscoveryError::TooLong { max_bytes: self.max_list_bytes }
            } else {
                DiscoveryError::ConnectionLost
            }
        })
    }
}
