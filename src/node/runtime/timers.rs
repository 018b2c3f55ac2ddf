//! Timers in the order in which they are due.

use crate::node::connection::counter::{call::CallId, client::CounterClient};
use oliverack::{RequestId, Time};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};
use tokio::sync::Notify;

/// What a timer is for.
pub enum TimerPurpose {
    /// The policy asked for it, by this token.
    Policy(u64),
    /// The time of an attempt is up.
    Attempt(RequestId, u32),
    /// The client no longer waits.
    Deadline(RequestId),
    /// The endpoints may have forgotten the request.
    DedupEnd(RequestId),
    /// The time of a counter call is up.
    CounterCall(Rc<CounterClient>, CallId),
}

/// A timer's place: when it is due, in order, and its number among those due at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey(u64, u64);

impl TimerKey {
    /// Times are not negative, so their bits stand in their order.
    fn new(at: Time, number: u64) -> Self {
        Self(at.max(0.0).to_bits(), number)
    }

    fn due(self) -> Time {
        Time::from_bits(self.0)
    }
}

/// See the [module](self).
#[derive(Default)]
pub struct Timers {
    pending: RefCell<BTreeMap<TimerKey, TimerPurpose>>,
    last_number: Cell<u64>,
    /// A timer was set that is due before all others.
    earlier: Notify,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&self, at: Time, purpose: TimerPurpose) -> TimerKey {
        self.last_number.set(self.last_number.get() + 1);
        let key = TimerKey::new(at, self.last_number.get());
        let mut pending = self.pending.borrow_mut();
        let first = pending.first_key_value().is_none_or(|(k, _)| key < *k);
        pending.insert(key, purpose);
        if first {
            self.earlier.notify_one();
        }
        key
    }

    /// Takes a timer back.
    pub fn cancel(&self, key: TimerKey) {
        self.pending.borrow_mut().remove(&key);
    }

    /// When the next timer is due. One for a call that has its answer need not wake anybody.
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

    /// Takes the next timer, whenever it is due.
    pub fn take_next(&self) -> Option<TimerPurpose> {
        self.pending.borrow_mut().pop_first().map(|(_, purpose)| purpose)
    }

    /// Waits until a timer was set that is due before all others.
    pub async fn earlier_one(&self) {
        self.earlier.notified().await;
    }
}
