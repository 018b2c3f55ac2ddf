//! Makes the policy's calls to the counter and sets their timeouts.

use crate::node::runtime::{
    counters::CounterClients,
    policy_loop::PolicyLoop,
    timers::{TimerPurpose, Timers},
};
use oliverack::{Event, Seconds, Settings, Status, Time};
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Calls the counter on behalf of the policy.
pub struct CounterCalls {
    policy: Rc<PolicyLoop>,
    timers: Rc<Timers>,
    clients: CounterClients,
    has_counter: bool,
    timeout: Seconds,
}

impl CounterCalls {
    /// Creates the calls to the counter at `address`. The address is ignored if the settings have no counter.
    pub fn new(
        address: Option<SocketAddr>,
        settings: &Settings,
        policy: Rc<PolicyLoop>,
        timers: Rc<Timers>,
    ) -> Self {
        let timeout = settings.counter_timeout;
        let address = address.filter(|_| settings.has_counter);
        let clients = CounterClients::new(address, Duration::from_secs_f64(timeout));
        Self { policy, timers, clients, has_counter: settings.has_counter, timeout }
    }

    /// Connects to the counter, so that the first call finds a connection.
    pub fn connect(&self) {
        self.clients.connect(&self.policy.sender());
    }

    /// Sets the address for new calls; `None` removes the counter. Does nothing if the settings have no counter.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        self.clients.set_address(address.filter(|_| self.has_counter), &self.policy.sender());
    }

    /// Adds `amount` to a count that expires after `ttl`. The policy receives the new total as an event. Without an
    /// address of the counter, the call fails at once.
    pub fn add(&self, now: Time, counter: u64, amount: f64, ttl: Seconds) {
        let Some(client) = self.clients.client_for(counter) else {
            return self.policy.post(Event::CounterReplied {
                counter,
                status: Status::ConnectFailed,
                total: 0.0,
                elapsed: 0.0,
            });
        };
        let call_id = client.add(&self.policy.sender(), counter, amount, ttl);
        self.timers.set(now + self.timeout, TimerPurpose::CounterCall(client, call_id));
    }
}
