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
mod hash;
mod interface;
mod job;
mod latency_estimate;
mod options;
mod ordered_table;
mod policy;
mod quota_window;
mod server_state;
mod server_table;
mod settings;
mod settings_document;
mod thin_flow;
mod timer_table;
mod token_bucket;

pub use interface::*;
pub use options::{Options, OptionsError};
pub use policy::Gateway;
pub use settings_document::SettingsDocument;
