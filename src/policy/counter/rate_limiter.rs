//! Limits how often this gateway calls the counter, which may not sustain a call for each request: a token
//! bucket whose rate rises while replies are quick and falls when they are slow or missing.

use crate::{
    interface::{Seconds, Status, Time},
    policy::load_shedder::SAMPLE_WEIGHT,
    primitives::token_bucket::TokenBucket,
};

/// Calls a second of one gateway at the start, and the least afterwards, so that a silent counter is tried
/// again.
const MIN_RATE: f64 = 4.0;
/// The least calls a second of all gateways together.
const FLEET_MIN_RATE: f64 = 40.0;
/// The most calls a second of all gateways together at the start.
const FLEET_START_RATE_MAX: f64 = 400.0;
/// The least calls a second of all gateways together at the start.
const FLEET_START_RATE_MIN: f64 = 200.0;
/// Calls that one gateway may save up.
const MAX_SAVED_CALLS: f64 = 3.0;
/// Calls that all gateways together may save up.
const FLEET_MAX_SAVED_CALLS: f64 = 300.0;
/// Time at the current rate whose calls may be saved up, where that is more.
const SAVED_TIME: Seconds = 0.1;
/// Share of the timeout beyond which a reply shows that the counter is crowded.
const SLOW_REPLY_SHARE: f64 = 0.6;
/// Factor by which a quick reply raises the rate while it is far below what was sustained before a decrease
/// ...
const RECOVERY_FACTOR: f64 = 4.0;
/// ... up to this share of what was sustained.
const RECOVERY_SHARE: f64 = 0.5;
/// What a quick reply adds to the rate, in multiples of its square root.
const INCREASE: f64 = 0.25;
/// The most that a quick reply adds once the counter was slow, as a share of the rate.
const MAX_CAREFUL_INCREASE: f64 = 0.1;
/// Factor by which a slow reply lowers the rate.
const SLOW_REPLY_FACTOR: f64 = 0.8;
/// Factor by which a missing reply lowers the rate.
const LOST_REPLY_FACTOR: f64 = 0.6;
/// Tokens that must be in the bucket for a call of the greatest weight.
const MIN_PRICE: f64 = 0.2;
/// The least weight that a price is computed for.
const MIN_WEIGHT: f64 = 1e-9;

/// See the [module](self). Rates are in calls a second.
#[derive(Debug, Default)]
pub struct CallRateLimiter {
    gateway_count: f64,
    tokens: TokenBucket,
    rate: f64,
    /// The rate before the decreases from which it has not recovered yet; 0 if there is none.
    rate_before_decrease: f64,
    /// Mean weight of the requests that wanted a call.
    mean_weight: f64,
    decreased_at: Time,
}

impl CallRateLimiter {
    /// The limiter of one of `gateway_count` gateways.
    pub fn new(gateway_count: u32) -> Self {
        let gateway_count = f64::from(gateway_count);
        let most = MIN_RATE.min(FLEET_START_RATE_MAX / gateway_count);
        let rate = most.max(FLEET_START_RATE_MIN / gateway_count);
        Self { gateway_count, rate, ..Self::default() }
    }

    /// The calls a second that may be made at present.
    pub fn calls_per_second(&self) -> f64 {
        self.rate
    }

    /// Starts from a predecessor's rate, within the limits of this gateway's own.
    pub fn restore_rate(&mut self, rate: f64) {
        let least = self.min_rate().min(self.rate);
        self.rate = rate.clamp(least, self.rate);
    }

    /// Whether a call on behalf of a request of this weight may be made. When calls are scarce the requests
    /// of greatest weight get them: one of lesser weight must find a fuller bucket.
    pub fn allows(&mut self, now: Time, weight: f64) -> bool {
        self.mean_weight += SAMPLE_WEIGHT * (weight - self.mean_weight);
        let capacity = self.capacity();
        let price = (self.mean_weight / weight.max(MIN_WEIGHT)).powi(2).clamp(MIN_PRICE, capacity);
        let level = self.tokens.refill(now, self.rate, capacity);
        level > 0.0 && level >= price
    }

    /// Takes a token for a call.
    pub fn record_call(&mut self) {
        self.tokens.level -= 1.0;
    }

    /// Learns from a reply, or from its absence, after `elapsed`.
    ///
    /// One gateway among many has less than one call in flight, so the rate is limited and not the calls in
    /// flight. A garbled reply says nothing about the counter's speed.
    pub fn record_reply(&mut self, now: Time, status: Status, elapsed: Seconds, timeout: Seconds) {
        if matches!(status, Status::Error | Status::Reset) {
            return;
        }
        let is_quick = status == Status::Ok && elapsed < SLOW_REPLY_SHARE * timeout;
        // All calls in flight at the moment of a decrease met the same queue, so they lower the rate once.
        let started_after_decrease = now - elapsed >= self.decreased_at + timeout;
        let recovered = self.rate_before_decrease * RECOVERY_SHARE;
        if !is_quick && started_after_decrease {
            self.decrease(now, status);
        } else if is_quick && self.rate < recovered {
            self.rate = (self.rate * RECOVERY_FACTOR).min(recovered);
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
        // What the counter sustained once may be too much now, so it is forgotten once the rate has
        // recovered.
        self.rate_before_decrease = 0.0;
        let step = INCREASE * self.rate.sqrt();
        let was_slow = self.decreased_at > 0.0;
        self.rate += if was_slow { step.min(MAX_CAREFUL_INCREASE * self.rate) } else { step };
    }

    fn min_rate(&self) -> f64 {
        MIN_RATE.min(FLEET_MIN_RATE / self.gateway_count)
    }

    /// Calls that may be saved up; at least one, as a call takes one.
    fn capacity(&self) -> f64 {
        let saved = MAX_SAVED_CALLS.min(FLEET_MAX_SAVED_CALLS / self.gateway_count);
        saved.max(SAVED_TIME * self.rate).max(1.0)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/call_rate_limiter.rs"]
mod tests;
