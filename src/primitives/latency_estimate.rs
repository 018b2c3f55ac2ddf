//! Running estimates of response times that keep no samples.

use crate::{
    interface::{Seconds, Time},
    primitives::decaying_sum::DecayingSum,
};

/// The shortest response time that the median takes into account.
const MIN_SAMPLE: Seconds = 1e-3;

/// Running estimates of response times; 0 before the first response.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyEstimate {
    /// The mean.
    pub mean: Seconds,
    /// The median, which single slow or lost responses do not move.
    pub median: Seconds,
    /// The lowest recent median, which is forgotten slowly.
    pub idle: DecayingSum,
}

impl LatencyEstimate {
    /// Moves the mean by the share `gain` of the way to a new sample.
    pub fn record_mean(&mut self, sample: Seconds, gain: f64) {
        self.mean = if self.mean == 0.0 { sample } else { self.mean + gain * (sample - self.mean) };
    }

    /// Moves the median by the share `gain` of the way to a new sample, on a logarithmic scale. The lowest
    /// median is forgotten over `idle_time_constant`.
    pub fn record_median(&mut self, now: Time, sample: Seconds, gain: f64, idle_time_constant: Seconds) {
        let median = if self.median == 0.0 { sample } else { self.median };
        self.median = median * (sample.max(MIN_SAMPLE) / median).powf(gain);
        let remembered = (-(now - self.idle.updated_at) / idle_time_constant).exp();
        let idle_is_lower = self.idle.level > 0.0 && self.idle.level < self.median;
        let lowest = if idle_is_lower { self.idle.level } else { self.median };
        self.idle = DecayingSum { level: self.median + (lowest - self.median) * remembered, updated_at: now };
    }
}

#[cfg(test)]
#[path = "../../tests/unit/latency_estimate.rs"]
mod tests;
