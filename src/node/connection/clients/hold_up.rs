//! Detects that the process got no processor time for a while, so that input may have arrived long before it is read.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Longest time between two ticks of a process that is not held up. Ticks are due every 0.1 s.
const MAX_TICK_GAP: Duration = Duration::from_millis(250);
/// Time after a hold-up in which the input that arrived meanwhile is read.
const CATCH_UP_TIME: Duration = Duration::from_millis(50);

/// A time in which the process was held up.
#[derive(Debug, Clone, Copy)]
struct HoldUp {
    from: Instant,
    until: Instant,
}

/// Monitor of the process, which must be ticked periodically.
#[derive(Debug)]
pub struct HoldUpMonitor {
    last_tick_at: Cell<Instant>,
    last_hold_up: Cell<Option<HoldUp>>,
}

impl HoldUpMonitor {
    /// Creates a monitor that was ticked at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last_tick_at: Cell::new(now), last_hold_up: Cell::new(None) }
    }

    /// Records that the process runs at `now`.
    pub fn tick(&self, now: Instant) {
        let from = self.last_tick_at.replace(now);
        if now.saturating_duration_since(from) > MAX_TICK_GAP {
            self.last_hold_up.set(Some(HoldUp { from, until: now }));
        }
    }

    /// Returns the earliest time at which input can have arrived that was waited for and is found at `now`.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        let last_tick_at = self.last_tick_at.get();
        if now.saturating_duration_since(last_tick_at) > MAX_TICK_GAP {
            return last_tick_at;
        }
        let last_hold_up = self.last_hold_up.get();
        let catching_up = last_hold_up.filter(|hold_up| now < hold_up.until + CATCH_UP_TIME);
        catching_up.map_or(now, |hold_up| hold_up.from)
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/hold_up.rs"]
mod tests;
