//! Connections to the endpoints, kept and reused within a budget.

use crate::node::{connection::http_client::HttpClient, wire::endpoint_list::Listed};
use fnv::FnvHashMap;
use oliverack::{EndpointId, Lifecycle, Status};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// A connection's place in the budget, given back when the connection goes.
struct ConnectionSlot(Rc<Cell<usize>>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Shortest time that an idle connection is kept for: the next request of a rush comes sooner, and a new
/// connection costs the endpoint work.
pub(super) const KEEP_LEAST: Duration = Duration::from_millis(50);

/// A connection rests for so long between an answer and the next request: an endpoint may say the same answer again some
/// milliseconds later, and what comes while a request is out is read as that one's answer.
const REUSE_AFTER: Duration = Duration::from_millis(10);

/// A connection that may carry a request.
pub(super) struct Pooled {
    pub(super) link: HttpClient,
    /// The endpoint's life that it was opened in.
    life: u64,
    /// Since when it has been idle.
    pub(super) since: Instant,
    _slot: ConnectionSlot,
}

/// An endpoint as the list last told it.
struct KnownEndpoint {
    addr: SocketAddr,
    started: f64,
    /// Its own number: another endpoint at the same address, or the same one started anew, has another.
    life: u64,
    /// It may be sent to.
    serving: bool,
}

/// The idle connections to one endpoint, the one that has stood idle longest first; never none.
type Pool = Vec<Pooled>;

/// See the [module](self).
pub struct EndpointPool {
    endpoints: RefCell<FnvHashMap<EndpointId, KnownEndpoint>>,
    /// Only of endpoints to which there are idle connections: few of a long list.
    pools: RefCell<FnvHashMap<EndpointId, Pool>>,
    lives: Cell<u64>,
    open: Rc<Cell<usize>>,
    budget: usize,
    /// What this process may have of it.
    share: Cell<usize>,
    /// An idle connection is kept for so long: at most, and as resets and answers on kept ones have shown. What
    /// stands between may forget a connection far sooner than the endpoint closes it, and says so only to a
    /// request, which may then have run.
    pub(super) keep_most: Duration,
    pub(super) keep: Cell<Duration>,
    connect: Duration,
    /// Attempts written whole.
    pub(super) dispatches: Rc<Cell<u64>>,
}

/// Where an attempt goes.
#[derive(Clone)]
pub struct Target {
    id: EndpointId,
    addr: SocketAddr,
    life: u64,
}

impl EndpointPool {
    /// `budget` connections at most, none kept idle for `idle_limit`, none waited for past `connect`.
    pub fn new(budget: usize, idle_limit: Duration, connect: Duration, dispatches: Rc<Cell<u64>>) -> Self {
        // An endpoint closes at its limit, and a request that crosses that is lost: close well before.
        let keep_most = idle_limit.saturating_sub(Duration::from_secs(2)).max(idle_limit / 2);
        Self {
            endpoints: RefCell::default(),
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
    pub fn listed(&self, whole: bool, list: &[Listed]) {
        let (mut endpoints, mut pools) = (self.endpoints.borrow_mut(), self.pools.borrow_mut());
        let mut old = if whole { std::mem::take(&mut *endpoints) } else { FnvHashMap::default() };
        endpoints.reserve(list.len());
        for Listed { endpoint, addr } in list {
            let known = endpoints.remove_entry(&endpoint.id).or_else(|| old.remove_entry(&endpoint.id));
            // The name that is held already is kept, so that each is held once.
            let (id, known) =
                known.map_or_else(|| (endpoint.id.clone(), None), |(id, known)| (id, Some(known)));
            let addr = addr.or(known.as_ref().map(|h| h.addr));
            let (Some(addr), true) = (addr, endpoint.lifecycle != Lifecycle::Gone) else {
                pools.remove(&id);
                continue;
            };
            let same = known.filter(|h| h.addr == addr && h.started == endpoint.started);
            let renewed = same.is_none();
            let mut known = same.unwrap_or_else(|| {
                self.lives.set(self.lives.get() + 1);
                KnownEndpoint { addr, started: endpoint.started, life: self.lives.get(), serving: false }
            });
            known.serving = endpoint.lifecycle == Lifecycle::Running;
            if renewed || !known.serving {
                pools.remove(&id);
            }
            endpoints.insert(id, known);
        }
        old.keys().for_each(|id| drop(pools.remove(id)));
    }

    /// Operators have left the endpoint out and restart it: its connections are of no further use.
    pub fn in_maintenance(&self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(id) {
            self.lives.set(self.lives.get() + 1);
            endpoint.life = self.lives.get();
            self.pools.borrow_mut().remove(id);
        }
    }

    /// Where to reach an endpoint; `None` if the list does not name it.
    pub fn target(&self, id: &EndpointId) -> Option<Target> {
        self.endpoints.borrow().get(id).map(|h| Target { id: id.clone(), addr: h.addr, life: h.life })
    }

    /// Closes idle connections that are dead or due.
    pub fn sweep(&self) {
        self.pools.borrow_mut().retain(|_, pool| {
            pool.retain_mut(|p| p.since.elapsed() < self.keep.get() && p.link.ready());
            !pool.is_empty()
        });
    }

    /// Whether something new may still go to the endpoint that was chosen: the list has told nothing else since, and
    /// it is the same one, in the same life.
    pub(super) fn stands(&self, target: &Target) -> bool {
        self.endpoints.borrow().get(&target.id).is_some_and(|h| h.serving && h.life == target.life)
    }

    pub(super) fn take(&self, target: &Target) -> Option<Pooled> {
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

    /// How long until one of the idle connections has rested, if none has yet: that costs the endpoint less than a new
    /// one would.
    pub(super) fn rests(&self, target: &Target) -> Option<Duration> {
        let pools = self.pools.borrow();
        let pool = pools.get(&target.id)?.iter().filter(|p| p.life == target.life);
        let longest = pool.map(|p| p.since.elapsed()).max()?;
        REUSE_AFTER.checked_sub(longest)
    }

    pub(super) fn put(&self, target: &Target, mut pooled: Pooled) {
        let endpoints = self.endpoints.borrow();
        let serves = endpoints.get(&target.id).is_some_and(|h| h.serving && h.life == pooled.life);
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
    fn slot(&self) -> Option<ConnectionSlot> {
        if self.open.get() >= self.share.get() {
            self.close_longest_idle()?;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionSlot(self.open.clone()))
    }

    pub(super) async fn fresh(&self, target: &Target) -> Result<Pooled, Status> {
        // No descriptor left says nothing of the endpoint: the attempt was never sent.
        let slot = self.slot().ok_or(Status::NotSent)?;
        let link = HttpClient::open(target.addr, self.connect).await.map_err(|_| Status::ConnectFailed)?;
        Ok(Pooled { link, life: target.life, since: Instant::now(), _slot: slot })
    }
}
