//! Decides when to poll the endpoint list, where discovery does not push it.
//!
//! One service answers the polls of all gateways in sequence. If all gateways start at once, their polls fill
//! its queue, time out there and are repeated. Each gateway therefore polls at a random time within a span,
//! which is longer while polls fail.

use crate::{
    interface::{ListKind, Seconds},
    policy::{context::Context, timers::TimerPurpose},
};

/// Time that each gateway of the fleet adds to the span over which all gateways spread their polls.
const SPREAD_PER_GATEWAY: Seconds = 0.05;
/// Longest span of the first poll after a gateway starts.
const MAX_START_SPREAD: Seconds = 3.0;
/// Longest span of the first poll after a failed one. Short, as a gateway counts as notified of a change 6 s
/// after discovery has learned of it.
const MAX_RETRY_SPREAD: Seconds = 1.0;
/// Longest span while polls keep failing, in a small fleet.
const MIN_BACKOFF_SPREAD: Seconds = 2.0;
/// Longest span while polls keep failing, in a large fleet.
const MAX_BACKOFF_SPREAD: Seconds = 3.0;
/// Longest first span, as a share of the longest poll interval.
const POLL_INTERVAL_SHARE: f64 = 0.8;

/// Schedules the polls of one gateway.
#[derive(Debug, Default)]
pub struct ListPoller {
    /// Span in which the last poll was scheduled; 0 if a list has arrived since.
    spread: Seconds,
}

impl ListPoller {
    /// Schedules a poll if the list is out of date or a poll has failed.
    pub fn list_updated(&mut self, kind: ListKind, context: &mut Context) {
        match kind {
            ListKind::Stale => self.schedule(MAX_START_SPREAD, context),
            ListKind::Failed => self.schedule(MAX_RETRY_SPREAD, context),
            ListKind::Full | ListKind::Changes => self.spread = 0.0,
        }
    }

    fn schedule(&mut self, max_spread: Seconds, context: &mut Context) {
        let settings = &context.settings;
        if !settings.discovery_is_polled {
            return;
        }
        let fleet_spread = SPREAD_PER_GATEWAY * f64::from(settings.gateway_count);
        self.spread = if self.spread == 0.0 {
            let poll_interval = POLL_INTERVAL_SHARE * settings.max_poll_interval;
            fleet_spread.min(max_spread).min(poll_interval)
        } else {
            let max_backoff_spread = fleet_spread.clamp(MIN_BACKOFF_SPREAD, MAX_BACKOFF_SPREAD);
            (2.0 * self.spread).min(max_backoff_spread)
        };
        let poll_at = context.now + context.rng.f64() * self.spread;
        context.set_timer(poll_at, TimerPurpose::PollEndpoints);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/list_poller.rs"]
mod tests;
