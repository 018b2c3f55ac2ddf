//! The policy's interface: the events that a [`crate::Gateway`] receives and the actions that it returns.

mod action;
mod endpoint;
mod event;
mod ids;
mod request;
mod snapshot;

pub use action::Action;
pub use endpoint::{Endpoint, EndpointCounts, Lifecycle, ListKind};
pub use event::Event;
pub use ids::{CustomerId, EndpointId, RequestId};
pub use request::{LoadReport, Request, Status};
pub use snapshot::{EndpointSnapshot, HandoverSnapshot, ResponseTimes};

/// A moment, in seconds on the caller's monotonic clock. The origin is the caller's choice.
pub type Time = f64;
/// A span of time, in seconds.
pub type Seconds = f64;
