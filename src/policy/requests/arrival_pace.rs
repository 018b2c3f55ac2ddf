//! Measures the pace at which a response's body arrives.

use crate::{
    interface::{Seconds, Time},
    primitives::decaying_sum::DecayingSum,
};
use std::ops::RangeInclusive;

/// Rate from which on a body arrives fast. Slow peers send 64 kB a second, possibly in bursts.
const FAST_BYTES_PER_SECOND: f64 = 32_000.0;
/// Time constant of the recent rate.
const RATE_TIME_CONSTANT: Seconds = 0.3;
/// Highest recent rate, so that a large burst does not count for long.
const MAX_BYTES_PER_SECOND: f64 = 2.0 * FAST_BYTES_PER_SECOND;
/// Pause that shows nothing, as a busy process or endpoint causes such.
const NEGLIGIBLE_PAUSE: Seconds = 0.2;
/// Longest pause after which a body may go on that has not paused before.
const MAX_FIRST_PAUSE: Seconds = 2.0;
/// Numbers of bytes after which a body may pause for the first time. Of fewer the rest is likely to be short,
/// too; after more only the end is likely to be missing.
const BYTES_BEFORE_FIRST_PAUSE: RangeInclusive<u64> = 16 * 1024..=32 * 1024;
/// Longest pause after which a body may go on, relative to the longest one after which it did.
const PAUSE_FACTOR: f64 = 2.0;

/// Measurement of the pace of one body. A pause is a time in which the body does not arrive fast, after a
/// time in which it did.
#[derive(Debug, Clone, Copy, Default)]
pub struct ArrivalPace {
    recent_bytes: DecayingSum,
    /// Time until which the body arrives fast if nothing more comes; `None` before it has.
    fast_until: Option<Time>,
    /// Longest pause after which the body arrived fast again.
    longest_pause: Seconds,
}

impl ArrivalPace {
    /// Records bytes that have arrived at `now`.
    pub fn record(&mut self, now: Time, bytes: usize) {
        self.recent_bytes.add(now, bytes as f64, RATE_TIME_CONSTANT);
        self.recent_bytes.level = self.recent_bytes.level.min(MAX_BYTES_PER_SECOND * RATE_TIME_CONSTANT);
        let rate = self.recent_bytes.level / RATE_TIME_CONSTANT;
        if rate >= FAST_BYTES_PER_SECOND {
            let pause = self.fast_until.map_or(0.0, |fast_until| now - fast_until);
            self.longest_pause = self.longest_pause.max(pause);
            self.fast_until = Some(now + RATE_TIME_CONSTANT * (rate / FAST_BYTES_PER_SECOND).ln());
        }
    }

    /// Returns the pace at `now`.
    pub fn at(mut self, now: Time) -> Pace {
        self.recent_bytes.add(now, 0.0, RATE_TIME_CONSTANT);
        Pace {
            bytes_per_second: self.recent_bytes.level / RATE_TIME_CONSTANT,
            pause: self.fast_until.map(|fast_until| (now - fast_until).max(0.0)),
            longest_pause: self.longest_pause,
        }
    }
}

/// Pace of a body at a certain time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Pace {
    /// Recent rate.
    pub bytes_per_second: f64,
    /// Time since the body last arrived fast, 0 while it does; `None` if it never has.
    pub pause: Option<Seconds>,
    /// Longest pause after which the body arrived fast again.
    pub longest_pause: Seconds,
}

impl Pace {
    /// Returns whether a body of which `received_bytes` have arrived may be expected to go on: it arrives
    /// fast, or pauses no longer than it may.
    pub fn goes_on(&self, received_bytes: u64) -> bool {
        let is_first_pause_allowed = BYTES_BEFORE_FIRST_PAUSE.contains(&received_bytes);
        let max_first_pause = if is_first_pause_allowed { MAX_FIRST_PAUSE } else { NEGLIGIBLE_PAUSE };
        let max_pause = max_first_pause.max(PAUSE_FACTOR * self.longest_pause);
        self.pause.is_some_and(|pause| pause <= max_pause)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/arrival_pace.rs"]
mod tests;
