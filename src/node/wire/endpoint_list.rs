//! Format of discovery's endpoint list. A parsed list borrows its strings from the input, because lists are long.

use oliverack::{Endpoint, Lifecycle};
use schemars::JsonSchema;
use serde::Deserialize;
use std::{
    borrow::Cow,
    hash::{Hash, Hasher},
    net::SocketAddr,
};

/// Bit set in the number of every zone that the settings don't name.
const UNNAMED_ZONE_BIT: u32 = 1 << 31;

/// An endpoint list: all endpoints, or only those that changed.
#[derive(Debug, Deserialize, JsonSchema)]
#[schemars(rename = "List")]
pub struct EndpointList<'a> {
    /// Number that grows with each change of the list.
    pub version: u64,
    /// True if the list names all endpoints, not only the changed ones.
    #[serde(rename = "full")]
    pub is_full: bool,
    /// The listed endpoints.
    #[serde(borrow, rename = "servers")]
    endpoints: Vec<EndpointEntry<'a>>,
}

/// An endpoint as discovery lists it.
#[derive(Debug, Deserialize, JsonSchema)]
#[schemars(rename = "Entry")]
struct EndpointEntry<'a> {
    /// Identifier of the endpoint, the same at all gateways.
    #[serde(borrow)]
    id: Cow<'a, str>,
    /// Address at which this gateway reaches the endpoint, such as `10.0.0.1:80`.
    #[serde(borrow, default, rename = "addr")]
    address: Cow<'a, str>,
    /// Name of the endpoint's zone.
    #[serde(borrow, default)]
    zone: Cow<'a, str>,
    /// Number of the endpoint's cell.
    #[serde(default)]
    cell: u32,
    /// `SERVING`, `DRAINING` or `DELETED`; an entry with another state is ignored.
    #[serde(borrow)]
    state: Cow<'a, str>,
    /// Time of the endpoint's last start, in milliseconds of Unix time; 0 if long ago.
    #[serde(default)]
    started_ms: f64,
}

/// A listed endpoint and the address at which this gateway reaches it.
#[derive(Debug, Clone)]
pub struct ListedEndpoint {
    /// The endpoint as the policy sees it.
    pub endpoint: Endpoint,
    /// `None` if the list gives no valid address.
    pub address: Option<SocketAddr>,
}

impl EndpointList<'_> {
    /// Returns the endpoints whose state is valid. `zones` holds the name of each zone at the index that is its number.
    pub fn endpoints(&self, zones: &[String]) -> Vec<ListedEndpoint> {
        let mut endpoints = Vec::with_capacity(self.endpoints.len());
        endpoints.extend(self.endpoints.iter().filter_map(|entry| entry.to_listed_endpoint(zones)));
        endpoints
    }
}

impl EndpointEntry<'_> {
    /// Converts the entry; returns `None` if the state is unknown.
    fn to_listed_endpoint(&self, zones: &[String]) -> Option<ListedEndpoint> {
        let lifecycle = match &*self.state {
            "SERVING" => Lifecycle::Running,
            "DRAINING" => Lifecycle::Draining,
            "DELETED" => Lifecycle::Gone,
            _ => return None,
        };
        let endpoint = Endpoint {
            id: self.id.as_ref().into(),
            zone: zone_number(&self.zone, zones),
            cell: self.cell,
            started: self.started_ms / 1000.0,
            lifecycle,
        };
        Some(ListedEndpoint { endpoint, address: self.address.parse().ok() })
    }
}

/// Returns the number of a zone. A zone that the settings don't name gets a number of its own, derived from the name,
/// because endpoints of different zones don't deduplicate each other's requests.
fn zone_number(name: &str, zones: &[String]) -> u32 {
    if let Some(number) = zones.iter().position(|zone| zone == name) {
        return number as u32;
    }
    let mut hasher = fnv::FnvHasher::default();
    name.hash(&mut hasher);
    hasher.finish() as u32 | UNNAMED_ZONE_BIT
}
