//! The decisions of a gateway that enforces shared quotas per customer in front of a common back end.
//!
//! The crate does no I/O and reads no clock: feed [`Gateway::handle`] one [`Event`] at a time with the
//! current time, and execute the [`Action`]s that it appends.
#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod interface;
mod policy;
mod primitives;
mod settings;

pub use interface::{
    Action, CustomerId, Endpoint, EndpointCounts, EndpointId, EndpointSnapshot, Event, HandoverSnapshot,
    Lifecycle, ListKind, LoadReport, RejectionReason, Request, RequestId, ResponseTimes, Seconds, Status,
    Time,
};
pub use policy::{
    ArrivalPace, AttemptEndTime, EndReason, Gateway, MAX_SHORT_BODY_BYTES, Pace, ResponseLimits,
    ResponseProgress, StreamProgress,
};
pub use primitives::stable_hash::stable_hash;
pub use settings::{
    Class, Effect, IdempotencyScope, Options, OptionsError, Plan, Settings, SettingsDocument, SettingsError,
};
