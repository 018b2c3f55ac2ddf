//! Calls from gatekeepers to the counter and back.

use super::{Occurrence, Simulation};
use crate::fleet::counter::Admission;
use crate::fleet::counter_calls::{CallEnd, CallKey};
use crate::fleet::gatekeepers::Address;
use crate::fleet::wire_size;
use oliverack::{Event, Status};

impl Simulation {
    /// Begins a call.
    pub(super) fn count(&mut self, from: Address, name: u64, amount: f64, life: f64) {
        let now = self.queue.now();
        let Some(figures) = &self.configuration.counter else {
            let event = Event::CounterReplied {
                counter: name,
                status: Status::ConnectFailed,
                total: 0.0,
                elapsed: 0.0,
            };
            return self.tell_later(from, event);
        };
        let delay = figures.delay;
        let gatekeeper = &mut self.gatekeepers[from.gatekeeper];
        gatekeeper.traffic.count(wire_size::counter_call(name, amount, life));
        let call = gatekeeper.calls.begin(now, name);
        self.measures.counter_calls.made += 1;
        self.measures.second(now).counter_calls += 1;
        let given_up = CallEnd { status: Status::Timeout, total: 0.0 };
        let limit = self.configuration.policy.count_limit;
        self.queue.schedule(now + limit, Occurrence::CallEnds { to: from, call, end: given_up });
        if !self.zone_is_cut(from) {
            let arrives = Occurrence::CallArrives { from, call, amount, life };
            self.queue.schedule(now + delay, arrives);
        }
    }

    fn zone_is_cut(&self, address: Address) -> bool {
        self.zones_cut[self.gatekeepers[address.gatekeeper].zone as usize]
    }

    pub(super) fn call_arrives(&mut self, from: Address, call: CallKey, amount: f64, life: f64) {
        let now = self.queue.now();
        let Some(counter) = &mut self.counter else { return };
        let admission = counter.admit(now, call.name);
        if admission != Admission::Silent {
            self.measures.traffic.counter.count(wire_size::counter_call(call.name, amount, life));
        }
        match admission {
            Admission::Served { at } => {
                self.queue.schedule(at, Occurrence::CallServed { from, call, amount, life });
            }
            Admission::Full => {
                let end = CallEnd { status: Status::Rejected, total: 0.0 };
                self.answer_call(from, call, end, wire_size::counter_busy());
            }
            Admission::Silent => {}
        }
    }

    pub(super) fn call_served(&mut self, from: Address, call: CallKey, amount: f64, life: f64) {
        let now = self.queue.now();
        let Some(counter) = &mut self.counter else { return };
        let total = counter.add(now, call.name, amount, life);
        let gatekeeper = &self.gatekeepers[from.gatekeeper];
        if !gatekeeper.lives(from.life) || !gatekeeper.calls.awaits(call) {
            self.measures.counter_calls.added_in_vain += 1;
        }
        let end = CallEnd { status: Status::Ok, total };
        self.answer_call(from, call, end, wire_size::counter_total(total));
    }

    fn answer_call(&mut self, to: Address, call: CallKey, end: CallEnd, bytes: u64) {
        let silent = self.counter.as_ref().is_none_or(crate::fleet::counter::Counter::is_silent);
        if silent || self.zone_is_cut(to) {
            return;
        }
        self.measures.traffic.counter.count(bytes);
        if self.gatekeepers[to.gatekeeper].lives(to.life) {
            // It comes all the same where nobody waits for it any more.
            self.gatekeepers[to.gatekeeper].traffic.count(bytes);
        }
        let delay = self.configuration.counter.as_ref().map_or(0.0, |figures| figures.delay);
        self.queue.schedule(self.queue.now() + delay, Occurrence::CallEnds { to, call, end });
    }

    pub(super) fn call_ends(&mut self, to: Address, call: CallKey, end: CallEnd) {
        let now = self.queue.now();
        let gatekeeper = &mut self.gatekeepers[to.gatekeeper];
        if !gatekeeper.lives(to.life) || !gatekeeper.calls.awaits(call) {
            return;
        }
        let counts = &mut self.measures.counter_calls;
        match end.status {
            Status::Ok => counts.ok += 1,
            Status::Rejected => counts.full += 1,
            _ => counts.timeout += 1,
        }
        for event in gatekeeper.calls.end(now, call, end) {
            self.tell(to, event);
        }
    }
}
