//! Feeds the policy one event at a time and passes on its actions for execution, in order.

use crate::node::{
    connection::events::{EventSender, EventSink},
    runtime::clock::Clock,
};
use oliverack::{Action, EndpointCounts, EndpointId, Event, Gateway, HandoverSnapshot, Time};
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::{Rc, Weak},
};

/// Executes the actions of the policy.
pub trait ActionExecutor {
    /// Executes one action that the policy decided on at `now`. Events that result from it may be posted at once: they
    /// are handled after the actions of the current event.
    fn execute(&self, now: Time, action: Action);
}

/// The policy and the queue of its events.
pub struct PolicyLoop {
    gateway: RefCell<Gateway>,
    clock: Rc<Clock>,
    pending: RefCell<VecDeque<Event>>,
    is_processing: Cell<bool>,
    /// Weak reference, as the executor holds the loop to post events.
    executor: Weak<dyn ActionExecutor>,
}

/// Marks the loop as idle when dropped. A panic of the policy drops it, too, so that other requests are still served.
struct ProcessingGuard<'a>(&'a Cell<bool>);

impl Drop for ProcessingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

impl PolicyLoop {
    /// Creates a loop that runs `gateway` and passes its actions to `executor`.
    pub fn new(gateway: Gateway, clock: Rc<Clock>, executor: Weak<dyn ActionExecutor>) -> Rc<Self> {
        Rc::new(Self {
            gateway: RefCell::new(gateway),
            clock,
            pending: RefCell::default(),
            is_processing: Cell::new(false),
            executor,
        })
    }

    /// Returns a handle by which connections post events.
    pub fn sender(self: &Rc<Self>) -> EventSender {
        self.clone()
    }

    /// Passes an event to the policy. If the policy is already handling one, the event waits in the queue.
    pub fn post(&self, event: Event) {
        self.pending.borrow_mut().push_back(event);
        if self.is_processing.replace(true) {
            return;
        }
        let _guard = ProcessingGuard(&self.is_processing);
        self.process_pending();
    }

    fn process_pending(&self) {
        let Some(executor) = self.executor.upgrade() else { return };
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.pending.borrow_mut().pop_front() else { return };
            let now = self.clock.now();
            self.gateway.borrow_mut().handle(now, event, &mut actions);
            for action in actions.drain(..) {
                executor.execute(now, action);
            }
        }
    }

    /// Returns whether the policy has an endpoint with this id.
    pub fn is_known_endpoint(&self, endpoint: &EndpointId) -> bool {
        self.gateway.borrow().is_known_endpoint(endpoint)
    }

    /// Returns the number of endpoints, and how many of them receive no requests at present.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        self.gateway.borrow().endpoint_counts(self.clock.now())
    }

    /// Returns the endpoints that operators have put into maintenance.
    pub fn endpoints_in_maintenance(&self) -> Vec<EndpointId> {
        self.gateway.borrow().endpoints_in_maintenance().cloned().collect()
    }

    /// Returns the state that a successor in a hot restart takes over.
    pub fn snapshot(&self) -> HandoverSnapshot {
        self.gateway.borrow().snapshot()
    }
}

impl EventSink for PolicyLoop {
    fn post(self: Rc<Self>, event: Event) {
        PolicyLoop::post(&self, event);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/policy_loop.rs"]
mod tests;
