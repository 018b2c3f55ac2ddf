//! Divides the file descriptors of the process between the connections of clients and to endpoints.

use crate::node::{
    config::Config, connection::counter::client, hot_restart::replica_table, runtime::counters,
};

/// Descriptors that are not for the counter, clients, endpoints or operators: the standard three, the runtime,
/// signals, the listener, a client just accepted, discovery, and a configuration being read.
const PROCESS_DESCRIPTORS: usize = 21;
/// Maximum number of descriptors of connections to the counter, including those at earlier addresses.
const COUNTER_DESCRIPTORS: usize = client::MAX_CONNECTIONS * (1 + counters::MAX_RETIRED_CLIENTS);
/// Share of the remaining descriptors that goes to connections to endpoints, in twentieths. Clients with a request
/// in flight hold at most a third of the descriptors. So the larger share can go to clients, including idle ones,
/// while endpoints get enough for one attempt per request and some idle connections.
const ENDPOINT_TWENTIETHS: usize = 7;

/// Maximum numbers of open connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Maximum number of connections from clients.
    pub clients: usize,
    /// Maximum number of connections to endpoints.
    pub endpoints: usize,
}

impl DescriptorBudget {
    /// Divides the descriptors that a configuration allows. Validation ensures that they are enough.
    pub fn new(config: &Config) -> Self {
        let operator_descriptors =
            config.operator.map_or(0, |_| Config::OPERATOR_DESCRIPTORS + replica_table::MAX_DESCRIPTORS);
        let remaining =
            config.max_descriptors - PROCESS_DESCRIPTORS - COUNTER_DESCRIPTORS - operator_descriptors;
        let endpoints = remaining * ENDPOINT_TWENTIETHS / 20;
        Self { clients: remaining - endpoints, endpoints }
    }
}
