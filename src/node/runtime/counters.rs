//! Clients of the counter: one at the current address, and retired ones that still have awaited calls at earlier
//! addresses.

use crate::node::connection::{counter::client::CounterClient, events::EventSender};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

/// Maximum number of retired clients. Each holds descriptors, so the earliest ones beyond this number are closed.
pub const MAX_RETIRED_CLIENTS: usize = 2;

/// The current client of the counter and the retired ones.
pub struct CounterClients {
    /// Time after which the policy no longer awaits the reply to a call.
    call_timeout: Duration,
    /// Client at the current address; `None` if there is no counter.
    current: RefCell<Option<Rc<CounterClient>>>,
    /// Clients at earlier addresses, the earliest first.
    retired: RefCell<Vec<Rc<CounterClient>>>,
}

impl CounterClients {
    /// Creates the current client, which calls the counter at `address`; no client if that is `None`.
    pub fn new(address: Option<SocketAddr>, call_timeout: Duration) -> Self {
        let current = RefCell::new(address.map(|address| CounterClient::new(address, call_timeout)));
        Self { call_timeout, current, retired: RefCell::default() }
    }

    /// Connects the current client, so that the first call finds a connection.
    pub fn connect(&self, events: &EventSender) {
        if let Some(client) = &*self.current.borrow() {
            client.start(events);
        }
    }

    /// Sets the address of new calls; `None` removes the counter. The client at the previous address is retired and
    /// receives the replies to its calls in flight.
    pub fn set_address(&self, address: Option<SocketAddr>, events: &EventSender) {
        if self.current.borrow().as_ref().map(|client| client.address()) == address {
            return;
        }
        let new_client = address.map(|address| CounterClient::new(address, self.call_timeout));
        let previous = self.current.replace(new_client);
        self.remove_finished();
        if let Some(previous) = previous {
            previous.retire();
            self.retired.borrow_mut().push(previous);
        }
        for client in self.take_surplus() {
            client.close(events);
        }
        self.connect(events);
    }

    /// Returns the client for a call that adds to `counter`. Replies for one counter must come in the order of its
    /// calls, so this is a retired client as long as that client has awaited calls for the counter.
    pub fn client_for(&self, counter: u64) -> Option<Rc<CounterClient>> {
        self.remove_finished();
        let retired = self.retired.borrow();
        match retired.iter().rev().find(|client| client.awaits_counter(counter)) {
            Some(client) => Some(client.clone()),
            None => self.current.borrow().clone(),
        }
    }

    /// Removes the retired clients that have no awaited calls.
    fn remove_finished(&self) {
        self.retired.borrow_mut().retain(|client| client.has_awaited_calls());
    }

    /// Removes and returns the earliest retired clients beyond [`MAX_RETIRED_CLIENTS`].
    fn take_surplus(&self) -> Vec<Rc<CounterClient>> {
        let mut retired = self.retired.borrow_mut();
        let surplus = retired.len().saturating_sub(MAX_RETIRED_CLIENTS);
        retired.drain(..surplus).collect()
    }
}
