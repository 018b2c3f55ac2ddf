//! Entries and updates of the endpoint list that discovery provides.

use crate::interface::{EndpointId, Time};

/// State of an endpoint's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// Accepts requests.
    Running,
    /// Shuts down and must not be sent new attempts.
    Draining,
    /// No longer exists.
    Gone,
}

/// Entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Identifier, the same across restarts of the endpoint's process.
    pub id: EndpointId,
    /// Index of the zone that the endpoint runs in.
    pub zone: u32,
    /// Index of the cell that the endpoint runs in; only unique within a zone.
    pub cell: u32,
    /// Time at which the current process started; 0 if that was long ago.
    pub started: Time,
    /// State of the current process.
    pub lifecycle: Lifecycle,
}

/// Content of an update of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that have changed.
    Changes,
    /// The complete list.
    Full,
    /// The complete list from a cache, which may be out of date.
    Stale,
    /// No entries, because the poll failed.
    Failed,
}

/// Numbers of endpoints that are listed, and of those among them that receive no attempts at present.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Endpoints in the endpoint list.
    pub listed: usize,
    /// Listed endpoints that are in maintenance, draining or ejected.
    pub avoided: usize,
}
