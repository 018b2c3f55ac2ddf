//! The gateway on real sockets, in layers of which each uses only those before it:
//!
//! 1. `config`, `config_check`, `metrics` and `wire`: values and formats, without sockets.
//! 2. `hot_restart`: what processes of one gateway tell each other, and leave to the next one.
//! 3. `connection`: clients, endpoints, the counter, discovery and operators.
//! 4. `runtime`: the clock, timers, open requests and the driver of the policy.
//! 5. `descriptors`, `listener`, `start`, `reload`, `drain`: the life of the process.

mod config;
pub mod config_check;
mod connection;
mod descriptors;
mod drain;
mod hot_restart;
mod listener;
mod metrics;
mod reload;
mod runtime;
mod start;
mod wire;

pub use start::{NodeError, run_configured};
