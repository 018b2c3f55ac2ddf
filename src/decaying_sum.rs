//! A sum that forgets exponentially: what was added `memory` seconds ago counts for 1/e of its amount.

use crate::interface::Time;

/// A sum, and the moment up to which it has decayed. Divided by the memory it is the recent rate.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingSum {
    /// The sum at `at`.
    pub level: f64,
    /// When that was.
    pub at: Time,
}

impl DecayingSum {
    /// Lets the sum decay until `now` and adds `amount`; `memory` is in seconds.
    pub fn add(&mut self, now: Time, amount: f64, memory: f64) {
        self.level = self.level * (-(now - self.at) / memory).exp() + amount;
        self.at = now;
    }
}

#[cfg(test)]
#[path = "../tests/unit/decaying_sum.rs"]
mod tests;
