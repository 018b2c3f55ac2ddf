//! When a hedged request is sent beside an attempt that is slow.

use crate::{interface::Seconds, settings::Class};

/// Share of the latency objective after which a hedged request may be sent.
const DELAY_SHARE: f64 = 0.4;
/// The shortest delay of a hedged request, in mean response times, as most responses arrive before.
const DELAY_LATENCIES: f64 = 3.0;

/// How long after an attempt a hedged request may be sent.
pub fn hedge_delay(class: &Class, mean_latency: Seconds) -> Seconds {
    (DELAY_SHARE * class.latency_objective).max(DELAY_LATENCIES * mean_latency)
}
