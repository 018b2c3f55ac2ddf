//! Follows the list of endpoints: one watch after another, the whole list after any doubt. Where beginning a watch has
//! its price, the module says when, and the watch goes on from the list that is known.

use crate::node::{
    connection::{http_client::HttpClient, response_body::BufferLimits, write_progress::Trace},
    wire::{
        endpoint_list::{List, Listed},
        stream::Outgoing,
    },
};
use bytes::Bytes;
use hyper::{Request, StatusCode, Uri, header, http::response::Parts};
use oliverack::ListKind;
use std::{cell::Cell, fmt, net::SocketAddr, pin::pin, rc::Rc, time::Duration};
use tokio::{
    sync::{Notify, watch},
    task::yield_now,
    time::{Instant, sleep, timeout, timeout_at},
};
use tracing::{info, warn};

/// How long discovery may hold a watch, from the call's begin on. Whatever becomes of a call, a change counts as told
/// 6 s after discovery had it: the hold, the patience past it, the pause or the module's turn (1 s) and a connection
/// that comes up late have to fit in that.
const HOLD: Duration = Duration::from_millis(2500);
/// How long past that an answer is waited for to its end: a silent agent is asked again on a new connection.
const PATIENCE: Duration = Duration::from_millis(800);
/// How long a call on a new connection takes at most, that included. It asks for no hold, but where one service takes
/// the calls of all in turn it may wait for 2 s in its line, and giving up there costs another turn.
const FIRST: Duration = Duration::from_millis(2500);
/// How much of that a connection may take to come up.
const CONNECT: Duration = Duration::from_millis(1500);
/// The first wait after a failed call: what the agent learns at its return counts as told at once, and the
/// grace after that is half a second.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest.
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// After a move, how long an answer of the old address that has begun may take to its end: what was written counts
/// as told. That address closes its connections by then.
const LAST_WORD: Duration = Duration::from_millis(1500);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Connect,
    Silent,
    Broken,
    Status(StatusCode),
    /// Longer than so many bytes.
    TooLong(usize),
    Unreadable,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("no connection"),
            Self::Silent => f.write_str("no answer"),
            Self::Broken => f.write_str("the connection broke"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::TooLong(most) => write!(f, "the list is longer than the {most} bytes that fit in memory"),
            Self::Unreadable => f.write_str("the list is unreadable"),
        }
    }
}

/// Takes the lists that discovery tells.
pub trait ListSink {
    /// News of the endpoints.
    fn list(&self, kind: ListKind, endpoints: Vec<Listed>);
    /// Discovery was asked for the list in vain.
    fn unlisted(&self);
}

/// How discovery is followed.
pub struct Discovery {
    /// The list must be asked for, at the moments that `asked` tells.
    pub must_ask: bool,
    /// The version of the list that is known at the start.
    pub version: u64,
    /// Longest list that is taken in, in bytes.
    pub list_bound: usize,
    /// Names of the zones, by number.
    pub zones: Vec<String>,
    /// The module wants the list followed, where that has its price.
    pub asked: Rc<Notify>,
    /// Takes the lists.
    pub sink: Rc<dyn ListSink>,
}

/// Follows discovery for good, at the address that `addresses` names at the time. A new one has versions of its
/// own, so it is asked for the whole list.
pub async fn follow(addresses: watch::Receiver<SocketAddr>, discovery: Discovery) {
    let mut follower = Follower::new(addresses, discovery);
    loop {
        // Here for every move, also one that comes between an answer and the next call.
        follower.note_move();
        if !follower.is_following {
            follower.wait_until_asked().await;
            continue;
        }
        let Some(answer) = follower.call().await else { continue };
        let list = match &answer {
            Ok(text) => serde_json::from_slice::<List>(text).map_err(|_| Fault::Unreadable),
            Err(fault) => Err(*fault),
        };
        let pause = match list {
            Ok(list) => follower.take_in(&list),
            Err(fault) => Some(follower.note_fault(fault)),
        };
        if let Some(pause) = pause {
            follower.pause(pause).await;
        }
    }
}

/// Where the following of discovery stands.
struct Follower {
    discovery: Discovery,
    addresses: watch::Receiver<SocketAddr>,
    address: SocketAddr,
    /// The connection that the last answer came on.
    client: Option<HttpClient>,
    /// Of the list that is known; `None`: the whole one is to be asked for.
    version: Option<u64>,
    /// The wait after the next call that fails.
    backoff: Duration,
    /// Why the last call failed.
    trouble: Option<Fault>,
    is_following: bool,
}

impl Follower {
    fn new(addresses: watch::Receiver<SocketAddr>, discovery: Discovery) -> Self {
        let address = *addresses.borrow();
        Self {
            // A whole list costs the service much more than what has changed; elsewhere it is free, and sure.
            version: discovery.must_ask.then_some(discovery.version),
            is_following: !discovery.must_ask,
            discovery,
            addresses,
            address,
            client: None,
            backoff: MIN_BACKOFF,
            trouble: None,
        }
    }

    fn note_move(&mut self) {
        let address = *self.addresses.borrow_and_update();
        if address == self.address {
            return;
        }
        (self.address, self.client, self.version, self.backoff) = (address, None, None, MIN_BACKOFF);
        if self.discovery.must_ask && self.is_following {
            self.discovery.sink.unlisted();
            self.is_following = false;
        }
    }

    async fn wait_until_asked(&mut self) {
        tokio::select! {
            () = self.discovery.asked.notified() => self.is_following = true,
            Ok(()) = self.addresses.changed() => {}
        }
    }

    /// One call; `None`: discovery has moved before it was answered.
    async fn call(&mut self) -> Option<Result<Bytes, Fault>> {
        let begun = Trace::default();
        let list_bound = self.discovery.list_bound;
        let mut call = pin!(call(self.address, &mut self.client, self.version, list_bound, &begun));
        // A lost branch loses nothing: the call goes on below, and a move stays in `addresses`.
        tokio::select! {
            answer = &mut call => Some(answer),
            Ok(()) = self.addresses.changed() => tokio::select! {
                biased;
                answer = &mut call => Some(answer),
                // By then the runtime knows of all that had been written before the move. A call without
                // an answer is given up.
                () = yield_now() => {
                    let begun = begun.borrow().as_ref().is_some_and(|p| p.has_response_started());
                    if begun { timeout(LAST_WORD, &mut call).await.ok() } else { None }
                }
            },
        }
    }

    /// Takes in a list; how long to pause, where it is not one that the known one can be followed by.
    fn take_in(&mut self, list: &List) -> Option<Duration> {
        let recovered = self.trouble.take().is_some();
        if recovered {
            info!("discovery answers again");
        }
        self.backoff = MIN_BACKOFF;
        // Changes to a list that is not ours, or a version that went back: ask for the whole.
        let fits = list.full || self.version.is_some_and(|v| list.version >= v);
        self.version = fits.then_some(list.version);
        let endpoints = list.endpoints(&self.discovery.zones);
        if fits && (list.full || recovered || !endpoints.is_empty()) {
            let kind = if list.full { ListKind::Full } else { ListKind::Changes };
            self.discovery.sink.list(kind, endpoints);
        }
        if fits { None } else { Some(MIN_BACKOFF) }
    }

    /// Notes that a call has failed; how long to pause.
    fn note_fault(&mut self, fault: Fault) -> Duration {
        // One line for each kind of fault in a row, not one a call.
        if self.trouble.replace(fault) != Some(fault) {
            warn!(reason = %fault, "discovery failed");
        }
        self.client = None;
        // A service that turns calls away says nothing of the version.
        if fault == Fault::Unreadable || matches!(fault, Fault::Status(_)) && !self.discovery.must_ask {
            self.version = None;
        }
        let pause = self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        pause
    }

    /// Waits before the next call; where calls have their price, until the policy asks for it.
    async fn pause(&mut self, pause: Duration) {
        if self.discovery.must_ask {
            self.discovery.sink.unlisted();
            self.is_following = false;
            return;
        }
        tokio::select! {
            () = sleep(pause) => {}
            Ok(()) = self.addresses.changed() => {}
        }
    }
}

/// One call; the text of the list that it brings: a watch on the connection that is kept, where there is one, else a
/// question on a new connection that is answered at once. It has one clock for all its stages.
async fn call(
    addr: SocketAddr,
    kept: &mut Option<HttpClient>,
    version: Option<u64>,
    most: usize,
    begun: &Trace,
) -> Result<Bytes, Fault> {
    let kept_on = kept.take().and_then(|mut link| link.ready().then_some(link));
    let hold = if kept_on.is_some() && version.is_some() { HOLD } else { Duration::ZERO };
    let span = if hold.is_zero() { FIRST } else { HOLD + PATIENCE };
    let limit = Instant::now() + span;
    let mut link = match kept_on {
        Some(link) => link,
        None => HttpClient::open(addr, CONNECT).await.map_err(|_| Fault::Connect)?,
    };
    *begun.borrow_mut() = Some(link.progress());
    let path = match version {
        Some(v) => format!("/discovery/hosts?from={v}&hold_ms={}", hold.as_millis()),
        None => "/discovery/hosts".to_owned(),
    };
    let mut request = Request::new(Outgoing::Whole(None));
    *request.uri_mut() = Uri::try_from(path).map_err(|_| Fault::Unreadable)?;
    request.headers_mut().insert(header::HOST, header::HeaderValue::from_static("backend.local"));
    let is_too_long = Cell::new(false);
    // Asked only about an answer that does not fit, as `limit` is the time for all others.
    let begin = |_: &Parts, _: Option<u64>| {
        is_too_long.set(true);
        None
    };
    let limits = BufferLimits { max_bytes: most, max_time: span };
    let answer = timeout_at(limit, link.exchange(request, limits, &begin)).await;
    let broken = |_| if is_too_long.get() { Fault::TooLong(most) } else { Fault::Broken };
    let response = answer.map_err(|_| Fault::Silent)?.map_err(broken)?;
    if response.status() != StatusCode::OK {
        return Err(Fault::Status(response.status()));
    }
    *kept = Some(link);
    Ok(response.into_body())
}
