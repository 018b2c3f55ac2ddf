//! A fleet of gateways on one clock, with endpoints that respond in 50 ms and a counter of a given capacity.

use super::{AttemptEnd, GatewayHarness};
use oliverack::{Action, EndpointId, Event, RequestId, Seconds, Status, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Time that an endpoint takes to respond.
const RESPONSE_TIME: Seconds = 0.05;

/// The counter service: it works off calls one by one.
pub struct CounterModel {
    pub calls_per_second: f64,
    /// Time on the network, there and back.
    pub round_trip: Seconds,
    /// Queueing time beyond which it rejects calls.
    pub max_queue_time: Seconds,
    /// Time after which a gateway abandons a call.
    pub call_timeout: Seconds,
    /// It replies to nobody before this moment.
    pub silent_until: Time,
    totals: BTreeMap<u64, f64>,
    /// When it will have worked off its queue.
    idle_at: Time,
}

impl CounterModel {
    pub fn new(
        calls_per_second: f64,
        round_trip: Seconds,
        max_queue_time: Seconds,
        call_timeout: Seconds,
    ) -> Self {
        Self {
            calls_per_second,
            round_trip,
            max_queue_time,
            call_timeout,
            silent_until: 0.0,
            totals: BTreeMap::new(),
            idle_at: 0.0,
        }
    }

    /// Forgets all counts.
    pub fn clear_totals(&mut self) {
        self.totals.clear();
    }

    /// When a call that is made now ends, and how.
    fn call(&mut self, now: Time, counter: u64, amount: f64) -> (Time, Event) {
        let ended = |status, total, elapsed| {
            (now + elapsed, Event::CounterReplied { counter, status, total, elapsed })
        };
        if now < self.silent_until {
            return ended(Status::Timeout, 0.0, self.call_timeout);
        }
        let queue_time = (self.idle_at - now).max(0.0);
        if queue_time > self.max_queue_time {
            return ended(Status::Rejected, 0.0, self.round_trip);
        }
        self.idle_at = now.max(self.idle_at) + 1.0 / self.calls_per_second;
        let total = self.totals.entry(counter).or_default();
        *total += amount;
        let elapsed = queue_time + self.round_trip;
        if elapsed <= self.call_timeout {
            ended(Status::Ok, *total, elapsed)
        } else {
            ended(Status::Timeout, 0.0, self.call_timeout)
        }
    }
}

/// Orders pending events: the bits of their time, then the order in which they were scheduled.
type ScheduleKey = (u64, u64);

/// A fleet and its pending events: counter replies, responses and timers.
pub struct Simulation {
    pub gateways: Vec<GatewayHarness>,
    pub counter: CounterModel,
    /// Pending events, each with the index of its gateway.
    pending: BTreeMap<ScheduleKey, (usize, Event)>,
    scheduled_count: u64,
    /// Requests of which an attempt was started.
    sent: BTreeSet<RequestId>,
}

impl Simulation {
    pub fn new(gateways: Vec<GatewayHarness>, counter: CounterModel) -> Self {
        Self { gateways, counter, pending: BTreeMap::new(), scheduled_count: 0, sent: BTreeSet::new() }
    }

    /// Replaces a gateway that was killed by a new one.
    pub fn restart(&mut self, gateway: usize, harness: GatewayHarness) {
        self.gateways[gateway] = harness;
        self.pending.retain(|_, (owner, _)| *owner != gateway);
    }

    /// Delivers all events that are due by `now`; returns the requests that are sent for the first time.
    pub fn advance(&mut self, now: Time) -> Vec<RequestId> {
        let mut first_sends = Vec::new();
        while let Some(entry) = self.pending.first_entry().filter(|e| f64::from_bits(e.key().0) <= now) {
            let (gateway, event) = entry.remove();
            first_sends.extend(self.handle(gateway, now, event));
        }
        first_sends
    }

    /// Delivers an event to one gateway; returns the requests that it sends for the first time.
    pub fn handle(&mut self, gateway: usize, now: Time, event: Event) -> Vec<RequestId> {
        let harness = &mut self.gateways[gateway];
        harness.now = now;
        let actions = harness.handle(event);
        harness.actions.clear();
        let mut first_sends = Vec::new();
        for action in actions {
            let (at, event) = match action {
                Action::StartAttempt { request_id, endpoint, .. } => {
                    if self.sent.insert(request_id.clone()) {
                        first_sends.push(request_id.clone());
                    }
                    (now + RESPONSE_TIME, response_event(&request_id, &endpoint))
                }
                Action::AddToCounter { counter, amount, .. } => self.counter.call(now, counter, amount),
                Action::SetTimer { token, at } => (at, Event::Timer { token }),
                _ => continue,
            };
            self.scheduled_count += 1;
            self.pending.insert((at.to_bits(), self.scheduled_count), (gateway, event));
        }
        first_sends
    }
}

fn response_event(request_id: &str, endpoint: &EndpointId) -> Event {
    AttemptEnd::new(request_id, endpoint).elapsed(RESPONSE_TIME).event()
}
