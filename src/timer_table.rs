//! The timers that a gateway has asked for, by their tokens.

use crate::interface::{CustomerId, RequestId};
use std::collections::BTreeMap;

/// What a timer is for.
#[derive(Debug, Clone, PartialEq)]
pub enum TimerPurpose {
    /// Requests of this customer no longer wait for the counter.
    StopHolding(CustomerId),
    /// A second attempt of this request may go out.
    Hedge(RequestId),
    /// This request no longer waits for a slot under its plan's cap.
    StopQueueing(RequestId),
    /// Idle customers are forgotten.
    Sweep,
    /// The list of endpoints is asked for.
    WatchList,
}

/// See the [module](self).
#[derive(Debug, Default)]
pub struct TimerTable {
    pending: BTreeMap<u64, TimerPurpose>,
    last_token: u64,
}

impl TimerTable {
    /// Notes a timer; returns its token.
    pub fn add(&mut self, purpose: TimerPurpose) -> u64 {
        self.last_token += 1;
        self.pending.insert(self.last_token, purpose);
        self.last_token
    }

    /// What the timer that is due is for, once; `None`: it was due before.
    pub fn take(&mut self, token: u64) -> Option<TimerPurpose> {
        self.pending.remove(&token)
    }
}
