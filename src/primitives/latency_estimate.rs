//! Running estimates of response times that keep no samples.

use crate::{
    interface::{Seconds, Time},
    primitives::decaying_sum::DecayingSum,
};

/// Shortest response time that the median takes into account. Shorter ones count as this long, as the
/// logarithmic scale needs positive values.
const MIN_SAMPLE: Seconds = 1e-3;

/// Running estimates of response times; 0 before the first response.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyEstimate {
    /// Exponentially weighted mean.
    pub mean: Seconds,
    /// Estimate of the median, which single slow or lost responses hardly move.
    pub median: Seconds,
    /// Lowest recent median, which rises slowly towards the current one.
    pub idle: DecayingSum,
}

impl LatencyEstimate {
    /// Moves the mean towards a new sample by the share `gain` of their difference.
    pub fn record_mean(&mut self, sample: Seconds, gain: f64) {
        self.mean = if self.mean == 0.0 { sample } else { self.mean + gain * (sample - self.mean) };
    }

    /// Moves the median towards a new sample by the share `gain` of their difference on a logarithmic scale.
    /// The lowest median rises towards the new one with `idle_time_constant`.
    pub fn record_median(&mut self, now: Time, sample: Seconds, gain: f64, idle_time_constant: Seconds) {
        let median = if self.median == 0.0 { sample } else { self.median };
        self.median = median * (sample.max(MIN_SAMPLE) / median).powf(gain);
        let decay_factor = (-(now - self.idle.updated_at) / idle_time_constant).exp();
        let idle_is_lower = self.idle.level > 0.0 && self.idle.level < self.median;
        let lowest = if idle_is_lower { self.idle.level } else { self.median };
        self.idle =
            DecayingSum { level: self.median + (lowest - self.median) * decay_factor, updated_at: now };
    }
}

#[cfg(test)]
#[path = "../../tests/unit/latency_estimate.rs"]
mod tests;
