//! Estimates the units that a plan's customers spend without the counter, where a gateway calls the counter
//! too rarely to report them customer by customer. Each call reports a part in proportion to the units of
//! its request.

use crate::{
    interface::{Seconds, Time},
    primitives::decaying_sum::DecayingSum,
};

/// Decaying sums of the units spent without the counter and of the units of requests that called it.
#[derive(Debug, Clone, Copy, Default)]
pub struct UnreportedUnitsEstimator {
    unreported: DecayingSum,
    requested: DecayingSum,
}

impl UnreportedUnitsEstimator {
    /// Records units that were spent without the counter.
    pub fn record_spent(&mut self, now: Time, units: f64, time_constant: Seconds) {
        self.unreported.add(now, units, time_constant);
    }

    /// Records the units of a request that calls the counter.
    pub fn record_requested(&mut self, now: Time, units: f64, time_constant: Seconds) {
        self.requested.add(now, units, time_constant);
        self.unreported.add(now, 0.0, time_constant);
    }

    /// Takes the unreported units that a call for a request of `units` reports, at most `max_units`. Their
    /// share is that of `units` in all requested units, so that the sum over all gateways is right and each
    /// unit is reported once.
    pub fn take_report(&mut self, units: f64, max_units: f64) -> f64 {
        let proportional = units * self.unreported.level / self.requested.level;
        let reported = proportional.min(max_units).min(self.unreported.level);
        self.unreported.level -= reported;
        reported
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/unreported_units.rs"]
mod tests;
