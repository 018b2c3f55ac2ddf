//! The configuration file as it is written.

use crate::node::wire::endpoint_list::EndpointList;
use oliverack::SettingsDocument;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::SocketAddr;

/// What the process may hold.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct ProcessLimitsDocument {
    /// File descriptors.
    pub sockets: usize,
    /// Memory, in MB.
    pub memory_mb: usize,
}

/// The configuration file.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct ConfigDocument<'a> {
    /// The gateway's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Seed of the random numbers: up to 16 hexadecimal digits.
    pub seed: String,
    /// What the process may hold.
    pub limits: ProcessLimitsDocument,
    /// Where the counter listens, if there is one.
    pub counter: Option<SocketAddr>,
    /// Where operators call, if they may.
    pub operator: Option<SocketAddr>,
    /// The endpoint list as last cached; it may be out of date.
    #[serde(borrow)]
    pub known: EndpointList<'a>,
    /// The settings object.
    pub settings: SettingsDocument,
}
