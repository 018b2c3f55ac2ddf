//! Slow start: limits the attempts that an endpoint is sent while it is warming up.

use crate::{
    interface::{Seconds, Time},
    policy::{context::Context, routing::endpoint_state::EndpointState},
    primitives::decaying_sum::DecayingSum,
};

/// Planned load of all gateways together, as a share of the load that overloads a warming endpoint.
const PLANNED_SHARE: f64 = 0.4;
/// Time constant of the average rate of units sent.
const SENT_TIME_CONSTANT: Seconds = 3.0;
/// Time constant with which the peak rate decays; as long as a warm-up takes.
const PEAK_TIME_CONSTANT: Seconds = 20.0;

/// Rates of units that this gateway sends, from which the allowance of a warming endpoint is computed.
#[derive(Debug, Default)]
pub struct SlowStart {
    /// Units sent recently to all endpoints.
    sent_units: DecayingSum,
    /// Recent peak of the mean rate of units to an endpoint of the subset, in units per second.
    peak_rate: DecayingSum,
}

impl SlowStart {
    /// Returns the recent peak of the mean rate of units to an endpoint of the subset, in units per second.
    pub fn peak_rate(&self) -> f64 {
        self.peak_rate.level
    }

    /// Restores the peak rate from a predecessor's snapshot.
    pub fn restore_peak_rate(&mut self, now: Time, units_per_second: f64) {
        self.peak_rate = DecayingSum { level: units_per_second.max(0.0), updated_at: now };
    }

    /// Records units that were sent to any endpoint.
    pub fn record_sent(&mut self, now: Time, units: f64) {
        self.sent_units.add(now, units, SENT_TIME_CONSTANT);
    }

    /// Returns the tokens that an endpoint has left; the endpoint may be sent a request if there is at least
    /// one. The result is infinite for a warm endpoint.
    ///
    /// The rate of new tokens depends on the rate that a warm endpoint is sent and on the least capacity that
    /// the warming endpoint has reached. Each gateway starts with a random number of tokens, so that all
    /// gateways together stay below the overload multiple. The limit also applies if all endpoints are
    /// warming up at once.
    pub fn available_tokens(
        &mut self,
        endpoint: &mut EndpointState,
        subset_size: usize,
        context: &Context,
    ) -> f64 {
        let now = context.now;
        let settings = &context.settings;
        let mean_rate = self.sent_units.level / SENT_TIME_CONSTANT / subset_size.max(1) as f64;
        // The allowance is based on the peak rate, as the mean rate falls when requests are rejected.
        self.peak_rate.add(now, 0.0, PEAK_TIME_CONSTANT);
        self.peak_rate.level = self.peak_rate.level.max(mean_rate);
        let age = now - endpoint.warming_up_since;
        if endpoint.warming_up_since <= 0.0 || age >= settings.slow_start_window {
            return f64::INFINITY;
        }
        let initial_share = settings.slow_start_initial_share;
        let capacity = initial_share + (1.0 - initial_share) * (age / settings.slow_start_window).max(0.0);
        let replica_count = f64::from(context.replicas.count);
        let share = (settings.overload_multiple * PLANNED_SHARE).min(1.0) / replica_count;
        let rate = capacity * share * self.peak_rate.level;
        let burst = (rate * settings.overload_window / 2.0).max(1.0);
        endpoint.slow_start_allowance.refill(now, rate, burst)
    }
}
