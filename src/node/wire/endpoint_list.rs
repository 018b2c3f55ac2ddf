//! The endpoint list in the format of discovery. It borrows its strings from the text, as lists are long.

use oliverack::{Endpoint, Lifecycle};
use schemars::JsonSchema;
use serde::Deserialize;
use std::{
    borrow::Cow,
    hash::{Hash, Hasher},
    net::SocketAddr,
};

/// Set in the numbers of zones that the settings don't name.
const UNNAMED_ZONE_BIT: u32 = 1 << 31;

/// An endpoint list, complete or with changes only.
#[derive(Debug, Deserialize, JsonSchema)]
#[schemars(rename = "List")]
pub struct EndpointList<'a> {
    /// Grows with each change.
    pub version: u64,
    /// It names all endpoints, not only the changed ones.
    #[serde(rename = "full")]
    pub is_full: bool,
    /// The endpoints.
    #[serde(borrow, rename = "servers")]
    endpoints: Vec<Entry<'a>>,
}

/// An endpoint as discovery shows it.
#[derive(Debug, Deserialize, JsonSchema)]
struct Entry<'a> {
    /// Its identifier, the same at all gateways.
    #[serde(borrow)]
    id: Cow<'a, str>,
    /// Where this gateway reaches it.
    #[serde(borrow, default)]
    addr: Cow<'a, str>,
    /// The name of its zone.
    #[serde(borrow, default)]
    zone: Cow<'a, str>,
    /// The number of its cell.
    #[serde(default)]
    cell: u32,
    /// `SERVING`, `DRAINING` or `DELETED`; an entry with another one is ignored.
    #[serde(borrow)]
    state: Cow<'a, str>,
    /// When it last started, in Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    started_ms: f64,
}

/// An endpoint in the policy's terms, with the address at which this gateway reaches it.
#[derive(Debug, Clone)]
pub struct ListedEndpoint {
    /// What the policy knows of it.
    pub endpoint: Endpoint,
    /// `None` if the list has no usable address.
    pub address: Option<SocketAddr>,
}

impl EndpointList<'_> {
    /// The endpoints whose state is known. `zones` are the names of the zones by number.
    pub fn endpoints(&self, zones: &[String]) -> Vec<ListedEndpoint> {
        let mut endpoints = Vec::with_capacity(self.endpoints.len());
        endpoints.extend(self.endpoints.iter().filter_map(|entry| entry.to_listed_endpoint(zones)));
        endpoints
    }
}

impl Entry<'_> {
    /// `None` if its state is unknown.
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
        Some(ListedEndpoint { endpoint, address: self.addr.parse().ok() })
    }
}

/// The number of a zone. A zone that the settings don't name gets a number of its own, as endpoints of different zones
/// don't share their deduplication of requests.
fn zone_number(name: &str, zones: &[String]) -> u32 {
    if let Some(number) = zones.iter().position(|zone| zone == name) {
        return number as u32;
    }
    let mut hasher = fnv::FnvHasher::default();
    name.hash(&mut hasher);
    hasher.finish() as u32 | UNNAMED_ZONE_BIT
}
