//! Limits how often this gateway calls the counter, which may not sustain a call for each request. The limit
//! is a token bucket whose rate rises while replies are quick and falls when they are slow or missing.

use crate::{
    interface::{Seconds, Status, Time},
    policy::load_shedder::SAMPLE_WEIGHT,
    primitives::token_bucket::TokenBucket,
};

/// Calls a second of one gateway at the start, and the minimum afterwards, so that an unresponsive counter is
/// tried again.
const MIN_RATE: f64 = 4.0;
/// Minimum calls a second of all gateways together.
const FLEET_MIN_RATE: f64 = 40.0;
/// Maximum calls a second of all gateways together at the start.
const FLEET_START_RATE_MAX: f64 = 400.0;
/// Minimum calls a second of all gateways together at the start.
const FLEET_START_RATE_MIN: f64 = 200.0;
/// Maximum burst of calls of one gateway.
const MAX_BURST_CALLS: f64 = 3.0;
/// Maximum burst of calls of all gateways together.
const FLEET_MAX_BURST_CALLS: f64 = 300.0;
/// Time for which the calls at the current rate may be made in one burst, even beyond [`MAX_BURST_CALLS`].
const BURST_TIME: Seconds = 0.1;
/// Share of the timeout from which a reply shows that the counter is overloaded.
const SLOW_REPLY_SHARE: f64 = 0.6;
/// Factor by which a quick reply raises the rate, up to [`RECOVERY_SHARE`] of the rate before a decrease.
const RECOVERY_FACTOR: f64 = 4.0;
/// Share of the rate before a decrease up to which the rate recovers quickly.
const RECOVERY_SHARE: f64 = 0.5;
/// Increase of the rate after a quick reply, in multiples of the rate's square root.
const INCREASE_FACTOR: f64 = 0.25;
/// Maximum increase after a quick reply once a reply has been slow or missing, as a share of the rate.
const MAX_INCREASE_SHARE_AFTER_SLOWDOWN: f64 = 0.1;
/// Factor by which a slow reply lowers the rate.
const SLOW_REPLY_FACTOR: f64 = 0.8;
/// Factor by which a missing reply lowers the rate.
const LOST_REPLY_FACTOR: f64 = 0.6;
/// Tokens that the bucket must hold for a call of the greatest weight.
const MIN_REQUIRED_TOKENS: f64 = 0.2;
/// Minimum weight in the computation of the required tokens.
const MIN_WEIGHT: f64 = 1e-9;

/// Rate limiter for counter calls. Rates are in calls a second.
#[derive(Debug, Default)]
pub struct CallRateLimiter {
    gateway_count: f64,
    tokens: TokenBucket,
    rate: f64,
    /// Highest rate before the decreases from which the rate has not recovered yet; 0 if there are none.
    rate_before_decrease: f64,
    /// Running mean of the weights of the requests that asked for a call.
    mean_weight: f64,
    decreased_at: Time,
}

impl CallRateLimiter {
    /// Creates the limiter of one of `gateway_count` gateways.
    pub fn new(gateway_count: u32) -> Self {
        let gateway_count = f64::from(gateway_count);
        let capped_rate = MIN_RATE.min(FLEET_START_RATE_MAX / gateway_count);
        let rate = capped_rate.max(FLEET_START_RATE_MIN / gateway_count);
        Self { gateway_count, rate, ..Self::default() }
    }

    /// Returns the present limit, in calls a second.
    pub fn calls_per_second(&self) -> f64 {
        self.rate
    }

    /// Continues with a predecessor's rate, clamped between the minimum rate and this limiter's own.
    pub fn restore_rate(&mut self, rate: f64) {
        let min_rate = self.min_rate().min(self.rate);
        self.rate = rate.clamp(min_rate, self.rate);
    }

    /// Returns whether a call for a request of this weight may be made. A request of less weight needs a
    /// fuller bucket, so that scarce calls go to the requests of greatest weight.
    pub fn allows(&mut self, now: Time, weight: f64) -> bool {
        self.mean_weight += SAMPLE_WEIGHT * (weight - self.mean_weight);
        let capacity = self.capacity();
        let required_tokens =
            (self.mean_weight / weight.max(MIN_WEIGHT)).powi(2).clamp(MIN_REQUIRED_TOKENS, capacity);
        let level = self.tokens.refill(now, self.rate, capacity);
        level > 0.0 && level >= required_tokens
    }

    /// Takes a token for a call.
    pub fn record_call(&mut self) {
        self.tokens.level -= 1.0;
    }

    /// Adjusts the rate when a call has ended after `elapsed`, with or without a reply.
    ///
    /// One gateway among many has on average less than one call in flight, so the limit applies to the rate
    /// and not to the calls in flight. An invalid reply or a lost connection says nothing about the speed of
    /// the counter.
    pub fn record_reply(&mut self, now: Time, status: Status, elapsed: Seconds, timeout: Seconds) {
        if matches!(status, Status::Error | Status::Reset) {
            return;
        }
        let is_quick = status == Status::Ok && elapsed < SLOW_REPLY_SHARE * timeout;
        // Calls in flight at a decrease met the same queue, so together they lower the rate only once.
        let started_after_decrease = now - elapsed >= self.decreased_at + timeout;
        let recovery_target = self.rate_before_decrease * RECOVERY_SHARE;
        if !is_quick && started_after_decrease {
            self.decrease(now, status);
        } else if is_quick && self.rate < recovery_target {
            self.rate = (self.rate * RECOVERY_FACTOR).min(recovery_target);
        } else if is_quick && self.tokens.level < 1.0 {
            self.increase();
        }
    }

    fn decrease(&mut self, now: Time, status: Status) {
        self.decreased_at = now;
        self.rate_before_decrease = self.rate_before_decrease.max(self.rate);
        let factor = if status == Status::Ok { SLOW_REPLY_FACTOR } else { LOST_REPLY_FACTOR };
        self.rate = (self.rate * factor).max(self.min_rate());
    }

    fn increase(&mut self) {
        // The counter may no longer sustain the earlier rate, so the rate no longer recovers quickly to it.
        self.rate_before_decrease = 0.0;
        let step = INCREASE_FACTOR * self.rate.sqrt();
        let was_slow = self.decreased_at > 0.0;
        self.rate += if was_slow { step.min(MAX_INCREASE_SHARE_AFTER_SLOWDOWN * self.rate) } else { step };
    }

    fn min_rate(&self) -> f64 {
        MIN_RATE.min(FLEET_MIN_RATE / self.gateway_count)
    }

    /// Returns the capacity of the token bucket; at least one token, as a call takes one.
    fn capacity(&self) -> f64 {
        let max_burst = MAX_BURST_CALLS.min(FLEET_MAX_BURST_CALLS / self.gateway_count);
        max_burst.max(BURST_TIME * self.rate).max(1.0)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/call_rate_limiter.rs"]
mod tests;
