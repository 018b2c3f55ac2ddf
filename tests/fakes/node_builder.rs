//! Builder of the gateway processes under test.

use super::{FakeDiscovery, FakeEndpoint, LaunchOptions, Node, endpoint_entry, spawn_program};
use serde_json::{Value, json};
use std::{net::SocketAddr, path::PathBuf, process::Child};

/// Builds the configuration of a gateway process and starts the process. The defaults suit most tests.
pub struct NodeBuilder {
    /// The `settings` of the configuration.
    pub settings: Value,
    /// Entries of the configured endpoint list (`known`).
    pub known_endpoints: Vec<Value>,
    discovery: SocketAddr,
    counter: Option<SocketAddr>,
    max_sockets: usize,
    has_operator_address: bool,
}

impl NodeBuilder {
    /// Returns a builder that lists `endpoints` as `w0`, `w1` and so on, and a discovery service with the same list.
    pub fn new(endpoints: &[&FakeEndpoint]) -> (Self, FakeDiscovery) {
        let addresses: Vec<SocketAddr> = endpoints.iter().map(|endpoint| endpoint.addr).collect();
        Self::with_addresses(&addresses)
    }

    /// Like [`new`](Self::new), with the addresses of the endpoints.
    pub fn with_addresses(addresses: &[SocketAddr]) -> (Self, FakeDiscovery) {
        let entry =
            |(i, address): (usize, &SocketAddr)| endpoint_entry(&format!("w{i}"), *address, "SERVING");
        let known_endpoints: Vec<Value> = addresses.iter().enumerate().map(entry).collect();
        let discovery = FakeDiscovery::start(&known_endpoints);
        let builder = Self {
            settings: default_settings(),
            known_endpoints,
            discovery: discovery.addr,
            counter: None,
            max_sockets: 256,
            has_operator_address: false,
        };
        (builder, discovery)
    }

    /// Like [`with_addresses`](Self::with_addresses), with a discovery service that stays up as long as the test.
    pub fn with_lasting_discovery(addresses: &[SocketAddr]) -> Self {
        let (builder, discovery) = Self::with_addresses(addresses);
        std::mem::forget(discovery);
        builder
    }

    /// Like [`new`](Self::new), with a port for operators.
    pub fn with_operator_address(endpoints: &[&FakeEndpoint]) -> (Self, FakeDiscovery) {
        let (mut builder, discovery) = Self::new(endpoints);
        builder.operator_address();
        (builder, discovery)
    }

    /// Sets the address of discovery.
    pub fn discovery(&mut self, addr: SocketAddr) -> &mut Self {
        self.discovery = addr;
        self
    }

    /// Sets the address of the counter; by default there is no counter.
    pub fn counter(&mut self, addr: SocketAddr) -> &mut Self {
        self.counter = Some(addr);
        self
    }

    /// Sets the limit of open sockets; 256 by default.
    pub fn max_sockets(&mut self, count: usize) -> &mut Self {
        self.max_sockets = count;
        self
    }

    /// Adds a free port for operators.
    pub fn operator_address(&mut self) -> &mut Self {
        self.has_operator_address = true;
        self
    }

    /// Returns the configuration.
    pub fn config(&self) -> Value {
        json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": self.discovery.to_string(),
            "seed": "8c1f30d27a5be964", "counter": self.counter.map(|addr| addr.to_string()),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.max_sockets},
            "operator": self.has_operator_address.then_some("127.0.0.1:0"),
            "known": {"version": 0, "full": true, "servers": self.known_endpoints},
            "settings": self.settings,
        })
    }

    /// Starts the process and waits until it listens.
    pub fn start(&self) -> Node {
        self.start_with(&LaunchOptions::default())
    }

    /// Like [`start`](Self::start), with `options` for the process.
    pub fn start_with(&self, options: &LaunchOptions) -> Node {
        self.start_with_config(&self.config().to_string(), options)
    }

    /// Like [`start_with`](Self::start_with), with another configuration.
    pub fn start_with_config(&self, config: &str, options: &LaunchOptions) -> Node {
        Node::start(config, options, self.has_operator_address)
    }

    /// Starts the process without waiting; returns it with the path of its configuration file.
    pub fn spawn(&self) -> (Child, PathBuf) {
        spawn_program(&self.config().to_string(), &LaunchOptions::default())
    }
}

/// Returns settings with an idempotent class, an at-most-once class, a plan without a rate and a plan with a burst of
/// eight units.
fn default_settings() -> Value {
    json!({
        "Classes": [
            {"Name": "check-answer", "Effect": "idempotent", "Group": "all", "Slo": 20.0, "Deadline": 30.0},
            {"Name": "submit", "Effect": "at_most_once", "Group": "all", "Slo": 20.0, "Deadline": 30.0},
        ],
        "Dcs": ["hall-a"], "Discovery": "push", "Locality": 0, "Me": 0, "PeersTotal": 2, "Step": 0.002,
        "Domain": {"HasCounter": true, "CountLimit": 0.05, "MaxUnits": 1, "PostPaid": false},
        "Limits": {"Cancelling": true, "ConnIdle": 30.0, "ConnectTimeout": 0.25, "SendCap": 4,
            "SecondCopies": true, "RetryAfter": true, "MaxRetryAfter": 1.0, "MayProbe": true, "OpenCap": 1000},
        "Plans": [
            {"Name": "free", "QuotaRate": 0.0, "Depth": 0.0},
            {"Name": "pieni", "QuotaRate": 0.01, "Depth": 8.0, "OverrunCost": 1.2},
        ],
        "Rules": {"Cold": 16.0, "ColdFrom": 0.25, "Fall": 1.0, "FallMultiple": 4.0},
    })
}
