//! The servers that a gateway knows: those that the list names, those that operators have left out, and those that
//! are ejected. What an event costs here depends on how many servers it names, not on how many there are.

use crate::{
    interface::{Lifecycle, Server, ServerId, Targets, Time},
    ordered_table::{OrderedTable, Place},
    server_state::ServerState,
};
use std::{
    collections::BTreeSet,
    ops::{Index, IndexMut},
};

/// See the [module](self).
#[derive(Debug, Default)]
pub struct ServerTable {
    /// The usable ones are selected.
    servers: OrderedTable<ServerId, ServerState>,
    /// Servers that operators have left out, known or not.
    left_out: BTreeSet<ServerId>,
    /// All servers that the list does not name.
    unlisted: BTreeSet<Place>,
    /// All servers that may be ejected at present: no other is.
    ejected: BTreeSet<Place>,
}

impl ServerTable {
    /// Takes in a list, the whole one or what has changed, and lets `renew` judge each entry first. A server that the
    /// list does not name is kept only while attempts are out to it.
    pub fn update(
        &mut self,
        is_whole: bool,
        entries: Vec<Server>,
        mut renew: impl FnMut(&mut ServerState, &Server),
    ) {
        if is_whole {
            self.servers.values_mut().for_each(|server| (server.running, server.listed) = (false, false));
        }
        self.servers.reserve(entries.len());
        let mut touched = std::mem::take(&mut self.unlisted);
        for entry in entries {
            let place = self.servers.find_or_add(entry.id.clone());
            let server = &mut self.servers[place];
            renew(server, &entry);
            (server.zone, server.cell) = (entry.zone, entry.cell);
            server.running = entry.lifecycle == Lifecycle::Running;
            server.listed = entry.lifecycle != Lifecycle::Gone;
            touched.insert(place);
        }
        if is_whole {
            touched.extend(self.servers.places());
        }
        for place in touched {
            let server = &self.servers[place];
            if !server.listed && server.health().inflight <= 0.0 {
                self.remove(place);
                continue;
            }
            if !server.listed {
                self.unlisted.insert(place);
            }
            self.mark_usable(place);
        }
    }

    /// The place of a server, if it is known.
    pub fn find(&self, id: &ServerId) -> Option<Place> {
        self.servers.find(id)
    }

    /// The place of a server that may be unknown so far; it is not listed then.
    pub fn find_or_add(&mut self, id: ServerId) -> Place {
        let place = self.servers.find_or_add(id);
        if !self.servers[place].listed {
            self.unlisted.insert(place);
        }
        place
    }

    /// Forgets a server.
    pub fn remove(&mut self, place: Place) {
        self.unlisted.remove(&place);
        self.ejected.remove(&place);
        self.servers.remove(place);
    }

    /// The address of a server.
    pub fn id(&self, place: Place) -> &ServerId {
        self.servers.key(place)
    }

    /// All servers, in the order of their addresses.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, &ServerState)> {
        self.servers.iter()
    }

    /// The servers that run and are not left out, in the order of their addresses.
    pub fn usable(&self) -> &[Place] {
        self.servers.selected()
    }

    /// The usable server so many steps behind the one at the share `phase` of them, from 0 to 1; the first comes after
    /// the last.
    pub fn usable_from(&self, phase: f64, steps: usize) -> Place {
        let usable = self.usable();
        let index = (phase * usable.len() as f64) as usize + steps;
        usable[if index < usable.len() { index } else { index - usable.len() }]
    }

    fn mark_usable(&mut self, place: Place) {
        let usable = self.servers[place].running && !self.left_out.contains(self.servers.key(place));
        if usable != self.servers[place].usable {
            self.servers[place].usable = usable;
            self.servers.select(place, usable);
        }
    }

    /// Notes that a server's `out_until` is set.
    pub fn note_ejected(&mut self, place: Place) {
        self.ejected.insert(place);
    }

    /// How many usable servers are ejected.
    pub fn count_ejected(&mut self, now: Time) -> usize {
        let servers = &self.servers;
        self.ejected.retain(|place| now < servers[*place].health().out_until);
        self.ejected.iter().filter(|place| servers[**place].usable).count()
    }

    /// Leaves a server out, or puts it back; whether it was left out before.
    pub fn leave_out(&mut self, id: &ServerId, is_out: bool) -> bool {
        let was_out = if is_out { !self.left_out.insert(id.clone()) } else { self.left_out.remove(id) };
        self.find(id).into_iter().for_each(|place| self.mark_usable(place));
        was_out
    }

    /// Leaves out these, and no others.
    pub fn replace_left_out(&mut self, left_out: Vec<ServerId>) {
        self.left_out = left_out.into_iter().collect();
        self.servers.places().to_vec().into_iter().for_each(|place| self.mark_usable(place));
    }

    /// The servers that operators have left out.
    pub fn left_out(&self) -> impl Iterator<Item = &ServerId> {
        self.left_out.iter()
    }

    /// Whether the server is known, or left out.
    pub fn knows(&self, id: &ServerId) -> bool {
        self.find(id).is_some() || self.left_out.contains(id)
    }

    /// How many servers are listed, and how many of them are avoided at `now`.
    pub fn targets(&self, now: Time) -> Targets {
        let listed = || self.iter().filter(|(_, server)| server.listed);
        let avoided = listed().filter(|(_, server)| !server.usable || now < server.health().out_until);
        Targets { listed: listed().count(), avoided: avoided.count() }
    }
}

impl Index<Place> for ServerTable {
    type Output = ServerState;

    fn index(&self, place: Place) -> &ServerState {
        &self.servers[place]
    }
}

impl IndexMut<Place> for ServerTable {
    fn index_mut(&mut self, place: Place) -> &mut ServerState {
        &mut self.servers[place]
    }
}

#[cfg(test)]
#[path = "../tests/unit/server_table.rs"]
mod tests;
