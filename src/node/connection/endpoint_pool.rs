//! Pool of connections to the endpoints, reused between attempts and limited to a budget.

use crate::node::{
    connection::{body_memory::BodyMemory, http_connection::HttpConnection, idle_limit::IdleLimit},
    metrics::Metrics,
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

/// Shortest time between a response and the next request on the same connection. An endpoint may send a response
/// twice, some milliseconds apart; a copy that arrives after the next request was sent would be taken for its
/// response.
const REUSE_DELAY: Duration = Duration::from_millis(10);
/// Time before the endpoints' own idle timeout at which the gateway closes an idle connection. A request that is sent
/// while the endpoint closes the connection is lost.
const IDLE_LIMIT_MARGIN: Duration = Duration::from_secs(2);

/// One connection's share of the budget, returned when the connection is dropped.
struct ConnectionSlot(Rc<Cell<usize>>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Connection that may carry a request.
pub(super) struct PooledConnection {
    pub(super) http: HttpConnection,
    /// Incarnation of the endpoint that the connection was opened to.
    incarnation: u64,
    /// Time at which the last response ended, or the connection was opened if it has carried no request.
    pub(super) idle_since: Instant,
    /// True if the connection has carried a request before.
    pub(super) is_reused: bool,
    _slot: ConnectionSlot,
}

/// Endpoint according to the endpoint list.
struct KnownEndpoint {
    address: SocketAddr,
    started: f64,
    /// Unique number, renewed when the endpoint restarts, changes its address, or enters or leaves maintenance.
    incarnation: u64,
    /// True if new requests may be sent to the endpoint.
    is_running: bool,
}

/// Idle connections to one endpoint, the longest idle first; never empty.
type IdleConnections = Vec<PooledConnection>;

/// Pool of connections to the endpoints of the endpoint list.
pub struct EndpointPool {
    endpoints: RefCell<FnvHashMap<EndpointId, KnownEndpoint>>,
    /// Idle connections by endpoint. Endpoints without any have no entry, because most of a long list have none.
    idle: RefCell<FnvHashMap<EndpointId, IdleConnections>>,
    last_incarnation: Cell<u64>,
    open_connections: Rc<Cell<usize>>,
    /// Most connections of all processes of this gateway together, idle or in use.
    max_connections: usize,
    /// Most connections of this process, a share of `max_connections`.
    process_max_connections: Cell<usize>,
    pub(super) idle_limit: IdleLimit,
    connect_timeout: Duration,
    /// Number of attempts whose request was written completely.
    pub(super) dispatches: Rc<Cell<u64>>,
    /// Budget for the bodies of responses.
    pub(super) body_memory: Rc<BodyMemory>,
}

/// Endpoint, in a certain incarnation, that an attempt is sent to.
#[derive(Clone)]
pub struct Target {
    id: EndpointId,
    address: SocketAddr,
    incarnation: u64,
}

impl EndpointPool {
    /// Returns an empty pool that opens at most `max_connections`. Endpoints close connections that have been idle
    /// for `endpoint_idle_timeout`, so the pool closes them earlier.
    pub fn new(
        max_connections: usize,
        endpoint_idle_timeout: Duration,
        connect_timeout: Duration,
        metrics: &Metrics,
        body_memory: Rc<BodyMemory>,
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
            dispatches: metrics.dispatches.clone(),
            body_memory,
        }
    }

    /// Applies a full endpoint list, or the changed entries of one. Removes endpoints that are gone or that a full
    /// list doesn't contain. Closes the idle connections of endpoints that are removed, restarted, moved or not
    /// running.
    pub fn update(&self, is_full: bool, list: &[ListedEndpoint]) {
        let mut endpoints = self.endpoints.borrow_mut();
        let mut idle = self.idle.borrow_mut();
        let mut previous = if is_full { std::mem::take(&mut *endpoints) } else { FnvHashMap::default() };
        endpoints.reserve(list.len());
        for entry in list {
            let id = &entry.endpoint.id;
            let known_entry = endpoints.remove_entry(id).or_else(|| previous.remove_entry(id));
            // The known id is kept, so that each id is in memory only once.
            let (id, known_endpoint) = match known_entry {
                Some((id, endpoint)) => (id, Some(endpoint)),
                None => (id.clone(), None),
            };
            let Some(endpoint) = self.apply_entry(entry, known_endpoint.as_ref()) else {
                idle.remove(&id);
                continue;
            };
            let is_same_incarnation = known_endpoint
                .is_some_and(|known_endpoint| known_endpoint.incarnation == endpoint.incarnation);
            if !is_same_incarnation || !endpoint.is_running {
                idle.remove(&id);
            }
            endpoints.insert(id, endpoint);
        }
        for id in previous.keys() {
            idle.remove(id);
        }
    }

    /// Returns the endpoint according to its entry, or `None` if it is gone or has no address.
    fn apply_entry(
        &self,
        entry: &ListedEndpoint,
        known_endpoint: Option<&KnownEndpoint>,
    ) -> Option<KnownEndpoint> {
        let address = entry.address.or(known_endpoint.map(|known_endpoint| known_endpoint.address))?;
        if entry.endpoint.lifecycle == Lifecycle::Gone {
            return None;
        }
        let started = entry.endpoint.started;
        let unchanged = known_endpoint
            .filter(|known_endpoint| known_endpoint.address == address && known_endpoint.started == started);
        Some(KnownEndpoint {
            address,
            started,
            incarnation: unchanged
                .map_or_else(|| self.new_incarnation(), |known_endpoint| known_endpoint.incarnation),
            is_running: entry.endpoint.lifecycle == Lifecycle::Running,
        })
    }

    fn new_incarnation(&self) -> u64 {
        self.last_incarnation.set(self.last_incarnation.get() + 1);
        self.last_incarnation.get()
    }

    /// Closes an endpoint's idle connections and keeps those in use from being reused. Called when operators put it
    /// into maintenance or take it out, as they may restart it meanwhile.
    pub fn retire_connections(&self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(id) {
            endpoint.incarnation = self.new_incarnation();
            self.idle.borrow_mut().remove(id);
        }
    }

    /// Returns the target for an attempt on an endpoint, or `None` if the endpoint list doesn't contain it.
    pub fn target(&self, id: &EndpointId) -> Option<Target> {
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.get(id)?;
        Some(Target { id: id.clone(), address: endpoint.address, incarnation: endpoint.incarnation })
    }

    /// Closes idle connections that have failed or been idle for too long.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain_mut(|connection| self.is_usable(connection));
            !connections.is_empty()
        });
    }

    fn is_usable(&self, connection: &mut PooledConnection) -> bool {
        self.idle_limit.allows(connection.idle_since.elapsed()) && connection.http.is_ready()
    }

    /// Returns whether a request may still be sent to the target: its endpoint is running in the same incarnation.
    pub(super) fn is_current(&self, target: &Target) -> bool {
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.get(&target.id);
        endpoint.is_some_and(|endpoint| endpoint.is_running && endpoint.incarnation == target.incarnation)
    }

    /// Takes the most recently used idle connection to the target, so that surplus connections stay idle until they
    /// are closed. Closes unusable connections that it finds on the way. Returns `None` if no connection may be
    /// reused.
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

    /// Returns the time until an idle connection to the target may be reused. Returns `None` if one may be reused
    /// already or there is none. Waiting costs the endpoint less than a new connection.
    pub(super) fn time_until_reuse(&self, target: &Target) -> Option<Duration> {
        let idle = self.idle.borrow();
        let connections = idle.get(&target.id)?.iter();
        let same_incarnation = connections.filter(|connection| connection.incarnation == target.incarnation);
        let longest_idle = same_incarnation.map(|connection| connection.idle_since.elapsed()).max()?;
        REUSE_DELAY.checked_sub(longest_idle)
    }

    /// Keeps a connection for reuse after a response. Closes it if its endpoint is no longer running in the same
    /// incarnation, or if it can't carry another request.
    pub(super) fn check_in(&self, target: &Target, mut connection: PooledConnection) {
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.get(&target.id);
        let is_current = endpoint
            .is_some_and(|endpoint| endpoint.is_running && endpoint.incarnation == connection.incarnation);
        if is_current && connection.http.is_ready() {
            connection.idle_since = Instant::now();
            connection.is_reused = true;
            self.idle.borrow_mut().entry(target.id.clone()).or_default().push(connection);
        }
    }

    /// Divides the budget evenly among this gateway's processes. Closes idle connections beyond this process's share.
    pub fn set_process_count(&self, process_count: usize) {
        let max_connections = (self.max_connections / process_count).max(1);
        self.process_max_connections.set(max_connections);
        while self.open_connections.get() > max_connections && self.close_longest_idle() {}
    }

    /// Closes the longest idle connection of all endpoints. Returns false if no connection is idle.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let longest_idle = idle.iter().min_by_key(|(_, connections)| connections[0].idle_since);
        let Some(id) = longest_idle.map(|(id, _)| id.clone()) else { return false };
        let Some(connections) = idle.get_mut(&id) else { return false };
        connections.remove(0);
        if connections.is_empty() {
            idle.remove(&id);
        }
        true
    }

    /// Reserves a slot for one more connection. Closes the longest idle connection if the budget is used up. Returns
    /// `None` if it is used up and no connection is idle.
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
    /// Returns [`Status::NotSent`] if the budget is used up, which says nothing about the endpoint, or
    /// [`Status::ConnectFailed`] if the connection could not be opened.
    pub(super) async fn connect(&self, target: &Target) -> Result<PooledConnection, Status> {
        let slot = self.reserve_slot().ok_or(Status::NotSent)?;
        let http = HttpConnection::connect(
            target.address,
            self.connect_timeout,
            self.body_memory.response_frame_bytes(),
        )
        .await;
        Ok(PooledConnection {
            http: http.map_err(|_| Status::ConnectFailed)?,
            incarnation: target.incarnation,
            idle_since: Instant::now(),
            is_reused: false,
            _slot: slot,
        })
    }
}
