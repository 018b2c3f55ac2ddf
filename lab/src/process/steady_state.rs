//! Detects when a rate that is measured batch by batch has become steady.

use std::collections::VecDeque;

/// Consecutive batches that have to agree.
const BATCH_COUNT: usize = 3;
/// Largest difference between their values, as a share of the highest.
const TOLERANCE: f64 = 0.1;

/// The last values of a rate.
#[derive(Debug, Default)]
pub struct SteadyState {
    latest_values: VecDeque<f64>,
}

impl SteadyState {
    /// Adds the value of a batch. Returns true if the rate is steady at `minimum` or above.
    pub fn add(&mut self, value: f64, minimum: f64) -> bool {
        if self.latest_values.len() == BATCH_COUNT {
            self.latest_values.pop_front();
        }
        self.latest_values.push_back(value);
        let lowest = self.latest_values.iter().copied().fold(f64::INFINITY, f64::min);
        let highest = self.latest_values.iter().copied().fold(0.0, f64::max);
        self.latest_values.len() == BATCH_COUNT
            && lowest >= minimum
            && highest - lowest <= TOLERANCE * highest
    }
}
