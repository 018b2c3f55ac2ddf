//! What the connections of one client of the counter share.

use crate::node::connection::counter::error::CounterError;
use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tracing::warn;

/// Longest time for a connection to be made, in call timeouts.
const CONNECT_TIMEOUT_CALLS: u32 = 5;
/// Time without a reply after which a connection is replaced, in call timeouts. The counter rejects calls long before
/// its queue takes so long, so a connection that is silent for longer is dead.
const REPLY_TIMEOUT_CALLS: u32 = 4;
/// Least time between two warnings about failed connections of one client.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// See the [module](self).
pub struct ClientContext {
    /// Where the counter listens.
    pub address: SocketAddr,
    /// Time after which the policy no longer awaits a call.
    pub call_timeout: Duration,
    is_retired: Cell<bool>,
    last_warning_at: Cell<Option<Instant>>,
}

impl ClientContext {
    /// The context of a client that is not retired.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Rc<Self> {
        let is_retired = Cell::new(false);
        Rc::new(Self { address, call_timeout, is_retired, last_warning_at: Cell::new(None) })
    }

    /// Whether the client makes no connection again. Each connection ends when no call is awaited on it.
    pub fn is_retired(&self) -> bool {
        self.is_retired.get()
    }

    /// Retires the client.
    pub fn retire(&self) {
        self.is_retired.set(true);
    }

    /// Longest time for a connection to be made.
    pub fn connect_timeout(&self) -> Duration {
        self.call_timeout * CONNECT_TIMEOUT_CALLS
    }

    /// Time without a reply after which a connection is replaced.
    pub fn reply_timeout(&self) -> Duration {
        self.call_timeout * REPLY_TIMEOUT_CALLS
    }

    /// Logs the failure of a connection, at most once in [`WARNING_INTERVAL`].
    pub fn warn(&self, error: &CounterError) {
        if self.last_warning_at.get().is_none_or(|at| at.elapsed() > WARNING_INTERVAL) {
            self.last_warning_at.set(Some(Instant::now()));
            warn!(address = %self.address, reason = %error, "counter connection failed");
        }
    }
}
