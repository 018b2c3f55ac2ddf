//! Follows the list of workers: one watch after another, the whole list after any doubt. Where beginning a watch has
//! its price, the module says when, and the watch goes on from the list that is known.

use crate::node::{
    connection::{answer_body::Bounds, http_client::HttpClient, write_progress::Trace},
    wire::{
        stream::Outgoing,
        worker_list::{List, Listed},
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
    /// News of the workers.
    fn list(&self, kind: ListKind, workers: Vec<Listed>);
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

/// Follows discovery for good, at the address that `place` names at the time. A new one has versions of its
/// own, so it is asked for the whole list.
pub async fn follow(mut place: watch::Receiver<SocketAddr>, discovery: Discovery) {
    let Discovery { must_ask, version, list_bound, zones, asked, sink } = discovery;
    // A whole list costs the service much more than what has changed; elsewhere it is free, and sure.
    let known = must_ask.then_some(version);
    let (mut link, mut version, mut wait, mut trouble) = (None, known, MIN_BACKOFF, None);
    let (mut following, mut at) = (!must_ask, *place.borrow());
    loop {
        // Here for every move, also one that comes between an answer and the next call.
        let addr = *place.borrow_and_update();
        if addr != at {
            (at, link, version, wait) = (addr, None, None, MIN_BACKOFF);
            if must_ask && following {
                sink.unlisted();
                following = false;
            }
        }
        if !following {
            tokio::select! {
                () = asked.notified() => following = true,
                Ok(()) = place.changed() => {}
            }
            continue;
        }
        let begun = Trace::default();
        let answer = {
            let mut call = pin!(call(addr, &mut link, version, list_bound, &begun));
            // A lost branch loses nothing: the call goes on below, and a move stays in `place`.
            tokio::select! {
                answer = &mut call => Some(answer),
                Ok(()) = place.changed() => tokio::select! {
                    biased;
                    answer = &mut call => Some(answer),
                    // By then the runtime knows of all that had been written before the move. A call without
                    // an answer is given up.
                    () = yield_now() => {
                        let begun = begun.borrow().as_ref().is_some_and(|p| p.answered());
                        if begun { timeout(LAST_WORD, &mut call).await.ok() } else { None }
                    }
                },
            }
        };
        let Some(answer) = answer else { continue };
        let text = match &answer {
            Ok(text) => serde_json::from_slice::<List>(text).map_err(|_| Fault::Unreadable),
            Err(fault) => Err(*fault),
        };
        let pause = match text {
            Ok(list) => {
                let recovered = trouble.take().is_some();
                if recovered {
                    eprintln!("oliverack: discovery answers again");
                }
                wait = MIN_BACKOFF;
                // Changes to a list that is not ours, or a version that went back: ask for the whole.
                let fits = list.full || version.is_some_and(|v| list.version >= v);
                version = fits.then_some(list.version);
                let workers = list.workers(&zones);
                if fits && (list.full || recovered || !workers.is_empty()) {
                    sink.list(if list.full { ListKind::Full } else { ListKind::Changes }, workers);
                }
                if fits {
                    continue;
                }
                MIN_BACKOFF
            }
            Err(fault) => {
                // One line for each kind of fault in a row, not one a call.
                if trouble.replace(fault) != Some(fault) {
                    eprintln!("oliverack: discovery: {fault}");
                }
                link = None;
                // A service that turns calls away says nothing of the version.
                if fault == Fault::Unreadable || matches!(fault, Fault::Status(_)) && !must_ask {
                    version = None;
                }
                let pause = wait;
                wait = (wait * 2).min(MAX_BACKOFF);
                pause
            }
        };
        if must_ask {
            sink.unlisted();
            following = false;
            continue;
        }
        tokio::select! {
            () = sleep(pause) => {}
            Ok(()) = place.changed() => {}
        }
    }
}

/// One call; the text of the list that it brings: a watch on the connection that is kept, where there is one, else a question on a new connection that is
/// answered at once. It has one clock for all its stages.
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
    let bounds = Bounds { most, patience: span };
    let answer = timeout_at(limit, link.exchange(request, None, bounds, &begin)).await;
    let broken = |_| if is_too_long.get() { Fault::TooLong(most) } else { Fault::Broken };
    let (parts, body) = answer.map_err(|_| Fault::Silent)?.map_err(broken)?;
    if parts.status != StatusCode::OK {
        return Err(Fault::Status(parts.status));
    }
    *kept = Some(link);
    Ok(body)
}
