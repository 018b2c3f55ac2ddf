//! Event queue and clock of the simulation.

use oliverack::Time;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Clock time at the start of a run. Above zero, because a start time of zero means "long ago" in the endpoint list.
pub const RUN_START: Time = 100.0;

/// Event, its time, and its position among events of the same time.
#[derive(Debug)]
struct QueueEntry<E> {
    at: Time,
    sequence: u64,
    event: E,
}

impl<E> Ord for QueueEntry<E> {
    /// Orders the earliest entry as the greatest, because the heap pops the greatest entry first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

impl<E> PartialOrd for QueueEntry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for QueueEntry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for QueueEntry<E> {}

/// Scheduled events in the order of their times; those of the same time in the order in which they were scheduled.
#[derive(Debug)]
pub struct EventQueue<E> {
    now: Time,
    last_sequence: u64,
    entries: BinaryHeap<QueueEntry<E>>,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { now: RUN_START, last_sequence: 0, entries: BinaryHeap::new() }
    }
}

impl<E> EventQueue<E> {
    /// Returns the current time: that of the last event popped, or [`RUN_START`].
    pub fn now(&self) -> Time {
        self.now
    }

    /// Schedules an event; if its time has passed, it is due now.
    pub fn schedule(&mut self, due_at: Time, event: E) {
        self.last_sequence += 1;
        let entry = QueueEntry { at: due_at.max(self.now), sequence: self.last_sequence, event };
        self.entries.push(entry);
    }

    /// Pops the next event and moves the clock to its time. Returns `None` if no event is due by `limit`.
    pub fn pop_until(&mut self, limit: Time) -> Option<E> {
        if self.entries.peek()?.at > limit {
            return None;
        }
        let entry = self.entries.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}
