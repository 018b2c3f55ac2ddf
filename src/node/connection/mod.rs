//! Connections to clients, endpoints, the counter, discovery and operators. They tell of what happens through small
//! traits and know nothing of who listens.

pub mod answer_body;
pub mod clients;
pub mod counter;
pub mod discovery;
pub mod endpoint_attempt;
pub mod endpoint_pool;
pub mod events;
pub mod http_client;
pub mod operators;
pub mod socket_input;
pub mod write_progress;
