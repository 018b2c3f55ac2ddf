//! The HTTP endpoint: takes connections and sees that no client holds more than its part.

mod answering;
mod context;
mod conversation;
mod exchange;
mod handler;
mod memory;
mod reading;
mod state;

pub use context::Context;
pub use handler::{FinalAnswer, RequestHandler};

use crate::node::wire::client_response::{self, ClientResponse};
use conversation::linger;
use fnv::FnvHashMap;
use state::{Closing, ConnectionState, Stage};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::Notify,
};
use tracing::warn;

/// Longest time that a client may take to read an answer.
const UNREAD: Duration = Duration::from_secs(2);
/// Longest time for a client to take something more of an answer that comes in pieces. The system takes bytes from
/// us again only when a good part of what it holds has gone, and a slow client reads 64 kB a second ...
const UNREAD_PIECE: Duration = Duration::from_secs(10);
/// A connection that is closed with unread data behind it has so long to end by itself: a close at once would reset it
/// and might take the answer along.
const LINGER: Duration = Duration::from_millis(500);
/// Longest time for a connection to stand idle.
const IDLE: Duration = Duration::from_secs(60);
/// At the edge of the budget one that has been idle for so long makes room, the longest idle first: it may
/// never ask again, and one that waits to be accepted has its request on the way ...
const IDLE_SPARED: Duration = Duration::from_millis(200);
/// ... and before it one that has brought no whole request for so long: a client that means to ask does so at
/// once.
const SILENCE_SPARED: Duration = Duration::from_millis(150);
/// Between looks for connections whose time is up.
const WATCH: Duration = Duration::from_millis(100);
/// Pause at the edge of the budget, and after the system had no descriptor left.
const PAUSE: Duration = Duration::from_millis(20);

/// See the [module](self).
pub struct Clients {
    context: Context,
    connections: RefCell<FnvHashMap<u64, Rc<ConnectionState>>>,
    last_number: Cell<u64>,
    budget: usize,
    /// A connection has ended.
    freed: Notify,
    /// New connections are being taken.
    accepting: Cell<bool>,
    /// Accepted, while there is no room for it.
    held: RefCell<Option<TcpStream>>,
    /// A failure to accept was logged.
    complained: Cell<bool>,
}

impl Clients {
    /// `budget` connections at most.
    pub fn new(context: Context, budget: usize) -> Rc<Self> {
        Rc::new(Self {
            context,
            connections: RefCell::default(),
            last_number: Cell::new(0),
            budget,
            freed: Notify::new(),
            accepting: Cell::new(false),
            held: RefCell::default(),
            complained: Cell::new(false),
        })
    }

    /// From now on every answer closes its connection and `/up` says no.
    pub fn stop(self: &Rc<Self>) {
        self.context.is_stopping.set(true);
        self.serve_held();
    }

    /// Closes each connection now if it is idle, else after the answer in hand, or that to a body under way.
    pub fn close(&self) {
        let connections = self.connections.borrow();
        connections.values().filter(|p| p.stage.get() != Stage::Body).for_each(|p| p.request_close());
    }

    /// Clients are being taken, and will be until further notice.
    pub fn is_accepting(&self) -> bool {
        self.accepting.get() && !self.context.is_stopping.get()
    }

    /// How many connections are open.
    pub fn connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Waits until a connection ends.
    pub async fn one_ended(&self) {
        self.freed.notified().await;
    }

    /// Accepts for good.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        self.accepting.set(true);
        loop {
            if self.is_full() && self.context.processes.is_followed() {
                // The process that has followed this one takes them.
                let _ = tokio::time::timeout(PAUSE, self.one_ended()).await;
                continue;
            }
            match listener.accept().await {
                Ok((socket, _)) => {
                    self.complained.set(false);
                    self.held.replace(Some(socket));
                    // At the edge the one that is needed least makes room for it; if there is none, it waits until
                    // one ends or there is.
                    while self.is_full() {
                        self.make_room();
                        let _ = tokio::time::timeout(PAUSE, self.one_ended()).await;
                    }
                    self.serve_held();
                }
                Err(e) => {
                    // No descriptor, or the client went at once: never a reason to spin or to stop.
                    if !self.complained.replace(true) {
                        warn!(reason = %e, "accepting a connection failed");
                    }
                    self.make_room();
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    fn is_full(&self) -> bool {
        self.connections() >= self.budget / self.context.processes.count() as usize
    }

    /// Serves the connection that waits for permit: it is accepted, so its request is taken.
    fn serve_held(self: &Rc<Self>) {
        self.held.take().into_iter().for_each(|socket| self.serve(socket));
    }

    fn make_room(&self) {
        let connections = self.connections.borrow();
        if connections.values().any(|p| p.makes_room.get()) {
            return; // It is on its way out.
        }
        // A slow client that still brings something is not among the silent ones.
        let since = |p: &Rc<ConnectionState>| {
            if p.stage.get() == Stage::Reading { p.heard.get() } else { p.since.get() }
        };
        let longest = |stage: Stage, spared: Duration| {
            let old = |p: &&Rc<ConnectionState>| p.stage.get() == stage && since(p).elapsed() > spared;
            connections.values().filter(old).min_by_key(|p| since(p))
        };
        if let Some(state) = longest(Stage::Leaving, SILENCE_SPARED) {
            return state.abort();
        }
        // The larger group gives way first: a crowd that asks nothing must not push out those that have asked, nor
        // those that have asked once and stay new ones. A silent one is due in a moment in any case.
        let count = |stage: Stage| connections.values().filter(|p| p.stage.get() == stage).count();
        let (idle, reading) = (count(Stage::Idle), count(Stage::Reading));
        let silent = longest(Stage::Reading, SILENCE_SPARED);
        let usual = longest(Stage::Idle, IDLE_SPARED).filter(|_| idle > reading || reading == 0);
        if let Some(state) = usual.or(silent) {
            state.makes_room.set(true);
            state.request_close();
        }
    }

    /// Ends connections whose time is up, for good. One look at all of them is cheaper than a timer for each.
    pub async fn watch(self: Rc<Self>) {
        loop {
            tokio::time::sleep(WATCH).await;
            for state in self.connections.borrow().values() {
                let age = state.since.get().elapsed();
                match state.stage.get() {
                    Stage::Reading | Stage::Body if state.is_overdue() => state.request_close(),
                    Stage::Idle if age > IDLE => state.request_close(),
                    Stage::Writing if age > UNREAD => state.abort(),
                    Stage::Passing if age > UNREAD_PIECE => state.abort(),
                    Stage::Leaving if age > LINGER => state.abort(),
                    _ => {}
                }
            }
        }
    }

    fn serve(self: &Rc<Self>, mut socket: TcpStream) {
        let number = self.last_number.get();
        self.last_number.set(number + 1);
        let state = Rc::new(ConnectionState::default());
        // Given back however the task ends, also before it has begun, so that the budget stays right.
        let guard = ConnectionGuard { clients: self.clone(), number };
        self.connections.borrow_mut().insert(number, state.clone());
        let task = tokio::task::spawn_local({
            let state = state.clone();
            async move {
                let clients = &guard.clients;
                // Without this an answer might wait for the acknowledgement of the one before.
                let _ = socket.set_nodelay(true);
                if let Closing::With(status) = clients.context.converse(&mut socket, &state).await {
                    state.enter(Stage::Writing);
                    // A client that can't be told sees the close.
                    let _ = socket
                        .write_all(&client_response::render(&ClientResponse::plain(status), false, 1))
                        .await;
                    linger(&mut socket, &state).await;
                }
            }
        });
        *state.task.borrow_mut() = Some(task.abort_handle());
    }
}

/// A connection's place in the budget.
struct ConnectionGuard {
    clients: Rc<Clients>,
    number: u64,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.clients.connections.borrow_mut().remove(&self.number);
        self.clients.freed.notify_one();
    }
}
