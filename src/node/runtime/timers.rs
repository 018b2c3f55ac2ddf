//! Pending timers, ordered by the time at which they are due.

use crate::node::connection::counter::{call::CallId, client::CounterClient};
use oliverack::{RequestId, Time};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};
use tokio::sync::Notify;

/// Purpose of a timer, which decides what happens when it fires.
pub enum TimerPurpose {
    /// Timer that the policy set with this token.
    Policy(u64),
    /// Timeout of the attempt with this number.
    Attempt(RequestId, u32),
    /// Shortly after the deadline of the request: its client no longer waits.
    Deadline(RequestId),
    /// Time from which endpoints may forget the request's idempotency key.
    DedupEnd(RequestId),
    /// Timeout of a counter call.
    CounterCall(Rc<CounterClient>, CallId),
}

/// Identifies a timer. Keys are ordered by due time, and at the same due time in the order in which the timers were
/// set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey {
    /// Bits of the due time. For non-negative floats, they have the same order as the floats.
    due_bits: u64,
    sequence_number: u64,
}

impl TimerKey {
    fn new(due: Time, sequence_number: u64) -> Self {
        Self { due_bits: due.max(0.0).to_bits(), sequence_number }
    }

    fn due(self) -> Time {
        Time::from_bits(self.due_bits)
    }
}

/// Timers that are set and have not fired.
#[derive(Default)]
pub struct Timers {
    pending: RefCell<BTreeMap<TimerKey, TimerPurpose>>,
    last_sequence_number: Cell<u64>,
    /// Notified when a timer is set that is due before all others.
    earlier_timer_set: Notify,
}

impl Timers {
    /// Sets a timer and returns the key to cancel it. A negative `due` counts as 0.
    pub fn set(&self, due: Time, purpose: TimerPurpose) -> TimerKey {
        self.last_sequence_number.set(self.last_sequence_number.get() + 1);
        let key = TimerKey::new(due, self.last_sequence_number.get());
        let mut pending = self.pending.borrow_mut();
        let is_earliest = pending.first_key_value().is_none_or(|(first, _)| key < *first);
        pending.insert(key, purpose);
        if is_earliest {
            self.earlier_timer_set.notify_one();
        }
        key
    }

    /// Cancels a timer. Does nothing if it has fired or was cancelled.
    pub fn cancel(&self, key: TimerKey) {
        self.pending.borrow_mut().remove(&key);
    }

    /// Returns the time at which the next timer is due. Drops the timeouts of counter calls that have ended, so that
    /// they don't wake the process.
    pub fn next_due(&self) -> Option<Time> {
        let mut pending = self.pending.borrow_mut();
        while let Some(first) = pending.first_entry() {
            match first.get() {
                TimerPurpose::CounterCall(client, call_id) if !client.awaits_call(*call_id) => {
                    first.remove();
                }
                _ => return Some(first.key().due()),
            }
        }
        None
    }

    /// Removes the next timer and returns its purpose, whether or not it is due.
    pub fn pop_next(&self) -> Option<TimerPurpose> {
        self.pending.borrow_mut().pop_first().map(|(_, purpose)| purpose)
    }

    /// Waits until a timer is set that is due before all others.
    pub async fn wait_for_earlier(&self) {
        self.earlier_timer_set.notified().await;
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/timers.rs"]
mod tests;
