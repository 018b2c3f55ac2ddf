//! Outlier detection: records the results of attempts to an endpoint and decides when it is ejected.

use crate::{
    interface::{Seconds, Status, Time},
    policy::load_shedder::SAMPLE_WEIGHT,
    primitives::decaying_sum::DecayingSum,
};

/// Consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Failures that a refused connection counts for. One refused connection may be chance; one more failure
/// ejects the endpoint.
const CONNECT_FAILURE_WEIGHT: u32 = FAILURES_TO_EJECT - 1;
/// Duration of the first ejection.
pub const MIN_EJECTION: Seconds = 1.0;
/// Longest duration of an ejection.
pub const MAX_EJECTION: Seconds = 8.0;
/// Shortest time that an endpoint is unreachable while it restarts.
const MIN_RESTART_TIME: Seconds = 0.5;
/// Time constant with which an endpoint's share of errors decays.
pub const ERROR_TIME_CONSTANT: Seconds = 4.0;

/// Results of the attempts to an endpoint since its last restart.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Attempts in flight.
    pub in_flight: f64,
    /// Time of the last successful response or timeout; 0 before the first one.
    pub last_response_at: Time,
    /// Failures since the last success; a refused connection counts more than once.
    pub consecutive_failures: u32,
    /// Share of errors among recent responses and time of the last response, by request class.
    pub error_shares: Vec<DecayingSum>,
    /// True if the endpoint was unreachable for so long that it may have restarted.
    pub may_have_restarted: bool,
    /// Time of the first refused connection since the last response; 0 if there was none.
    pub unreachable_since: Time,
    /// End of the current or last ejection; 0 before the first one.
    pub ejected_until: Time,
    /// Duration of the next ejection; a value below [`MIN_EJECTION`] counts as that.
    pub next_ejection_duration: Seconds,
}

/// Health of an endpoint to which no attempt was sent.
pub static UNTRIED_HEALTH: Health = Health {
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
    /// Returns whether the endpoint should be ejected now.
    pub fn is_outlier(&self, now: Time) -> bool {
        self.consecutive_failures >= FAILURES_TO_EJECT && now >= self.ejected_until
    }

    /// Ejects the endpoint. The duration doubles with each ejection until an attempt succeeds.
    pub fn eject(&mut self, now: Time) {
        let duration = self.next_ejection_duration.max(MIN_EJECTION);
        self.ejected_until = now + duration;
        self.next_ejection_duration = (duration * 2.0).min(MAX_EJECTION);
    }

    /// Records the result of an attempt. While the whole fleet times out, a timeout is no fault of this
    /// endpoint and does not count.
    pub fn record_outcome(&mut self, now: Time, status: Status, is_fleet_timing_out: bool) {
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
            Status::Timeout if is_fleet_timing_out => {}
            _ => self.consecutive_failures += 1,
        }
    }

    fn record_unreachable(&mut self, now: Time) {
        if self.unreachable_since == 0.0 {
            self.unreachable_since = now;
        }
        self.may_have_restarted |= now - self.unreachable_since >= MIN_RESTART_TIME;
    }

    /// Records whether a response to a request of this class was an error. Each class is counted by itself,
    /// as an endpoint may fail in one class only, with successes of other classes between the errors.
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
