//! How long answers take, as running estimates that need no list of them.

use crate::{decaying_sum::DecayingSum, interface::Time};

/// Least time of an answer that the middle one may fall to, in seconds.
const LEAST: f64 = 1e-3;

/// Running estimates of the time that answers take, in seconds; 0: none has come.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyEstimate {
    /// The mean answer's time.
    pub mean: f64,
    /// The middle answer's time: single slow or lost answers do not move it.
    pub typical: f64,
    /// What the middle one was at its best, forgotten slowly.
    pub idle: DecayingSum,
}

impl LatencyEstimate {
    /// Moves the mean by a share of the way to a new answer's time.
    pub fn note_mean(&mut self, elapsed: f64, gain: f64) {
        self.mean = if self.mean == 0.0 { elapsed } else { self.mean + gain * (elapsed - self.mean) };
    }

    /// Moves the middle one by a share of the way, by its logarithm; `memory` is that of its best, in seconds.
    pub fn note_typical(&mut self, now: Time, elapsed: f64, gain: f64, memory: f64) {
        let typical = if self.typical == 0.0 { elapsed } else { self.typical };
        self.typical = typical * (elapsed.max(LEAST) / typical).powf(gain);
        let kept = (-(now - self.idle.at) / memory).exp();
        let known = self.idle.level > 0.0 && self.idle.level < self.typical;
        let best = if known { self.idle.level } else { self.typical };
        self.idle = DecayingSum { level: self.typical + (best - self.typical) * kept, at: now };
    }
}

#[cfg(test)]
#[path = "../tests/unit/latency_estimate.rs"]
mod tests;
