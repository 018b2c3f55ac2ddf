//! The endpoints that a gateway knows, and which of them are usable, in maintenance or ejected. The cost of
//! an event depends on the number of endpoints that the event names, not on the length of the list.

use crate::{
    interface::{Endpoint, EndpointCounts, EndpointId, Lifecycle, Time},
    policy::routing::endpoint_state::EndpointState,
    primitives::ordered_table::{EntryHandle, OrderedTable},
};
use std::{
    collections::BTreeSet,
    ops::{Index, IndexMut},
};

/// Table of the endpoints that a gateway knows.
#[derive(Debug, Default)]
pub struct EndpointTable {
    /// All known endpoints; the usable ones are selected.
    endpoints: OrderedTable<EndpointId, EndpointState>,
    /// Endpoints in maintenance, whether or not the table has an entry for them.
    in_maintenance: BTreeSet<EndpointId>,
    /// All entries that the endpoint list does not name.
    unlisted: BTreeSet<EntryHandle>,
    /// A superset of the ejected endpoints.
    ejected: BTreeSet<EntryHandle>,
}

impl EndpointTable {
    /// Applies an update of the endpoint list. Calls `observe` with each entry and the state of its endpoint
    /// before applying the entry. Keeps an endpoint that the list does not name only while attempts to it are
    /// in flight.
    pub fn update(
        &mut self,
        is_complete: bool,
        entries: Vec<Endpoint>,
        mut observe: impl FnMut(&mut EndpointState, &Endpoint),
    ) {
        if is_complete {
            for endpoint in self.endpoints.values_mut() {
                endpoint.is_running = false;
                endpoint.is_listed = false;
            }
        }
        self.endpoints.reserve(entries.len());
        let mut affected = std::mem::take(&mut self.unlisted);
        for entry in entries {
            let handle = self.endpoints.find_or_add(entry.id.clone());
            let endpoint = &mut self.endpoints[handle];
            observe(endpoint, &entry);
            endpoint.zone = entry.zone;
            endpoint.cell = entry.cell;
            endpoint.is_running = entry.lifecycle == Lifecycle::Running;
            endpoint.is_listed = entry.lifecycle != Lifecycle::Gone;
            affected.insert(handle);
        }
        if is_complete {
            affected.extend(self.endpoints.handles());
        }
        for handle in affected {
            self.refresh(handle);
        }
    }

    /// Removes an endpoint that is unlisted and has no attempts in flight; else updates whether it is usable.
    fn refresh(&mut self, handle: EntryHandle) {
        let endpoint = &self.endpoints[handle];
        let is_listed = endpoint.is_listed;
        if !is_listed && endpoint.health().in_flight <= 0.0 {
            self.remove(handle);
            return;
        }
        if !is_listed {
            self.unlisted.insert(handle);
        }
        self.update_usable(handle);
    }

    /// Returns the handle of an endpoint; `None` if the table has no entry for it.
    pub fn find(&self, id: &EndpointId) -> Option<EntryHandle> {
        self.endpoints.find(id)
    }

    /// Returns the handle of an endpoint. Adds an unlisted entry if the endpoint is unknown.
    pub fn find_or_add(&mut self, id: EndpointId) -> EntryHandle {
        let handle = self.endpoints.find_or_add(id);
        if !self.endpoints[handle].is_listed {
            self.unlisted.insert(handle);
        }
        handle
    }

    /// Removes an endpoint from the table.
    pub fn remove(&mut self, handle: EntryHandle) {
        self.unlisted.remove(&handle);
        self.ejected.remove(&handle);
        self.endpoints.remove(handle);
    }

    /// Returns the identifier of an endpoint.
    pub fn id(&self, handle: EntryHandle) -> &EndpointId {
        self.endpoints.key(handle)
    }

    /// Iterates over all endpoints in the order of their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, &EndpointState)> {
        self.endpoints.iter()
    }

    /// Returns the handles of the usable endpoints in the order of their identifiers.
    pub fn usable(&self) -> &[EntryHandle] {
        self.endpoints.selected()
    }

    /// Returns the handle of the usable endpoint that is `offset` positions after the position at the
    /// fraction `start` of all usable endpoints, from 0 to 1. The first endpoint follows the last.
    pub fn usable_from(&self, start: f64, offset: usize) -> EntryHandle {
        let usable = self.usable();
        let index = (start * usable.len() as f64) as usize + offset;
        usable[if index < usable.len() { index } else { index - usable.len() }]
    }

    fn update_usable(&mut self, handle: EntryHandle) {
        let is_in_maintenance = self.in_maintenance.contains(self.endpoints.key(handle));
        let is_usable = self.endpoints[handle].is_running && !is_in_maintenance;
        if is_usable != self.endpoints[handle].is_usable {
            self.endpoints[handle].is_usable = is_usable;
            self.endpoints.select(handle, is_usable);
        }
    }

    /// Records that an endpoint was ejected. Call this after each change of its `ejected_until`.
    pub fn record_ejection(&mut self, handle: EntryHandle) {
        self.ejected.insert(handle);
    }

    /// Returns the number of usable endpoints that are ejected at `now`.
    pub fn count_ejected(&mut self, now: Time) -> usize {
        let endpoints = &self.endpoints;
        self.ejected.retain(|handle| now < endpoints[*handle].health().ejected_until);
        self.ejected.iter().filter(|handle| endpoints[**handle].is_usable).count()
    }

    /// Puts an endpoint into maintenance or takes it out. Returns whether it was in maintenance before.
    pub fn set_maintenance(&mut self, id: &EndpointId, in_maintenance: bool) -> bool {
        let was_in_maintenance = if in_maintenance {
            !self.in_maintenance.insert(id.clone())
        } else {
            self.in_maintenance.remove(id)
        };
        if let Some(handle) = self.find(id) {
            self.update_usable(handle);
        }
        was_in_maintenance
    }

    /// Puts exactly these endpoints into maintenance and takes all others out.
    pub fn replace_maintenance(&mut self, in_maintenance: Vec<EndpointId>) {
        self.in_maintenance = in_maintenance.into_iter().collect();
        for handle in self.endpoints.handles().to_vec() {
            self.update_usable(handle);
        }
    }

    /// Iterates over the endpoints in maintenance.
    pub fn in_maintenance(&self) -> impl Iterator<Item = &EndpointId> {
        self.in_maintenance.iter()
    }

    /// Returns whether an endpoint has an entry or is in maintenance.
    pub fn is_known(&self, id: &EndpointId) -> bool {
        self.find(id).is_some() || self.in_maintenance.contains(id)
    }

    /// Returns the numbers of endpoints that are listed and avoided at `now`.
    pub fn counts(&self, now: Time) -> EndpointCounts {
        let mut counts = EndpointCounts::default();
        for (_, endpoint) in self.iter().filter(|(_, endpoint)| endpoint.is_listed) {
            counts.listed += 1;
            let is_avoided = !endpoint.is_usable || now < endpoint.health().ejected_until;
            counts.avoided += usize::from(is_avoided);
        }
        counts
    }
}

impl Index<EntryHandle> for EndpointTable {
    type Output = EndpointState;

    fn index(&self, handle: EntryHandle) -> &EndpointState {
        &self.endpoints[handle]
    }
}

impl IndexMut<EntryHandle> for EndpointTable {
    fn index_mut(&mut self, handle: EntryHandle) -> &mut EndpointState {
        &mut self.endpoints[handle]
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/endpoint_table.rs"]
mod tests;
