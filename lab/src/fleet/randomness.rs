//! Random numbers: one independent stream of the seed for each part of the model, so that what one part draws
//! does not depend on how the others behave.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The parts of the model that draw random numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stream {
    /// Seeds of the policies.
    Policies,
    /// Tenants: their plans, gateways and use.
    Tenants,
    /// Arrivals of requests.
    Arrivals,
    /// Choices of clients and of the front that deals out their requests.
    Clients,
    /// Lateness of the list of endpoints.
    Discovery,
    /// Counts that the counter loses.
    Counter,
    /// Who is hit by a fault, and when.
    Faults,
}

/// The random numbers of one part of the model.
pub fn stream(seed: u64, stream: Stream) -> ChaCha8Rng {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    generator.set_stream(stream as u64);
    generator
}

/// An exponentially distributed number with this mean.
pub fn exponential(generator: &mut ChaCha8Rng, mean: f64) -> f64 {
    let uniform: f64 = generator.random();
    -mean * (1.0 - uniform).ln()
}

/// A number from a range, both ends included.
pub fn uniform(generator: &mut ChaCha8Rng, [least, most]: [f64; 2]) -> f64 {
    least + (most - least) * generator.random::<f64>()
}

/// An index, drawn by weight. The last one if rounding leaves none.
pub fn weighted_index(generator: &mut ChaCha8Rng, weights: &[f64]) -> usize {
    let mut left = generator.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len().saturating_sub(1)
}

/// A share of `0..count`, drawn without repeats and given in rising order.
pub fn sample(generator: &mut ChaCha8Rng, count: usize, share: f64) -> Vec<usize> {
    let amount = (count as f64 * share).round() as usize;
    let mut chosen = rand::seq::index::sample(generator, count, amount.min(count)).into_vec();
    chosen.sort_unstable();
    chosen
}
