//! Runs the policy in real time: feeds it events, executes its actions, and keeps the state that both need.
//!
//! [`driver::Driver`] composes these parts, each of which owns its state:
//!
//! - [`policy_loop`]: the policy and the queue of its events;
//! - [`requests`]: requests from their acceptance to their final response;
//! - [`attempts`]: attempts from their start to their end;
//! - [`request_table`] and [`open_request`]: the open requests and their attempts, shared by [`requests`] and
//!   [`attempts`];
//! - [`counter_calls`] and [`counters`]: calls to the counter, and the clients that make them;
//! - [`maintenance`]: the endpoints that operators have put into maintenance;
//! - [`timers`] and [`clock`]: the timers, and the time of all events.

pub mod attempts;
pub mod clock;
pub mod counter_calls;
pub mod counters;
pub mod driver;
pub mod maintenance;
pub mod open_request;
pub mod policy_loop;
pub mod recent_ids;
pub mod request_table;
pub mod requests;
pub mod timers;
