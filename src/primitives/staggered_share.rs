//! One holder's share of a rate limit that several holders use without talking to each other.
//!
//! The limit is granted in whole requests, to one holder after the other in turn, and each grant may be saved
//! up for the time in which the rate refills the burst. Holders whose clocks agree therefore never spend more
//! than the rate and the burst together, even where one holder's part of the burst is less than a single
//! request.

use crate::interface::Time;

/// What is shared, and which share this holder has.
#[derive(Debug, Clone, Copy)]
pub struct StaggeredShare {
    /// Units a second for all holders together.
    pub rate: f64,
    /// Units that all holders together may have saved up.
    pub burst: f64,
    /// Units granted at once: as many as the largest request takes.
    pub quantum: f64,
    /// Position of this holder in the turn, from 0. A fraction shifts the turn.
    pub position: f64,
    /// How many holders there are.
    pub holder_count: f64,
}

impl StaggeredShare {
    /// Units granted to this holder up to `at`, counted from a fixed moment long ago.
    fn granted_until(&self, at: Time) -> f64 {
        let grants = at * self.rate / self.quantum;
        ((grants - self.position) / self.holder_count).floor() * self.quantum
    }

    /// Units granted to this holder between two moments.
    pub fn granted_between(&self, from: Time, to: Time) -> f64 {
        self.granted_until(to) - self.granted_until(from)
    }

    /// The most units that this holder may have saved up at `now`; older grants have lapsed.
    pub fn max_saved_units(&self, now: Time) -> f64 {
        self.granted_between(now - self.burst / self.rate, now)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/staggered_share.rs"]
mod tests;
