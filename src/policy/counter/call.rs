//! Counter calls whose replies are awaited.

use crate::{interface::CustomerId, primitives::stable_hash::stable_hash};

/// Why the counter was called.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallPurpose {
    /// Lease a block of units.
    Lease {
        /// Units wanted for the lease.
        wanted: f64,
        /// Units added besides, because they were spent without the counter.
        unreported: f64,
    },
    /// Learn how much the previous window left.
    ReadPrevious,
    /// Correct the count.
    Correct,
}

/// The count that a call adds to: that of one customer's quota in one window.
#[derive(Debug, Clone, PartialEq)]
pub struct CountKey {
    /// The customer.
    pub customer: CustomerId,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Number of the window.
    pub window: u64,
}

impl CountKey {
    /// The count's name, on which all gateways agree.
    pub fn name(&self) -> u64 {
        let plan = (self.plan as u64).to_le_bytes();
        stable_hash(&[self.customer.as_bytes(), &plan, &self.window.to_le_bytes()])
    }
}

/// A call whose reply is awaited.
#[derive(Debug, Clone)]
pub struct CounterCall {
    /// The count.
    pub key: CountKey,
    /// Units that the call adds.
    pub amount: f64,
    /// What the reply is for.
    pub purpose: CallPurpose,
}
