//! The clock of all events.

use oliverack::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Farthest moment that can be converted, from the start of the clock on.
const MAX_SECONDS_AHEAD: f64 = 1e9;

/// Unix time that never goes back: the system's clock is read once and continued by the monotonic clock. Unix
/// time, as all gateways must agree on the windows of the quotas.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    start_unix: Time,
}

impl Clock {
    /// A clock that starts from the system's.
    pub fn new() -> Self {
        let start_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Self { start: Instant::now(), start_unix }
    }

    /// The current Unix time.
    pub fn now(&self) -> Time {
        self.start_unix + self.start.elapsed().as_secs_f64()
    }

    /// Converts a Unix time to the monotonic clock.
    pub fn instant(&self, at: Time) -> Instant {
        let seconds_ahead = (at - self.start_unix).clamp(0.0, MAX_SECONDS_AHEAD);
        self.start + Duration::from_secs_f64(seconds_ahead)
    }
}
