//! Makes calls to the counter within a rate limit and matches replies to them.

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

/// Time for which the counter keeps a count, in window lengths. A count is still read in the next window.
const COUNT_LIFETIME_IN_WINDOWS: f64 = 2.2;
/// Maximum time for which the counter keeps a count.
const MAX_COUNT_LIFETIME: Seconds = 60.0;

/// Outcome of a counter call.
#[derive(Debug, Clone, Copy)]
pub struct CounterReply {
    /// Name of the count, as returned by `CountKey::name`.
    pub counter: u64,
    pub status: Status,
    /// Count after the call, in units; valid only with [`Status::Ok`].
    pub total: f64,
    /// Time since the call was made.
    pub elapsed: Seconds,
}

/// Makes this gateway's calls to the counter.
#[derive(Debug, Default)]
pub struct CounterCaller {
    /// Calls by the name of their count, in the order in which they were made and are answered.
    in_flight: BTreeMap<u64, VecDeque<CounterCall>>,
    rate_limiter: CallRateLimiter,
}

impl CounterCaller {
    /// Creates the caller of one of `gateway_count` gateways.
    pub fn new(gateway_count: u32) -> Self {
        Self { in_flight: BTreeMap::new(), rate_limiter: CallRateLimiter::new(gateway_count) }
    }

    /// Returns whether a call may be made now for a request of this weight.
    pub fn may_call(&mut self, weight: f64, context: &Context) -> bool {
        // Asks the limiter even if there is no counter, as it averages the weights.
        let is_allowed = self.rate_limiter.allows(context.now, weight);
        is_allowed && context.settings.has_counter
    }

    /// Makes a call for a count whose window has this length.
    pub fn call(&mut self, call: CounterCall, window_length: Seconds, context: &mut Context) {
        let counter = call.key.name();
        let amount = call.amount;
        self.in_flight.entry(counter).or_default().push_back(call);
        self.rate_limiter.record_call();
        let ttl = (COUNT_LIFETIME_IN_WINDOWS * window_length).min(MAX_COUNT_LIFETIME);
        context.push_action(Action::AddToCounter { counter, amount, ttl });
    }

    /// Removes the call that a reply belongs to from the calls in flight and returns it.
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

    /// Returns the present limit on calls, in calls a second.
    pub fn calls_per_second(&self) -> f64 {
        self.rate_limiter.calls_per_second()
    }

    /// Continues with the call rate of a predecessor, which called the same counter.
    pub fn restore_rate(&mut self, calls_per_second: f64) {
        self.rate_limiter.restore_rate(calls_per_second);
    }
}
