//! How the parts that hold connections tell what has happened, without knowing who listens.

use oliverack::Event;
use std::rc::Rc;

/// Takes events, one at a time.
pub trait EventSink {
    /// Something has happened.
    fn post(self: Rc<Self>, event: Event);
}

/// A shared way to tell of events.
pub type EventSender = Rc<dyn EventSink>;
