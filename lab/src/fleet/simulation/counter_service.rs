//! Calls from gateways to the counter, and the responses to them.

use super::context::RunContext;
use super::event::{CounterCall, ScheduledEvent};
use super::gateway_fleet::GatewayFleet;
use crate::fleet::counter::{CallAdmission, Counter};
use crate::fleet::counter_calls::{CallKey, CallResult, CounterCalls};
use crate::fleet::gateways::GatewayAddress;
use crate::fleet::randomness::{Stream, stream};
use crate::fleet::wire_size;
use oliverack::{Event, Seconds, Status};
use rand_chacha::ChaCha8Rng;

/// Counter, its connections to the zones, and the calls that are in flight.
#[derive(Debug)]
pub struct CounterService {
    /// `None` if the configuration has no counter.
    counter: Option<Counter>,
    /// Calls of the current incarnation of each gateway, by index.
    calls: Vec<CounterCalls>,
    /// Whether the gateways of each zone are cut off from the counter, by zone number.
    zone_is_cut: Vec<bool>,
    entry_loss_generator: ChaCha8Rng,
}

impl CounterService {
    /// Returns the counter, without entries, at the start of a run.
    pub fn new(context: &RunContext, seed: u64) -> Self {
        let configuration = &context.configuration;
        let mut calls = Vec::new();
        calls.resize_with(configuration.gateways.count as usize, CounterCalls::default);
        Self {
            counter: configuration.counter.as_ref().map(Counter::new),
            calls,
            zone_is_cut: vec![false; configuration.topology.zones as usize],
            entry_loss_generator: stream(seed, Stream::Counter),
        }
    }

    /// Returns the number of entries that the counter holds.
    pub fn entry_count(&self) -> usize {
        self.counter.as_ref().map_or(0, Counter::entry_count)
    }

    /// Starts a call that adds to an entry. If there is no counter, the connection fails at once.
    pub fn start_call(
        &mut self,
        context: &mut RunContext,
        from: GatewayAddress,
        name: u64,
        amount: f64,
        ttl: Seconds,
    ) {
        let Some(counter) = &self.counter else {
            let status = Status::ConnectFailed;
            let reply = Event::CounterReplied { counter: name, status, total: 0.0, elapsed: 0.0 };
            let event = ScheduledEvent::DeferredNotification { to: from, event: Box::new(reply) };
            context.schedule_after(0.0, event);
            return;
        };
        let now = context.now();
        let key = self.calls[from.gateway].start(now, name);
        context.measures.traffic.gateways[from.gateway].count(wire_size::counter_call(name, amount, ttl));
        context.measures.counter_calls.made += 1;
        context.measures.second(now).counter_calls += 1;
        let timeout = context.configuration.policy.counter_timeout;
        let result = CallResult { status: Status::Timeout, total: 0.0 };
        context.schedule_after(timeout, ScheduledEvent::CounterCallEnded { to: from, call: key, result });
        if !self.is_cut_off(context, from) {
            let call = CounterCall { from, key, amount, ttl };
            context.schedule_after(counter.network_delay(), ScheduledEvent::CounterCallArrived(call));
        }
    }

    fn is_cut_off(&self, context: &RunContext, address: GatewayAddress) -> bool {
        self.zone_is_cut[context.gateway_zone(address.gateway) as usize]
    }

    /// Handles the arrival of a call at the counter.
    pub fn call_arrived(&mut self, context: &mut RunContext, gateways: &GatewayFleet, call: CounterCall) {
        let Some(counter) = &mut self.counter else { return };
        let admission = counter.admit(context.now(), call.key.name);
        if admission != CallAdmission::NoResponse {
            let bytes = wire_size::counter_call(call.key.name, call.amount, call.ttl);
            context.measures.traffic.counter.count(bytes);
        }
        match admission {
            CallAdmission::Admitted { completes_at } => {
                context.schedule_at(completes_at, ScheduledEvent::CounterCallServed(call));
            }
            CallAdmission::Rejected => {
                let result = CallResult { status: Status::Rejected, total: 0.0 };
                self.respond(context, gateways, call, result, wire_size::counter_busy());
            }
            CallAdmission::NoResponse => {}
        }
    }

    /// Completes the service of a call. The amount is added even if the caller no longer waits.
    pub fn call_served(&mut self, context: &mut RunContext, gateways: &GatewayFleet, call: CounterCall) {
        let Some(counter) = &mut self.counter else { return };
        let total = counter.add(context.now(), call.key.name, call.amount, call.ttl);
        if !self.is_awaited(gateways, call.from, call.key) {
            context.measures.counter_calls.added_after_timeout += 1;
        }
        let result = CallResult { status: Status::Ok, total };
        self.respond(context, gateways, call, result, wire_size::counter_total(total));
    }

    fn is_awaited(&self, gateways: &GatewayFleet, caller: GatewayAddress, call: CallKey) -> bool {
        gateways.is_running(caller) && self.calls[caller.gateway].is_in_flight(call)
    }

    fn respond(
        &self,
        context: &mut RunContext,
        gateways: &GatewayFleet,
        call: CounterCall,
        result: CallResult,
        bytes: u64,
    ) {
        let Some(counter) = &self.counter else { return };
        if counter.is_silent() || self.is_cut_off(context, call.from) {
            return;
        }
        context.measures.traffic.counter.count(bytes);
        // A response after the timeout still uses the network of the gateway.
        if gateways.is_running(call.from) {
            context.measures.traffic.gateways[call.from.gateway].count(bytes);
        }
        let event = ScheduledEvent::CounterCallEnded { to: call.from, call: call.key, result };
        context.schedule_after(counter.network_delay(), event);
    }

    /// Ends a call at its gateway by the response or the timeout, and returns the notifications for the policy.
    /// Returns none if the call or the incarnation that made it has ended before.
    pub fn call_ended(
        &mut self,
        context: &mut RunContext,
        gateways: &GatewayFleet,
        to: GatewayAddress,
        call: CallKey,
        result: CallResult,
    ) -> Vec<Event> {
        if !self.is_awaited(gateways, to, call) {
            return Vec::new();
        }
        context.measures.counter_calls.count(result.status);
        self.calls[to.gateway].end(context.now(), call, result)
    }

    /// Drops the calls of a gateway whose incarnation has ended.
    pub fn gateway_stopped(&mut self, gateway: usize) {
        self.calls[gateway] = CounterCalls::default();
    }

    /// Cuts the gateways of a zone off from the counter, or connects them again.
    pub fn set_zone_cut(&mut self, zone: u32, is_cut: bool) {
        self.zone_is_cut[zone as usize] = is_cut;
    }

    /// Sets the factor by which the service time of calls is multiplied from now on.
    pub fn set_slowdown(&mut self, factor: f64) {
        if let Some(counter) = &mut self.counter {
            counter.set_slowdown(factor);
        }
    }

    /// Silences the counter, or lets it respond again.
    pub fn set_silent(&mut self, is_silent: bool) {
        if let Some(counter) = &mut self.counter {
            counter.set_silent(is_silent);
        }
    }

    /// Removes a random share of the counter's entries.
    pub fn lose_entries(&mut self, context: &mut RunContext, share: f64) {
        if let Some(counter) = &mut self.counter {
            let lost = counter.lose_entries(share, &mut self.entry_loss_generator);
            context.measures.counter_calls.entries_lost += lost as u64;
        }
    }
}
