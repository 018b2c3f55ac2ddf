//! The end of an attempt, as the event reports it.

use crate::interface::{EndpointId, RequestId, Seconds, Status};

/// An attempt that has ended.
#[derive(Debug)]
pub struct AttemptEnd {
    /// Request that the attempt was made for.
    pub request_id: RequestId,
    /// Index of the attempt among the request's attempts, from 0.
    pub attempt: u32,
    /// Endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Result of the attempt.
    pub status: Status,
    /// Time since the attempt was sent.
    pub elapsed: Seconds,
    /// True if the request needs no further attempt and no further response.
    pub is_finished: bool,
    /// Units that the request took, where they are only known after the response.
    pub actual_units: Option<f64>,
}
