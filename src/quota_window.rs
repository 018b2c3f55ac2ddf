//! The windows that a quota is counted in: each has a number, and begins when the one before ends.

use crate::{
    hash::hash,
    interface::{CustomerId, Time},
};

/// Parts of a window by which those of different customers may be offset.
const OFFSETS: u64 = 1024;

/// A customer's own offset, as a share of a window from 0 to 1, the same at every gateway.
pub fn window_offset(id: &CustomerId) -> f64 {
    (hash(&[id.as_bytes()]) % OFFSETS) as f64 / OFFSETS as f64
}

/// One window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaWindow {
    /// Its number, the same at every gateway.
    pub number: u64,
    /// Seconds since it began.
    pub age: f64,
    /// How long it lasts, in seconds.
    pub length: f64,
}

impl QuotaWindow {
    /// The window at `now` of those of a length, all shifted by a share of it from 0 to 1.
    pub fn at(now: Time, length: f64, offset: f64) -> Self {
        let windows = (now / length + offset).max(0.0);
        Self { number: windows as u64, age: windows.fract() * length, length }
    }
}

#[cfg(test)]
#[path = "../tests/unit/quota_window.rs"]
mod tests;
