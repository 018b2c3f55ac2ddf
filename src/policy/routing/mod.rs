//! Decides which endpoint an attempt goes to.
//!
//! [`Router`] owns all endpoints. Each gateway uses a subset of them, chosen so that all endpoints are used
//! by about the same number of gateways. From the subset the router picks the endpoint with the lowest score;
//! it skips ejected endpoints and limits the attempts to those that are warming up.

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
