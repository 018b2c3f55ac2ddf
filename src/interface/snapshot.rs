//! The snapshot that a process hands over to its successor in a hot restart.
//!
//! Processes of different versions exchange snapshots, so the serialized names are fixed, also where the
//! fields have other names.

use crate::interface::{EndpointId, Seconds, Time};
use serde::{Deserialize, Serialize};

/// State that a process has learned while it ran. All times are on a clock that both processes share.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HandoverSnapshot {
    /// Endpoints that the process knows.
    #[serde(rename = "servers")]
    pub endpoints: Vec<EndpointSnapshot>,
    /// Endpoints that operators have put into maintenance.
    #[serde(rename = "left_out")]
    pub in_maintenance: Vec<EndpointId>,
    /// Recent peak of the mean rate of units that the process sent to an endpoint of its subset, in units per
    /// second.
    #[serde(rename = "carried")]
    pub peak_units_per_second: f64,
    /// Response times of all endpoints together.
    #[serde(rename = "times")]
    pub response_times: ResponseTimes,
    /// Rate of calls that the counter sustained, in calls a second.
    #[serde(rename = "call_rate")]
    pub counter_calls_per_second: f64,
}

/// Response times, serialized as an array in the order of the fields. All are 0 before the first response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "[Seconds; 3]", into = "[Seconds; 3]")]
pub struct ResponseTimes {
    /// Running estimate of the mean.
    pub mean: Seconds,
    /// Running estimate of the median.
    pub median: Seconds,
    /// Lowest recent median, which approximates the response time of an idle fleet.
    pub idle: Seconds,
}

impl From<[Seconds; 3]> for ResponseTimes {
    fn from([mean, median, idle]: [Seconds; 3]) -> Self {
        Self { mean, median, idle }
    }
}

impl From<ResponseTimes> for [Seconds; 3] {
    fn from(times: ResponseTimes) -> Self {
        [times.mean, times.median, times.idle]
    }
}

/// State that a process has learned of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSnapshot {
    /// Identifier of the endpoint.
    pub id: EndpointId,
    /// Time at which the endpoint began to warm up; 0 if that was long ago.
    #[serde(rename = "cold_since")]
    pub warming_up_since: Time,
    /// Mean response time of the endpoint.
    #[serde(rename = "latency")]
    pub mean_latency: Seconds,
    /// Time of the last successful response or timeout; 0 before the first one.
    #[serde(rename = "heard")]
    pub last_response_at: Time,
    /// End of the current or last ejection; 0 before the first one.
    #[serde(rename = "out_until")]
    pub ejected_until: Time,
    /// Duration of the next ejection; 0 if the endpoint was neither listed nor restored. The successor
    /// ignores such an entry.
    #[serde(rename = "out_for")]
    pub next_ejection_duration: Seconds,
}
