//! The delay after which a slow attempt is hedged with a second one.

use crate::{interface::Seconds, settings::Class};

/// Shortest delay as a share of the latency objective.
const DELAY_SHARE: f64 = 0.4;
/// Shortest delay in mean response times, as most responses arrive earlier.
const DELAY_LATENCIES: f64 = 3.0;

/// Returns the time after an attempt at which a hedged request may be sent.
pub fn hedge_delay(class: &Class, mean_latency: Seconds) -> Seconds {
    (DELAY_SHARE * class.latency_objective).max(DELAY_LATENCIES * mean_latency)
}
