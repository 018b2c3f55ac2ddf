//! Attempts and probes: connections to the workers, kept and reused, and how each exchange ended.

use super::{
    http::{MAX_BODY, MAX_WHOLE},
    link::{Begin, Bounds, Failure, Link, Progress},
    list::Listed,
    stream::{Content, Outgoing, Piece},
};
use bytes::Bytes;
use fnv::FnvHashMap;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri, header, http::response::Parts};
use oliverack::{Lifecycle, Load, ServerId, Status};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{sync::mpsc, time::sleep};

/// What goes on to a worker.
#[derive(Debug)]
pub struct Forward {
    pub method: Method,
    pub uri: Uri,
    pub txn: header::HeaderValue,
    /// By it the workers of a group tell a repeat: without it a keyed request is another one.
    pub idempotency_key: Option<header::HeaderValue>,
    pub content_type: Option<header::HeaderValue>,
    pub body: Content,
}

/// How an attempt or probe ended.
#[derive(Debug)]
pub struct Ending {
    pub status: Status,
    pub body: Bytes,
    pub load: Load,
}

impl Ending {
    fn of(status: Status) -> Self {
        Self { status, body: Bytes::new(), load: Load::default() }
    }
}

/// A connection's place in the budget, given back when the connection goes.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Shortest time that an idle connection is kept for: the next request of a rush comes sooner, and a new
/// connection costs the worker work.
const KEEP_LEAST: Duration = Duration::from_millis(50);

/// A connection rests for so long between an answer and the next request: a worker may say the same answer again some
/// milliseconds later, and what comes while a request is out is read as that one's answer.
const REUSE_AFTER: Duration = Duration::from_millis(10);

/// An answer that is larger, or of no told length and takes longer, passes through in pieces.
const BOUNDS: Bounds = Bounds { most: MAX_WHOLE, patience: Duration::from_millis(50) };

struct Pooled {
    link: Link,
    /// The worker's life that it was opened in.
    life: u64,
    since: Instant,
    _slot: Slot,
}

/// How far an attempt has come, as its time-out needs to know.
pub type Trace = Rc<RefCell<Option<Rc<Progress>>>>;

/// Whether the attempt's last byte has been written.
pub fn may_have_run(trace: &Trace) -> bool {
    trace.borrow().as_ref().is_some_and(|p| p.sent_whole())
}

/// A worker as the list last told it.
struct Host {
    addr: SocketAddr,
    started: f64,
    /// Its own number: another worker at the same address, or the same one started anew, has another.
    life: u64,
    /// It may be sent to.
    serving: bool,
}

/// The idle connections to one worker, the one that has stood idle longest first; never none.
type Pool = Vec<Pooled>;

pub struct Workers {
    hosts: RefCell<FnvHashMap<ServerId, Host>>,
    /// Only of workers to which there are idle connections: few of a long list.
    pools: RefCell<FnvHashMap<ServerId, Pool>>,
    lives: Cell<u64>,
    open: Rc<Cell<usize>>,
    budget: usize,
    /// What this process may have of it.
    share: Cell<usize>,
    /// An idle connection is kept for so long: at most, and as resets and answers on kept ones have shown. What
    /// stands between may forget a connection far sooner than the worker closes it, and says so only to a
    /// request, which may then have run.
    keep_most: Duration,
    keep: Cell<Duration>,
    connect: Duration,
    /// Attempts written whole.
    dispatches: Rc<Cell<u64>>,
}

/// Where an attempt goes.
#[derive(Clone)]
pub struct Target {
    id: ServerId,
    addr: SocketAddr,
    life: u64,
}

impl Workers {
    /// `budget` connections at most, none kept idle for `idle_limit`, none waited for past `connect`.
    pub fn new(budget: usize, idle_limit: Duration, connect: Duration, dispatches: Rc<Cell<u64>>) -> Self {
        // A worker closes at its limit, and a request that crosses that is lost: close well before.
        let keep_most = idle_limit.saturating_sub(Duration::from_secs(2)).max(idle_limit / 2);
        Self {
            hosts: RefCell::default(),
            pools: RefCell::default(),
            lives: Cell::new(0),
            open: Rc::default(),
            budget,
            share: Cell::new(budget),
            keep_most,
            keep: Cell::new(keep_most),
            connect,
            dispatches,
        }
    }

    /// Takes in the list: the whole one, or what has changed, each with its address if it has a usable one.
    /// What is not named by a whole list, or is gone, is forgotten, and its idle connections are closed.
    pub fn listed(&self, whole: bool, workers: &[Listed]) {
        let (mut hosts, mut pools) = (self.hosts.borrow_mut(), self.pools.borrow_mut());
        let mut old = if whole { std::mem::take(&mut *hosts) } else { FnvHashMap::default() };
        hosts.reserve(workers.len());
        for Listed { server, addr } in workers {
            let known = hosts.remove_entry(&server.id).or_else(|| old.remove_entry(&server.id));
            // The name that is held already is kept, so that each is held once.
            let (id, known) = known.map_or_else(|| (server.id.clone(), None), |(id, host)| (id, Some(host)));
            let addr = addr.or(known.as_ref().map(|h| h.addr));
            let (Some(addr), true) = (addr, server.lifecycle != Lifecycle::Gone) else {
                pools.remove(&id);
                continue;
            };
            let same = known.filter(|h| h.addr == addr && h.started == server.started);
            let renewed = same.is_none();
            let mut host = same.unwrap_or_else(|| {
                self.lives.set(self.lives.get() + 1);
                Host { addr, started: server.started, life: self.lives.get(), serving: false }
            });
            host.serving = server.lifecycle == Lifecycle::Running;
            if renewed || !host.serving {
                pools.remove(&id);
            }
            hosts.insert(id, host);
        }
        old.keys().for_each(|id| drop(pools.remove(id)));
    }

    /// Operators have left the worker out and restart it: its connections are of no further use.
    pub fn left_out(&self, id: &ServerId) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(id) {
            self.lives.set(self.lives.get() + 1);
            host.life = self.lives.get();
            self.pools.borrow_mut().remove(id);
        }
    }

    /// Where to reach a worker; `None` if the list does not name it.
    pub fn target(&self, id: &ServerId) -> Option<Target> {
        self.hosts.borrow().get(id).map(|h| Target { id: id.clone(), addr: h.addr, life: h.life })
    }

    /// Closes idle connections that are dead or due.
    pub fn sweep(&self) {
        self.pools.borrow_mut().retain(|_, pool| {
            pool.retain_mut(|p| p.since.elapsed() < self.keep.get() && p.link.ready());
            !pool.is_empty()
        });
    }

    /// Whether something new may still go to the worker that was chosen: the list has told nothing else since, and
    /// it is the same one, in the same life.
    fn stands(&self, target: &Target) -> bool {
        self.hosts.borrow().get(&target.id).is_some_and(|h| h.serving && h.life == target.life)
    }

    fn take(&self, target: &Target) -> Option<Pooled> {
        let mut pools = self.pools.borrow_mut();
        loop {
            let pool = pools.get_mut(&target.id)?;
            // The last one used first, once it has rested: the others stay idle and go. A dead one is dropped here,
            // unreported.
            let rested =
                pool.iter().rposition(|p| p.life == target.life && p.since.elapsed() >= REUSE_AFTER)?;
            let mut pooled = pool.remove(rested);
            if pool.is_empty() {
                pools.remove(&target.id);
            }
            if pooled.since.elapsed() < self.keep.get() && pooled.link.ready() {
                return Some(pooled);
            }
        }
    }

    /// How long until one of the idle connections has rested, if none has yet: that costs the worker less than a new
    /// one would.
    fn rests(&self, target: &Target) -> Option<Duration> {
        let pools = self.pools.borrow();
        let pool = pools.get(&target.id)?.iter().filter(|p| p.life == target.life);
        let longest = pool.map(|p| p.since.elapsed()).max()?;
        REUSE_AFTER.checked_sub(longest)
    }

    fn put(&self, target: &Target, mut pooled: Pooled) {
        let hosts = self.hosts.borrow();
        let serves = hosts.get(&target.id).is_some_and(|h| h.serving && h.life == pooled.life);
        if serves && pooled.link.ready() {
            pooled.since = Instant::now();
            self.pools.borrow_mut().entry(target.id.clone()).or_default().push(pooled);
        }
    }

    /// The budget is dealt out among so many processes.
    pub fn share(&self, of: usize) {
        self.share.set((self.budget / of).max(1));
        while self.open.get() > self.share.get() && self.close_longest_idle().is_some() {}
    }

    fn close_longest_idle(&self) -> Option<()> {
        let mut pools = self.pools.borrow_mut();
        let longest = pools.iter().min_by_key(|(_, pool)| pool[0].since)?.0.clone();
        let pool = pools.get_mut(&longest)?;
        pool.remove(0);
        if pool.is_empty() {
            pools.remove(&longest);
        }
        Some(())
    }

    /// A place for one more connection; at the edge the connection that has stood idle longest makes room.
    fn slot(&self) -> Option<Slot> {
        if self.open.get() >= self.share.get() {
            self.close_longest_idle()?;
        }
        self.open.set(self.open.get() + 1);
        Some(Slot(self.open.clone()))
    }

    async fn fresh(&self, target: &Target) -> Result<Pooled, Status> {
        // No descriptor left says nothing of the worker: the attempt was never sent.
        let slot = self.slot().ok_or(Status::Moot)?;
        let link = Link::open(target.addr, self.connect).await.map_err(|_| Status::ConnectFailed)?;
        Ok(Pooled { link, life: target.life, since: Instant::now(), _slot: slot })
    }

    /// One exchange. Nothing is sent a second time: only a kept connection on which not one byte was written
    /// is replaced by another.
    async fn exchange(
        &self,
        target: &Target,
        trace: &Trace,
        build: impl Fn() -> Result<Request<Outgoing>, Status>,
        ended: Option<&Rc<Cell<bool>>>,
        begin: &Begin<'_>,
        tally: Option<&Rc<Cell<u64>>>,
    ) -> Result<(StatusCode, HeaderMap, Bytes), Status> {
        if let Some(rest) = self.rests(target) {
            sleep(rest).await;
        }
        loop {
            let (mut pooled, kept) = match self.take(target) {
                Some(pooled) => (pooled, true),
                None => (self.fresh(target).await?, false),
            };
            *trace.borrow_mut() = Some(pooled.link.progress());
            pooled.link.progress().tell(tally);
            let idle = pooled.since.elapsed();
            // A connection may take long to come up. From here on to the first byte nothing is waited for.
            if !self.stands(target) {
                return Err(Status::Moot);
            }
            let request = build()?;
            match pooled.link.exchange(request, ended.cloned(), BOUNDS, begin).await {
                Ok((parts, bytes)) => {
                    if kept && idle >= self.keep.get() / 2 {
                        self.keep.set((self.keep.get() * 5 / 4).min(self.keep_most));
                    }
                    self.put(target, pooled);
                    return Ok((parts.status, parts.headers, bytes));
                }
                Err(Failure::Unsent) if kept => {}
                Err(Failure::Unsent | Failure::Partial) => return Err(Status::ConnectFailed),
                Err(Failure::Reset) => {
                    if kept && !pooled.link.progress().answered() {
                        self.keep.set((idle / 2).max(KEEP_LEAST).min(self.keep.get()));
                    }
                    return Err(Status::Reset);
                }
            }
        }
    }

    /// Sends `what` to the worker once, if it `may_begin` when the connection is there; `wait` tells the worker how
    /// long the gateway will wait. A large answer goes to what `begin` returns for its length.
    pub async fn attempt(
        &self,
        target: &Target,
        what: &Forward,
        wait: f64,
        trace: &Trace,
        may_begin: impl Fn() -> bool,
        begin: impl Fn(Option<u64>) -> Option<mpsc::Sender<Piece>>,
    ) -> Ending {
        if !what.body.unsent() {
            return Ending::of(Status::Moot);
        }
        let build = || {
            if !may_begin() {
                return Err(Status::Moot);
            }
            // A body that went by the connection before can't go by another one.
            let mut request = Request::new(what.body.take().ok_or(Status::ConnectFailed)?);
            *request.method_mut() = what.method.clone();
            *request.uri_mut() = what.uri.clone();
            let headers = request.headers_mut();
            headers.insert(header::HOST, header::HeaderValue::from_static("backend.local"));
            headers.insert("x-txn", what.txn.clone());
            if let Ok(wait) = header::HeaderValue::try_from(format!("{wait:.3}")) {
                headers.insert("x-remaining", wait);
            }
            if let Some(key) = &what.idempotency_key {
                headers.insert("idempotency-key", key.clone());
            }
            if let Some(kind) = &what.content_type {
                headers.insert(header::CONTENT_TYPE, kind.clone());
            }
            Ok(request)
        };
        let ended = match &what.body {
            Content::Whole(_) => None,
            Content::Stream { ended, .. } => Some(ended),
        };
        // Only what is served has a body that matters.
        let begin = |parts: &Parts, length: Option<u64>| {
            let wanted = parts.status == StatusCode::OK && length.is_none_or(|l| l <= MAX_BODY as u64);
            if wanted { begin(length) } else { None }
        };
        let tally = Some(&self.dispatches);
        let (status, headers, body) = match self.exchange(target, trace, build, ended, &begin, tally).await {
            Ok(answer) => answer,
            Err(status) => return Ending::of(status),
        };
        let turned_away = headers.get("x-turned-away").is_some_and(|v| v == "1");
        let status = match status.as_u16() {
            200 => Status::Ok,
            503 | 504 if turned_away => Status::Full,
            _ => Status::Error,
        };
        let load = headers.get("x-pressure").and_then(|v| v.to_str().ok()).map(report).unwrap_or_default();
        Ending { status, body, load }
    }

    /// Asks the worker how it is.
    pub async fn probe(&self, target: &Target) -> Ending {
        let build = || {
            let mut request = Request::new(Outgoing::Whole(None));
            *request.uri_mut() = Uri::from_static("/metrics/load");
            request.headers_mut().insert(header::HOST, header::HeaderValue::from_static("backend.local"));
            Ok(request)
        };
        match self.exchange(target, &Trace::default(), build, None, &|_, _| None, None).await {
            Ok((StatusCode::OK, _, body)) => {
                let load = std::str::from_utf8(&body).map(report).unwrap_or_default();
                Ending { status: Status::Ok, body, load }
            }
            Ok(_) => Ending::of(Status::Error),
            Err(status) => Ending::of(status),
        }
    }
}

/// The highest figure that a load report may give: no worker holds so many, and no share is so large.
const MAX_LOAD: f64 = 1e6;

/// A load report, such as `TEXT inflight=7, util=0.61`; what can't be read is left out.
fn report(text: &str) -> Load {
    let mut load = Load::default();
    for (name, value) in text.split([',', ' ']).filter_map(|part| part.trim().split_once('=')) {
        let value = value.parse().ok().filter(|v: &f64| (0.0..=MAX_LOAD).contains(v));
        match name {
            "inflight" | "busy_reqs" => load.inflight = value,
            "util" | "cpu_share" => load.util = value,
            _ => {}
        }
    }
    load
}

#[cfg(test)]
#[path = "../../tests/unit/workers.rs"]
mod tests;
