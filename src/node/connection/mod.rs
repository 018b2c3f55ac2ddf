//! Connections to clients, endpoints, the counter, discovery and operators.
//!
//! Connections report through small traits such as [`events::EventSink`], so that this layer doesn't depend on the
//! code that uses it.

pub mod body_memory;
pub mod clients;
pub mod counter;
pub mod counting_socket;
pub mod discovery;
pub mod endpoint_attempt;
pub mod endpoint_pool;
pub mod events;
pub mod exchange_progress;
pub mod http_connection;
pub mod idle_limit;
pub mod operators;
pub mod response_body;
pub mod socket_input;
pub mod socket_output;
