//! The endpoints that a gateway knows: listed ones, those in maintenance, and those that are ejected. What an
//! event costs here depends on how many endpoints it names, not on how many there are.

use crate::{
    interface::{Endpoint, EndpointCounts, EndpointId, Lifecycle, Time},
    policy::routing::endpoint_state::EndpointState,
    primitives::ordered_table::{EntryHandle, OrderedTable},
};
use std::{
    collections::BTreeSet,
    ops::{Index, IndexMut},
};

/// See the [module](self).
#[derive(Debug, Default)]
pub struct EndpointTable {
    /// All endpoints; the usable ones are selected.
    endpoints: OrderedTable<EndpointId, EndpointState>,
    /// Endpoints in maintenance, known or not.
    in_maintenance: BTreeSet<EndpointId>,
    /// All endpoints that the list does not name.
    unlisted: BTreeSet<EntryHandle>,
    /// A superset of the endpoints that are ejected.
    ejected: BTreeSet<EntryHandle>,
}

impl EndpointTable {
    /// Applies an update of the list, and calls `observe` for each entry first. An endpoint that the list
    /// does not name is kept only while attempts to it are in flight.
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
        let mut touched = std::mem::take(&mut self.unlisted);
        for entry in entries {
            let handle = self.endpoints.find_or_add(entry.id.clone());
            let endpoint = &mut self.endpoints[handle];
            observe(endpoint, &entry);
            endpoint.zone = entry.zone;
            endpoint.cell = entry.cell;
            endpoint.is_running = entry.lifecycle == Lifecycle::Running;
            endpoint.is_listed = entry.lifecycle != Lifecycle::Gone;
            touched.insert(handle);
        }
        if is_complete {
            touched.extend(self.endpoints.handles());
        }
        for handle in touched {
            self.refresh(handle);
        }
    }

    /// Removes an endpoint that is neither listed nor in use; otherwise updates whether it is usable.
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

    /// The place of an endpoint, if it is known.
    pub fn find(&self, id: &EndpointId) -> Option<EntryHandle> {
        self.endpoints.find(id)
    }

    /// The place of an endpoint. One that was unknown is not listed.
    pub fn find_or_add(&mut self, id: EndpointId) -> EntryHandle {
        let handle = self.endpoints.find_or_add(id);
        if !self.endpoints[handle].is_listed {
            self.unlisted.insert(handle);
        }
        handle
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, handle: EntryHandle) {
        self.unlisted.remove(&handle);
        self.ejected.remove(&handle);
        self.endpoints.remove(handle);
    }

    /// The identifier of an endpoint.
    pub fn id(&self, handle: EntryHandle) -> &EndpointId {
        self.endpoints.key(handle)
    }

    /// All endpoints in the order of their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, &EndpointState)> {
        self.endpoints.iter()
    }

    /// The usable endpoints in the order of their identifiers.
    pub fn usable(&self) -> &[EntryHandle] {
        self.endpoints.selected()
    }

    /// The usable endpoint `steps` behind the one at the share `phase` of them, from 0 to 1. The first
    /// follows the last.
    pub fn usable_from(&self, phase: f64, steps: usize) -> EntryHandle {
        let usable = self.usable();
        let index = (phase * usable.len() as f64) as usize + steps;
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

    /// Records that an endpoint's ejection time was set.
    pub fn record_ejection(&mut self, handle: EntryHandle) {
        self.ejected.insert(handle);
    }

    /// How many usable endpoints are ejected.
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

    /// Puts these endpoints into maintenance and takes all others out.
    pub fn replace_maintenance(&mut self, in_maintenance: Vec<EndpointId>) {
        self.in_maintenance = in_maintenance.into_iter().collect();
        for handle in self.endpoints.handles().to_vec() {
            self.update_usable(handle);
        }
    }

    /// The endpoints in maintenance.
    pub fn in_maintenance(&self) -> impl Iterator<Item = &EndpointId> {
        self.in_maintenance.iter()
    }

    /// Whether an endpoint is known, or in maintenance.
    pub fn knows(&self, id: &EndpointId) -> bool {
        self.find(id).is_some() || self.in_maintenance.contains(id)
    }

    /// How many endpoints are listed, and how many of them are avoided at `now`.
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
