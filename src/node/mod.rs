//! The gateway on real sockets, in layers of which each uses only those before it:
//!
//! 1. `config`, `config_check`, `metrics`, `processes`, `maintenance_file` and `wire`: values, files and formats,
//!    without sockets.
//! 2. `connection`: clients, endpoints, the counter, discovery, operators and sibling processes.
//! 3. `runtime`: the driver of the policy, with the clock, timers, open requests and attempts.
//! 4. `assembly`, `descriptors`, `error`, `listener`, `operator_calls`, `reload`, `shutdown`, `start` and `tasks`:
//!    the life of the process.

mod assembly;
mod config;
pub mod config_check;
mod connection;
mod descriptors;
mod error;
mod listener;
mod maintenance_file;
mod metrics;
mod operator_calls;
mod processes;
mod reload;
mod runtime;
mod shutdown;
mod start;
mod tasks;
mod wire;

pub use error::NodeError;
pub use start::run_configured;
