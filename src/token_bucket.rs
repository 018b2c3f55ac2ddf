//! A token bucket that is refilled when it is looked at.

use crate::interface::Time;

/// The tokens that a bucket held at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    /// Tokens held at `at`; below zero where more were taken.
    pub level: f64,
    /// When that was.
    pub at: Time,
}

impl TokenBucket {
    /// Adds what `rate` tokens a second have brought until `now`, up to `burst`; returns the new level.
    pub fn refill(&mut self, now: Time, rate: f64, burst: f64) -> f64 {
        self.level = (self.level + rate * (now - self.at)).min(burst);
        self.at = now;
        self.level
    }
}

#[cfg(test)]
#[path = "../tests/unit/token_bucket.rs"]
mod tests;
