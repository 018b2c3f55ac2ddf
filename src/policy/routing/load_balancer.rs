//! Scores endpoints: the one with the lowest score should respond first.

use crate::{
    interface::{Seconds, Time},
    policy::routing::{
        endpoint_state::{EndpointState, LATENCY_TIME_CONSTANT},
        health::ERROR_TIME_CONSTANT,
    },
};

/// Factor over the mean response time from which an endpoint counts as slow, as its inverse.
const SLOW_FACTOR: f64 = 1.5;
/// How much busier an endpoint counts that answers a class with errors only, as an error may be a lost
/// request.
const ERROR_PENALTY: f64 = 20.0;
/// The shortest mean response time to compare with.
const MIN_MEAN_LATENCY: Seconds = 1e-3;

/// How busy an endpoint counts for requests of a class, from 1 for one that is idle, quick and free of
/// errors.
///
/// Slower endpoints are sent less, by observations that fade; those known to be quick are not told apart.
pub fn score(endpoint: &EndpointState, class: usize, mean_latency: Seconds, now: Time) -> f64 {
    let health = endpoint.health();
    let fade = |at: Time, time_constant: Seconds| (-(now - at) / time_constant).exp();
    let relative_latency = endpoint.mean_latency / mean_latency.max(MIN_MEAN_LATENCY);
    let excess = (relative_latency * SLOW_FACTOR - 1.0).max(0.0);
    let slowness =
        if excess > 0.0 { excess * fade(health.last_response_at, LATENCY_TIME_CONSTANT) + 1.0 } else { 1.0 };
    let errors = health.error_shares.get(class).filter(|share| ERROR_PENALTY * share.level > 1.0);
    let error_share = errors.map_or(0.0, |share| share.level * fade(share.updated_at, ERROR_TIME_CONSTANT));
    (1.0 + health.in_flight) * slowness * (ERROR_PENALTY * error_share).max(1.0)
}
