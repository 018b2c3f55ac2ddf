//! Connections to clients, endpoints, the counter, discovery and operators. They report through small traits and know
//! nothing about their users.

pub mod clients;
pub mod counter;
pub mod discovery;
pub mod endpoint_attempt;
pub mod endpoint_pool;
pub mod events;
pub mod http_client;
pub mod idle_limit;
pub mod operators;
pub mod response_body;
pub mod socket_input;
pub mod write_progress;
