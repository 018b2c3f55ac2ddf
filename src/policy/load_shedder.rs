//! Limits the attempts that this gateway has in flight, so that response times stay short (Little's law).

use crate::{
    interface::{Seconds, Time},
    policy::context::Context,
    primitives::latency_estimate::LatencyEstimate,
};

/// Weight of a new sample in a running mean.
pub const SAMPLE_WEIGHT: f64 = 0.15;
/// Share of the latency objective by which response times may exceed those of an idle fleet before the limit
/// falls.
const QUEUEING_SHARE: f64 = 0.08;
/// Share of the limit that hedged requests and requests beyond the quota may use. A slow fleet receives none
/// of them.
pub const SPARE_CAPACITY_SHARE: f64 = 0.5;
/// Attempts in flight at each endpoint, over all gateways, below which the endpoint's cores would idle.
const MIN_IN_FLIGHT_PER_ENDPOINT: f64 = 3.0;
/// Maximum ratio of the limit to the recent mean of attempts in flight, before the allowance for bursts.
const MAX_GROWTH: f64 = 3.0;
/// Standard deviations by which attempts in flight may exceed the mean while responses are quick.
const BURST_DEVIATIONS: f64 = 2.0;
/// Time constant with which the response time of an idle fleet rises to the present one; longer than a load
/// peak.
const IDLE_LATENCY_TIME_CONSTANT: Seconds = 60.0;
/// Share of attempts that time out above which timeouts count as slow responses, not as lost ones.
const SLOW_TIMEOUT_SHARE: f64 = 0.5;
/// Share of attempts that time out above which a single timeout says nothing about an endpoint.
const FLEET_TIMEOUT_SHARE: f64 = 0.3;
/// Lower bound of the latency objective and of the median in the computation of the limit.
const MIN_LATENCY: Seconds = 1e-3;

/// Attempts of this gateway in flight and their response times, from which the limit is computed.
#[derive(Debug, Default)]
pub struct LoadShedder {
    in_flight: f64,
    mean_in_flight: f64,
    /// A slow fleet raises the median; lost responses and single bad endpoints do not. The lowest recent
    /// median includes endpoints that are always slow, so the difference from it shows only queueing.
    latency: LatencyEstimate,
    /// Share of recent attempts that timed out.
    timeout_share: f64,
}

impl LoadShedder {
    /// Returns whether another attempt may start within `share` of the limit.
    ///
    /// The allowance for bursts shrinks as responses slow down; where few attempts are in flight, it shrinks
    /// later. The fractional part of the limit admits one more attempt with that probability, so that many
    /// gateways with little traffic keep the limit together.
    pub fn has_capacity(&self, share: f64, endpoint_count: usize, context: &mut Context) -> bool {
        let settings = &context.settings;
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let objective = objectives.reduce(f64::min).unwrap_or(1.0).max(MIN_LATENCY);
        let gateway_count = f64::from(settings.gateway_count);
        let random_fraction = context.rng.f64();
        let min_in_flight = MIN_IN_FLIGHT_PER_ENDPOINT * endpoint_count as f64 / gateway_count;
        let target_latency = self.latency.idle.level + QUEUEING_SHARE * objective;
        let growth = (target_latency / self.latency.median.max(MIN_LATENCY)).min(MAX_GROWTH);
        let mean = (self.mean_in_flight + min_in_flight) * growth;
        let burst_share = (1.0 - 1.0 / growth + (1.0 + mean).powi(-2)).clamp(0.0, 1.0);
        let limit = mean + burst_share * (1.0 + BURST_DEVIATIONS * mean.sqrt());
        self.in_flight + random_fraction <= share * limit
    }

    /// Returns the mean response time; 0 before the first response.
    pub fn mean_latency(&self) -> Seconds {
        self.latency.mean
    }

    /// Returns the running estimates of response times.
    pub fn latency(&self) -> &LatencyEstimate {
        &self.latency
    }

    /// Replaces the running estimates of response times with those of a predecessor.
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

    /// Returns whether so many attempts time out that the whole fleet is overloaded, not a single endpoint.
    pub fn is_fleet_timing_out(&self) -> bool {
        self.timeout_share > FLEET_TIMEOUT_SHARE
    }

    /// Lowers the limit because an endpoint rejected an attempt.
    pub fn record_rejection(&mut self) {
        self.mean_in_flight *= 1.0 - SAMPLE_WEIGHT;
    }

    /// Records a response or a timeout after `elapsed`.
    ///
    /// An endpoint that is warming up is slow even without a queue, so its responses do not move the median.
    /// Slow start limits its traffic separately.
    pub fn record_response(&mut self, now: Time, elapsed: Seconds, timed_out: bool, is_warm: bool) {
        self.latency.record_mean(elapsed, SAMPLE_WEIGHT);
        // A sample has less weight if many attempts are in flight, so that the averages always cover the same
        // multiple of the response time.
        let weight = 2.0 * SAMPLE_WEIGHT / (1.0 + self.mean_in_flight);
        self.timeout_share += SAMPLE_WEIGHT * (f64::from(u8::from(timed_out)) - self.timeout_share);
        // Lost responses are no sign of overload: under overload most responses time out, and the rest are
        // slow.
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
