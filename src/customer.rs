//! What a gateway keeps of one customer: its lease, its even share, and its requests that wait.

use crate::{
    allotment::Allotment,
    decaying_sum::DecayingSum,
    interface::{RequestId, Time},
    settings::Plan,
    token_bucket::TokenBucket,
};
use std::collections::VecDeque;

/// A customer that this gateway has had requests of lately. Amounts are in units of the quota.
#[derive(Debug, Default)]
pub struct Customer {
    /// Index of its plan.
    pub plan: usize,
    /// How many gateways carry its requests.
    pub spread: u32,
    /// This gateway's position among those, from 0.
    pub position: u32,
    /// Granted by the counter and not yet spent; it lapses with its window.
    pub lease: f64,
    /// Spent without having been added to the count; the next call adds it.
    pub unreported: f64,
    /// What its requests asked for of late.
    pub demand: DecayingSum,
    /// How many requests came, over a longer memory.
    pub arrivals: DecayingSum,
    /// This gateway's even share of the quota, for while the counter can't be used.
    pub even_share: TokenBucket,
    /// Its even share of the ceiling, which all that is sent draws down.
    pub ceiling_share: TokenBucket,
    /// What was left of the quota when the count was last seen.
    pub known_level: Option<TokenBucket>,
    /// The window that the lease belongs to.
    pub window: u64,
    /// The timer of the call that is out for a block, if one is.
    pub pending_call: Option<u64>,
    /// That call has had its time; requests no longer wait for it.
    pub call_overdue: bool,
    /// Requests that wait for that call.
    pub held: VecDeque<RequestId>,
    /// Attempts that count against the plan's cap on concurrent attempts.
    pub attempts_out: u32,
    /// Covered requests, with their units, that wait for one of those to end.
    pub slot_queue: VecDeque<(RequestId, f64)>,
    /// When it last came.
    pub last_seen: Time,
}

impl Customer {
    /// Leaves units for the next call to add, below nothing to take off: no more than a burst.
    pub fn report_later(&mut self, units: f64, plan: &Plan) {
        self.unreported = (self.unreported + units).clamp(-plan.burst, plan.burst);
    }

    /// What is left of the quota at `now`, where the count was seen at most `age` seconds ago.
    pub fn known_left(&self, now: Time, plan: &Plan, age: f64) -> Option<f64> {
        let known = self.known_level.filter(|known| now - known.at < age);
        known.map(|mut known| known.refill(now, plan.rate, plan.burst))
    }

    /// Adds what its share of the ceiling was dealt since `since`, or since that was last looked at; the new level.
    pub fn refill_ceiling(&mut self, now: Time, since: Time, allotment: &Allotment) -> f64 {
        let since = self.ceiling_share.at.max(since);
        let level = self.ceiling_share.level.max(0.0) + allotment.between(since, now);
        self.ceiling_share = TokenBucket { level: level.min(allotment.most(now)), at: now };
        self.ceiling_share.level
    }

    /// Gives back the units of a request that was not sent after all.
    pub fn unspend(&mut self, units: f64) {
        self.lease += units;
        self.ceiling_share.level += units;
    }
}
