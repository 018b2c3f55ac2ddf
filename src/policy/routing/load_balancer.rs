//! Scores endpoints. The endpoint with the lowest score should respond first.

use crate::{
    interface::{Seconds, Time},
    policy::routing::{
        endpoint_state::{EndpointState, LATENCY_TIME_CONSTANT},
        health::ERROR_TIME_CONSTANT,
    },
};

/// Weight of an endpoint's response time relative to the mean of all endpoints. An endpoint counts as slow if
/// the weighted ratio is above 1, so from two thirds of the mean on.
const LATENCY_WEIGHT: f64 = 1.5;
/// Factor on the score of an endpoint that answers a class with errors only, as each error may be a lost
/// request.
const ERROR_PENALTY: f64 = 20.0;
/// Shortest mean response time that endpoints are compared with.
const MIN_MEAN_LATENCY: Seconds = 1e-3;

/// Returns the score of an endpoint for requests of a class. The lowest score is 1, for an endpoint that is
/// idle, fast and free of errors.
///
/// Attempts in flight, slowness and errors raise the score. Observations lose their effect with time, and all
/// fast endpoints count as equally fast.
pub fn score(endpoint: &EndpointState, class: usize, mean_latency: Seconds, now: Time) -> f64 {
    let health = endpoint.health();
    let decay = |observed_at: Time, time_constant: Seconds| (-(now - observed_at) / time_constant).exp();
    let relative_latency = endpoint.mean_latency / mean_latency.max(MIN_MEAN_LATENCY);
    let excess = (relative_latency * LATENCY_WEIGHT - 1.0).max(0.0);
    let slowness =
        if excess > 0.0 { excess * decay(health.last_response_at, LATENCY_TIME_CONSTANT) + 1.0 } else { 1.0 };
    let errors = health.error_shares.get(class).filter(|share| ERROR_PENALTY * share.level > 1.0);
    let error_share = errors.map_or(0.0, |share| share.level * decay(share.updated_at, ERROR_TIME_CONSTANT));
    (1.0 + health.in_flight) * slowness * (ERROR_PENALTY * error_share).max(1.0)
}
