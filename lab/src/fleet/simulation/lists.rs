//! How the list of endpoints reaches the gateways.

use super::{ScheduledEvent, Simulation, list_entry};
use crate::fleet::discovery::{PollOutcome, SharedList};
use crate::fleet::gateways::GatewayAddress;
use crate::fleet::wire_size;
use oliverack::{Event, Lifecycle, ListKind, Time};
use std::sync::Arc;

impl Simulation {
    /// A gateway that has just started holds the list as it was last told, perhaps stale.
    pub(super) fn begin_incarnation(&mut self, gateway: usize) {
        let now = self.queue.now();
        let to = self.address(gateway);
        let propagation_delay = self.gateways[gateway].propagation_delay;
        let list = self.discovery.list_at(now - propagation_delay);
        self.queue.schedule(now, ScheduledEvent::EndpointListArrived { to, kind: ListKind::Stale, list });
        if !self.discovery_is_polled() {
            self.gateways[gateway].watching = true;
            self.count_discovery(gateway, wire_size::list_call());
            self.send_complete_list(to, propagation_delay);
        }
    }

    /// Sends the whole list as it is now.
    fn send_complete_list(&mut self, to: GatewayAddress, delay: f64) {
        let now = self.queue.now();
        let list = self.discovery.list_at(now);
        let at = now + delay;
        self.measures.fleet.complete_lists_sent += 1;
        self.queue.schedule(at, ScheduledEvent::EndpointListArrived { to, kind: ListKind::Full, list });
    }

    pub(super) fn poll_endpoints(&mut self, from: GatewayAddress) {
        self.count_discovery(from.gateway, wire_size::list_call());
        if self.discovery_is_polled() {
            let delay = self.discovery_delay();
            self.queue.schedule(self.queue.now() + delay, ScheduledEvent::PollArrived(from));
        } else {
            let propagation_delay = self.gateways[from.gateway].propagation_delay;
            self.send_complete_list(from, propagation_delay);
        }
    }

    pub(super) fn poll_arrived(&mut self, from: GatewayAddress) {
        let (at, served) = match self.discovery.poll(self.queue.now()) {
            PollOutcome::Answered(at) => (at, true),
            PollOutcome::Failed(at) => (at, false),
        };
        self.queue.schedule(at, ScheduledEvent::PollAnswered { to: from, served });
    }

    pub(super) fn poll_answered(&mut self, to: GatewayAddress, served: bool) {
        let gateway = &mut self.gateways[to.gateway];
        if !gateway.is_incarnation(to.incarnation) {
            return;
        }
        if served {
            gateway.watching = true;
            gateway.last_answer_at = self.queue.now();
            let delay = self.discovery_delay();
            self.send_complete_list(to, delay);
        } else {
            self.measures.fleet.polls_failed += 1;
            self.notify(to, Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() });
        }
    }

    pub(super) fn endpoint_list_arrived(
        &mut self,
        to: GatewayAddress,
        kind: ListKind,
        list: &Arc<SharedList>,
    ) {
        let now = self.queue.now();
        if !self.gateways[to.gateway].is_incarnation(to.incarnation) {
            return;
        }
        // The list that a gateway holds at its start comes from its own machine.
        if kind != ListKind::Stale {
            self.count_watches(to.gateway, now);
            self.count_discovery(to.gateway, list.bytes);
            let call = wire_size::watch_call(self.discovery.version(), self.watch_hold());
            self.count_discovery(to.gateway, call);
        }
        self.notify(to, Event::EndpointsUpdated { kind, endpoints: list.endpoints.clone() });
    }

    /// Tells a change of a endpoint to all that watch.
    pub(super) fn publish_change(&mut self, endpoint: usize, lifecycle: Lifecycle) {
        let now = self.queue.now();
        let cells = self.configuration.endpoints.cells;
        let mut entry = list_entry(&self.endpoint_ids[endpoint], endpoint, &self.endpoints[endpoint], cells);
        entry.lifecycle = lifecycle;
        let list = self.discovery.change(now, entry);
        self.measures.fleet.list_changes += 1;
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].watching {
                let to = self.address(gateway);
                let at = now + self.gateways[gateway].propagation_delay;
                let list = list.clone();
                self.queue
                    .schedule(at, ScheduledEvent::EndpointListArrived { to, kind: ListKind::Changes, list });
            }
        }
    }

    /// Counts the watches that ended without news since the last answer, up to `now`.
    pub(super) fn count_watches(&mut self, gateway: usize, now: Time) {
        let hold = self.watch_hold();
        let watcher = &mut self.gateways[gateway];
        let idle = now - watcher.last_answer_at;
        watcher.last_answer_at = now;
        if !watcher.watching {
            return;
        }
        let (call, answer) =
            (wire_size::watch_call(self.discovery.version(), hold), wire_size::list_answer(&[], false));
        for _ in 0..(idle / hold) as u64 {
            self.count_discovery(gateway, call);
            self.count_discovery(gateway, answer);
        }
    }

    /// Delay between a gateway and the service that it asks.
    fn discovery_delay(&self) -> f64 {
        self.configuration.topology.delay_in_region
    }

    fn watch_hold(&self) -> f64 {
        self.configuration.discovery.watch_hold
    }

    /// Counts a message between a gateway and discovery.
    fn count_discovery(&mut self, gateway: usize, bytes: u64) {
        self.gateways[gateway].traffic.count(bytes);
        self.measures.traffic.discovery.count(bytes);
    }
}
