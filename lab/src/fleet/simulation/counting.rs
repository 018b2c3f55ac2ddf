//! Calls from gateways to the counter and back.

use super::{ScheduledEvent, Simulation};
use crate::fleet::counter::Admission;
use crate::fleet::counter_calls::{CallEnd, CallKey};
use crate::fleet::gateways::GatewayAddress;
use crate::fleet::wire_size;
use oliverack::{Event, Status};

impl Simulation {
    /// Begins a call.
    pub(super) fn count(&mut self, from: GatewayAddress, name: u64, amount: f64, incarnation: f64) {
        let now = self.queue.now();
        let Some(figures) = &self.configuration.counter else {
            let event = Event::CounterReplied {
                counter: name,
                status: Status::ConnectFailed,
                total: 0.0,
                elapsed: 0.0,
            };
            return self.notify_deferred(from, event);
        };
        let delay = figures.delay;
        let gateway = &mut self.gateways[from.gateway];
        gateway.traffic.count(wire_size::counter_call(name, amount, incarnation));
        let call = gateway.calls.begin(now, name);
        self.measures.counter_calls.made += 1;
        self.measures.second(now).counter_calls += 1;
        let given_up = CallEnd { status: Status::Timeout, total: 0.0 };
        let limit = self.configuration.policy.counter_timeout;
        self.queue.schedule(now + limit, ScheduledEvent::CounterCallEnded { to: from, call, end: given_up });
        if !self.zone_is_cut(from) {
            let arrives = ScheduledEvent::CounterCallArrived { from, call, amount, incarnation };
            self.queue.schedule(now + delay, arrives);
        }
    }

    fn zone_is_cut(&self, address: GatewayAddress) -> bool {
        self.zones_cut[self.gateways[address.gateway].zone as usize]
    }

    pub(super) fn counter_call_arrived(
        &mut self,
        from: GatewayAddress,
        call: CallKey,
        amount: f64,
        incarnation: f64,
    ) {
        let now = self.queue.now();
        let Some(counter) = &mut self.counter else { return };
        let admission = counter.admit(now, call.name);
        if admission != Admission::Silent {
            self.measures.traffic.counter.count(wire_size::counter_call(call.name, amount, incarnation));
        }
        match admission {
            Admission::Served { at } => {
                self.queue
                    .schedule(at, ScheduledEvent::CounterCallServed { from, call, amount, incarnation });
            }
            Admission::Full => {
                let end = CallEnd { status: Status::Rejected, total: 0.0 };
                self.answer_call(from, call, end, wire_size::counter_busy());
            }
            Admission::Silent => {}
        }
    }

    pub(super) fn counter_call_served(
        &mut self,
        from: GatewayAddress,
        call: CallKey,
        amount: f64,
        incarnation: f64,
    ) {
        let now = self.queue.now();
        let Some(counter) = &mut self.counter else { return };
        let total = counter.add(now, call.name, amount, incarnation);
        let gateway = &self.gateways[from.gateway];
        if !gateway.is_incarnation(from.incarnation) || !gateway.calls.awaits(call) {
            self.measures.counter_calls.added_after_timeout += 1;
        }
        let end = CallEnd { status: Status::Ok, total };
        self.answer_call(from, call, end, wire_size::counter_total(total));
    }

    fn answer_call(&mut self, to: GatewayAddress, call: CallKey, end: CallEnd, bytes: u64) {
        let silent = self.counter.as_ref().is_none_or(crate::fleet::counter::Counter::is_silent);
        if silent || self.zone_is_cut(to) {
            return;
        }
        self.measures.traffic.counter.count(bytes);
        if self.gateways[to.gateway].is_incarnation(to.incarnation) {
            // It comes all the same where nobody waits for it any more.
            self.gateways[to.gateway].traffic.count(bytes);
        }
        let delay = self.configuration.counter.as_ref().map_or(0.0, |figures| figures.delay);
        self.queue.schedule(self.queue.now() + delay, ScheduledEvent::CounterCallEnded { to, call, end });
    }

    pub(super) fn counter_call_ended(&mut self, to: GatewayAddress, call: CallKey, end: CallEnd) {
        let now = self.queue.now();
        let gateway = &mut self.gateways[to.gateway];
        if !gateway.is_incarnation(to.incarnation) || !gateway.calls.awaits(call) {
            return;
        }
        let counts = &mut self.measures.counter_calls;
        match end.status {
            Status::Ok => counts.ok += 1,
            Status::Rejected => counts.rejected += 1,
            _ => counts.timeout += 1,
        }
        for event in gateway.calls.end(now, call, end) {
            self.notify(to, event);
        }
    }
}
