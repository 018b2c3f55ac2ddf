//! Keeps the purpose of each timer that the policy has set.

use crate::interface::{CustomerId, RequestId};
use std::collections::BTreeMap;

/// Action to take when a timer is due.
#[derive(Debug, Clone, PartialEq)]
pub enum TimerPurpose {
    /// Stop the wait of this customer's requests for the counter's reply.
    EndLeaseWait(CustomerId),
    /// Send a hedged request if exactly one attempt of this request is in flight and no response has started.
    Hedge(RequestId),
    /// Reject this request if it still waits for a concurrency slot.
    EndSlotWait(RequestId),
    /// Evict idle customers from the customer table.
    EvictIdleCustomers,
    /// Poll discovery for the endpoint list.
    PollEndpoints,
}

/// Purposes of the pending timers, by token.
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

    /// Removes a timer that is due and returns its purpose; `None` if the timer was taken before.
    pub fn take(&mut self, token: u64) -> Option<TimerPurpose> {
        self.pending.remove(&token)
    }
}
