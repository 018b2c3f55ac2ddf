//! Detects when a rate that is measured in batches has become steady.

use std::collections::VecDeque;

/// Number of consecutive batches whose values have to be close to each other.
const BATCH_COUNT: usize = 3;
/// Largest difference between the values of these batches, as a share of the highest value.
const TOLERANCE: f64 = 0.1;

/// Values of a rate in the latest batches.
#[derive(Debug, Default)]
pub struct SteadyState {
    latest_values: VecDeque<f64>,
}

impl SteadyState {
    /// Adds the value of a batch. Returns whether the rate is steady, and at least `minimum` in each of the latest
    /// batches.
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
