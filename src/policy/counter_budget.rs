//! Decides how often this gateway may call the counter, as the counter may not bear a call for each request:
//! a token bucket whose rate rises while answers are quick and falls when they are slow or missing.

use super::*;

/// Calls a second of a gateway at the start, and at least: trials while the counter is silent.
const MIN_RATE: f64 = 4.0;
/// Calls a second of all gateways together at least: of trials many gateways make no more than some.
const FLEET_MIN_RATE: f64 = 40.0;
/// Calls a second of all gateways together at the start, at most: a long queue is slow to work off.
const FLEET_START_RATE_MAX: f64 = 400.0;
/// Calls a second of all gateways together at the start, at least.
const FLEET_START_RATE_MIN: f64 = 200.0;
/// Calls that a gateway may save up, and all gateways together.
const SAVED_CALLS: f64 = 3.0;
const FLEET_SAVED_CALLS: f64 = 300.0;
/// Seconds of the rate that may be saved up, where that is more.
const SAVED_SPAN: f64 = 0.1;
/// Share of the counter's time limit past which an answer shows a crowded counter.
const SLOW_SHARE: f64 = 0.6;
/// After a silence a quick answer multiplies the rate by this ...
const RECOVERY_FACTOR: f64 = 4.0;
/// ... up to this share of what was borne before it.
const RECOVERY_SHARE: f64 = 0.5;
/// A quick answer adds this times the root of the rate.
const INCREASE: f64 = 0.25;
/// Most that this adds, as a share, once the counter was seen slow: the root is much of a small rate.
const GENTLE_INCREASE: f64 = 0.1;
/// What a slow answer multiplies the rate by.
const SLOW_DECREASE: f64 = 0.8;
/// What a lost answer multiplies it by.
const LOST_DECREASE: f64 = 0.6;
/// Tokens that have to be there at least, for a call of the greatest worth.
const MIN_PRICE: f64 = 0.2;

/// The rate of calls of one gateway. Rates are in calls a second.
#[derive(Debug, Default)]
pub struct CounterBudget {
    gateways: f64,
    tokens: TokenBucket,
    /// Calls that may be made at present.
    pub rate: f64,
    /// The rate before the decreases that are not yet made good.
    rate_before: f64,
    /// Mean worth of what wants a call.
    mean_worth: f64,
    decreased_at: Time,
}

impl CounterBudget {
    /// The budget of one of so many gateways.
    pub fn new(gateways: u32) -> Self {
        let gateways = f64::from(gateways);
        let rate = MIN_RATE.min(FLEET_START_RATE_MAX / gateways).max(FLEET_START_RATE_MIN / gateways);
        Self { gateways, rate, ..Self::default() }
    }

    fn min_rate(&self) -> f64 {
        MIN_RATE.min(FLEET_MIN_RATE / self.gateways)
    }

    /// Calls that may be saved up; one at least, as a call takes one.
    fn capacity(&self) -> f64 {
        SAVED_CALLS.min(FLEET_SAVED_CALLS / self.gateways).max(SAVED_SPAN * self.rate).max(1.0)
    }

    /// Starts from the rate of the process before, which was for the same counter.
    pub fn inherit_rate(&mut self, rate: f64) {
        self.rate = rate.clamp(self.min_rate().min(self.rate), self.rate);
    }

    /// Whether a call may be made. Crowded calls go to the largest worth at stake: a lesser one must find a
    /// fuller bucket.
    pub fn affords(&mut self, now: Time, worth: f64) -> bool {
        self.mean_worth += GAIN * (worth - self.mean_worth);
        let capacity = self.capacity();
        let price = (self.mean_worth / worth.max(1e-9)).powi(2).clamp(MIN_PRICE, capacity);
        let level = self.tokens.refill(now, self.rate, capacity);
        level > 0.0 && level >= price
    }

    /// A call is made.
    pub fn take(&mut self) {
        self.tokens.level -= 1.0;
    }

    /// Learns from a call's end, `spent` seconds after its start. A gateway of many has less than one call
    /// out, so the rate is what moves. A spoilt answer says nothing of the counter's speed.
    pub fn observe(&mut self, now: Time, status: Status, elapsed: f64, limit: f64) {
        if matches!(status, Status::Error | Status::Reset) {
            return;
        }
        let quick = status == Status::Ok && elapsed < SLOW_SHARE * limit;
        let recovered = self.rate_before * RECOVERY_SHARE;
        if !quick && now - elapsed >= self.decreased_at + limit {
            // Once for all that was out at that moment or went out right behind it: they met the same queue.
            self.decreased_at = now;
            self.rate_before = self.rate_before.max(self.rate);
            let factor = if status == Status::Ok { SLOW_DECREASE } else { LOST_DECREASE };
            self.rate = (self.rate * factor).max(self.min_rate());
        } else if quick && self.rate < recovered {
            self.rate = (self.rate * RECOVERY_FACTOR).min(recovered);
        } else if quick && self.tokens.level < 1.0 {
            // What was borne once may be too much now: forgotten as soon as the way back is gone.
            self.rate_before = 0.0;
            let step = INCREASE * self.rate.sqrt();
            let gentle = self.decreased_at > 0.0;
            self.rate += if gentle { step.min(GENTLE_INCREASE * self.rate) } else { step };
        }
    }
}
