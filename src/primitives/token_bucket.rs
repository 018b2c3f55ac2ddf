//! A token bucket that is refilled on access.

use crate::interface::Time;

/// A token bucket. The caller passes its rate and size with each refill.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    /// Tokens at the time `updated_at`; negative if more were taken than the bucket held.
    pub level: f64,
    /// Time of the last refill.
    pub updated_at: Time,
}

impl TokenBucket {
    /// Adds `rate` tokens per second since the last refill, up to `burst` in all, and returns the new level.
    pub fn refill(&mut self, now: Time, rate: f64, burst: f64) -> f64 {
        self.level = (self.level + rate * (now - self.updated_at)).min(burst);
        self.updated_at = now;
        self.level
    }

    /// Takes tokens; the level saturates at 0 instead of becoming or staying negative.
    pub fn saturating_take(&mut self, tokens: f64) {
        self.level = (self.level - tokens).max(0.0);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/token_bucket.rs"]
mod tests;
