//! Estimates the units that a plan's customers spend without the counter, where a gateway calls the counter
//! too rarely to report them customer by customer. Each call reports for its part of the requests.

use crate::{
    interface::{Seconds, Time},
    primitives::decaying_sum::DecayingSum,
};

/// Units spent without the counter and units that calls asked for, averaged over the same time.
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

    /// Records units that a call asks for.
    pub fn record_requested(&mut self, now: Time, units: f64, time_constant: Seconds) {
        self.requested.add(now, units, time_constant);
        self.unreported.add(now, 0.0, time_constant);
    }

    /// Takes the units that a call for `units` reports, at most `most`. They are in proportion to all units
    /// that calls ask for, so that the sum over all gateways is right, and each is reported once.
    pub fn take_report(&mut self, units: f64, most: f64) -> f64 {
        let proportional = units * self.unreported.level / self.requested.level;
        let reported = proportional.min(most).min(self.unreported.level);
        self.unreported.level -= reported;
        reported
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/unreported_units.rs"]
mod tests;
