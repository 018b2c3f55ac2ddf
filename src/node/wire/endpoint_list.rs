//! The list of endpoints in discovery's form. It is read from its text without a copy of any of its strings.

use oliverack::{Endpoint, Lifecycle};
use schemars::JsonSchema;
use serde::Deserialize;
use std::{
    borrow::Cow,
    hash::{Hash, Hasher},
    net::SocketAddr,
};

/// A list of endpoints, borrowed from its text.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct List<'a> {
    /// Grows with each change.
    pub version: u64,
    /// It names all endpoints, not only those that have changed.
    pub full: bool,
    /// Its entries.
    #[serde(borrow, rename = "servers")]
    endpoints: Vec<Entry<'a>>,
}

/// An endpoint as discovery shows it.
#[derive(Debug, Deserialize, JsonSchema)]
struct Entry<'a> {
    /// The same at all gateways.
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
    /// `SERVING`, `DRAINING` or `DELETED`; an entry with another one is passed over.
    #[serde(borrow)]
    state: Cow<'a, str>,
    /// When it last started, in Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    started_ms: f64,
}

/// An endpoint in the module's terms, with its address if it has a usable one.
#[derive(Debug, Clone)]
pub struct Listed {
    pub endpoint: Endpoint,
    pub addr: Option<SocketAddr>,
}

impl List<'_> {
    /// The endpoints whose state is known; `zones` are the names of the zones by number.
    pub fn endpoints(&self, zones: &[String]) -> Vec<Listed> {
        let mut endpoints = Vec::with_capacity(self.endpoints.len());
        endpoints.extend(self.endpoints.iter().filter_map(|entry| entry.listed(zones)));
        endpoints
    }
}

impl Entry<'_> {
    /// `None`: its state is unknown.
    fn listed(&self, zones: &[String]) -> Option<Listed> {
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
        Some(Listed { endpoint, addr: self.addr.parse().ok() })
    }
}

/// One that the settings don't name is a zone all the same, and another than the next such: endpoints of two zones don't
/// know each other's requests.
fn zone_number(name: &str, zones: &[String]) -> u32 {
    if let Some(number) = zones.iter().position(|zone| zone == name) {
        return number as u32;
    }
    let mut hasher = fnv::FnvHasher::default();
    name.hash(&mut hasher);
    hasher.finish() as u32 | 1 << 31
}
