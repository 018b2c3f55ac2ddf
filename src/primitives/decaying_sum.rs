//! A sum that decays exponentially: an amount added one time constant ago counts for 1/e of itself.

use crate::interface::{Seconds, Time};

/// A sum, and the moment up to which it has decayed. Divided by the time constant it is the recent rate.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingSum {
    /// The sum at `updated_at`.
    pub level: f64,
    /// The moment that `level` is about.
    pub updated_at: Time,
}

impl DecayingSum {
    /// Lets the sum decay until `now` and adds `amount`.
    pub fn add(&mut self, now: Time, amount: f64, time_constant: Seconds) {
        self.level = self.level * (-(now - self.updated_at) / time_constant).exp() + amount;
        self.updated_at = now;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/decaying_sum.rs"]
mod tests;
