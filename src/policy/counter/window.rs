//! Divides time into the windows in which a customer's quota is counted. Each window has its own count.

use crate::{
    interface::{CustomerId, Seconds, Time},
    primitives::stable_hash::stable_hash,
    settings::Plan,
};

/// Length of a window, in multiples of the time that refills the burst. Each new window costs additional
/// counter calls.
const LENGTH_IN_REFILL_TIMES: f64 = 4.0;
/// Minimum length of a window; longer than the time for which known remaining units are trusted.
const MIN_LENGTH: Seconds = 2.0;
/// Maximum length of a window. The counter must still hold a count during the window after it.
const MAX_LENGTH: Seconds = 25.0;
/// Number of different offsets of customers' windows.
const OFFSET_STEPS: u64 = 1024;

/// Returns the offset of a customer's windows as a share of their length, from 0 to less than 1. All gateways
/// compute the same offset.
pub fn window_offset(customer: &CustomerId) -> f64 {
    (stable_hash(&[customer.as_bytes()]) % OFFSET_STEPS) as f64 / OFFSET_STEPS as f64
}

/// The window that contains a given time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaWindow {
    /// Number of the window, the same at every gateway.
    pub number: u64,
    /// Time since the window began.
    pub age: Seconds,
    /// Length of the window.
    pub length: Seconds,
}

impl QuotaWindow {
    /// Returns the window of a customer's quota at `now`.
    pub fn current(plan: &Plan, customer: &CustomerId, now: Time) -> Self {
        let length = (LENGTH_IN_REFILL_TIMES * plan.burst / plan.rate).clamp(MIN_LENGTH, MAX_LENGTH);
        Self::at(now, length, window_offset(customer))
    }

    /// Returns the window at `now` among windows of the same length, shifted by a share `offset` of it.
    fn at(now: Time, length: Seconds, offset: f64) -> Self {
        let elapsed_windows = (now / length + offset).max(0.0);
        Self { number: elapsed_windows as u64, age: elapsed_windows.fract() * length, length }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/quota_window.rs"]
mod tests;
