//! A customer's quota as this gateway sees it: the units that it holds on lease, what it spent without the
//! counter, and what was left when the counter last replied.
//!
//! A quota is counted in windows, each with a count of its own. To lease a block, a gateway adds the units
//! that it wants to the window's count and keeps as many of them as the window's limit allows.

use crate::{
    interface::{RequestId, Seconds, Time},
    policy::counter::window::QuotaWindow,
    primitives::{decaying_sum::DecayingSum, token_bucket::TokenBucket},
    settings::Plan,
};

/// Time after which the last known level of a quota is asked for again.
pub const LEVEL_LIFETIME: Seconds = 1.0;
/// Time of recent demand that a leased block covers; short, as demand moves and unused blocks are lost.
const BLOCK_TIME: Seconds = 0.3;
/// Time constant over which demand is averaged; a few blocks.
const DEMAND_TIME_CONSTANT: Seconds = 1.0;
/// Share of the burst by which the count may be uncorrected after the first call in a window.
const FIRST_CALL_TOLERANCE: f64 = 0.1;
/// Share of the burst by which the count may be uncorrected after other calls.
const TOLERANCE: f64 = 0.5;
/// Units that rounding may make two equal amounts differ by.
const ROUNDING: f64 = 1e-6;

/// A lease call that has not been answered, and the requests that wait for it.
#[derive(Debug)]
pub struct PendingLease {
    /// The timer that ends the wait.
    pub timer: u64,
    /// The wait is over; requests no longer wait for this call.
    pub is_overdue: bool,
    /// The waiting requests, in the order in which they arrived.
    pub waiting: Vec<RequestId>,
}

/// What a lease call asks for, once the units that it reports besides are known.
#[derive(Debug, Clone, Copy)]
pub struct LeaseReply {
    /// The window that the call added to.
    pub window: u64,
    /// Units that the call asked for.
    pub wanted: f64,
    /// Units that the call reported as spent without the counter.
    pub unreported: f64,
    /// The count after the call.
    pub total: f64,
}

/// What a lease reply leads to.
#[derive(Debug, Clone, Copy)]
pub struct Settlement {
    /// Units to correct the call's own count by, if any.
    pub correction: Option<f64>,
    /// The previous window has to be read, as it is not known what it left.
    pub must_read_previous: bool,
}

/// See the [module](self). Amounts are in units.
#[derive(Debug, Default)]
pub struct LeasedQuota {
    /// Granted by the counter and not spent yet; lapses with its window.
    lease: f64,
    lease_window: u64,
    /// Spent without the counter; negative where the count has too much. The next lease call reports it.
    unreported: f64,
    /// What was left when the counter last replied.
    last_known_level: Option<TokenBucket>,
    /// Units that requests asked for lately.
    demand: DecayingSum,
    /// The lease call in flight.
    pub pending: Option<PendingLease>,
}

impl LeasedQuota {
    /// Records that a request asked for units.
    pub fn record_demand(&mut self, now: Time, units: f64) {
        self.demand.add(now, units, DEMAND_TIME_CONSTANT);
    }

    /// Lets a lease of another window lapse.
    pub fn enter_window(&mut self, window: u64) {
        if self.lease_window != window {
            self.lease = 0.0;
        }
    }

    /// Whether the lease covers a request.
    pub fn lease_covers(&self, units: f64) -> bool {
        self.lease >= units
    }

    /// Spends units of the lease.
    pub fn spend_lease(&mut self, units: f64) {
        self.lease -= units;
    }

    /// Returns units of a request that was not sent after all.
    pub fn refund(&mut self, units: f64) {
        self.lease += units;
    }

    /// Notes units that were spent without the counter, up to `most` in all: what was spent beyond that was
    /// paid for by the refill of the time in which it was spent.
    pub fn spend_unreported(&mut self, units: f64, most: f64) {
        self.unreported = (self.unreported + units).min(most);
    }

    /// Notes the difference between the units that a request took and those that it named.
    pub fn record_actual_units(&mut self, difference: f64) {
        self.unreported += difference;
    }

    /// Leaves units for the next lease call to report, at most a burst in either direction.
    pub fn report_later(&mut self, units: f64, plan: &Plan) {
        self.unreported = (self.unreported + units).clamp(-plan.burst, plan.burst);
    }

    /// Whether a reply of the counter has ever told what is left.
    pub fn is_known(&self) -> bool {
        self.last_known_level.is_some()
    }

    /// Whether it is known from a recent reply that the quota can't cover a request.
    pub fn is_exhausted(&self, now: Time, plan: &Plan, units: f64) -> bool {
        let level = self.level_at(now, plan, LEVEL_LIFETIME);
        level.is_some_and(|level| level + self.lease + ROUNDING < units)
    }

    /// Units that a request is short of, by the last known level.
    pub fn missing_units(&self, now: Time, plan: &Plan, units: f64) -> f64 {
        let known =
            self.last_known_level.map_or(0.0, |known| known.level + plan.rate * (now - known.updated_at));
        let left = self.lease + known;
        (units - left).max(0.0)
    }

    /// What is left at `now`, if the counter replied less than `max_age` ago.
    fn level_at(&self, now: Time, plan: &Plan, max_age: Seconds) -> Option<f64> {
        let known = self.last_known_level.filter(|known| now - known.updated_at < max_age);
        known.map(|mut known| known.refill(now, plan.rate, plan.burst))
    }

    /// Units to ask the counter for, so that a request is covered and recent demand is, too.
    pub fn wanted_units(&self, now: Time, plan: &Plan, units: f64, gateway_count: u32) -> f64 {
        let left = self.level_at(now, plan, f64::INFINITY).unwrap_or(f64::INFINITY);
        let recent = self.demand.level / DEMAND_TIME_CONSTANT * BLOCK_TIME;
        let spare = recent.min(left / f64::from(gateway_count));
        // Only whole units beyond the need: a fraction lost at each gateway is most of a small burst.
        ((units - self.lease).ceil() + spare.floor()).max(0.0)
    }

    /// Begins a lease call in this window. Returns the units to report with it.
    pub fn begin_lease_call(&mut self, window: u64) -> f64 {
        self.lease_window = window;
        std::mem::take(&mut self.unreported)
    }

    /// Grants what the count leaves of the wanted block. The window's limit is the burst plus what the rate
    /// has refilled since the window began.
    ///
    /// A count that was at zero before the call is new in its window, or was lost. The gateway that finds it
    /// corrects it by what the last known level or the previous window had used up. Where more is left than
    /// the burst, the difference has lapsed and is added to the count.
    pub fn settle_lease(
        &mut self,
        reply: LeaseReply,
        current: QuotaWindow,
        plan: &Plan,
        now: Time,
    ) -> Settlement {
        let limit = plan.burst + plan.rate * current.age;
        let count_before = reply.total - (reply.wanted + reply.unreported);
        let windows_since = (current.number - reply.window.min(current.number)) as f64;
        let left_uncapped = limit + windows_since * plan.rate * current.length - count_before;
        let mut left = left_uncapped.min(plan.burst);
        let is_first = count_before.abs() < ROUNDING;
        let known_level = self.level_at(now, plan, current.age.max(LEVEL_LIFETIME));
        if is_first {
            left = left.min(known_level.unwrap_or(f64::INFINITY));
        }
        let lapsed = left_uncapped - left;
        let granted = reply.wanted.min((left - reply.unreported + ROUNDING).floor().max(0.0));
        self.lease += granted;
        // What was sent beyond the quota takes nothing from it.
        let over_quota = (reply.unreported - left.max(0.0)).max(0.0);
        let level = left - reply.unreported - granted + over_quota;
        self.last_known_level = Some(TokenBucket { level, updated_at: now });
        let mut correction = granted - reply.wanted - over_quota;
        let tolerance = if is_first { FIRST_CALL_TOLERANCE } else { TOLERANCE };
        if lapsed > tolerance * plan.burst {
            correction += lapsed;
        }
        Settlement {
            correction: (correction.abs() > ROUNDING).then_some(correction),
            must_read_previous: is_first && known_level.is_none() && reply.window > 0,
        }
    }

    /// Takes over what the previous window did not leave. Returns the units to correct the current count by,
    /// if any.
    pub fn settle_previous(&mut self, total: f64, current: QuotaWindow, plan: &Plan) -> Option<f64> {
        let left = plan.burst + plan.rate * current.length - total;
        let missing = plan.burst - (left + plan.rate * current.age).min(plan.burst);
        if let Some(known) = &mut self.last_known_level {
            known.level -= missing;
        }
        (missing > FIRST_CALL_TOLERANCE * plan.burst).then_some(missing)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/leased_quota.rs"]
mod tests;
