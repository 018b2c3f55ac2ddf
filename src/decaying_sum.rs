//! A sum that forgets exponentially: what was added `memory` seconds ago counts for 1/e of its amount.

use crate::{interface::Time, token_bucket::TokenBucket};

/// Lets `sum` decay until `now` and adds `amount`. The sum over `memory` is the recent rate.
///
/// The sum is kept in the same pair of a level and its moment as a token bucket.
pub fn add(sum: &mut TokenBucket, now: Time, amount: f64, memory: f64) {
    sum.level = sum.level * (-(now - sum.at) / memory).exp() + amount;
    sum.at = now;
}

#[cfg(test)]
#[path = "../tests/unit/decaying_sum.rs"]
mod tests;
