//! oliverack: the decisions of a gateway that holds customers to shared quotas before a common back end.
//!
//! The crate does no I/O and reads no clock: feed [`Gateway::handle`] one [`Event`] at a time with the
//! current time, and carry out the [`Action`]s it appends. In a page:
#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod allotment;
mod counter_call;
mod customer;
mod customer_table;
mod decaying_sum;
mod endpoint_state;
mod endpoint_table;
mod hash;
mod interface;
mod latency_estimate;
mod ordered_table;
mod policy;
mod quota_window;
mod request_state;
mod settings;
mod thin_flow;
mod timer_table;
mod token_bucket;

pub use interface::{
    Action, CustomerId, Endpoint, EndpointCounts, EndpointId, EndpointSnapshot, Event, HandoverSnapshot,
    Lifecycle, ListKind, LoadReport, Request, RequestId, ResponseTimes, Seconds, Status, Time,
};
pub use policy::Gateway;
pub use settings::{
    Class, Effect, IdempotencyScope, Options, OptionsError, Plan, Settings, SettingsDocument, SettingsError,
};
