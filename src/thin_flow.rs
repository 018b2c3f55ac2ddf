//! What a plan's customers spend without the count where a gateway asks too rarely to report it one by one: each call
//! reports for its part of the requests.

use crate::{decaying_sum::DecayingSum, interface::Time};

/// Units spent off the count and units asked for, over the same memory.
#[derive(Debug, Clone, Copy, Default)]
pub struct ThinFlow {
    off_count: DecayingSum,
    asked: DecayingSum,
}

impl ThinFlow {
    /// Notes units spent off the count; `memory` is in seconds.
    pub fn spend(&mut self, now: Time, units: f64, memory: f64) {
        self.off_count.add(now, units, memory);
    }

    /// Notes units that a call asks for.
    pub fn ask(&mut self, now: Time, units: f64, memory: f64) {
        self.asked.add(now, units, memory);
        self.off_count.add(now, 0.0, memory);
    }

    /// Takes what a call for so many units reports, in proportion to all that is asked for, so that the sum over all
    /// gateways is right; `most` at most. It is reported once.
    pub fn take(&mut self, units: f64, most: f64) -> f64 {
        let part = units * self.off_count.level / self.asked.level;
        let taken = part.min(most).min(self.off_count.level);
        self.off_count.level -= taken;
        taken
    }
}

#[cfg(test)]
#[path = "../tests/unit/thin_flow.rs"]
mod tests;
