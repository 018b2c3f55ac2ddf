//! How the file descriptors that the process may hold are dealt out.

use crate::node::{
    config::Config, connection::counter::client, hot_restart::replica_table, runtime::counters,
};

/// Descriptors beside clients and endpoints: the standard three, runtime, signals, listener, a client just accepted,
/// discovery, a configuration being read, and the counter's lines, also those at old addresses.
const OTHERS: usize = 21 + client::MAX_CONNECTIONS * (1 + counters::MAX_RETIRED_CLIENTS);
/// The endpoints' part of what is left, in twentieths. Usual clients hold a third of the descriptors at most for
/// requests. So the larger part may go to clients, to those that bring none, and endpoints get enough for an attempt a
/// request and some kept ones.
const ENDPOINTS_TWENTIETHS: usize = 7;

/// Connections that may be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// From clients.
    pub clients: usize,
    /// To endpoints.
    pub endpoints: usize,
}

impl DescriptorBudget {
    /// Deals out what the configuration allows, which has been seen to be enough.
    pub fn new(config: &Config) -> Self {
        let operators = config.operator.map_or(0, |_| Config::OPERATOR_SOCKETS + replica_table::SOCKETS);
        let shared = config.sockets - OTHERS - operators;
        let endpoints = shared * ENDPOINTS_TWENTIETHS / 20;
        Self { clients: shared - endpoints, endpoints }
    }
}
