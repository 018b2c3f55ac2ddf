//! The endpoints that a gateway knows: those that the list names, those that operators have left out, and those that
//! are ejected. What an event costs here depends on how many endpoints it names, not on how many there are.

use crate::{
    endpoint_state::EndpointState,
    interface::{Endpoint, EndpointCounts, EndpointId, Lifecycle, Time},
    ordered_table::{OrderedTable, Place},
};
use std::{
    collections::BTreeSet,
    ops::{Index, IndexMut},
};

/// See the [module](self).
#[derive(Debug, Default)]
pub struct EndpointTable {
    /// The usable ones are selected.
    endpoints: OrderedTable<EndpointId, EndpointState>,
    /// Endpoints that operators have left out, known or not.
    in_maintenance: BTreeSet<EndpointId>,
    /// All endpoints that the list does not name.
    unlisted: BTreeSet<Place>,
    /// All endpoints that may be ejected at present: no other is.
    ejected: BTreeSet<Place>,
}

impl EndpointTable {
    /// Takes in a list, the whole one or what has changed, and lets `renew` judge each entry first. An endpoint that the
    /// list does not name is kept only while attempts are out to it.
    pub fn update(
        &mut self,
        is_whole: bool,
        entries: Vec<Endpoint>,
        mut renew: impl FnMut(&mut EndpointState, &Endpoint),
    ) {
        if is_whole {
            self.endpoints
                .values_mut()
                .for_each(|endpoint| (endpoint.running, endpoint.listed) = (false, false));
        }
        self.endpoints.reserve(entries.len());
        let mut touched = std::mem::take(&mut self.unlisted);
        for entry in entries {
            let place = self.endpoints.find_or_add(entry.id.clone());
            let endpoint = &mut self.endpoints[place];
            renew(endpoint, &entry);
            (endpoint.zone, endpoint.cell) = (entry.zone, entry.cell);
            endpoint.running = entry.lifecycle == Lifecycle::Running;
            endpoint.listed = entry.lifecycle != Lifecycle::Gone;
            touched.insert(place);
        }
        if is_whole {
            touched.extend(self.endpoints.places());
        }
        for place in touched {
            let endpoint = &self.endpoints[place];
            if !endpoint.listed && endpoint.health().inflight <= 0.0 {
                self.remove(place);
                continue;
            }
            if !endpoint.listed {
                self.unlisted.insert(place);
            }
            self.mark_usable(place);
        }
    }

    /// The place of an endpoint, if it is known.
    pub fn find(&self, id: &EndpointId) -> Option<Place> {
        self.endpoints.find(id)
    }

    /// The place of an endpoint that may be unknown so far; it is not listed then.
    pub fn find_or_add(&mut self, id: EndpointId) -> Place {
        let place = self.endpoints.find_or_add(id);
        if !self.endpoints[place].listed {
            self.unlisted.insert(place);
        }
        place
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, place: Place) {
        self.unlisted.remove(&place);
        self.ejected.remove(&place);
        self.endpoints.remove(place);
    }

    /// The address of an endpoint.
    pub fn id(&self, place: Place) -> &EndpointId {
        self.endpoints.key(place)
    }

    /// All endpoints, in the order of their addresses.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, &EndpointState)> {
        self.endpoints.iter()
    }

    /// The endpoints that run and are not left out, in the order of their addresses.
    pub fn usable(&self) -> &[Place] {
        self.endpoints.selected()
    }

    /// The usable endpoint so many steps behind the one at the share `phase` of them, from 0 to 1; the first comes after
    /// the last.
    pub fn usable_from(&self, phase: f64, steps: usize) -> Place {
        let usable = self.usable();
        let index = (phase * usable.len() as f64) as usize + steps;
        usable[if index < usable.len() { index } else { index - usable.len() }]
    }

    fn mark_usable(&mut self, place: Place) {
        let usable =
            self.endpoints[place].running && !self.in_maintenance.contains(self.endpoints.key(place));
        if usable != self.endpoints[place].usable {
            self.endpoints[place].usable = usable;
            self.endpoints.select(place, usable);
        }
    }

    /// Notes that an endpoint's `out_until` is set.
    pub fn note_ejected(&mut self, place: Place) {
        self.ejected.insert(place);
    }

    /// How many usable endpoints are ejected.
    pub fn count_ejected(&mut self, now: Time) -> usize {
        let endpoints = &self.endpoints;
        self.ejected.retain(|place| now < endpoints[*place].health().out_until);
        self.ejected.iter().filter(|place| endpoints[**place].usable).count()
    }

    /// Leaves an endpoint out, or puts it back; whether it was left out before.
    pub fn set_maintenance(&mut self, id: &EndpointId, is_out: bool) -> bool {
        let was_out =
            if is_out { !self.in_maintenance.insert(id.clone()) } else { self.in_maintenance.remove(id) };
        self.find(id).into_iter().for_each(|place| self.mark_usable(place));
        was_out
    }

    /// Leaves out these, and no others.
    pub fn replace_maintenance(&mut self, in_maintenance: Vec<EndpointId>) {
        self.in_maintenance = in_maintenance.into_iter().collect();
        self.endpoints.places().to_vec().into_iter().for_each(|place| self.mark_usable(place));
    }

    /// The endpoints that operators have left out.
    pub fn in_maintenance(&self) -> impl Iterator<Item = &EndpointId> {
        self.in_maintenance.iter()
    }

    /// Whether the endpoint is known, or left out.
    pub fn knows(&self, id: &EndpointId) -> bool {
        self.find(id).is_some() || self.in_maintenance.contains(id)
    }

    /// How many endpoints are listed, and how many of them are avoided at `now`.
    pub fn targets(&self, now: Time) -> EndpointCounts {
        let listed = || self.iter().filter(|(_, endpoint)| endpoint.listed);
        let avoided = listed().filter(|(_, endpoint)| !endpoint.usable || now < endpoint.health().out_until);
        EndpointCounts { listed: listed().count(), avoided: avoided.count() }
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
#[path = "../tests/unit/endpoint_table.rs"]
mod tests;
