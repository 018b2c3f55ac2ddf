//! A token bucket that is refilled when it is looked at.

use crate::interface::Time;

/// The tokens that a bucket held at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    /// Tokens held at `updated_at`. Negative after more were taken than there were.
    pub level: f64,
    /// The moment that `level` is about.
    pub updated_at: Time,
}

impl TokenBucket {
    /// Adds the tokens that `rate` a second has brought by `now`, up to `burst`, and returns the new level.
    pub fn refill(&mut self, now: Time, rate: f64, burst: f64) -> f64 {
        self.level = (self.level + rate * (now - self.updated_at)).min(burst);
        self.updated_at = now;
        self.level
    }

    /// Takes tokens, but never leaves fewer than none.
    pub fn take_down_to_zero(&mut self, tokens: f64) {
        self.level = (self.level - tokens).max(0.0);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/token_bucket.rs"]
mod tests;
