//! The gateway on real sockets, in layers of which each uses only those before it:
//!
//! 1. `config`, `config_check`, `metrics`, `processes`, `left_out_file` and `wire`: values, files and formats, without sockets.
//! 2. `connection`: clients, workers, the counter, discovery, operators and sibling processes.
//! 3. `runtime`: the clock, timers, open requests and the driver of the policy.
//! 4. `descriptors`, `listener`, `start`, `reload`, `drain`: the life of the process.

mod config;
pub mod config_check;
mod connection;
mod descriptors;
mod drain;
mod left_out_file;
mod listener;
mod metrics;
mod processes;
mod reload;
mod runtime;
mod start;
mod wire;

pub use start::{NodeError, run_configured};
