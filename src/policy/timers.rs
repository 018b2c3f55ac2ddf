//! The timers that the policy has asked for, by token.

use crate::interface::{CustomerId, RequestId};
use std::collections::BTreeMap;

/// What to do when a timer is due.
#[derive(Debug, Clone, PartialEq)]
pub enum TimerPurpose {
    /// Stop making this customer's requests wait for the counter.
    EndLeaseWait(CustomerId),
    /// Send a hedged request, if the first attempt is still in flight.
    Hedge(RequestId),
    /// Reject this request if it still waits for one of its customer's concurrency slots.
    EndSlotWait(RequestId),
    /// Forget idle customers.
    ForgetIdleCustomers,
    /// Poll the endpoint list.
    PollEndpoints,
}

/// See the [module](self).
#[derive(Debug, Default)]
pub struct TimerTable {
    pending: BTreeMap<u64, TimerPurpose>,
    last_token: u64,
}

impl TimerTable {
    /// Adds a timer and returns its token.
    pub fn add(&mut self, purpose: TimerPurpose) -> u64 {
        self.last_token += 1;
        self.pending.insert(self.last_token, purpose);
        self.last_token
    }

    /// Removes a timer that is due; `None` if it was due before.
    pub fn take(&mut self, token: u64) -> Option<TimerPurpose> {
        self.pending.remove(&token)
    }
}
