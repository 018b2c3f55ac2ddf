//! Client of the counter at one address, which distributes calls over a few connections.

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

/// Number of connections of one client. The counter accepts 32 from a gateway.
pub const MAX_CONNECTIONS: usize = 4;
/// Number of connections opened before any call, so that one is left when the other fails.
const INITIAL_CONNECTIONS: usize = 2;
/// A connection is slow if its oldest call has had no reply for the call timeout divided by this. It may be dead, and
/// calls on it would be lost, so it gets no calls to further counters while another connection is not slow.
const SLOW_REPLY_DIVISOR: u32 = 4;

/// Client of the counter at one address. When the configuration changes the address, a new client replaces this one,
/// and this one is retired: it only finishes its pending calls.
pub struct CounterClient {
    context: Rc<ClientContext>,
    connections: [Rc<CounterConnection>; MAX_CONNECTIONS],
    next_call_id: Cell<u64>,
}

impl CounterClient {
    /// Returns a client without open connections. `call_timeout` is the time after which the policy no longer awaits
    /// a call's reply.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Rc<Self> {
        let context = ClientContext::new(address, call_timeout);
        let connections = std::array::from_fn(|_| CounterConnection::new(context.clone()));
        Rc::new(Self { context, connections, next_call_id: Cell::new(0) })
    }

    /// Returns the address of the counter.
    pub fn address(&self) -> SocketAddr {
        self.context.address
    }

    /// Opens the first connections.
    pub fn start(&self, events: &EventSender) {
        for connection in self.connections.iter().take(INITIAL_CONNECTIONS) {
            connection.start(events);
        }
    }

    /// Retires the client: each connection ends once no call is awaited on it, and is not opened again.
    pub fn retire(&self) {
        self.context.retire();
        for connection in &self.connections {
            connection.wake();
        }
    }

    /// Ends all calls and closes all connections.
    pub fn close(&self, events: &EventSender) {
        self.retire();
        for connection in &self.connections {
            connection.disconnect(&CounterError::Retired, events);
        }
    }

    /// Returns whether the policy awaits the reply to any call.
    pub fn has_awaited_calls(&self) -> bool {
        self.connections.iter().any(|connection| connection.has_awaited_calls())
    }

    /// Returns whether the policy awaits the reply to a call that adds to this counter.
    pub fn awaits_counter(&self, counter: u64) -> bool {
        self.connections.iter().any(|connection| connection.awaits_counter(counter))
    }

    /// Returns whether the policy awaits the reply to this call.
    pub fn awaits_call(&self, id: CallId) -> bool {
        self.connections.iter().any(|connection| connection.awaits_call(id))
    }

    /// Adds `amount` to a counter, which is kept for `ttl` seconds if it is new. Reports the result as an event. The
    /// caller must [expire](Self::expire) the call after the call timeout.
    pub fn add(&self, events: &EventSender, counter: u64, amount: f64, ttl: f64) -> CallId {
        let id = CallId(self.next_call_id.get());
        self.next_call_id.set(id.0 + 1);
        let call = Call::add(id, counter, amount, ttl);
        self.select_connection(counter).send(call, events);
        id
    }

    /// Ends a call that has reached the call timeout, unless it has ended already. A later reply is discarded.
    pub fn expire(&self, events: &EventSender, id: CallId) {
        for connection in &self.connections {
            if connection.expire(id, events) {
                return;
            }
        }
    }

    /// Selects the connection for a call: the one on which calls to the same counter are awaited, else the first open
    /// one that is not slow, else the first one that is not slow, else the one with the fewest calls.
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
