//! Connections to the endpoints, kept and reused within a budget.

use crate::node::{
    connection::{http_client::HttpClient, idle_limit::IdleLimit},
    wire::endpoint_list::ListedEndpoint,
};
use fnv::FnvHashMap;
use oliverack::{EndpointId, Lifecycle, Status};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Shortest time between a response and the next request on its connection. An endpoint may send a response twice, some
/// milliseconds apart; one that arrives after the next request was sent would be taken for that request's response.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// How far below the endpoints' own idle time-out the gateway closes: a request that crosses a close is lost.
const IDLE_LIMIT_MARGIN: Duration = Duration::from_secs(2);

/// A connection's place in the budget, given back when the connection closes.
struct ConnectionSlot(Rc<Cell<usize>>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection that may carry a request.
pub(super) struct PooledConnection {
    pub(super) client: HttpClient,
    /// The endpoint's incarnation that it was opened to.
    incarnation: u64,
    /// Since when it has been idle, or open if it has carried no request.
    pub(super) idle_since: Instant,
    /// It has carried a request before.
    pub(super) is_reused: bool,
    _slot: ConnectionSlot,
}

/// An endpoint according to the endpoint list.
struct KnownEndpoint {
    address: SocketAddr,
    started: f64,
    /// A number of its own for each start of an endpoint, and for another endpoint at the same address.
    incarnation: u64,
    /// New requests may be sent to it.
    is_running: bool,
}

/// The idle connections to one endpoint, the longest idle first; never empty.
type IdleConnections = Vec<PooledConnection>;

/// See the [module](self).
pub struct EndpointPool {
    endpoints: RefCell<FnvHashMap<EndpointId, KnownEndpoint>>,
    /// Has no entry for an endpoint without idle connections, which most of a long list are.
    idle: RefCell<FnvHashMap<EndpointId, IdleConnections>>,
    last_incarnation: Cell<u64>,
    open_connections: Rc<Cell<usize>>,
    /// Most connections of all processes of this gateway together.
    max_connections: usize,
    /// This process's part of them.
    process_max_connections: Cell<usize>,
    pub(super) idle_limit: IdleLimit,
    connect_timeout: Duration,
    /// Attempts that were written completely.
    pub(super) dispatches: Rc<Cell<u64>>,
}

/// An endpoint's incarnation that an attempt goes to.
#[derive(Clone)]
pub struct Target {
    id: EndpointId,
    address: SocketAddr,
    incarnation: u64,
}

impl EndpointPool {
    /// Holds at most `max_connections`. Endpoints close connections that are idle for `endpoint_idle_timeout`.
    pub fn new(
        max_connections: usize,
        endpoint_idle_timeout: Duration,
        connect_timeout: Duration,
        dispatches: Rc<Cell<u64>>,
    ) -> Self {
        let max_idle = endpoint_idle_timeout.saturating_sub(IDLE_LIMIT_MARGIN).max(endpoint_idle_timeout / 2);
        Self {
            endpoints: RefCell::default(),
            idle: RefCell::default(),
            last_incarnation: Cell::new(0),
            open_connections: Rc::default(),
            max_connections,
            process_max_connections: Cell::new(max_connections),
            idle_limit: IdleLimit::new(max_idle),
            connect_timeout,
            dispatches,
        }
    }

    /// Applies a full endpoint list, or the entries of one that have changed. Endpoints that a full list does not name,
    /// or that are gone, are forgotten and their idle connections closed.
    pub fn update(&self, is_full: bool, list: &[ListedEndpoint]) {
        let mut endpoints = self.endpoints.borrow_mut();
        let mut idle = self.idle.borrow_mut();
        let mut previous = if is_full { std::mem::take(&mut *endpoints) } else { FnvHashMap::default() };
        endpoints.reserve(list.len());
        for entry in list {
            let id = &entry.endpoint.id;
            let known = endpoints.remove_entry(id).or_else(|| previous.remove_entry(id));
            // A known id is kept, so that each is held in memory once.
            let (id, known) = match known {
                Some((id, known)) => (id, Some(known)),
                None => (id.clone(), None),
            };
            let Some(endpoint) = self.apply_entry(entry, known.as_ref()) else {
                idle.remove(&id);
                continue;
            };
            let is_same = known.is_some_and(|known| known.incarnation == endpoint.incarnation);
            if !is_same || !endpoint.is_running {
                idle.remove(&id);
            }
            endpoints.insert(id, endpoint);
        }
        for id in previous.keys() {
            idle.remove(id);
        }
    }

    /// The endpoint according to its entry; `None` if it is gone or has no address.
    fn apply_entry(&self, entry: &ListedEndpoint, known: Option<&KnownEndpoint>) -> Option<KnownEndpoint> {
        let address = entry.address.or(known.map(|known| known.address))?;
        if entry.endpoint.lifecycle == Lifecycle::Gone {
            return None;
        }
        let started = entry.endpoint.started;
        let same = known.filter(|known| known.address == address && known.started == started);
        Some(KnownEndpoint {
            address,
            started,
            incarnation: same.map_or_else(|| self.new_incarnation(), |known| known.incarnation),
            is_running: entry.endpoint.lifecycle == Lifecycle::Running,
        })
    }

    fn new_incarnation(&self) -> u64 {
        self.last_incarnation.set(self.last_incarnation.get() + 1);
        self.last_incarnation.get()
    }

    /// Operators have put an endpoint into maintenance or taken it out, and may restart it: its connections are of no
    /// further use.
    pub fn retire_connections(&self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(id) {
            endpoint.incarnation = self.new_incarnation();
            self.idle.borrow_mut().remove(id);
        }
    }

    /// The target for an attempt at an endpoint; `None` if the endpoint list does not name it.
    pub fn target(&self, id: &EndpointId) -> Option<Target> {
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.get(id)?;
        Some(Target { id: id.clone(), address: endpoint.address, incarnation: endpoint.incarnation })
    }

    /// Closes idle connections that are dead or have been idle for too long.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain_mut(|connection| self.is_usable(connection));
            !connections.is_empty()
        });
    }

    fn is_usable(&self, connection: &mut PooledConnection) -> bool {
        self.idle_limit.allows(connection.idle_since.elapsed()) && connection.client.is_ready()
    }

    /// Whether a request may still be sent to the target: the endpoint is running, in the same incarnation.
    pub(super) fn is_current(&self, target: &Target) -> bool {
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.get(&target.id);
        endpoint.is_some_and(|known| known.is_running && known.incarnation == target.incarnation)
    }

    /// Takes an idle connection to the target: the one that was used last, so that the others stay idle and are closed.
    /// Dead ones on the way are closed.
    pub(super) fn check_out(&self, target: &Target) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        loop {
            let connections = idle.get_mut(&target.id)?;
            let position = connections.iter().rposition(|connection| {
                connection.incarnation == target.incarnation && connection.idle_since.elapsed() >= REUSE_DELAY
            })?;
            let mut connection = connections.remove(position);
            if connections.is_empty() {
                idle.remove(&target.id);
            }
            if self.is_usable(&mut connection) {
                return Some(connection);
            }
        }
    }

    /// Time until an idle connection may be reused, if none may yet: the wait costs the endpoint less than a new
    /// connection.
    pub(super) fn time_to_reuse(&self, target: &Target) -> Option<Duration> {
        let idle = self.idle.borrow();
        let connections = idle.get(&target.id)?.iter();
        let current = connections.filter(|connection| connection.incarnation == target.incarnation);
        let longest_idle = current.map(|connection| connection.idle_since.elapsed()).max()?;
        REUSE_DELAY.checked_sub(longest_idle)
    }

    /// Keeps a connection after a response, if its endpoint may still get requests.
    pub(super) fn check_in(&self, target: &Target, mut connection: PooledConnection) {
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.get(&target.id);
        let is_current =
            endpoint.is_some_and(|known| known.is_running && known.incarnation == connection.incarnation);
        if is_current && connection.client.is_ready() {
            connection.idle_since = Instant::now();
            connection.is_reused = true;
            self.idle.borrow_mut().entry(target.id.clone()).or_default().push(connection);
        }
    }

    /// Shares the budget with the other processes of this gateway.
    pub fn set_process_count(&self, process_count: usize) {
        let max_connections = (self.max_connections / process_count).max(1);
        self.process_max_connections.set(max_connections);
        while self.open_connections.get() > max_connections && self.close_longest_idle() {}
    }

    /// Closes the longest idle connection of all; false if there is none.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let longest = idle.iter().min_by_key(|(_, connections)| connections[0].idle_since);
        let Some(id) = longest.map(|(id, _)| id.clone()) else { return false };
        let Some(connections) = idle.get_mut(&id) else { return false };
        connections.remove(0);
        if connections.is_empty() {
            idle.remove(&id);
        }
        true
    }

    /// A place for one more connection. If the budget is used up, the longest idle connection gives way.
    fn reserve_slot(&self) -> Option<ConnectionSlot> {
        let is_full = self.open_connections.get() >= self.process_max_connections.get();
        if is_full && !self.close_longest_idle() {
            return None;
        }
        self.open_connections.set(self.open_connections.get() + 1);
        Some(ConnectionSlot(self.open_connections.clone()))
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// The budget is used up, which says nothing about the endpoint, or the connection did not come up.
    pub(super) async fn connect(&self, target: &Target) -> Result<PooledConnection, Status> {
        let slot = self.reserve_slot().ok_or(Status::NotSent)?;
        let client = HttpClient::connect(target.address, self.connect_timeout).await;
        Ok(PooledConnection {
            client: client.map_err(|_| Status::ConnectFailed)?,
            incarnation: target.incarnation,
            idle_since: Instant::now(),
            is_reused: false,
            _slot: slot,
        })
    }
}
