//! Random numbers: one independent stream of the seed for each part of the model, so that what one part draws does
//! not depend on how the others behave.

use super::configuration::Range;
use rand::seq::index;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The parts of the model that draw random numbers. Their order is that of the streams: a change of it changes the
/// results of every seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stream {
    /// Seeds of the policies.
    Policies,
    /// Tenants: their plans, gateways and usage.
    Tenants,
    /// Arrivals of demands.
    Arrivals,
    /// Choices of clients and of the load balancer in front of the gateways.
    Clients,
    /// Propagation delays of the endpoint list.
    Discovery,
    /// Entries that the counter loses.
    Counter,
    /// Targets and times of faults.
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

/// A uniformly distributed number from a range.
pub fn uniform(generator: &mut ChaCha8Rng, range: Range<f64>) -> f64 {
    range.min + (range.max - range.min) * generator.random::<f64>()
}

/// An index, drawn by weight. The last one if rounding leaves none.
pub fn weighted_index(generator: &mut ChaCha8Rng, weights: &[f64]) -> usize {
    let mut remaining = generator.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len().saturating_sub(1)
}

/// A share of `0..count`, drawn without repeats, in rising order.
pub fn sample(generator: &mut ChaCha8Rng, count: usize, share: f64) -> Vec<usize> {
    let sample_size = (count as f64 * share).round() as usize;
    let mut indices = index::sample(generator, count, sample_size.min(count)).into_vec();
    indices.sort_unstable();
    indices
}
