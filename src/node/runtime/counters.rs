//! The clients of the counter: the one at the present address, and those at earlier ones while calls are waited for.

use crate::node::connection::{counter::client::CounterClient, events::EventSender};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

/// Clients of the counter at old addresses, at most: several reloads in a row leave no more.
pub const RETIRED: usize = 2;

/// See the [module](self).
pub struct CounterClients {
    /// After so long a call is given up.
    limit: Duration,
    current: RefCell<Option<Rc<CounterClient>>>,
    /// At addresses that hold no more, while calls are waited for on them.
    retired: RefCell<Vec<Rc<CounterClient>>>,
}

impl CounterClients {
    /// A client at this address, if there is a counter.
    pub fn new(addr: Option<SocketAddr>, limit: Duration) -> Self {
        let current = RefCell::new(addr.map(|addr| CounterClient::new(addr, limit)));
        Self { limit, current, retired: RefCell::default() }
    }

    /// Connects to the counter before the first call needs it.
    pub fn start(&self, events: &EventSender) {
        if let Some(client) = &*self.current.borrow() {
            client.start(events);
        }
    }

    /// Takes another address of the counter. Calls in hand are answered where they were made.
    pub fn move_to(&self, addr: Option<SocketAddr>, events: &EventSender) {
        if self.current.borrow().as_ref().map(|c| c.addr) == addr {
            return;
        }
        let old = self.current.replace(addr.map(|addr| CounterClient::new(addr, self.limit)));
        let mut retired = self.retired.borrow_mut();
        retired.retain(|c| c.awaits(None));
        if let Some(old) = old {
            old.retire();
            retired.push(old);
        }
        // Each has descriptors of its own, and the budget has room for so many.
        let surplus = retired.len().saturating_sub(RETIRED);
        let surplus: Vec<_> = retired.drain(..surplus).collect();
        drop(retired);
        surplus.iter().for_each(|c| c.close(events));
        self.start(events);
    }

    /// Where a call for `name` belongs: answers for one name must come in the order of the calls, so it
    /// follows those still waited for at an old address.
    pub fn client_for(&self, name: u64) -> Option<Rc<CounterClient>> {
        let mut retired = self.retired.borrow_mut();
        retired.retain(|c| c.awaits(None));
        let old = retired.iter().rev().find(|c| c.awaits(Some(name)));
        old.cloned().or_else(|| self.current.borrow().clone())
    }
}
