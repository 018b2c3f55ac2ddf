//! Endpoints as discovery lists them.

use crate::interface::{EndpointId, Time};

/// The state of an endpoint's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// It accepts requests.
    Running,
    /// It is shutting down and must not be sent new attempts.
    Draining,
    /// It no longer exists.
    Gone,
}

/// One endpoint as the endpoint list shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its identifier.
    pub id: EndpointId,
    /// The zone that it runs in.
    pub zone: u32,
    /// The cell, within the zone, that it runs in.
    pub cell: u32,
    /// When its current process started; 0 if that was long ago.
    pub started: Time,
    /// The state of its process.
    pub lifecycle: Lifecycle,
}

/// What an update of the endpoint list contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that have changed.
    Changes,
    /// The complete list.
    Full,
    /// The complete list as it was last cached, which may be out of date.
    Stale,
    /// Nothing: the poll failed.
    Failed,
}

/// How many endpoints there are, and how many of them receive nothing at present.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Endpoints that the list names.
    pub listed: usize,
    /// Listed endpoints that are in maintenance, draining or ejected.
    pub avoided: usize,
}
