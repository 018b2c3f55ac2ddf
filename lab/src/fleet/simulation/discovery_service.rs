//! Distribution of the endpoint list to the gateways by polls and watches, with propagation delays.

use super::context::RunContext;
use super::event::ScheduledEvent;
use crate::fleet::discovery::{Discovery, PollResult, SharedList};
use crate::fleet::gateways::GatewayAddress;
use crate::fleet::randomness::{Stream, stream, uniform};
use crate::fleet::wire_size;
use oliverack::{Endpoint, Event, ListKind, Seconds, Time};
use std::sync::Arc;

/// Watch of a gateway for changes of the endpoint list.
#[derive(Debug)]
struct Watch {
    /// Time that a change takes to reach this gateway.
    propagation_delay: Seconds,
    /// Incarnation that watches; `None` while the gateway is down and, if lists have to be polled for, until discovery
    /// has answered the first poll of the incarnation.
    watcher: Option<GatewayAddress>,
    /// Time of the last response to the gateway or of its start, from which idle watches are counted.
    last_response_at: Time,
}

/// Discovery service and the watches of all gateways.
#[derive(Debug)]
pub struct DiscoveryService {
    discovery: Discovery,
    /// Watch of each gateway, by index.
    watches: Vec<Watch>,
}

impl DiscoveryService {
    /// Returns a service that lists these endpoints and that no gateway watches yet.
    pub fn new(context: &RunContext, seed: u64, endpoints: Vec<Endpoint>) -> Self {
        let discovery = &context.configuration.discovery;
        let mut delay_generator = stream(seed, Stream::Discovery);
        let watch = |_| Watch {
            propagation_delay: uniform(&mut delay_generator, discovery.propagation_delay),
            watcher: None,
            last_response_at: context.now(),
        };
        let watches = (0..context.configuration.gateways.count).map(watch).collect();
        Self { discovery: Discovery::new(discovery, endpoints), watches }
    }

    /// Handles the start of a gateway. The gateway gets the list that last reached its machine, which may be stale.
    /// Unless lists have to be polled for, it also gets the current one.
    pub fn gateway_started(&mut self, context: &mut RunContext, gateway: GatewayAddress) {
        let now = context.now();
        let watch = &mut self.watches[gateway.gateway];
        watch.last_response_at = now;
        let propagation_delay = watch.propagation_delay;
        let list = self.discovery.list_at(now - propagation_delay);
        let kind = ListKind::Stale;
        context.schedule_at(now, ScheduledEvent::EndpointListArrived { to: gateway, kind, list });
        if !context.discovery_is_polled() {
            self.watches[gateway.gateway].watcher = Some(gateway);
            count_message(context, gateway.gateway, wire_size::list_request());
            self.send_complete_list(context, gateway, propagation_delay);
        }
    }

    /// Ends the watch of a gateway whose incarnation has ended.
    pub fn gateway_stopped(&mut self, context: &mut RunContext, gateway: usize) {
        self.count_idle_watches(context, gateway);
        self.watches[gateway].watcher = None;
    }

    /// Sends the current complete list to a gateway.
    fn send_complete_list(&mut self, context: &mut RunContext, to: GatewayAddress, delay: Seconds) {
        let list = self.discovery.list_at(context.now());
        context.measures.fleet.complete_lists_sent += 1;
        let event = ScheduledEvent::EndpointListArrived { to, kind: ListKind::Full, list };
        context.schedule_after(delay, event);
    }

    /// Sends a gateway's poll for the endpoint list. In push mode, the list is sent without queueing.
    pub fn poll(&mut self, context: &mut RunContext, from: GatewayAddress) {
        count_message(context, from.gateway, wire_size::list_request());
        if context.discovery_is_polled() {
            context.schedule_after(poll_delay(context), ScheduledEvent::PollArrived(from));
        } else {
            let delay = self.watches[from.gateway].propagation_delay;
            self.send_complete_list(context, from, delay);
        }
    }

    /// Handles the arrival of a poll at the service, where it is queued.
    pub fn poll_arrived(&mut self, context: &mut RunContext, from: GatewayAddress) {
        match self.discovery.poll(context.now()) {
            PollResult::Answered(answered_at) => {
                context
                    .schedule_at(answered_at, ScheduledEvent::PollCompleted { to: from, is_answered: true });
            }
            PollResult::TimedOut(timed_out_at) => {
                context.schedule_at(
                    timed_out_at,
                    ScheduledEvent::PollCompleted { to: from, is_answered: false },
                );
            }
        }
    }

    /// Answers the poll of a running gateway with the complete list. The gateway watches for changes from then on.
    pub fn poll_succeeded(&mut self, context: &mut RunContext, to: GatewayAddress) {
        let watch = &mut self.watches[to.gateway];
        watch.watcher = Some(to);
        watch.last_response_at = context.now();
        self.send_complete_list(context, to, poll_delay(context));
    }

    /// Handles the arrival of a list at a running gateway and returns the notification for its policy.
    pub fn list_arrived(
        &mut self,
        context: &mut RunContext,
        to: GatewayAddress,
        kind: ListKind,
        list: &SharedList,
    ) -> Event {
        // The stale list at a start comes from the gateway's own machine, without any messages.
        if kind != ListKind::Stale {
            self.count_idle_watches(context, to.gateway);
            count_message(context, to.gateway, list.bytes);
            let watch_hold = context.configuration.discovery.watch_hold;
            count_message(
                context,
                to.gateway,
                wire_size::watch_request(self.discovery.version(), watch_hold),
            );
        }
        Event::EndpointsUpdated { kind, endpoints: list.endpoints.clone() }
    }

    /// Publishes the change of a list entry to all watching gateways.
    pub fn publish(&mut self, context: &mut RunContext, change: Endpoint) {
        let list = self.discovery.record_change(context.now(), change);
        context.measures.fleet.list_changes += 1;
        for watch in &self.watches {
            if let Some(to) = watch.watcher {
                let list = Arc::clone(&list);
                let event = ScheduledEvent::EndpointListArrived { to, kind: ListKind::Changes, list };
                context.schedule_after(watch.propagation_delay, event);
            }
        }
    }

    /// Counts the messages of a gateway's watches that have ended without a change since its last response.
    ///
    /// Idle watches are counted afterwards and not simulated one by one, because they affect nothing but the traffic.
    fn count_idle_watches(&mut self, context: &mut RunContext, gateway: usize) {
        let now = context.now();
        let watch_hold = context.configuration.discovery.watch_hold;
        let watch = &mut self.watches[gateway];
        let idle_time = now - watch.last_response_at;
        watch.last_response_at = now;
        if watch.watcher.is_none() {
            return;
        }
        let request_bytes = wire_size::watch_request(self.discovery.version(), watch_hold);
        let response_bytes = wire_size::list_response(&[], false);
        for _ in 0..(idle_time / watch_hold) as u64 {
            count_message(context, gateway, request_bytes);
            count_message(context, gateway, response_bytes);
        }
    }

    /// Counts the idle watches of all gateways at the end of a run.
    pub fn count_all_idle_watches(&mut self, context: &mut RunContext) {
        for gateway in 0..self.watches.len() {
            self.count_idle_watches(context, gateway);
        }
    }
}

/// Returns the network delay between a gateway and the service that it polls.
fn poll_delay(context: &RunContext) -> Seconds {
    context.configuration.topology.delay_in_region
}

/// Counts a message between a gateway and discovery.
fn count_message(context: &mut RunContext, gateway: usize, bytes: u64) {
    context.measures.traffic.gateways[gateway].count(bytes);
    context.measures.traffic.discovery.count(bytes);
}
