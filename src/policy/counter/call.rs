//! Counter calls that await their replies, and the keys of the counts that they add to.

use crate::{interface::CustomerId, primitives::stable_hash::stable_hash};

/// Purpose of a counter call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallPurpose {
    /// Lease a block of units.
    Lease {
        /// Units asked for.
        wanted: f64,
        /// Units reported with the call because they were spent without the counter.
        unreported: f64,
    },
    /// Read the previous window's count.
    ReadPrevious,
    /// Correct the count by the call's amount.
    Correct,
}

/// Key of a count: one customer's quota under one plan, in one window.
#[derive(Debug, Clone, PartialEq)]
pub struct CountKey {
    pub customer: CustomerId,
    /// Index of the customer's plan in the settings.
    pub plan_index: usize,
    /// Number of the window, the same at every gateway.
    pub window: u64,
}

impl CountKey {
    /// Returns the count's name, the same at every gateway.
    pub fn name(&self) -> u64 {
        let plan = (self.plan_index as u64).to_le_bytes();
        stable_hash(&[self.customer.as_bytes(), &plan, &self.window.to_le_bytes()])
    }
}

/// Counter call that awaits its reply.
#[derive(Debug, Clone)]
pub struct CounterCall {
    /// Key of the count that the call adds to.
    pub key: CountKey,
    /// Units that the call adds; negative to reduce the count, 0 to read it.
    pub amount: f64,
    pub purpose: CallPurpose,
}
