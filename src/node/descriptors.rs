//! Divides the file descriptors that the process may hold.

use crate::node::{
    config::Config, connection::counter::client, hot_restart::replica_table, runtime::counters,
};

/// Descriptors beside those of the counter, of clients and of endpoints: the standard three, the runtime,
/// signals, the listener, a client just accepted, discovery, and a configuration being read.
const PROCESS_DESCRIPTORS: usize = 21;
/// Descriptors of the connections to the counter, including those at earlier addresses.
const COUNTER_DESCRIPTORS: usize = client::MAX_CONNECTIONS * (1 + counters::MAX_RETIRED_CLIENTS);
/// The endpoints' part of the remaining descriptors, in twentieths. Clients with a request in flight hold a
/// third of the descriptors at most, so the larger part may go to clients, including those that bring none,
/// and endpoints get enough for an attempt for each request and some idle connections.
const ENDPOINT_TWENTIETHS: usize = 7;

/// How many connections may be open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// From clients.
    pub clients: usize,
    /// To endpoints.
    pub endpoints: usize,
}

impl DescriptorBudget {
    /// Divides the descriptors of a configuration, which has been checked to allow enough.
    pub fn new(config: &Config) -> Self {
        let operators =
            config.operator.map_or(0, |_| Config::OPERATOR_SOCKETS + replica_table::MAX_DESCRIPTORS);
        let shared = config.max_descriptors - PROCESS_DESCRIPTORS - COUNTER_DESCRIPTORS - operators;
        let endpoints = shared * ENDPOINT_TWENTIETHS / 20;
        Self { clients: shared - endpoints, endpoints }
    }
}
