//! Keeps the endpoint list up to date by one call to discovery after another.

use crate::node::{
    connection::{
        discovery::{call::ListCall, error::DiscoveryError},
        exchange_progress::ProgressHandle,
        http_connection::HttpConnection,
    },
    wire::endpoint_list::{EndpointList, ListedEndpoint},
};
use bytes::Bytes;
use oliverack::ListKind;
use std::{net::SocketAddr, pin::pin, rc::Rc, time::Duration};
use tokio::{
    sync::{Notify, watch},
    task::yield_now,
    time::{sleep, timeout},
};
use tracing::{info, warn};

/// Backoff after the first failed call. When discovery is back, its changes must reach the gateway within half a
/// second.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// Time for the rest of a response that had begun to arrive from the old address when discovery moved. The old
/// address closes its connections by then.
const OLD_ADDRESS_TIMEOUT: Duration = Duration::from_millis(1500);

/// Receives updates of the endpoint list.
pub trait EndpointListSink {
    /// Handles a complete list, or changes to the last one.
    fn endpoints_updated(&self, kind: ListKind, endpoints: Vec<ListedEndpoint>);
    /// Handles the failure of a poll that the policy requested.
    fn poll_failed(&self);
}

/// Options of a follower.
pub struct DiscoveryOptions {
    /// True if discovery charges for calls. Then the first call, and the next one after a failure, wait for the
    /// policy's request.
    pub is_polled: bool,
    /// Version of the list that is known at the start. Used only if `is_polled`.
    pub version: u64,
    /// Length of the longest list that is read, in bytes.
    pub max_list_bytes: usize,
    /// Names of the zones; an endpoint's zone is an index into them.
    pub zones: Vec<String>,
    /// Notified when the policy requests a poll.
    pub poll_requested: Rc<Notify>,
    /// Receives the lists.
    pub sink: Rc<dyn EndpointListSink>,
}

/// Follows the endpoint list at the current address of `addresses`. Never returns.
pub async fn follow(addresses: watch::Receiver<SocketAddr>, options: DiscoveryOptions) {
    let mut follower = Follower::new(addresses, options);
    loop {
        follower.step().await;
    }
}

/// Next action of a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FollowerState {
    /// Wait until the policy requests a poll. Used only if discovery is polled.
    AwaitingPollRequest,
    /// Make a call, and another one after each list.
    Watching,
    /// Wait for `delay` before the next call. Used only if discovery is not polled.
    BackingOff { delay: Duration },
}

/// State of following the endpoint list.
struct Follower {
    options: DiscoveryOptions,
    addresses: watch::Receiver<SocketAddr>,
    address: SocketAddr,
    state: FollowerState,
    /// Connection on which the last list arrived.
    connection: Option<HttpConnection>,
    /// Version of the known list; `None` if the next call must request the complete list.
    version: Option<u64>,
    /// Backoff after the next failed call.
    next_backoff: Duration,
    /// Error of the last call; `None` if it succeeded or no call was made.
    last_error: Option<DiscoveryError>,
}

impl Follower {
    fn new(addresses: watch::Receiver<SocketAddr>, options: DiscoveryOptions) -> Self {
        let address = *addresses.borrow();
        let is_polled = options.is_polled;
        Self {
            state: if is_polled { FollowerState::AwaitingPollRequest } else { FollowerState::Watching },
            // Starts from the known version if discovery charges for calls, because a complete list costs far more
            // than changes. Otherwise a complete list is the safer start.
            version: is_polled.then_some(options.version),
            options,
            addresses,
            address,
            connection: None,
            next_backoff: MIN_BACKOFF,
            last_error: None,
        }
    }

    /// Executes the current state's action and enters the next state.
    async fn step(&mut self) {
        // In a backoff the change of address stays unseen here, because it ends the backoff.
        if !matches!(self.state, FollowerState::BackingOff { .. }) {
            self.follow_address();
        }
        match self.state {
            FollowerState::AwaitingPollRequest => self.await_poll_request().await,
            FollowerState::Watching => self.watch().await,
            FollowerState::BackingOff { delay } => self.back_off(delay).await,
        }
    }

    /// Switches to the current address if it has changed. Versions of the old address don't apply to the new one.
    fn follow_address(&mut self) {
        let address = *self.addresses.borrow_and_update();
        if address == self.address {
            return;
        }
        self.address = address;
        self.connection = None;
        self.version = None;
        self.next_backoff = MIN_BACKOFF;
        if self.options.is_polled && self.state == FollowerState::Watching {
            self.report_failed_poll();
        }
    }

    async fn await_poll_request(&mut self) {
        tokio::select! {
            () = self.options.poll_requested.notified() => self.state = FollowerState::Watching,
            Ok(()) = self.addresses.changed() => {}
        }
    }

    async fn back_off(&mut self, delay: Duration) {
        tokio::select! {
            () = sleep(delay) => {}
            Ok(()) = self.addresses.changed() => {}
        }
        self.state = FollowerState::Watching;
    }

    /// Makes one call and applies its list.
    async fn watch(&mut self) {
        let Some(response) = self.call().await else { return };
        let parsed = match &response {
            Ok(text) => serde_json::from_slice::<EndpointList>(text).map_err(|_| DiscoveryError::InvalidList),
            Err(error) => Err(*error),
        };
        match parsed {
            Ok(list) => self.apply_list(&list),
            Err(error) => self.handle_failure(error),
        }
    }

    /// Makes one call. Returns `None` if discovery moved and no complete response arrived from the old address in
    /// time.
    async fn call(&mut self) -> Option<Result<Bytes, DiscoveryError>> {
        let progress = ProgressHandle::default();
        let max_list_bytes = self.options.max_list_bytes;
        let call = ListCall { address: self.address, version: self.version, max_list_bytes };
        let mut response = pin!(call.make(&mut self.connection, &progress));
        // Neither branch loses what the other one waits for: the call continues below, and a move stays in
        // `addresses`.
        tokio::select! {
            response = &mut response => Some(response),
            Ok(()) = self.addresses.changed() => tokio::select! {
                biased;
                response = &mut response => Some(response),
                // After one yield the runtime has seen everything that was written before the move. A call whose
                // response has not begun by then is abandoned.
                () = yield_now() => {
                    let has_response_started = progress.has_response_started();
                    if has_response_started { timeout(OLD_ADDRESS_TIMEOUT, &mut response).await.ok() } else { None }
                }
            },
        }
    }

    /// Passes a list to the sink. Discards changes that don't continue the known version, and makes the next call
    /// request the complete list.
    fn apply_list(&mut self, list: &EndpointList) {
        let has_recovered = self.last_error.take().is_some();
        if has_recovered {
            info!("discovery has recovered");
        }
        self.next_backoff = MIN_BACKOFF;
        let continues_known_list = self.version.is_some_and(|version| list.version >= version);
        if !list.is_full && !continues_known_list {
            self.version = None;
            self.retry_after(MIN_BACKOFF);
            return;
        }
        self.version = Some(list.version);
        let endpoints = list.endpoints(&self.options.zones);
        if list.is_full || has_recovered || !endpoints.is_empty() {
            let kind = if list.is_full { ListKind::Full } else { ListKind::Changes };
            self.options.sink.endpoints_updated(kind, endpoints);
        }
    }

    /// Handles the failure of a call.
    fn handle_failure(&mut self, error: DiscoveryError) {
        // Logs only the first of several equal errors in a row.
        if self.last_error.replace(error) != Some(error) {
            warn!(reason = %error, "discovery failed");
        }
        self.connection = None;
        // A polled discovery may reject a call because it is busy; then the known version is still valid.
        let is_rejection = matches!(error, DiscoveryError::Status(_));
        if error == DiscoveryError::InvalidList || is_rejection && !self.options.is_polled {
            self.version = None;
        }
        let delay = self.next_backoff;
        self.next_backoff = (delay * 2).min(MAX_BACKOFF);
        self.retry_after(delay);
    }

    /// Schedules the next call after a delay or, if discovery is polled, at the policy's next request.
    fn retry_after(&mut self, delay: Duration) {
        if self.options.is_polled {
            self.report_failed_poll();
        } else {
            self.state = FollowerState::BackingOff { delay };
        }
    }

    fn report_failed_poll(&mut self) {
        self.options.sink.poll_failed();
        self.state = FollowerState::AwaitingPollRequest;
    }
}
