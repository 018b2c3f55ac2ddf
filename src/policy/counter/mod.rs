//! Calls to the counter: which are in flight, and how often they may be made.

pub mod call;
pub mod rate_limiter;
pub mod window;

use crate::{
    interface::{Action, Seconds, Status},
    policy::{
        context::Context,
        counter::{call::CounterCall, rate_limiter::CallRateLimiter},
    },
};
use std::collections::{BTreeMap, VecDeque};

/// How long the counter keeps a count, in window lengths: it is still read in the window after its own.
const COUNT_LIFETIME_IN_WINDOWS: f64 = 2.2;
/// The longest time for which the counter keeps a count.
const MAX_COUNT_LIFETIME: Seconds = 60.0;

/// How a counter call ended.
#[derive(Debug, Clone, Copy)]
pub struct CounterReply {
    /// The count's name.
    pub counter: u64,
    /// How the call ended.
    pub status: Status,
    /// The count after the call; valid only with [`Status::Ok`].
    pub total: f64,
    /// Time since the call was made.
    pub elapsed: Seconds,
}

/// See the [module](self).
#[derive(Debug, Default)]
pub struct Counter {
    /// Calls by the name of their count, in the order in which they were made and will be answered.
    in_flight: BTreeMap<u64, VecDeque<CounterCall>>,
    rate_limiter: CallRateLimiter,
}

impl Counter {
    /// The counter as one of `gateway_count` gateways may use it.
    pub fn new(gateway_count: u32) -> Self {
        Self { in_flight: BTreeMap::new(), rate_limiter: CallRateLimiter::new(gateway_count) }
    }

    /// Whether a call on behalf of a request of this weight may be made now.
    pub fn may_call(&mut self, weight: f64, context: &Context) -> bool {
        // Asked even without a counter, as the limiter learns the mean weight.
        let is_allowed = self.rate_limiter.allows(context.now, weight);
        is_allowed && context.settings.has_counter
    }

    /// Makes a call for a count whose window has the given length.
    pub fn call(&mut self, call: CounterCall, window_length: Seconds, context: &mut Context) {
        let counter = call.key.name();
        let amount = call.amount;
        self.in_flight.entry(counter).or_default().push_back(call);
        self.rate_limiter.record_call();
        let ttl = (COUNT_LIFETIME_IN_WINDOWS * window_length).min(MAX_COUNT_LIFETIME);
        context.push_action(Action::AddToCounter { counter, amount, ttl });
    }

    /// The call that a reply belongs to, which is no longer in flight.
    pub fn take_answered(&mut self, reply: &CounterReply, context: &Context) -> Option<CounterCall> {
        let calls = self.in_flight.get_mut(&reply.counter)?;
        let call = calls.pop_front()?;
        if calls.is_empty() {
            self.in_flight.remove(&reply.counter);
        }
        let timeout = context.settings.counter_timeout;
        self.rate_limiter.record_reply(context.now, reply.status, reply.elapsed, timeout);
        Some(call)
    }

    /// The calls a second that may be made at present.
    pub fn calls_per_second(&self) -> f64 {
        self.rate_limiter.calls_per_second()
    }

    /// Starts from the rate of a predecessor, which called the same counter.
    pub fn restore_rate(&mut self, calls_per_second: f64) {
        self.rate_limiter.restore_rate(calls_per_second);
    }
}
