//! oliverack: the decisions of a gateway that holds customers to shared quotas before a common back end.
//!
//! The crate does no I/O and reads no clock: feed [`Gateway::handle`] one [`Event`] at a time with the
//! current time, and carry out the [`Action`]s it appends. In a page:
#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod interface;
mod policy;
mod primitives;
mod settings;

pub use interface::{
    Action, CustomerId, Endpoint, EndpointCounts, EndpointId, EndpointSnapshot, Event, HandoverSnapshot,
    Lifecycle, ListKind, LoadReport, Request, RequestId, ResponseTimes, Seconds, Status, Time,
};
pub use policy::Gateway;
pub use settings::{
    Class, Effect, IdempotencyScope, Options, OptionsError, Plan, Settings, SettingsDocument, SettingsError,
};
