//! Clock that gives the time of all events.

use oliverack::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Latest time that can be converted to an [`Instant`], in seconds after the start of the clock.
const MAX_SECONDS_AHEAD: f64 = 1e9;

/// Unix time that never goes back: the system clock is read once and continued by the monotonic clock. It is Unix
/// time because all gateways must agree on the windows of the quotas.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    unix_time_at_start: Time,
}

impl Clock {
    /// Creates a clock that starts at the time of the system clock.
    pub fn new() -> Self {
        let unix_time_at_start =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Self { start: Instant::now(), unix_time_at_start }
    }

    /// Returns the current Unix time, in seconds.
    pub fn now(&self) -> Time {
        self.unix_time_at_start + self.start.elapsed().as_secs_f64()
    }

    /// Converts a time of the monotonic clock to Unix time.
    pub fn time(&self, instant: Instant) -> Time {
        self.unix_time_at_start + instant.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Converts a Unix time to the monotonic clock. A time before the start of the clock becomes the start.
    pub fn instant(&self, time: Time) -> Instant {
        let seconds_ahead = (time - self.unix_time_at_start).clamp(0.0, MAX_SECONDS_AHEAD);
        self.start + Duration::from_secs_f64(seconds_ahead)
    }
}
