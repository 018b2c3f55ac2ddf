//! Adapts how long an idle connection may be kept for reuse.
//!
//! A middlebox may drop idle connections far sooner than the endpoint closes them. The gateway sees that only when
//! the next request on the connection is reset, and that request may have run.

use std::{cell::Cell, time::Duration};

/// Lower bound of the limit. The next request of a burst arrives within it, and a new connection costs the endpoint
/// work.
const MIN_IDLE_LIMIT: Duration = Duration::from_millis(50);

/// Idle time up to which a connection may be reused. Resets lower it, successful reuse raises it again.
#[derive(Debug)]
pub struct IdleLimit {
    current: Cell<Duration>,
    max: Duration,
}

impl IdleLimit {
    /// Returns a limit that starts at `max` and never exceeds it.
    pub fn new(max: Duration) -> Self {
        Self { current: Cell::new(max), max }
    }

    /// Returns whether a connection that has been idle for this long may be reused.
    pub fn allows(&self, idle_time: Duration) -> bool {
        idle_time < self.current.get()
    }

    /// Records that a connection carried a request after being idle for this long. Raises the limit by a quarter if
    /// the idle time was at least half of it.
    pub fn record_success(&self, idle_time: Duration) {
        let current = self.current.get();
        if idle_time >= current / 2 {
            self.current.set((current * 5 / 4).min(self.max));
        }
    }

    /// Records that a connection was reset without a response after being idle for this long. Lowers the limit to
    /// half of that time, but not below the minimum.
    pub fn record_reset(&self, idle_time: Duration) {
        let lowered = (idle_time / 2).max(MIN_IDLE_LIMIT);
        self.current.set(lowered.min(self.current.get()));
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/idle_limit.rs"]
mod tests;
