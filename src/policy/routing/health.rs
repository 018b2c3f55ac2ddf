//! Outlier detection: what attempts have shown of an endpoint, and when it is ejected.

use crate::{
    interface::{Seconds, Status, Time},
    policy::load_shedder::SAMPLE_WEIGHT,
    primitives::decaying_sum::DecayingSum,
};

/// Consecutive failures that eject an endpoint.
const FAILURES_TO_EJECT: u32 = 3;
/// Failures that a refused connection counts for: a single one may be chance, the next failure ejects.
const CONNECT_FAILURE_WEIGHT: u32 = FAILURES_TO_EJECT - 1;
/// How long the first ejection lasts.
pub const MIN_EJECTION: Seconds = 1.0;
/// How long an ejection lasts at most.
pub const MAX_EJECTION: Seconds = 8.0;
/// Time without a connection after which an endpoint may have restarted.
const RESTART_TIME: Seconds = 0.5;
/// Time constant over which the errors of an endpoint are forgotten.
pub const ERROR_TIME_CONSTANT: Seconds = 4.0;

/// What attempts have shown of one incarnation of an endpoint.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Attempts in flight.
    pub in_flight: f64,
    /// When it last responded, or failed to in time.
    pub last_response_at: Time,
    /// Failures since its last success.
    pub consecutive_failures: u32,
    /// By class, the share of errors among its recent responses, and when the last of them came.
    pub error_shares: Vec<DecayingSum>,
    /// It was unreachable for so long that it may have restarted.
    pub may_have_restarted: bool,
    /// Since when no connection could be opened; 0 if it responded last.
    pub unreachable_since: Time,
    /// When its current or last ejection ends; 0 before the first one.
    pub ejected_until: Time,
    /// How long its next ejection lasts; 0 before the first one.
    pub next_ejection_duration: Seconds,
}

/// The health of an endpoint that nothing was sent to.
pub static UNTRIED: Health = Health {
    in_flight: 0.0,
    last_response_at: 0.0,
    consecutive_failures: 0,
    error_shares: Vec::new(),
    may_have_restarted: false,
    unreachable_since: 0.0,
    ejected_until: 0.0,
    next_ejection_duration: 0.0,
};

impl Health {
    /// Whether the endpoint should be ejected now.
    pub fn is_outlier(&self, now: Time) -> bool {
        self.consecutive_failures >= FAILURES_TO_EJECT && now >= self.ejected_until
    }

    /// Ejects the endpoint for a time that doubles with each ejection in a row.
    pub fn eject(&mut self, now: Time) {
        let next_ejection_duration = self.next_ejection_duration.max(MIN_EJECTION);
        self.ejected_until = now + next_ejection_duration;
        self.next_ejection_duration = (next_ejection_duration * 2.0).min(MAX_EJECTION);
    }

    /// Records how an attempt ended. While the whole fleet times out, a timeout says nothing of the endpoint.
    pub fn record_outcome(&mut self, now: Time, status: Status, fleet_times_out: bool) {
        if matches!(status, Status::Ok | Status::Error | Status::Rejected) {
            self.unreachable_since = 0.0;
        }
        match status {
            Status::Ok => {
                self.consecutive_failures = 0;
                self.next_ejection_duration = MIN_EJECTION;
            }
            Status::Rejected => {}
            Status::ConnectFailed => {
                self.consecutive_failures += CONNECT_FAILURE_WEIGHT;
                self.record_unreachable(now);
            }
            Status::Timeout if fleet_times_out => {}
            _ => self.consecutive_failures += 1,
        }
    }

    fn record_unreachable(&mut self, now: Time) {
        if self.unreachable_since == 0.0 {
            self.unreachable_since = now;
        }
        self.may_have_restarted |= now - self.unreachable_since >= RESTART_TIME;
    }

    /// Records whether a response to one of `class_count` classes was an error. Each class is counted by
    /// itself, as one alone may fail: its errors then stand between successes of the others.
    pub fn record_response(&mut self, now: Time, class: usize, class_count: usize, is_error: bool) {
        self.error_shares.resize_with(class_count, DecayingSum::default);
        let share = &mut self.error_shares[class];
        share.add(now, 0.0, ERROR_TIME_CONSTANT);
        share.level += SAMPLE_WEIGHT * (f64::from(u8::from(is_error)) - share.level);
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/health.rs"]
mod tests;
