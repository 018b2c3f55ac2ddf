//! A call to the counter that is out, and what its answer is for.

use crate::{hash::hash, interface::CustomerId};

/// Why a count was called.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallPurpose {
    /// To lease a block.
    Lease {
        /// Units wanted for the lease.
        wanted: f64,
        /// Units added besides, as they were spent without the count.
        unreported: f64,
    },
    /// To learn how the window before ended.
    ReadPrevious,
    /// To set the count right.
    Correct,
}

/// A call whose answer is awaited.
#[derive(Debug)]
pub struct CounterCall {
    /// Whose count it is.
    pub customer: CustomerId,
    /// The window that the count is of.
    pub window: u64,
    /// Units that it adds.
    pub amount: f64,
    /// What the answer is for.
    pub purpose: CallPurpose,
}

impl CounterCall {
    /// Another call for the same customer.
    pub fn follow_up(&self, window: u64, amount: f64, purpose: CallPurpose) -> Self {
        Self { customer: self.customer.clone(), window, amount, purpose }
    }

    /// The name of the count: all gateways agree on it.
    pub fn counter(&self, plan: usize) -> u64 {
        let plan = (plan as u64).to_le_bytes();
        hash(&[self.customer.as_bytes(), &plan, &self.window.to_le_bytes()])
    }
}
