//! Accepts clients' connections within a budget and serves each in its own task.

use crate::node::connection::clients::{
    connection::ClientConnection,
    context::ConnectionContext,
    eviction,
    state::{ConnectionState, ConnectionTable},
    timeouts,
};
use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::{sleep, timeout},
};
use tracing::warn;

/// Longest wait between two checks for capacity, and pause after a failure to accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Listener for clients. Accepts connections within a budget and keeps a table of the open ones.
pub struct ClientListener {
    context: ConnectionContext,
    connections: RefCell<ConnectionTable>,
    next_connection_id: Cell<u64>,
    /// Highest number of connections of all processes of the gateway together.
    max_connections: usize,
    /// Notified whenever a connection ends.
    connection_ended: Notify,
    is_accepting: Cell<bool>,
    /// True once idle connections are to be closed.
    closes_idle: Cell<bool>,
    /// Socket that was accepted and waits for capacity to be served.
    pending_socket: RefCell<Option<TcpStream>>,
    /// True if a failure to accept was logged since the last accepted connection. Repeated failures are not logged.
    is_accept_failure_logged: Cell<bool>,
}

impl ClientListener {
    /// Creates a listener for at most `max_connections` in all processes of the gateway together.
    pub fn new(context: ConnectionContext, max_connections: usize) -> Rc<Self> {
        Rc::new(Self {
            context,
            connections: RefCell::default(),
            next_connection_id: Cell::new(0),
            max_connections,
            connection_ended: Notify::new(),
            is_accepting: Cell::new(false),
            closes_idle: Cell::new(false),
            pending_socket: RefCell::default(),
            is_accept_failure_logged: Cell::new(false),
        })
    }

    /// Begins the shutdown, after which each response closes its connection and the health check fails. Also serves the
    /// connection that was accepted and waits for capacity, if there is one.
    pub fn begin_shutdown(self: &Rc<Self>) {
        self.context.is_stopping.set(true);
        self.serve_pending_socket();
    }

    /// Asks each connection to close: at once if no byte of a request has arrived, otherwise after the response. From now on
    /// connections that become idle are closed.
    pub fn close_connections(&self) {
        self.closes_idle.set(true);
        for connection in self.connections.borrow().values() {
            connection.request_close();
        }
    }

    /// Rejects all further requests, as the process may be killed at any moment.
    pub fn reject_requests(&self) {
        self.context.rejects_requests.set(true);
    }

    /// Returns whether clients are accepted and no shutdown has begun.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting.get() && !self.context.is_stopping.get()
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Waits until a connection ends.
    pub async fn connection_ended(&self) {
        self.connection_ended.notified().await;
    }

    /// Accepts connections until the future is dropped. A connection that waits for capacity then stays pending until
    /// [`ClientListener::begin_shutdown`] serves it.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        self.is_accepting.set(true);
        loop {
            if self.is_full() && self.context.replica_counts.has_successor() {
                // The successor process accepts the connections that this one leaves in the backlog.
                self.wait_for_capacity().await;
                continue;
            }
            match listener.accept().await {
                Ok((socket, _)) => self.serve_within_budget(socket).await,
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    /// Serves an accepted connection as soon as there is capacity, and evicts another connection if necessary.
    async fn serve_within_budget(self: &Rc<Self>, socket: TcpStream) {
        self.is_accept_failure_logged.set(false);
        self.pending_socket.replace(Some(socket));
        while self.is_full() {
            self.evict_one();
            self.wait_for_capacity().await;
        }
        self.serve_pending_socket();
    }

    /// Logs a failure to accept, such as a lack of file descriptors, evicts a connection and pauses, so that the accept
    /// loop neither spins nor ends.
    async fn back_off(&self, error: &io::Error) {
        if !self.is_accept_failure_logged.replace(true) {
            warn!(reason = %error, "accepting a connection failed");
        }
        self.evict_one();
        sleep(ACCEPT_BACKOFF).await;
    }

    async fn wait_for_capacity(&self) {
        // The caller checks for capacity again in either case.
        let _ = timeout(ACCEPT_BACKOFF, self.connection_ended()).await;
    }

    fn is_full(&self) -> bool {
        self.connection_count() >= self.max_connections / self.context.replica_counts.count() as usize
    }

    fn evict_one(&self) {
        eviction::evict_one(&self.connections.borrow());
    }

    fn serve_pending_socket(self: &Rc<Self>) {
        let socket = self.pending_socket.take();
        if let Some(socket) = socket {
            self.serve(socket);
        }
    }

    /// Checks all connections periodically and ends those that have exceeded a time limit, until the future is dropped.
    pub async fn enforce_time_limits(self: Rc<Self>) {
        loop {
            sleep(timeouts::CHECK_INTERVAL).await;
            self.context.hold_ups.tick(Instant::now());
            timeouts::enforce(&self.connections.borrow(), &self.context.metrics.cuts);
            if self.closes_idle.get() {
                timeouts::close_idle(&self.connections.borrow());
            }
        }
    }

    fn serve(self: &Rc<Self>, socket: TcpStream) {
        let state = Rc::new(ConnectionState::for_client(socket.peer_addr().ok()));
        let registration = self.register(state.clone());
        let task = tokio::task::spawn_local({
            let state = state.clone();
            async move {
                // With Nagle's algorithm a response might wait for the acknowledgement of the one before.
                let _ = socket.set_nodelay(true);
                ClientConnection::new(&registration.listener.context, socket, &state).run().await;
            }
        });
        *state.task.borrow_mut() = Some(task.abort_handle());
    }

    fn register(self: &Rc<Self>, state: Rc<ConnectionState>) -> Registration {
        let id = self.next_connection_id.get();
        self.next_connection_id.set(id + 1);
        self.connections.borrow_mut().insert(id, state);
        Registration { listener: self.clone(), id }
    }
}

/// Registration of a connection in the table, which counts towards the budget. Dropping it frees the capacity, even if
/// the connection's task never ran.
struct Registration {
    listener: Rc<ClientListener>,
    id: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.listener.connections.borrow_mut().remove(&self.id);
        self.listener.connection_ended.notify_one();
    }
}
