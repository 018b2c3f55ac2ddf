//! Learns how long an idle connection may be kept. A middlebox may drop idle connections far sooner than the endpoint
//! closes them, and shows that only by a reset of the next request, which may then have run.

use std::{cell::Cell, time::Duration};

/// Shortest limit: within it the next request of a burst arrives, and a new connection costs the endpoint work.
const MIN_IDLE_LIMIT: Duration = Duration::from_millis(50);

/// The longest time for which an idle connection is reused: halved by resets, raised by successful reuse.
#[derive(Debug)]
pub struct IdleLimit {
    current: Cell<Duration>,
    max: Duration,
}

impl IdleLimit {
    /// A limit that starts at its maximum.
    pub fn new(max: Duration) -> Self {
        Self { current: Cell::new(max), max }
    }

    /// Whether a connection that has been idle for this long may be reused.
    pub fn allows(&self, idle: Duration) -> bool {
        idle < self.current.get()
    }

    /// A connection carried a request after being idle for this long.
    pub fn note_success(&self, idle: Duration) {
        let current = self.current.get();
        if idle >= current / 2 {
            self.current.set((current * 5 / 4).min(self.max));
        }
    }

    /// A connection was reset without a response after being idle for this long.
    pub fn note_reset(&self, idle: Duration) {
        let lowered = (idle / 2).max(MIN_IDLE_LIMIT);
        self.current.set(lowered.min(self.current.get()));
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/idle_limit.rs"]
mod tests;
