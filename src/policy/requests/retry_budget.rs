//! Limits retries and hedged requests to a fraction of the first attempts, so that they can't prolong an
//! overload.

use crate::interface::Status;

/// Further attempts that the first attempt of a request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Most further attempts in the budget.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Cost of a further attempt.
const RETRY_COST: f64 = 1.0;
/// Cost of a retry after a broken connection, which is no sign of an overload: an overloaded endpoint rejects
/// or delays requests.
const BROKEN_CONNECTION_COST: f64 = 0.25;

/// Reason for a further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The connection failed or broke.
    BrokenConnection,
    /// The attempt failed in another way or is slow.
    Other,
}

impl RetryReason {
    /// Returns the reason for a retry after an attempt with this result.
    pub fn after(status: Status) -> Self {
        match status {
            Status::Reset | Status::ConnectFailed => Self::BrokenConnection,
            _ => Self::Other,
        }
    }
}

/// Budget for retries and hedged requests of all requests together.
#[derive(Debug)]
pub struct RetryBudget {
    saved_retries: f64,
}

impl RetryBudget {
    /// Adds to the budget for the first attempt of a request.
    pub fn record_request(&mut self) {
        self.saved_retries = (self.saved_retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Returns whether a further attempt may be made.
    pub fn allows_retry(&self) -> bool {
        self.saved_retries >= RETRY_COST
    }

    /// Deducts the cost of a further attempt.
    pub fn record_retry(&mut self, reason: RetryReason) {
        self.saved_retries -= match reason {
            RetryReason::BrokenConnection => BROKEN_CONNECTION_COST,
            RetryReason::Other => RETRY_COST,
        };
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved_retries: MAX_SAVED_RETRIES }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/retry_budget.rs"]
mod tests;
