//! Runs the gateway on real sockets. The modules form layers, and each layer uses only those above it in this list:
//!
//! 1. `config`, `config_check`, `metrics` and `wire`: values and formats, without sockets.
//! 2. `hot_restart`: the connections to peer processes, their messages and the files that they share.
//! 3. `connection`: the connections of clients, endpoints, the counter, discovery and operators.
//! 4. `runtime`: the driver of the policy, with the clock, timers, open requests and attempts.
//! 5. `assembly`, `descriptors`, `error`, `listener`, `operator_calls`, `reload`, `shutdown`, `start` and `tasks`:
//!    start, tasks and shutdown of the process.

mod assembly;
mod config;
pub mod config_check;
mod connection;
mod descriptors;
mod error;
mod hot_restart;
mod listener;
mod metrics;
mod operator_calls;
mod reload;
mod runtime;
mod shutdown;
mod start;
mod tasks;
mod wire;

pub use error::NodeError;
pub use start::run_configured;
