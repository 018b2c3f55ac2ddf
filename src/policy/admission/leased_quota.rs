//! Tracks a customer's quota at this gateway: the units held on lease, the units spent without the counter,
//! and the units remaining at the counter's last reply.
//!
//! A quota is counted in windows, each with its own count. To lease a block, a gateway adds the units that it
//! wants to the window's count and keeps as many of them as the window's limit allows.

use crate::{
    interface::{RequestId, Seconds, Time},
    policy::counter::window::QuotaWindow,
    primitives::{decaying_sum::DecayingSum, token_bucket::TokenBucket},
    settings::Plan,
};

/// Time for which the remaining units of the counter's last reply are trusted.
pub const REMAINING_LIFETIME: Seconds = 1.0;
/// Time of recent demand that a leased block covers. Short, as demand changes and unused units are lost.
const BLOCK_TIME: Seconds = 0.3;
/// Time constant over which demand is averaged; a few times [`BLOCK_TIME`].
const DEMAND_TIME_CONSTANT: Seconds = 1.0;
/// Largest error of the count that is not corrected after a window's first call, as a share of the burst.
const FIRST_CALL_TOLERANCE: f64 = 0.1;
/// Largest error of the count that is not corrected after a later call, as a share of the burst.
const LATER_CALL_TOLERANCE: f64 = 0.5;
/// Units by which equal amounts may differ because of rounding.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Lease call that awaits its reply, and the requests that wait for it.
#[derive(Debug)]
pub struct PendingLease {
    /// Token of the timer that ends the requests' wait.
    pub timer: u64,
    /// True if the timer was due before the reply, so that requests no longer wait for this call.
    pub is_overdue: bool,
    /// Waiting requests, in order of arrival.
    pub waiting: Vec<RequestId>,
}

/// Reply to a lease call, with the amounts that the call added to the count.
#[derive(Debug, Clone, Copy)]
pub struct LeaseReply {
    /// Number of the window whose count the call added to.
    pub window: u64,
    /// Units that the call asked to lease.
    pub wanted: f64,
    /// Units that the call reported as spent without the counter.
    pub unreported: f64,
    /// Count after the call, in units.
    pub total: f64,
}

/// Counter calls that a lease reply requires.
#[derive(Debug, Clone, Copy)]
pub struct Settlement {
    /// Units to add to the count that the lease call added to; `None` if it needs no correction.
    pub correction: Option<f64>,
    /// True if the previous window's count must be read, as nothing is known of the units remaining in it.
    pub must_read_previous: bool,
}

/// Quota of one customer at this gateway. Amounts are in units.
#[derive(Debug, Default)]
pub struct LeasedQuota {
    /// Granted by the counter and not spent yet. Expires with `lease_window`.
    lease: f64,
    lease_window: u64,
    /// Spent without the counter and reported by the next lease call. Negative if the count is too high.
    unreported: f64,
    /// Remaining units at the counter's last reply. Negative if more were spent than the quota allows.
    last_known_remaining: Option<TokenBucket>,
    /// Units of recent requests, whether admitted or not.
    demand: DecayingSum,
    /// Lease call in flight.
    pub pending: Option<PendingLease>,
}

impl LeasedQuota {
    /// Adds a request's units to the recent demand.
    pub fn record_demand(&mut self, now: Time, units: f64) {
        self.demand.add(now, units, DEMAND_TIME_CONSTANT);
    }

    /// Discards the lease unless it belongs to this window.
    pub fn enter_window(&mut self, window: u64) {
        if self.lease_window != window {
            self.lease = 0.0;
        }
    }

    /// Returns whether the lease covers `units`.
    pub fn lease_covers(&self, units: f64) -> bool {
        self.lease >= units
    }

    /// Takes units from the lease.
    pub fn spend_lease(&mut self, units: f64) {
        self.lease -= units;
    }

    /// Gives back the units of a request that was not sent.
    pub fn refund(&mut self, units: f64) {
        self.lease += units;
    }

    /// Records units spent without the counter. At most `max_units` in total are kept for the next report:
    /// the refill during the time in which they were spent covers the others.
    pub fn spend_unreported(&mut self, units: f64, max_units: f64) {
        self.unreported = (self.unreported + units).min(max_units);
    }

    /// Records the units that a request took beyond those that it named; negative if it took fewer.
    pub fn record_actual_units(&mut self, difference: f64) {
        self.unreported += difference;
    }

    /// Adds units for the next lease call to report. Limits their sum to one burst in either direction.
    pub fn report_later(&mut self, units: f64, plan: &Plan) {
        self.unreported = (self.unreported + units).clamp(-plan.burst, plan.burst);
    }

    /// Returns whether any reply of the counter has given the remaining units.
    pub fn is_known(&self) -> bool {
        self.last_known_remaining.is_some()
    }

    /// Returns whether the quota cannot cover a request according to a recent reply of the counter.
    pub fn is_exhausted(&self, now: Time, plan: &Plan, units: f64) -> bool {
        let remaining = self.remaining_at(now, plan, REMAINING_LIFETIME);
        remaining.is_some_and(|remaining| remaining + self.lease + ROUNDING_TOLERANCE < units)
    }

    /// Returns the units that a request lacks according to the counter's last reply.
    pub fn missing_units(&self, now: Time, plan: &Plan, units: f64) -> f64 {
        let remaining =
            self.last_known_remaining.map_or(0.0, |last| last.level + plan.rate * (now - last.updated_at));
        let available = self.lease + remaining;
        (units - available).max(0.0)
    }

    /// Returns the remaining units at `now`, or `None` if the counter has not replied within `max_age`.
    fn remaining_at(&self, now: Time, plan: &Plan, max_age: Seconds) -> Option<f64> {
        let recent = self.last_known_remaining.filter(|remaining| now - remaining.updated_at < max_age);
        recent.map(|mut remaining| remaining.refill(now, plan.rate, plan.burst))
    }

    /// Returns the units to lease so that they cover a request and recent demand.
    pub fn wanted_units(&self, now: Time, plan: &Plan, units: f64, gateway_count: u32) -> f64 {
        let remaining = self.remaining_at(now, plan, f64::INFINITY).unwrap_or(f64::INFINITY);
        let recent_demand = self.demand.level / DEMAND_TIME_CONSTANT * BLOCK_TIME;
        let extra = recent_demand.min(remaining / f64::from(gateway_count));
        // Leases whole units only: a fraction lost at each gateway would add up to most of a small burst.
        ((units - self.lease).ceil() + extra.floor()).max(0.0)
    }

    /// Begins a lease call in `window`. Returns the units that the call reports.
    pub fn begin_lease_call(&mut self, window: u64) -> f64 {
        self.lease_window = window;
        std::mem::take(&mut self.unreported)
    }

    /// Adds to the lease the wanted units that the window's limit allows. The limit is the burst plus the
    /// refill since the window began.
    ///
    /// A count of zero before the call is either new in its window or was lost. The gateway that finds it
    /// corrects it by the units that were already used, according to the last known remaining units or the
    /// previous window. Remaining units beyond the burst have lapsed and are added to the count.
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
        let uncapped_remaining = limit + windows_since * plan.rate * current.length - count_before;
        let mut remaining = uncapped_remaining.min(plan.burst);
        let is_first_call = count_before.abs() < ROUNDING_TOLERANCE;
        let known_remaining = self.remaining_at(now, plan, current.age.max(REMAINING_LIFETIME));
        if is_first_call {
            remaining = remaining.min(known_remaining.unwrap_or(f64::INFINITY));
        }
        let lapsed = uncapped_remaining - remaining;
        let granted = reply.wanted.min((remaining - reply.unreported + ROUNDING_TOLERANCE).floor().max(0.0));
        self.lease += granted;
        // Units admitted beyond the quota do not count against it.
        let over_quota = (reply.unreported - remaining.max(0.0)).max(0.0);
        let remaining_after = remaining - reply.unreported - granted + over_quota;
        self.last_known_remaining = Some(TokenBucket { level: remaining_after, updated_at: now });
        let mut correction = granted - reply.wanted - over_quota;
        let tolerance = if is_first_call { FIRST_CALL_TOLERANCE } else { LATER_CALL_TOLERANCE };
        if lapsed > tolerance * plan.burst {
            correction += lapsed;
        }
        Settlement {
            correction: (correction.abs() > ROUNDING_TOLERANCE).then_some(correction),
            must_read_previous: is_first_call && known_remaining.is_none() && reply.window > 0,
        }
    }

    /// Deducts the units used in the previous window that the refill has not covered yet. `total` is that
    /// window's count. Returns the units to add to the current count, if any.
    pub fn settle_previous(&mut self, total: f64, current: QuotaWindow, plan: &Plan) -> Option<f64> {
        let remaining = plan.burst + plan.rate * current.length - total;
        let missing = plan.burst - (remaining + plan.rate * current.age).min(plan.burst);
        if let Some(last_known_remaining) = &mut self.last_known_remaining {
            last_known_remaining.level -= missing;
        }
        (missing > FIRST_CALL_TOLERANCE * plan.burst).then_some(missing)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/leased_quota.rs"]
mod tests;
