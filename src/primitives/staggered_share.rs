//! One holder's share of a rate limit that several holders use without communication.
//!
//! The limit is granted in whole requests to one holder after the other, and each grant may be saved up for
//! the time in which the rate refills the burst. Holders with synchronized clocks therefore never spend more
//! than the rate and the burst together, even if one holder's part of the burst is less than one request.

use crate::interface::Time;

/// A shared rate limit and this holder's position among its holders.
#[derive(Debug, Clone, Copy)]
pub struct StaggeredShare {
    /// Units per second for all holders together; above 0.
    pub rate: f64,
    /// Units that all holders together may have saved up.
    pub burst: f64,
    /// Units of one grant: as many as the largest request takes.
    pub quantum: f64,
    /// Position of this holder in the order of grants, from 0. A fraction shifts the time of the grants.
    pub position: f64,
    /// Number of holders.
    pub holder_count: f64,
}

impl StaggeredShare {
    /// Returns the units granted to this holder from the origin of the clock until `time`.
    fn granted_until(&self, time: Time) -> f64 {
        let grants = time * self.rate / self.quantum;
        ((grants - self.position) / self.holder_count).floor() * self.quantum
    }

    /// Returns the units granted to this holder between two times.
    pub fn granted_between(&self, from: Time, to: Time) -> f64 {
        self.granted_until(to) - self.granted_until(from)
    }

    /// Returns the most units that this holder may have saved up at `now`; older grants have expired.
    pub fn max_saved_units(&self, now: Time) -> f64 {
        self.granted_between(now - self.burst / self.rate, now)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/staggered_share.rs"]
mod tests;
