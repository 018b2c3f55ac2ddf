//! Tells when a rate that is measured batch by batch has settled.

use std::collections::VecDeque;

/// Batches in a row that have to agree.
const BATCHES: usize = 3;
/// How far they may lie apart, as a share of the highest.
const TOLERANCE: f64 = 0.1;

/// The latest values of a rate.
#[derive(Debug, Default)]
pub struct SteadyState {
    latest: VecDeque<f64>,
}

impl SteadyState {
    /// Adds the value of a batch; whether the rate has settled on values of at least `least`.
    pub fn note(&mut self, value: f64, least: f64) -> bool {
        if self.latest.len() == BATCHES {
            self.latest.pop_front();
        }
        self.latest.push_back(value);
        let lowest = self.latest.iter().copied().fold(f64::INFINITY, f64::min);
        let highest = self.latest.iter().copied().fold(0.0, f64::max);
        self.latest.len() == BATCHES && lowest >= least && highest - lowest <= TOLERANCE * highest
    }
}
