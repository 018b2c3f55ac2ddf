//! The interface through which connections report events to the policy.

use oliverack::Event;
use std::rc::Rc;

/// Receives the policy's events, one at a time.
pub trait EventSink {
    /// Hands an event that has just happened to the policy.
    fn post(self: Rc<Self>, event: Event);
}

/// Shared handle to the event sink, kept by everything that reports events.
pub type EventSender = Rc<dyn EventSink>;
