//! Calls to the counter, and their time limits.

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
    is_enabled: bool,
    timeout: Seconds,
}

impl CounterCalls {
    /// Calls to the counter at `addr`, if the settings have one.
    pub fn new(
        addr: Option<SocketAddr>,
        settings: &Settings,
        policy: Rc<PolicyLoop>,
        timers: Rc<Timers>,
    ) -> Self {
        let timeout = settings.counter_timeout;
        let addr = addr.filter(|_| settings.has_counter);
        let clients = CounterClients::new(addr, Duration::from_secs_f64(timeout));
        Self { policy, timers, clients, is_enabled: settings.has_counter, timeout }
    }

    /// Connects to the counter before the first call needs it.
    pub fn connect(&self) {
        self.clients.start(&self.policy.sender());
    }

    /// Makes new calls to another address, where the settings have a counter.
    pub fn move_to(&self, addr: Option<SocketAddr>) {
        self.clients.move_to(addr.filter(|_| self.is_enabled), &self.policy.sender());
    }

    /// Adds to a count; the policy is told of the total. Without a counter the call fails at once.
    pub fn add(&self, now: Time, counter: u64, amount: f64, ttl: Seconds) {
        let Some(client) = self.clients.client_for(counter) else {
            return self.policy.post(Event::CounterReplied {
                counter,
                status: Status::ConnectFailed,
                total: 0.0,
                elapsed: 0.0,
            });
        };
        let call_id = client.call(&self.policy.sender(), counter, amount, ttl);
        self.timers.set(now + self.timeout, TimerPurpose::CounterCall(client, call_id));
    }
}
