//! Slow start: limits what an endpoint is sent while it is warming up.

use crate::{
    interface::{Seconds, Time},
    policy::{context::Context, routing::endpoint_state::EndpointState},
    primitives::decaying_sum::DecayingSum,
};

/// Share of a warming endpoint's allowance that all gateways together plan to use.
const PLANNED_SHARE: f64 = 0.4;
/// Time constant over which the units sent are averaged.
const SENT_TIME_CONSTANT: Seconds = 3.0;
/// Time constant over which the highest rate of units is forgotten; as long as a warm-up takes.
const PEAK_TIME_CONSTANT: Seconds = 20.0;

/// What this gateway sends to endpoints, from which the allowance of a warming one follows.
#[derive(Debug, Default)]
pub struct SlowStart {
    /// Units sent lately.
    sent_units: DecayingSum,
    /// The highest recent rate of units to one endpoint.
    peak_rate: DecayingSum,
}

impl SlowStart {
    /// The highest recent rate of units to one endpoint, in units a second.
    pub fn peak_rate(&self) -> f64 {
        self.peak_rate.level
    }

    /// Starts from the peak rate of a predecessor.
    pub fn restore_peak_rate(&mut self, now: Time, units_per_second: f64) {
        self.peak_rate = DecayingSum { level: units_per_second.max(0.0), updated_at: now };
    }

    /// Records units that were sent.
    pub fn record_sent(&mut self, now: Time, units: f64) {
        self.sent_units.add(now, units, SENT_TIME_CONSTANT);
    }

    /// The tokens that an endpoint has left; it may be sent a request if there is one at least.
    ///
    /// The allowance follows from what a warm endpoint is sent and from the capacity that the warming one has
    /// for sure. Each gateway starts at a random level, so that all gateways together stay below the overload
    /// multiple. A fleet whose endpoints are all warming up is held back.
    pub fn allowance(&mut self, endpoint: &mut EndpointState, subset_size: usize, context: &Context) -> f64 {
        let now = context.now;
        let settings = &context.settings;
        let mean_rate = self.sent_units.level / SENT_TIME_CONSTANT / subset_size.max(1) as f64;
        // The highest recent rate: when all is rejected the mean falls, and the allowance must not fall with
        // it.
        self.peak_rate.add(now, 0.0, PEAK_TIME_CONSTANT);
        self.peak_rate.level = self.peak_rate.level.max(mean_rate);
        let age = now - endpoint.warming_up_since;
        if endpoint.warming_up_since <= 0.0 || age >= settings.slow_start_window {
            return f64::INFINITY;
        }
        let initial = settings.slow_start_initial_share;
        let capacity = initial + (1.0 - initial) * (age / settings.slow_start_window).max(0.0);
        let replica_count = f64::from(context.replicas.count);
        let share = (settings.overload_multiple * PLANNED_SHARE).min(1.0) / replica_count;
        let rate = capacity * share * self.peak_rate.level;
        let burst = (rate * settings.overload_window / 2.0).max(1.0);
        endpoint.slow_start_allowance.refill(now, rate, burst)
    }
}
