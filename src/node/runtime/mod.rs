//! Runs the policy on real time: feeds it events, executes its actions, and keeps the state that both need.
//!
//! [`driver::Driver`] is composed of parts that each own their state:
//!
//! - [`policy_loop`]: the policy, and the queue of the events that it has yet to handle;
//! - [`requests`]: requests from their acceptance to their final response;
//! - [`attempts`]: attempts from their start to their end;
//! - [`request_table`]: the open requests and their attempts, as the two above share them;
//! - [`counter_calls`]: calls to the counter;
//! - [`maintenance`]: the endpoints that operators have put into maintenance;
//! - [`timers`] and [`clock`]: time.

pub mod attempts;
pub mod clock;
pub mod counter_calls;
pub mod counters;
pub mod driver;
pub mod maintenance;
pub mod open_request;
pub mod policy_loop;
pub mod request_table;
pub mod requests;
pub mod timers;
