//! A sum that decays exponentially: an amount that was added one time constant ago counts for 1/e of itself.

use crate::interface::{Seconds, Time};

/// An exponentially decaying sum. The sum divided by the time constant is the recent rate of additions.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingSum {
    /// Sum at the time `updated_at`.
    pub level: f64,
    /// Time up to which the sum has decayed.
    pub updated_at: Time,
}

impl DecayingSum {
    /// Decays the sum until `now`, then adds `amount`.
    pub fn add(&mut self, now: Time, amount: f64, time_constant: Seconds) {
        self.level = self.level * (-(now - self.updated_at) / time_constant).exp() + amount;
        self.updated_at = now;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/decaying_sum.rs"]
mod tests;
