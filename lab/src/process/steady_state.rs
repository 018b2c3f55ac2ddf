//! Detects when a rate that is measured batch by batch has become steady.

use std::collections::VecDeque;

/// Consecutive batches that have to agree.
const BATCH_COUNT: usize = 3;
/// Largest difference between their values, as a share of the highest.
const TOLERANCE: f64 = 0.1;

/// The last values of a rate.
#[derive(Debug, Default)]
pub struct SteadyState {
    latest: VecDeque<f64>,
}

impl SteadyState {
    /// Adds the value of a batch. Returns true if the rate is steady at `least` or above.
    pub fn add(&mut self, value: f64, least: f64) -> bool {
        if self.latest.len() == BATCH_COUNT {
            self.latest.pop_front();
        }
        self.latest.push_back(value);
        let lowest = self.latest.iter().copied().fold(f64::INFINITY, f64::min);
        let highest = self.latest.iter().copied().fold(0.0, f64::max);
        self.latest.len() == BATCH_COUNT && lowest >= least && highest - lowest <= TOLERANCE * highest
    }
}
