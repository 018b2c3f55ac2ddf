//! How the list of workers reaches the gatekeepers.

use super::{Occurrence, Simulation, endpoint};
use crate::fleet::discovery::{SharedList, Turn};
use crate::fleet::gatekeepers::Address;
use crate::fleet::wire_size;
use oliverack::{Event, Lifecycle, ListKind, Time};
use std::sync::Arc;

impl Simulation {
    /// A gatekeeper that has just started holds the list as it was last told, perhaps stale.
    pub(super) fn begin_life(&mut self, gatekeeper: usize) {
        let now = self.queue.now();
        let to = self.address(gatekeeper);
        let lateness = self.gatekeepers[gatekeeper].lateness;
        let list = self.discovery.list_at(now - lateness);
        self.queue.schedule(now, Occurrence::ListArrives { to, kind: ListKind::Stale, list });
        if !self.must_ask() {
            self.gatekeepers[gatekeeper].watching = true;
            self.count_discovery(gatekeeper, wire_size::list_call());
            self.tell_whole_list(to, lateness);
        }
    }

    /// Sends the whole list as it is now.
    fn tell_whole_list(&mut self, to: Address, delay: f64) {
        let now = self.queue.now();
        let list = self.discovery.list_at(now);
        let at = now + delay;
        self.measures.fleet.lists_told += 1;
        self.queue.schedule(at, Occurrence::ListArrives { to, kind: ListKind::Full, list });
    }

    pub(super) fn ask_list(&mut self, from: Address) {
        self.count_discovery(from.gatekeeper, wire_size::list_call());
        if self.must_ask() {
            let delay = self.asking_delay();
            self.queue.schedule(self.queue.now() + delay, Occurrence::ListAsked(from));
        } else {
            let lateness = self.gatekeepers[from.gatekeeper].lateness;
            self.tell_whole_list(from, lateness);
        }
    }

    pub(super) fn list_asked(&mut self, from: Address) {
        let (at, served) = match self.discovery.ask(self.queue.now()) {
            Turn::Answered(at) => (at, true),
            Turn::Failed(at) => (at, false),
        };
        self.queue.schedule(at, Occurrence::ListAnswered { to: from, served });
    }

    pub(super) fn list_answered(&mut self, to: Address, served: bool) {
        let gatekeeper = &mut self.gatekeepers[to.gatekeeper];
        if !gatekeeper.lives(to.life) {
            return;
        }
        if served {
            gatekeeper.watching = true;
            gatekeeper.told_at = self.queue.now();
            let delay = self.asking_delay();
            self.tell_whole_list(to, delay);
        } else {
            self.measures.fleet.list_calls_failed += 1;
            self.tell(to, Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() });
        }
    }

    pub(super) fn list_arrives(&mut self, to: Address, kind: ListKind, list: &Arc<SharedList>) {
        let now = self.queue.now();
        if !self.gatekeepers[to.gatekeeper].lives(to.life) {
            return;
        }
        // The list that a gatekeeper holds at its start comes from its own machine.
        if kind != ListKind::Stale {
            self.count_watches(to.gatekeeper, now);
            self.count_discovery(to.gatekeeper, list.bytes);
            let call = wire_size::watch_call(self.discovery.version(), self.watch_seconds());
            self.count_discovery(to.gatekeeper, call);
        }
        self.tell(to, Event::EndpointsUpdated { kind, endpoints: list.endpoints.clone() });
    }

    /// Tells a change of a worker to all that watch.
    pub(super) fn tell_change(&mut self, worker: usize, lifecycle: Lifecycle) {
        let now = self.queue.now();
        let cells = self.configuration.workers.cells;
        let mut entry = endpoint(&self.worker_ids[worker], worker, &self.workers[worker], cells);
        entry.lifecycle = lifecycle;
        let list = self.discovery.change(now, entry);
        self.measures.fleet.list_changes += 1;
        for gatekeeper in 0..self.gatekeepers.len() {
            if self.gatekeepers[gatekeeper].watching {
                let to = self.address(gatekeeper);
                let at = now + self.gatekeepers[gatekeeper].lateness;
                let list = list.clone();
                self.queue.schedule(at, Occurrence::ListArrives { to, kind: ListKind::Changes, list });
            }
        }
    }

    /// Counts the watches that ended without news since the last answer, up to `now`.
    pub(super) fn count_watches(&mut self, gatekeeper: usize, now: Time) {
        let hold = self.watch_seconds();
        let watcher = &mut self.gatekeepers[gatekeeper];
        let idle = now - watcher.told_at;
        watcher.told_at = now;
        if !watcher.watching {
            return;
        }
        let (call, answer) =
            (wire_size::watch_call(self.discovery.version(), hold), wire_size::list_answer(&[], false));
        for _ in 0..(idle / hold) as u64 {
            self.count_discovery(gatekeeper, call);
            self.count_discovery(gatekeeper, answer);
        }
    }

    /// Delay between a gatekeeper and the service that it asks.
    fn asking_delay(&self) -> f64 {
        self.configuration.topology.delay_in_region
    }

    fn watch_seconds(&self) -> f64 {
        self.configuration.discovery.watch_seconds
    }

    /// Counts a message between a gatekeeper and discovery.
    fn count_discovery(&mut self, gatekeeper: usize, bytes: u64) {
        self.gatekeepers[gatekeeper].traffic.count(bytes);
        self.measures.traffic.discovery.count(bytes);
    }
}
