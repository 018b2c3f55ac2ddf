//! The windows in which a customer's quota is counted. Each has a count of its own, and the next begins when
//! one ends.

use crate::{
    interface::{CustomerId, Seconds, Time},
    primitives::stable_hash::stable_hash,
    settings::Plan,
};

/// Length of a window in multiples of the time that refills the burst. Each new window costs calls.
const LENGTH_IN_BURSTS: f64 = 4.0;
/// Shortest window; longer than a known level is trusted.
const MIN_LENGTH: Seconds = 2.0;
/// Longest window; the counter must still know a count in the window after it.
const MAX_LENGTH: Seconds = 25.0;
/// Number of different offsets that customers' windows may have.
const OFFSET_STEPS: u64 = 1024;

/// The offset of a customer's windows as a share of their length, from 0 to 1; the same at every gateway.
pub fn window_offset(customer: &CustomerId) -> f64 {
    (stable_hash(&[customer.as_bytes()]) % OFFSET_STEPS) as f64 / OFFSET_STEPS as f64
}

/// One window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaWindow {
    /// Its number, the same at every gateway.
    pub number: u64,
    /// Time since it began.
    pub age: Seconds,
    /// How long it lasts.
    pub length: Seconds,
}

impl QuotaWindow {
    /// The window of a customer's quota at `now`.
    pub fn current(plan: &Plan, customer: &CustomerId, now: Time) -> Self {
        let length = (LENGTH_IN_BURSTS * plan.burst / plan.rate).clamp(MIN_LENGTH, MAX_LENGTH);
        Self::at(now, length, window_offset(customer))
    }

    /// The window at `now` among windows of one length that are shifted by a share of it.
    fn at(now: Time, length: Seconds, offset: f64) -> Self {
        let windows = (now / length + offset).max(0.0);
        Self { number: windows as u64, age: windows.fract() * length, length }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/quota_window.rs"]
mod tests;
