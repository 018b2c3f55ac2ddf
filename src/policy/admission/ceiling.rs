//! Enforces a customer's hard ceiling: this gateway never sends more than its even share of it, whatever the
//! counter replies.
//!
//! The counter alone cannot guarantee a ceiling: a count may be lost or granted twice when a window ends, and
//! leases are spent later than they are granted. The even share needs no counter and also holds when gateways
//! restart, as a restart grants nothing a second time.

use crate::{
    interface::Time,
    primitives::{staggered_share::StaggeredShare, token_bucket::TokenBucket},
};

/// Share of a ceiling's burst that the gateways may spend. The rest allows for attempts that reach endpoints
/// late.
pub const BURST_SHARE: f64 = 0.8;

/// This gateway's share of one customer's ceiling, in units.
#[derive(Debug)]
pub struct CeilingShare(TokenBucket);

impl CeilingShare {
    /// Creates an empty share that receives the grants from `since` on.
    pub fn empty_since(since: Time) -> Self {
        Self(TokenBucket { level: 0.0, updated_at: since })
    }

    /// Adds the units granted since `since`, or since the last refill if later. Returns the units available.
    pub fn refill(&mut self, now: Time, since: Time, share: &StaggeredShare) -> f64 {
        let since = self.0.updated_at.max(since);
        let level = self.0.level.max(0.0) + share.granted_between(since, now);
        self.0 = TokenBucket { level: level.min(share.max_saved_units(now)), updated_at: now };
        self.0.level
    }

    /// Takes the units of an admitted request.
    pub fn spend(&mut self, units: f64) {
        self.0.level -= units;
    }

    /// Gives back the units of a request that was not sent.
    pub fn refund(&mut self, units: f64) {
        self.0.level += units;
    }
}
