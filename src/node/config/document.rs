//! The format of the configuration file.

use crate::node::wire::endpoint_list::EndpointList;
use oliverack::SettingsDocument;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;

/// Limits of the process.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct ProcessLimitsDocument {
    /// Maximum number of open file descriptors.
    pub sockets: usize,
    /// Maximum memory, in MB (2^20 bytes).
    pub memory_mb: usize,
}

/// The configuration file.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct ConfigDocument<'a> {
    /// The gateway's name, the same after a restart.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random number generator: up to 16 hexadecimal digits.
    pub seed: String,
    /// Limits of the process.
    pub limits: ProcessLimitsDocument,
    /// Address of the counter; not set if there is none.
    pub counter: Option<SocketAddr>,
    /// Address on which operators connect. If it is missing, the environment variable NODE_OPERATOR may give it.
    pub operator: Option<SocketAddr>,
    /// The last cached endpoint list, which may be out of date.
    #[serde(borrow)]
    pub known: EndpointList<'a>,
    /// The settings object.
    pub settings: SettingsDocument,
}
