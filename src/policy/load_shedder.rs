//! Limits how many attempts this gateway has in flight, so that responses stay quick (Little's law).

use crate::{
    interface::{Seconds, Time},
    policy::context::Context,
    primitives::latency_estimate::LatencyEstimate,
};

/// Weight of a new sample in a running mean.
pub const SAMPLE_WEIGHT: f64 = 0.15;
/// Share of the latency objective that responses may take beyond an idle fleet's before fewer attempts are
/// admitted.
const QUEUEING_SHARE: f64 = 0.08;
/// Share of the limit that hedged requests and requests beyond the quota may use, so that a slow fleet gets
/// none.
pub const SPARE_CAPACITY_SHARE: f64 = 0.5;
/// Attempts in flight at each endpoint, over all gateways, below which its cores would idle.
const MIN_IN_FLIGHT_PER_ENDPOINT: f64 = 3.0;
/// The most that the limit may exceed the recent number of attempts in flight, as a factor.
const MAX_GROWTH: f64 = 3.0;
/// Standard deviations above the mean that attempts in flight may reach while responses are quick.
const BURST_DEVIATIONS: f64 = 2.0;
/// Time constant over which an idle fleet's response time is forgotten; longer than a load peak.
const IDLE_LATENCY_TIME_CONSTANT: Seconds = 60.0;
/// Share of timeouts from which they count as slow responses and no longer as lost ones.
const SLOW_TIMEOUT_SHARE: f64 = 0.5;
/// Share of timeouts from which a single one says nothing about its endpoint.
const FLEET_TIMEOUT_SHARE: f64 = 0.3;
/// Shortest latency objective, and shortest median, that the limit is computed from.
const MIN_LATENCY: Seconds = 1e-3;

/// The attempts of this gateway in flight, and how quickly they are answered.
#[derive(Debug, Default)]
pub struct LoadShedder {
    in_flight: f64,
    mean_in_flight: f64,
    /// Lost responses and single bad endpoints do not move the median, a slow fleet does. The lowest median
    /// also includes slow endpoints, so comparing with it shows queueing alone.
    latency: LatencyEstimate,
    /// Share of recent attempts that timed out.
    timeout_share: f64,
}

impl LoadShedder {
    /// Whether one more attempt may be started within `share` of the limit.
    ///
    /// The allowance for bursts fades as responses slow down, and does so later where few attempts are in
    /// flight. A random fraction of an attempt is admitted, so that many gateways with little traffic keep
    /// the limit together.
    pub fn has_capacity(&self, share: f64, endpoint_count: usize, context: &mut Context) -> bool {
        let settings = &context.settings;
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let objective = objectives.reduce(f64::min).unwrap_or(1.0).max(MIN_LATENCY);
        let gateway_count = f64::from(settings.gateway_count);
        let random_fraction = context.rng.f64();
        let minimum = MIN_IN_FLIGHT_PER_ENDPOINT * endpoint_count as f64 / gateway_count;
        let target_latency = self.latency.idle.level + QUEUEING_SHARE * objective;
        let growth = (target_latency / self.latency.median.max(MIN_LATENCY)).min(MAX_GROWTH);
        let mean = (self.mean_in_flight + minimum) * growth;
        let burst_share = (1.0 - 1.0 / growth + (1.0 + mean).powi(-2)).clamp(0.0, 1.0);
        let limit = mean + burst_share * (1.0 + BURST_DEVIATIONS * mean.sqrt());
        self.in_flight + random_fraction <= share * limit
    }

    /// The mean response time.
    pub fn mean_latency(&self) -> Seconds {
        self.latency.mean
    }

    /// The running estimates of response times.
    pub fn latency(&self) -> &LatencyEstimate {
        &self.latency
    }

    /// Replaces the running estimates by those of a predecessor.
    pub fn restore_latency(&mut self, latency: LatencyEstimate) {
        self.latency = latency;
    }

    /// Counts an attempt as in flight.
    pub fn record_start(&mut self) {
        self.in_flight += 1.0;
    }

    /// Counts an attempt as no longer in flight.
    pub fn record_end(&mut self) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
    }

    /// Whether so many attempts time out that the whole fleet is overloaded and no single endpoint is at
    /// fault.
    pub fn is_fleet_timing_out(&self) -> bool {
        self.timeout_share > FLEET_TIMEOUT_SHARE
    }

    /// Lowers the limit because an endpoint rejected an attempt.
    pub fn record_rejection(&mut self) {
        self.mean_in_flight *= 1.0 - SAMPLE_WEIGHT;
    }

    /// Records that an attempt was answered after `elapsed`, or timed out after it.
    ///
    /// A warming endpoint is slow without any queue and has an allowance of its own, so it does not count for
    /// the median.
    pub fn record_response(&mut self, now: Time, elapsed: Seconds, timed_out: bool, is_warm: bool) {
        self.latency.record_mean(elapsed, SAMPLE_WEIGHT);
        // The same memory in multiples of the response time, whether many attempts are in flight or few.
        let weight = 2.0 * SAMPLE_WEIGHT / (1.0 + self.mean_in_flight);
        self.timeout_share += SAMPLE_WEIGHT * (f64::from(u8::from(timed_out)) - self.timeout_share);
        // Lost responses are no overload: there most responses are late, and those that arrive are slow.
        if is_warm && (!timed_out || self.timeout_share > SLOW_TIMEOUT_SHARE) {
            self.latency.record_median(now, elapsed, weight, IDLE_LATENCY_TIME_CONSTANT);
        }
        let in_flight = self.in_flight + 1.0;
        self.mean_in_flight += weight * (in_flight - self.mean_in_flight);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/load_shedder.rs"]
mod tests;
