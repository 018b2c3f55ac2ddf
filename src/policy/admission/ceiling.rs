//! A customer's hard ceiling: whatever the counter says, this gateway sends no more than its even share of
//! it.
//!
//! A count may be lost or granted twice at the turn of a window, and leases are spent later than they are
//! granted. An even share holds all the same, whichever gateways restart, as a restart grants nothing again.

use crate::{
    interface::Time,
    primitives::{staggered_share::StaggeredShare, token_bucket::TokenBucket},
};

/// Share of a ceiling's burst that the gateways may spend; the rest allows for attempts that arrive late.
pub const BURST_SHARE: f64 = 0.8;

/// This gateway's share of one customer's ceiling.
#[derive(Debug)]
pub struct CeilingShare(TokenBucket);

impl CeilingShare {
    /// A share of which nothing has been granted before `since`.
    pub fn empty_since(since: Time) -> Self {
        Self(TokenBucket { level: 0.0, updated_at: since })
    }

    /// Adds what was granted since `since`, or since the last refill if that was later, and returns the new
    /// level.
    pub fn refill(&mut self, now: Time, since: Time, share: &StaggeredShare) -> f64 {
        let since = self.0.updated_at.max(since);
        let level = self.0.level.max(0.0) + share.granted_between(since, now);
        self.0 = TokenBucket { level: level.min(share.max_saved_units(now)), updated_at: now };
        self.0.level
    }

    /// Takes units for a request that is sent.
    pub fn spend(&mut self, units: f64) {
        self.0.level -= units;
    }

    /// Returns units of a request that was not sent after all.
    pub fn refund(&mut self, units: f64) {
        self.0.level += units;
    }
}
