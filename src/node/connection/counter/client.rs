//! The client of the counter at one address: a few connections, of which each call takes one.

use crate::node::connection::{
    counter::{
        call::{Call, CallId},
        client_context::ClientContext,
        connection::CounterConnection,
        error::CounterError,
    },
    events::EventSender,
};
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

/// Connections of one client; the counter accepts 32 from a gateway.
pub const MAX_CONNECTIONS: usize = 4;
/// Connections that are made before any call, so that one is left when the other breaks.
const INITIAL_CONNECTIONS: usize = 2;
/// A connection without a reply for a call timeout divided by this is slow: it gets no further counter while another
/// one is not slow, as calls on it would be lost if it is dead.
const SLOW_REPLY_DIVISOR: u32 = 4;

/// The client of the counter at one address. When the configuration names another address, a new client takes over
/// and this one is retired: it finishes the calls that it has.
pub struct CounterClient {
    context: Rc<ClientContext>,
    connections: [Rc<CounterConnection>; MAX_CONNECTIONS],
    next_call_id: Cell<u64>,
}

impl CounterClient {
    /// A client without connections.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Rc<Self> {
        let context = ClientContext::new(address, call_timeout);
        let connections = std::array::from_fn(|_| CounterConnection::new(context.clone()));
        Rc::new(Self { context, connections, next_call_id: Cell::new(0) })
    }

    /// Where the counter listens.
    pub fn address(&self) -> SocketAddr {
        self.context.address
    }

    /// Makes the first connections.
    pub fn start(&self, events: &EventSender) {
        for connection in self.connections.iter().take(INITIAL_CONNECTIONS) {
            connection.start(events);
        }
    }

    /// Makes each connection end when no call is awaited on it.
    pub fn retire(&self) {
        self.context.retire();
        for connection in &self.connections {
            connection.wake();
        }
    }

    /// Ends all calls and connections.
    pub fn close(&self, events: &EventSender) {
        self.retire();
        for connection in &self.connections {
            connection.disconnect(&CounterError::Retired, events);
        }
    }

    /// Whether the policy awaits any call.
    pub fn has_awaited_calls(&self) -> bool {
        self.connections.iter().any(|connection| connection.has_awaited_calls())
    }

    /// Whether the policy awaits a call that adds to this counter.
    pub fn awaits_counter(&self, counter: u64) -> bool {
        self.connections.iter().any(|connection| connection.awaits_counter(counter))
    }

    /// Whether the policy awaits this call.
    pub fn awaits_call(&self, id: CallId) -> bool {
        self.connections.iter().any(|connection| connection.awaits_call(id))
    }

    /// Adds to a counter, which is kept for `ttl` seconds if it is new. The reply comes as an event. The caller must
    /// [expire](Self::expire) the call when its time runs out.
    pub fn call(&self, events: &EventSender, counter: u64, amount: f64, ttl: f64) -> CallId {
        let id = CallId(self.next_call_id.get());
        self.next_call_id.set(id.0 + 1);
        let call = Call::add(id, counter, amount, ttl);
        self.select_connection(counter).call(call, events);
        id
    }

    /// Ends a call whose time ran out, unless it has ended already. A reply that still comes is discarded.
    pub fn expire(&self, events: &EventSender, id: CallId) {
        for connection in &self.connections {
            if connection.expire(id, events) {
                return;
            }
        }
    }

    /// The connection for a call: the one on which others of the same counter are awaited, else the first one that is
    /// not slow, preferably one that is made, else the one with the fewest calls.
    fn select_connection(&self, counter: u64) -> &Rc<CounterConnection> {
        let slow_after = self.context.call_timeout / SLOW_REPLY_DIVISOR;
        let is_fast = |connection: &CounterConnection| !connection.is_overdue(slow_after);
        let find = |is_wanted: &dyn Fn(&CounterConnection) -> bool| {
            self.connections.iter().find(|connection| is_wanted(connection))
        };
        find(&|connection| connection.awaits_counter(counter))
            .or_else(|| find(&|connection| connection.is_connected() && is_fast(connection)))
            .or_else(|| find(&is_fast))
            .or_else(|| self.connections.iter().min_by_key(|connection| connection.call_count()))
            .unwrap_or(&self.connections[0])
    }
}
