//! What a process hands over to its successor in a hot restart.
//!
//! Processes of different versions exchange these messages, so their serialized names are fixed; the fields
//! map them to the terms that the code uses.

use crate::interface::{EndpointId, Seconds, Time};
use serde::{Deserialize, Serialize};

/// What a process has learned. Times are on the clock that both processes share.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HandoverSnapshot {
    /// The endpoints that it knows.
    #[serde(rename = "servers")]
    pub endpoints: Vec<EndpointSnapshot>,
    /// The endpoints that operators have put into maintenance.
    #[serde(rename = "left_out")]
    pub in_maintenance: Vec<EndpointId>,
    /// The highest recent rate at which it sent units to one endpoint.
    #[serde(rename = "carried")]
    pub peak_units_per_second: f64,
    /// How long responses take.
    #[serde(rename = "times")]
    pub response_times: ResponseTimes,
    /// The rate of calls that the counter sustained.
    #[serde(rename = "call_rate")]
    pub counter_calls_per_second: f64,
}

/// How long responses take. Serialized as an array in the order of the fields.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "[Seconds; 3]", into = "[Seconds; 3]")]
pub struct ResponseTimes {
    /// The mean.
    pub mean: Seconds,
    /// A running estimate of the median.
    pub median: Seconds,
    /// The lowest recent median, as in an idle fleet.
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

/// What a process has learned of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSnapshot {
    /// Its identifier.
    pub id: EndpointId,
    /// Since when it has been warming up; 0 if it has been warm for long.
    #[serde(rename = "cold_since")]
    pub warming_up_since: Time,
    /// Mean time that its responses take.
    #[serde(rename = "latency")]
    pub mean_latency: Seconds,
    /// When it last responded; 0 if it has not.
    #[serde(rename = "heard")]
    pub last_response_at: Time,
    /// When its current or last ejection ends; 0 before the first one.
    #[serde(rename = "out_until")]
    pub ejected_until: Time,
    /// How long its next ejection lasts.
    #[serde(rename = "out_for")]
    pub next_ejection_duration: Seconds,
}
