//! The endpoints that a gateway knows: listed ones, those in maintenance, and those that are ejected. What an
//! event costs here depends on how many endpoints it names, not on how many there are.

use crate::{
    interface::{Endpoint, EndpointCounts, EndpointId, Lifecycle, Time},
    policy::routing::endpoint_state::EndpointState,
    primitives::ordered_table::{OrderedTable, Place},
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
    unlisted: BTreeSet<Place>,
    /// A superset of the endpoints that are ejected.
    ejected: BTreeSet<Place>,
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
            let place = self.endpoints.find_or_add(entry.id.clone());
            let endpoint = &mut self.endpoints[place];
            observe(endpoint, &entry);
            endpoint.zone = entry.zone;
            endpoint.cell = entry.cell;
            endpoint.is_running = entry.lifecycle == Lifecycle::Running;
            endpoint.is_listed = entry.lifecycle != Lifecycle::Gone;
            touched.insert(place);
        }
        if is_complete {
            touched.extend(self.endpoints.places());
        }
        for place in touched {
            self.refresh(place);
        }
    }

    /// Removes an endpoint that is neither listed nor in use; otherwise updates whether it is usable.
    fn refresh(&mut self, place: Place) {
        let endpoint = &self.endpoints[place];
        let is_listed = endpoint.is_listed;
        if !is_listed && endpoint.health().in_flight <= 0.0 {
            self.remove(place);
            return;
        }
        if !is_listed {
            self.unlisted.insert(place);
        }
        self.update_usable(place);
    }

    /// The place of an endpoint, if it is known.
    pub fn find(&self, id: &EndpointId) -> Option<Place> {
        self.endpoints.find(id)
    }

    /// The place of an endpoint. One that was unknown is not listed.
    pub fn find_or_add(&mut self, id: EndpointId) -> Place {
        let place = self.endpoints.find_or_add(id);
        if !self.endpoints[place].is_listed {
            self.unlisted.insert(place);
        }
        place
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, place: Place) {
        self.unlisted.remove(&place);
        self.ejected.remove(&place);
        self.endpoints.remove(place);
    }

    /// The identifier of an endpoint.
    pub fn id(&self, place: Place) -> &EndpointId {
        self.endpoints.key(place)
    }

    /// All endpoints in the order of their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, &EndpointState)> {
        self.endpoints.iter()
    }

    /// The usable endpoints in the order of their identifiers.
    pub fn usable(&self) -> &[Place] {
        self.endpoints.selected()
    }

    /// The usable endpoint `steps` behind the one at the share `phase` of them, from 0 to 1. The first
    /// follows the last.
    pub fn usable_from(&self, phase: f64, steps: usize) -> Place {
        let usable = self.usable();
        let index = (phase * usable.len() as f64) as usize + steps;
        usable[if index < usable.len() { index } else { index - usable.len() }]
    }

    fn update_usable(&mut self, place: Place) {
        let is_in_maintenance = self.in_maintenance.contains(self.endpoints.key(place));
        let is_usable = self.endpoints[place].is_running && !is_in_maintenance;
        if is_usable != self.endpoints[place].is_usable {
            self.endpoints[place].is_usable = is_usable;
            self.endpoints.select(place, is_usable);
        }
    }

    /// Records that an endpoint's ejection time was set.
    pub fn record_ejection(&mut self, place: Place) {
        self.ejected.insert(place);
    }

    /// How many usable endpoints are ejected.
    pub fn count_ejected(&mut self, now: Time) -> usize {
        let endpoints = &self.endpoints;
        self.ejected.retain(|place| now < endpoints[*place].health().ejected_until);
        self.ejected.iter().filter(|place| endpoints[**place].is_usable).count()
    }

    /// Puts an endpoint into maintenance or takes it out. Returns whether it was in maintenance before.
    pub fn set_maintenance(&mut self, id: &EndpointId, in_maintenance: bool) -> bool {
        let was_in_maintenance = if in_maintenance {
            !self.in_maintenance.insert(id.clone())
        } else {
            self.in_maintenance.remove(id)
        };
        if let Some(place) = self.find(id) {
            self.update_usable(place);
        }
        was_in_maintenance
    }

    /// Puts these endpoints into maintenance and takes all others out.
    pub fn replace_maintenance(&mut self, in_maintenance: Vec<EndpointId>) {
        self.in_maintenance = in_maintenance.into_iter().collect();
        for place in self.endpoints.places().to_vec() {
            self.update_usable(place);
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

impl Index<Place> for EndpointTable {
    type Output = EndpointState;

    fn index(&self, place: Place) -> &EndpointState {
        &self.endpoints[place]
    }
}

impl IndexMut<Place> for EndpointTable {
    fn index_mut(&mut self, place: Place) -> &mut EndpointState {
        &mut self.endpoints[place]
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/endpoint_table.rs"]
mod tests;
