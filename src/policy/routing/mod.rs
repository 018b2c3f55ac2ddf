//! Decides which endpoint an attempt goes to.
//!
//! [`Router`] owns all endpoints. A gateway uses a subset of them, so that each endpoint is used by about as
//! many gateways. From the subset it picks the endpoint with the lowest score, leaves out ejected ones, and
//! sends little to those that are warming up.

mod endpoint_state;
mod endpoint_table;
mod health;
mod list_poller;
mod load_balancer;
mod router;
mod slow_start;
mod subset;

pub use endpoint_state::MAX_LATENCY;
pub use list_poller::ListPoller;
pub use router::{AttemptOutcome, Router};
