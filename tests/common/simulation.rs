//! A fleet of gateways on one clock, before endpoints that answer in 50 ms and a counter of a given strength.

use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// Seconds that an endpoint takes to answer.
const ANSWER: f64 = 0.05;

/// The counter service.
pub struct CounterModel {
    /// Calls a second that it works off, in turn.
    pub calls: f64,
    /// Seconds there and back.
    pub way: f64,
    /// Seconds of waiting from which on it turns calls away.
    pub line: f64,
    /// Seconds after which a gateway gives a call up.
    pub limit: f64,
    /// It answers nobody until then.
    pub silent_until: Time,
    totals: BTreeMap<u64, f64>,
    free: Time,
}

impl CounterModel {
    pub fn new(calls: f64, way: f64, line: f64, limit: f64) -> Self {
        Self { calls, way, line, limit, silent_until: 0.0, totals: BTreeMap::new(), free: 0.0 }
    }

    /// Forgets all counts.
    pub fn lose(&mut self) {
        self.totals.clear();
    }

    /// When a call that is made now ends, and how.
    fn call(&mut self, now: Time, counter: u64, amount: f64) -> (Time, Event) {
        let ended = |status, total, elapsed| {
            (now + elapsed, Event::CounterReplied { counter, status, total, elapsed })
        };
        if now < self.silent_until {
            return ended(Status::Timeout, 0.0, self.limit);
        }
        let wait = (self.free - now).max(0.0);
        if wait > self.line {
            return ended(Status::Rejected, 0.0, self.way);
        }
        self.free = now.max(self.free) + 1.0 / self.calls;
        let total = self.totals.entry(counter).or_default();
        *total += amount;
        let elapsed = wait + self.way;
        if elapsed <= self.limit {
            ended(Status::Ok, *total, elapsed)
        } else {
            ended(Status::Timeout, 0.0, self.limit)
        }
    }
}

/// The fleet, and what is due: a call's answer, an attempt's, a timer.
pub struct Simulation {
    pub rigs: Vec<Rig>,
    pub counter: CounterModel,
    due: BTreeMap<(u64, u64), (usize, Event)>,
    turn: u64,
    sent: BTreeSet<RequestId>,
}

impl Simulation {
    pub fn new(rigs: Vec<Rig>, counter: CounterModel) -> Self {
        Self { rigs, counter, due: BTreeMap::new(), turn: 0, sent: BTreeSet::new() }
    }

    /// Puts a gateway that knows nothing in the place of one that is killed.
    pub fn restart(&mut self, gateway: usize, rig: Rig) {
        self.rigs[gateway] = rig;
        self.due.retain(|_, (owner, _)| *owner != gateway);
    }

    /// Lets all that is due by `now` happen; returns the requests sent on for the first time.
    pub fn advance(&mut self, now: Time) -> Vec<RequestId> {
        let mut first_sends = Vec::new();
        while let Some(entry) = self.due.first_entry().filter(|e| f64::from_bits(e.key().0) <= now) {
            let (gateway, event) = entry.remove();
            first_sends.extend(self.handle(gateway, now, event));
        }
        first_sends
    }

    /// Tells one gateway of an event; returns the requests that it sends on for the first time.
    pub fn handle(&mut self, gateway: usize, now: Time, event: Event) -> Vec<RequestId> {
        let rig = &mut self.rigs[gateway];
        rig.now = now;
        let actions = rig.event(event);
        rig.actions.clear();
        let mut first_sends = Vec::new();
        for action in actions {
            let (at, event) = match action {
                Action::StartAttempt { request_id, endpoint, .. } => {
                    if self.sent.insert(request_id.clone()) {
                        first_sends.push(request_id.clone());
                    }
                    (now + ANSWER, answered(request_id, endpoint))
                }
                Action::AddToCounter { counter, amount, .. } => self.counter.call(now, counter, amount),
                Action::SetTimer { token, at } => (at, Event::Timer { token }),
                _ => continue,
            };
            self.turn += 1;
            self.due.insert((at.to_bits(), self.turn), (gateway, event));
        }
        first_sends
    }
}

fn answered(request_id: RequestId, endpoint: EndpointId) -> Event {
    let (status, load) = (Status::Ok, LoadReport::default());
    Event::AttemptEnded {
        request_id,
        attempt: 0,
        endpoint,
        status,
        elapsed: ANSWER,
        is_finished: true,
        actual_units: None,
        load,
    }
}
