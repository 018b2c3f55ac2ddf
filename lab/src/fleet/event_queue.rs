//! The discrete clock: a queue of events in the order of their time.

use oliverack::Time;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// The clock at the start of a run. Not zero, as zero means "long ago" in the list of endpoints.
pub const RUN_START: Time = 100.0;

/// One event and when it is due.
#[derive(Debug)]
struct Entry<E> {
    at: Time,
    sequence: u64,
    event: E,
}

impl<E> Ord for Entry<E> {
    /// The earliest entry is the greatest, as the heap gives out its greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

/// Gives out events by time; events of the same time in the order in which they were scheduled.
#[derive(Debug)]
pub struct EventQueue<E> {
    now: Time,
    scheduled: u64,
    entries: BinaryHeap<Entry<E>>,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { now: RUN_START, scheduled: 0, entries: BinaryHeap::new() }
    }
}

impl<E> EventQueue<E> {
    /// The time of the event given out last.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Schedules an event; one that would lie in the past is due at once.
    pub fn schedule(&mut self, at: Time, event: E) {
        self.scheduled += 1;
        self.entries.push(Entry { at: at.max(self.now), sequence: self.scheduled, event });
    }

    /// Takes the next event that is due no later than `limit`, and moves the clock to it.
    pub fn pop_until(&mut self, limit: Time) -> Option<E> {
        if self.entries.peek()?.at > limit {
            return None;
        }
        let entry = self.entries.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}
