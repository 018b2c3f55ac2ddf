//! How an attempt ended.

use crate::interface::{EndpointId, RequestId, Seconds, Status};

/// How an attempt ended, as the event tells it.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The request that the attempt was for.
    pub request_id: RequestId,
    /// Index of the attempt.
    pub attempt: u32,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub status: Status,
    /// Time since it was sent.
    pub elapsed: Seconds,
    /// The request needs no further attempt and no further response.
    pub is_finished: bool,
    /// Units that the request really took, where these are settled after the response.
    pub actual_units: Option<f64>,
}
