//! The policy's interface: the events that a [`crate::Gateway`] receives and the actions that it returns.

mod action;
mod endpoint;
mod event;
mod ids;
mod request;
mod snapshot;

pub use action::{Action, RejectionReason};
pub use endpoint::{Endpoint, EndpointCounts, Lifecycle, ListKind};
pub use event::Event;
pub use ids::{CustomerId, EndpointId, RequestId};
pub use request::{LoadReport, Request, Status};
pub use snapshot::{EndpointSnapshot, HandoverSnapshot, ResponseTimes};

/// A point in time, in seconds on a monotonic clock of the caller, who also chooses its origin.
pub type Time = f64;
/// A duration in seconds.
pub type Seconds = f64;
