//! Limits further attempts to a fraction of the first ones, so that retries can't feed an overload.

use crate::interface::Status;

/// Further attempts that each request's first attempt allows.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Further attempts that may be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// What a further attempt costs.
const RETRY_COST: f64 = 1.0;
/// What a retry after a broken connection costs: an overload rejects and delays, it does not break
/// connections.
const BROKEN_CONNECTION_COST: f64 = 0.25;

/// Why a further attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The connection failed or broke.
    BrokenConnection,
    /// The attempt failed in another way, or is slow.
    Other,
}

impl RetryReason {
    /// Why an attempt that ended like this is followed by another one.
    pub fn after(status: Status) -> Self {
        match status {
            Status::Reset | Status::ConnectFailed => Self::BrokenConnection,
            _ => Self::Other,
        }
    }
}

/// See the [module](self).
#[derive(Debug)]
pub struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// Counts a request's first attempt.
    pub fn record_request(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Whether a further attempt may be made.
    pub fn allows_retry(&self) -> bool {
        self.retries >= RETRY_COST
    }

    /// Pays for a further attempt.
    pub fn record_retry(&mut self, reason: RetryReason) {
        self.retries -= match reason {
            RetryReason::BrokenConnection => BROKEN_CONNECTION_COST,
            RetryReason::Other => RETRY_COST,
        };
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { retries: MAX_SAVED_RETRIES }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/retry_budget.rs"]
mod tests;
