//! Follows the list of endpoints by one call after another.

use crate::node::{
    connection::{
        discovery::{call::ListCall, error::DiscoveryError},
        http_connection::HttpConnection,
        write_progress::WriteProgressHandle,
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

/// Wait after the first failed call. What discovery learns when it returns must be known within half a second.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// After a move of discovery, time for an answer of the old address whose first byte was seen. The old address closes
/// its connections by then.
const MOVED_ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Takes the lists.
pub trait EndpointListSink {
    /// A complete list, or changes to the last one.
    fn endpoints_updated(&self, kind: ListKind, endpoints: Vec<ListedEndpoint>);
    /// A poll that the policy requested brought no list.
    fn poll_failed(&self);
}

/// How discovery is followed.
pub struct Discovery {
    /// Calls have a price: after a failure the next one is made when the policy requests it.
    pub is_polled: bool,
    /// The version of the list that is known at the start.
    pub version: u64,
    /// Length of the longest list that is read.
    pub max_list_bytes: usize,
    /// Names of the zones, by number.
    pub zones: Vec<String>,
    /// The policy requests a poll.
    pub poll_requested: Rc<Notify>,
    /// Takes the lists.
    pub sink: Rc<dyn EndpointListSink>,
}

/// Follows discovery for the rest of the process's life, at the address that `addresses` holds at the time.
pub async fn follow(addresses: watch::Receiver<SocketAddr>, discovery: Discovery) {
    let mut follower = Follower::new(addresses, discovery);
    loop {
        follower.step().await;
    }
}

/// What the follower does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FollowerState {
    /// It waits until the policy requests a poll. Only where discovery is polled.
    AwaitingPollRequest,
    /// It makes a call, and another one after each list.
    Watching,
    /// It waits before the next call. Only where discovery is not polled.
    BackingOff { delay: Duration },
}

/// See the [module](self).
struct Follower {
    discovery: Discovery,
    addresses: watch::Receiver<SocketAddr>,
    address: SocketAddr,
    state: FollowerState,
    /// The connection on which the last list came.
    connection: Option<HttpConnection>,
    /// The version of the known list; `None` if the complete list must be asked for.
    version: Option<u64>,
    /// The wait after the next failed call.
    next_backoff: Duration,
    /// Why the last call failed; `None` if it did not.
    last_error: Option<DiscoveryError>,
}

impl Follower {
    fn new(addresses: watch::Receiver<SocketAddr>, discovery: Discovery) -> Self {
        let address = *addresses.borrow();
        let is_polled = discovery.is_polled;
        Self {
            state: if is_polled { FollowerState::AwaitingPollRequest } else { FollowerState::Watching },
            // A complete list costs a polled service far more than changes do. Elsewhere it is the safer start.
            version: is_polled.then_some(discovery.version),
            discovery,
            addresses,
            address,
            connection: None,
            next_backoff: MIN_BACKOFF,
            last_error: None,
        }
    }

    /// Does what the state says, and enters the next one.
    async fn step(&mut self) {
        // A change of the address ends a backoff, so it is left to be noticed there.
        if !matches!(self.state, FollowerState::BackingOff { .. }) {
            self.follow_address();
        }
        match self.state {
            FollowerState::AwaitingPollRequest => self.await_poll_request().await,
            FollowerState::Watching => self.watch().await,
            FollowerState::BackingOff { delay } => self.back_off(delay).await,
        }
    }

    /// Follows discovery to another address, where versions have another meaning.
    fn follow_address(&mut self) {
        let address = *self.addresses.borrow_and_update();
        if address == self.address {
            return;
        }
        self.address = address;
        self.connection = None;
        self.version = None;
        self.next_backoff = MIN_BACKOFF;
        if self.discovery.is_polled && self.state == FollowerState::Watching {
            self.report_failed_poll();
        }
    }

    async fn await_poll_request(&mut self) {
        tokio::select! {
            () = self.discovery.poll_requested.notified() => self.state = FollowerState::Watching,
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

    /// Makes one call and takes in its list.
    async fn watch(&mut self) {
        let Some(answer) = self.call().await else { return };
        let parsed = match &answer {
            Ok(text) => serde_json::from_slice::<EndpointList>(text).map_err(|_| DiscoveryError::Unreadable),
            Err(error) => Err(*error),
        };
        match parsed {
            Ok(list) => self.take_in(&list),
            Err(error) => self.note_failure(error),
        }
    }

    /// Makes one call; `None` if discovery moved before it was answered.
    async fn call(&mut self) -> Option<Result<Bytes, DiscoveryError>> {
        let progress = WriteProgressHandle::default();
        let max_list_bytes = self.discovery.max_list_bytes;
        let call = ListCall { address: self.address, version: self.version, max_list_bytes };
        let mut answer = pin!(call.make(&mut self.connection, &progress));
        // The branch that is not taken loses nothing: the call goes on below, and a move stays in `addresses`.
        tokio::select! {
            answer = &mut answer => Some(answer),
            Ok(()) = self.addresses.changed() => tokio::select! {
                biased;
                answer = &mut answer => Some(answer),
                // By its next turn the runtime has seen everything that was written before the move. A call whose
                // answer has not begun by then is abandoned.
                () = yield_now() => {
                    let first_byte_seen = progress.has_response_started();
                    if first_byte_seen { timeout(MOVED_ANSWER_TIMEOUT, &mut answer).await.ok() } else { None }
                }
            },
        }
    }

    /// Takes in a list. One that does not follow from the known list is dropped, and the complete list is asked for.
    fn take_in(&mut self, list: &EndpointList) {
        let has_recovered = self.last_error.take().is_some();
        if has_recovered {
            info!("discovery answers again");
        }
        self.next_backoff = MIN_BACKOFF;
        let follows_known_list = self.version.is_some_and(|version| list.version >= version);
        if !list.is_full && !follows_known_list {
            self.version = None;
            self.retry_after(MIN_BACKOFF);
            return;
        }
        self.version = Some(list.version);
        let endpoints = list.endpoints(&self.discovery.zones);
        if list.is_full || has_recovered || !endpoints.is_empty() {
            let kind = if list.is_full { ListKind::Full } else { ListKind::Changes };
            self.discovery.sink.endpoints_updated(kind, endpoints);
        }
    }

    /// Notes that a call has failed.
    fn note_failure(&mut self, error: DiscoveryError) {
        // One warning for each kind of error in a row.
        if self.last_error.replace(error) != Some(error) {
            warn!(reason = %error, "discovery failed");
        }
        self.connection = None;
        // A polled service that rejects calls as it is busy says nothing about the version.
        let is_rejection = matches!(error, DiscoveryError::Status(_));
        if error == DiscoveryError::Unreadable || is_rejection && !self.discovery.is_polled {
            self.version = None;
        }
        let delay = self.next_backoff;
        self.next_backoff = (delay * 2).min(MAX_BACKOFF);
        self.retry_after(delay);
    }

    /// Makes the next call after a delay or, where discovery is polled, when the policy requests it.
    fn retry_after(&mut self, delay: Duration) {
        if self.discovery.is_polled {
            self.report_failed_poll();
        } else {
            self.state = FollowerState::BackingOff { delay };
        }
    }

    fn report_failed_poll(&mut self) {
        self.discovery.sink.poll_failed();
        self.state = FollowerState::AwaitingPollRequest;
    }
}
