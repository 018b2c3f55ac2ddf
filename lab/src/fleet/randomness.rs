//! Random numbers: each part of the model has an independent stream of the seed, so that the numbers that one part
//! draws do not depend on the behaviour of the others.

use super::configuration::Range;
use rand::seq::index;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Part of the model that draws random numbers. The order of the variants numbers the streams: changing it changes
/// the results of every seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stream {
    /// Seeds of the gateways' policies.
    Policies,
    /// Plans, gateways and usage of tenants.
    Tenants,
    /// Arrivals and properties of demands.
    Arrivals,
    /// Decisions of clients and of the load balancer in front of the gateways.
    Clients,
    /// Propagation delays of the endpoint list.
    Discovery,
    /// Choice of the entries that the counter loses.
    Counter,
    /// Targets and times of faults.
    Faults,
}

/// Returns the random number generator of one part of the model.
pub fn stream(seed: u64, stream: Stream) -> ChaCha8Rng {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    generator.set_stream(stream as u64);
    generator
}

/// Draws an exponentially distributed number with this mean.
pub fn exponential(generator: &mut ChaCha8Rng, mean: f64) -> f64 {
    let uniform: f64 = generator.random();
    -mean * (1.0 - uniform).ln()
}

/// Draws a uniformly distributed number from a range.
pub fn uniform(generator: &mut ChaCha8Rng, range: Range<f64>) -> f64 {
    range.min + (range.max - range.min) * generator.random::<f64>()
}

/// Draws an index with a probability in proportion to its weight. Returns the last index if rounding leaves none.
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

/// Draws a share of the numbers in `0..count` without replacement and returns them in ascending order.
pub fn sample(generator: &mut ChaCha8Rng, count: usize, share: f64) -> Vec<usize> {
    let sample_size = (count as f64 * share).round() as usize;
    let mut indices = index::sample(generator, count, sample_size.min(count)).into_vec();
    indices.sort_unstable();
    indices
}
