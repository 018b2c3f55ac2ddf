//! The gateway on real sockets, in layers of which each uses only those before it:
//!
//! 1. `config`, `config_check`, `metrics`, `processes`, `maintenance_file` and `wire`: values, files and formats, without sockets.
//! 2. `connection`: clients, endpoints, the counter, discovery, operators and sibling processes.
//! 3. `runtime`: the clock, timers, open requests and the driver of the policy.
//! 4. `descriptors`, `listener`, `start`, `reload`, `drain`: the life of the process.

mod config;
pub mod config_check;
mod connection;
mod descriptors;
mod drain;
mod listener;
mod maintenance_file;
mod metrics;
mod processes;
mod reload;
mod runtime;
mod start;
mod wire;

pub use start::{NodeError, run_configured};
