//! State shared by the connections of one counter client.

use crate::node::connection::counter::error::CounterError;
use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tracing::warn;

/// Connect timeout as a multiple of the call timeout.
const CONNECT_TIMEOUT_FACTOR: u32 = 5;
/// Reply timeout, after which a connection is replaced, as a multiple of the call timeout. The counter rejects calls
/// long before its queue gets that long, so a connection that is silent for longer is dead.
const REPLY_TIMEOUT_FACTOR: u32 = 4;
/// Shortest time between two warnings about failed connections of one client.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// State shared by the connections of one counter client.
pub struct ClientContext {
    /// Address of the counter.
    pub address: SocketAddr,
    /// Time after which the policy no longer awaits a call's reply.
    pub call_timeout: Duration,
    is_retired: Cell<bool>,
    last_warning_at: Cell<Option<Instant>>,
}

impl ClientContext {
    /// Returns the context of a client that is not retired.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Rc<Self> {
        let is_retired = Cell::new(false);
        Rc::new(Self { address, call_timeout, is_retired, last_warning_at: Cell::new(None) })
    }

    /// Returns whether the client is retired. Then each connection ends once no call is awaited on it, and no
    /// connection is opened again.
    pub fn is_retired(&self) -> bool {
        self.is_retired.get()
    }

    /// Retires the client.
    pub fn retire(&self) {
        self.is_retired.set(true);
    }

    /// Returns the longest time for opening a connection.
    pub fn connect_timeout(&self) -> Duration {
        self.call_timeout * CONNECT_TIMEOUT_FACTOR
    }

    /// Returns the time without a reply after which a connection is replaced.
    pub fn reply_timeout(&self) -> Duration {
        self.call_timeout * REPLY_TIMEOUT_FACTOR
    }

    /// Logs the failure of a connection, at most once in [`WARNING_INTERVAL`].
    pub fn warn(&self, error: &CounterError) {
        if self.last_warning_at.get().is_none_or(|warned_at| warned_at.elapsed() > WARNING_INTERVAL) {
            self.last_warning_at.set(Some(Instant::now()));
            warn!(address = %self.address, reason = %error, "counter connection failed");
        }
    }
}
