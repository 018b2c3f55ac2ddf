//! Simulation of a fleet on one clock, with endpoints that respond in 50 ms and a counter of limited capacity.

use super::{AttemptEnd, GatewayHarness};
use oliverack::{Action, EndpointId, Event, RequestId, Seconds, Status, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Response time of every endpoint.
const RESPONSE_TIME: Seconds = 0.05;

/// A counter that processes calls one after another at a fixed rate.
pub struct CounterModel {
    /// Calls that the counter processes per second.
    pub calls_per_second: f64,
    /// Network time of a call and its reply together.
    pub round_trip: Seconds,
    /// Queueing time beyond which the counter rejects calls.
    pub max_queue_time: Seconds,
    /// Time after which a gateway abandons a call.
    pub call_timeout: Seconds,
    /// Time before which the counter replies to no call.
    pub silent_until: Time,
    /// Units in each count, by the name of the count.
    totals: BTreeMap<u64, f64>,
    /// Time at which all queued calls will have been processed.
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

    /// Deletes all counts.
    pub fn clear_totals(&mut self) {
        self.totals.clear();
    }

    /// Processes a call made at `now`. Returns the time at which it ends, and the event that reports its result.
    fn call(&mut self, now: Time, counter: u64, amount: f64) -> (Time, Event) {
        let result = |status, total, elapsed| {
            (now + elapsed, Event::CounterReplied { counter, status, total, elapsed })
        };
        if now < self.silent_until {
            return result(Status::Timeout, 0.0, self.call_timeout);
        }
        let queue_time = (self.idle_at - now).max(0.0);
        if queue_time > self.max_queue_time {
            return result(Status::Rejected, 0.0, self.round_trip);
        }
        self.idle_at = now.max(self.idle_at) + 1.0 / self.calls_per_second;
        let total = self.totals.entry(counter).or_default();
        *total += amount;
        let elapsed = queue_time + self.round_trip;
        if elapsed <= self.call_timeout {
            result(Status::Ok, *total, elapsed)
        } else {
            result(Status::Timeout, 0.0, self.call_timeout)
        }
    }
}

/// Sort key of pending events: the bits of the time, then the order in which the events were scheduled. The bits sort
/// as the times do, because no time is negative.
type ScheduleKey = (u64, u64);

/// A fleet with a counter, and the pending counter replies, responses and timers.
pub struct Simulation {
    pub gateways: Vec<GatewayHarness>,
    pub counter: CounterModel,
    /// Pending events, each with the index of its gateway.
    pending: BTreeMap<ScheduleKey, (usize, Event)>,
    scheduled_count: u64,
    /// Requests that have had an attempt.
    sent_requests: BTreeSet<RequestId>,
}

impl Simulation {
    pub fn new(gateways: Vec<GatewayHarness>, counter: CounterModel) -> Self {
        Self {
            gateways,
            counter,
            pending: BTreeMap::new(),
            scheduled_count: 0,
            sent_requests: BTreeSet::new(),
        }
    }

    /// Replaces a killed gateway by a new one and drops the pending events of the old one.
    pub fn restart(&mut self, gateway: usize, harness: GatewayHarness) {
        self.gateways[gateway] = harness;
        self.pending.retain(|_, (owner, _)| *owner != gateway);
    }

    /// Delivers all events that are due by `now`. Returns the requests that get their first attempt.
    pub fn advance(&mut self, now: Time) -> Vec<RequestId> {
        let mut first_attempts = Vec::new();
        while let Some(entry) =
            self.pending.first_entry().filter(|entry| f64::from_bits(entry.key().0) <= now)
        {
            let (gateway, event) = entry.remove();
            first_attempts.extend(self.handle(gateway, now, event));
        }
        first_attempts
    }

    /// Delivers an event to one gateway. Returns the requests that get their first attempt.
    pub fn handle(&mut self, gateway: usize, now: Time, event: Event) -> Vec<RequestId> {
        let harness = &mut self.gateways[gateway];
        harness.now = now;
        let actions = harness.handle(event);
        harness.actions.clear();
        let mut first_attempts = Vec::new();
        for action in actions {
            let (due_at, event) = match action {
                Action::StartAttempt { request_id, endpoint, .. } => {
                    if self.sent_requests.insert(request_id.clone()) {
                        first_attempts.push(request_id.clone());
                    }
                    (now + RESPONSE_TIME, response_event(&request_id, &endpoint))
                }
                Action::AddToCounter { counter, amount, .. } => self.counter.call(now, counter, amount),
                Action::SetTimer { token, at } => (at, Event::Timer { token }),
                _ => continue,
            };
            self.scheduled_count += 1;
            self.pending.insert((due_at.to_bits(), self.scheduled_count), (gateway, event));
        }
        first_attempts
    }
}

fn response_event(request_id: &str, endpoint: &EndpointId) -> Event {
    AttemptEnd::new(request_id, endpoint).elapsed(RESPONSE_TIME).event()
}
