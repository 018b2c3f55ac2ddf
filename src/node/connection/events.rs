//! How connections report events to the policy without knowing who drives it.

use oliverack::Event;
use std::rc::Rc;

/// Takes events, one at a time.
pub trait EventSink {
    /// Handles an event that has just happened.
    fn post(self: Rc<Self>, event: Event);
}

/// A shared event sink.
pub type EventSender = Rc<dyn EventSink>;
