//! The servers that a gateway knows: those that the list names, those that operators have left out, and those that
//! are ejected. What an event costs here depends on how many servers it names, not on how many there are.

use crate::{
    host::Host,
    interface::{Lifecycle, Server, ServerId, Targets, Time},
    ordered_table::{OrderedTable, Place},
};
use std::{
    collections::BTreeSet,
    ops::{Index, IndexMut},
};

/// See the [module](self).
#[derive(Debug, Default)]
pub struct ServerTable {
    /// The usable ones are selected.
    hosts: OrderedTable<ServerId, Host>,
    /// Servers that operators have left out, known or not.
    left_out: BTreeSet<ServerId>,
    /// All hosts that the list does not name.
    unlisted: BTreeSet<Place>,
    /// All hosts that may be ejected at present: no other is.
    ejected: BTreeSet<Place>,
}

impl ServerTable {
    /// Takes in a list, the whole one or what has changed, and lets `renew` judge each entry first. A server that the
    /// list does not name is kept only while attempts are out to it.
    pub fn update(
        &mut self,
        is_whole: bool,
        entries: Vec<Server>,
        mut renew: impl FnMut(&mut Host, &Server),
    ) {
        if is_whole {
            self.hosts.values_mut().for_each(|host| (host.running, host.listed) = (false, false));
        }
        self.hosts.reserve(entries.len());
        let mut touched = std::mem::take(&mut self.unlisted);
        for entry in entries {
            let place = self.hosts.find_or_add(entry.id.clone());
            let host = &mut self.hosts[place];
            renew(host, &entry);
            (host.zone, host.cell) = (entry.zone, entry.cell);
            host.running = entry.lifecycle == Lifecycle::Running;
            host.listed = entry.lifecycle != Lifecycle::Gone;
            touched.insert(place);
        }
        if is_whole {
            touched.extend(self.hosts.places());
        }
        for place in touched {
            let host = &self.hosts[place];
            if !host.listed && host.health().inflight <= 0.0 {
                self.remove(place);
                continue;
            }
            if !host.listed {
                self.unlisted.insert(place);
            }
            self.mark_usable(place);
        }
    }

    /// The place of a server, if it is known.
    pub fn find(&self, id: &ServerId) -> Option<Place> {
        self.hosts.find(id)
    }

    /// The place of a server that may be unknown so far; it is not listed then.
    pub fn find_or_add(&mut self, id: ServerId) -> Place {
        let place = self.hosts.find_or_add(id);
        if !self.hosts[place].listed {
            self.unlisted.insert(place);
        }
        place
    }

    /// Forgets a server.
    pub fn remove(&mut self, place: Place) {
        self.unlisted.remove(&place);
        self.ejected.remove(&place);
        self.hosts.remove(place);
    }

    /// The address of a server.
    pub fn id(&self, place: Place) -> &ServerId {
        self.hosts.key(place)
    }

    /// All servers, in the order of their addresses.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, &Host)> {
        self.hosts.iter()
    }

    /// The servers that run and are not left out, in the order of their addresses.
    pub fn usable(&self) -> &[Place] {
        self.hosts.selected()
    }

    /// The usable server so many steps behind the one at the share `phase` of them, from 0 to 1; the first comes after
    /// the last.
    pub fn usable_from(&self, phase: f64, steps: usize) -> Place {
        let usable = self.usable();
        let index = (phase * usable.len() as f64) as usize + steps;
        usable[if index < usable.len() { index } else { index - usable.len() }]
    }

    fn mark_usable(&mut self, place: Place) {
        let usable = self.hosts[place].running && !self.left_out.contains(self.hosts.key(place));
        if usable != self.hosts[place].usable {
            self.hosts[place].usable = usable;
            self.hosts.select(place, usable);
        }
    }

    /// Notes that a host's `out_until` is set.
    pub fn note_ejected(&mut self, place: Place) {
        self.ejected.insert(place);
    }

    /// How many usable servers are ejected.
    pub fn count_ejected(&mut self, now: Time) -> usize {
        let hosts = &self.hosts;
        self.ejected.retain(|place| now < hosts[*place].health().out_until);
        self.ejected.iter().filter(|place| hosts[**place].usable).count()
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
        self.hosts.places().to_vec().into_iter().for_each(|place| self.mark_usable(place));
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
        let listed = || self.iter().filter(|(_, host)| host.listed);
        let avoided = listed().filter(|(_, host)| !host.usable || now < host.health().out_until);
        Targets { listed: listed().count(), avoided: avoided.count() }
    }
}

impl Index<Place> for ServerTable {
    type Output = Host;

    fn index(&self, place: Place) -> &Host {
        &self.hosts[place]
    }
}

impl IndexMut<Place> for ServerTable {
    fn index_mut(&mut self, place: Place) -> &mut Host {
        &mut self.hosts[place]
    }
}

#[cfg(test)]
#[path = "../tests/unit/server_table.rs"]
mod tests;
