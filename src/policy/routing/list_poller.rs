//! Decides when the endpoint list is polled, where discovery does not push it.
//!
//! One service answers the polls of all gateways in turn. When all of them start at once they fill its queue
//! with polls that time out there and are made again, so each gateway polls at a random moment, and while
//! polls fail within a longer time.

use crate::{
    interface::{ListKind, Seconds},
    policy::{context::Context, timers::TimerPurpose},
};

/// Time that each gateway adds to the span over which all gateways spread their polls.
const SPREAD_PER_GATEWAY: Seconds = 0.05;
/// The longest span at the start.
const MAX_START_SPREAD: Seconds = 3.0;
/// The longest span after a poll has failed, as a change counts as known 6 s after discovery had it.
const MAX_RETRY_SPREAD: Seconds = 1.0;
/// The longest span while polls keep failing, in a small fleet.
const MIN_BACKOFF_SPREAD: Seconds = 2.0;
/// The longest span while polls keep failing, in any fleet.
const MAX_BACKOFF_SPREAD: Seconds = 3.0;
/// Share of the longest poll interval that the first span may take.
const POLL_INTERVAL_SHARE: f64 = 0.8;

/// See the [module](self).
#[derive(Debug, Default)]
pub struct ListPoller {
    /// The span within which the last poll was scheduled; 0 if the list has arrived since.
    spread: Seconds,
}

impl ListPoller {
    /// Schedules a poll if an update shows that one is needed.
    pub fn list_updated(&mut self, kind: ListKind, context: &mut Context) {
        match kind {
            ListKind::Stale => self.schedule(MAX_START_SPREAD, context),
            ListKind::Failed => self.schedule(MAX_RETRY_SPREAD, context),
            ListKind::Full | ListKind::Changes => self.spread = 0.0,
        }
    }

    fn schedule(&mut self, longest: Seconds, context: &mut Context) {
        let settings = &context.settings;
        if !settings.discovery_is_polled {
            return;
        }
        let fleet_spread = SPREAD_PER_GATEWAY * f64::from(settings.gateway_count);
        self.spread = if self.spread == 0.0 {
            let poll_interval = POLL_INTERVAL_SHARE * settings.max_poll_interval;
            fleet_spread.min(longest).min(poll_interval)
        } else {
            let most = fleet_spread.clamp(MIN_BACKOFF_SPREAD, MAX_BACKOFF_SPREAD);
            (2.0 * self.spread).min(most)
        };
        let at = context.now + context.rng.f64() * self.spread;
        context.set_timer(at, TimerPurpose::PollEndpoints);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/list_poller.rs"]
mod tests;
