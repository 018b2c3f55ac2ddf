//! The clients of the counter: the current one, and retired ones at earlier addresses whose calls are still awaited.

use crate::node::connection::{counter::client::CounterClient, events::EventSender};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

/// Retired clients that are kept; a further one is closed, as each holds descriptors.
pub const MAX_RETIRED_CLIENTS: usize = 2;

/// See the [module](self).
pub struct CounterClients {
    /// Time after which the policy no longer awaits a call.
    call_timeout: Duration,
    /// `None` without a counter.
    current: RefCell<Option<Rc<CounterClient>>>,
    /// The earliest first.
    retired: RefCell<Vec<Rc<CounterClient>>>,
}

impl CounterClients {
    /// A client at this address, if there is a counter.
    pub fn new(address: Option<SocketAddr>, call_timeout: Duration) -> Self {
        let current = RefCell::new(address.map(|address| CounterClient::new(address, call_timeout)));
        Self { call_timeout, current, retired: RefCell::default() }
    }

    /// Connects to the counter before the first call.
    pub fn start(&self, events: &EventSender) {
        if let Some(client) = &*self.current.borrow() {
            client.start(events);
        }
    }

    /// Follows the counter to another address. Calls in flight are answered by the client that made them.
    pub fn move_to(&self, address: Option<SocketAddr>, events: &EventSender) {
        if self.current.borrow().as_ref().map(|client| client.address()) == address {
            return;
        }
        let successor = address.map(|address| CounterClient::new(address, self.call_timeout));
        let previous = self.current.replace(successor);
        self.remove_finished();
        if let Some(previous) = previous {
            previous.retire();
            self.retired.borrow_mut().push(previous);
        }
        for client in self.take_surplus() {
            client.close(events);
        }
        self.start(events);
    }

    /// The client for a call that adds to `counter`. Replies for one counter must come in the order of the calls, so it
    /// is a retired one while calls for the counter are awaited there.
    pub fn client_for(&self, counter: u64) -> Option<Rc<CounterClient>> {
        self.remove_finished();
        let retired = self.retired.borrow();
        match retired.iter().rev().find(|client| client.awaits_counter(counter)) {
            Some(client) => Some(client.clone()),
            None => self.current.borrow().clone(),
        }
    }

    /// Removes the retired clients of which no call is awaited.
    fn remove_finished(&self) {
        self.retired.borrow_mut().retain(|client| client.has_awaited_calls());
    }

    /// Removes the earliest retired clients beyond [`MAX_RETIRED_CLIENTS`].
    fn take_surplus(&self) -> Vec<Rc<CounterClient>> {
        let mut retired = self.retired.borrow_mut();
        let surplus = retired.len().saturating_sub(MAX_RETIRED_CLIENTS);
        retired.drain(..surplus).collect()
    }
}
