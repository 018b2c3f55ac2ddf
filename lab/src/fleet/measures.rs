//! What a run counts. The names of the report's JSON keys are older than those of the fields and stay as they are.

use super::event_queue::RUN_START;
use hdrhistogram::Histogram;
use oliverack::{Seconds, Status, Time};
use serde::Serialize;
use std::ops::AddAssign;

/// Longest latency that the histogram holds, in microseconds: one hour.
const MAX_LATENCY_MICROSECONDS: u64 = 3_600_000_000;
/// Significant digits of the latency histogram.
const LATENCY_DIGITS: u8 = 3;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Messages and their bytes, in both directions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Traffic {
    /// Counts one message.
    pub fn count(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

impl AddAssign for Traffic {
    fn add_assign(&mut self, other: Self) {
        self.messages += other.messages;
        self.bytes += other.bytes;
    }
}

/// Traffic of each role.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RoleTraffic {
    /// Each gateway, by index.
    pub gateways: Vec<Traffic>,
    /// The counter.
    pub counter: Traffic,
    /// Discovery.
    pub discovery: Traffic,
    /// All endpoints together.
    pub endpoints: Traffic,
}

/// How demands ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandOutcome {
    /// Served within the latency objective.
    Served,
    /// Served later.
    ServedLate,
    /// Rejected for good.
    Rejected,
    /// Failed.
    Failed,
    /// The client left without a response.
    Abandoned,
    /// Its gateway stopped or was down.
    Lost,
}

/// Demands and how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct DemandCounts {
    /// Submitted.
    #[serde(rename = "asked")]
    pub submitted: u64,
    /// Served within the latency objective of their class.
    pub served: u64,
    /// Served later.
    pub served_late: u64,
    /// Rejected for good, after any retries.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Abandoned by the client.
    pub abandoned: u64,
    /// Lost with a gateway, or sent to one that was down.
    pub lost: u64,
}

impl DemandCounts {
    fn count_outcome(&mut self, outcome: DemandOutcome) {
        let count = match outcome {
            DemandOutcome::Served => &mut self.served,
            DemandOutcome::ServedLate => &mut self.served_late,
            DemandOutcome::Rejected => &mut self.rejected,
            DemandOutcome::Failed => &mut self.failed,
            DemandOutcome::Abandoned => &mut self.abandoned,
            DemandOutcome::Lost => &mut self.lost,
        };
        *count += 1;
    }
}

/// Weight of the demands that were within quotas, and how these ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct InQuotaWeight {
    /// Submitted.
    #[serde(rename = "asked")]
    pub submitted: f64,
    /// Served within the latency objective.
    pub served: f64,
    /// Rejected for good.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// Ended in any other way.
    pub otherwise: f64,
}

impl InQuotaWeight {
    fn count_outcome(&mut self, outcome: DemandOutcome, weight: f64) {
        let sum = match outcome {
            DemandOutcome::Served => &mut self.served,
            DemandOutcome::Rejected => &mut self.rejected,
            _ => &mut self.otherwise,
        };
        *sum += weight;
    }
}

/// A submission that was forwarded to an endpoint for the first time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forwarded {
    /// Its units.
    pub units: f64,
    /// Their weight.
    pub weight: f64,
    /// Share of the weight that the plan charges for units over quota.
    pub over_quota_cost_share: f64,
    /// The true quota had enough units.
    pub is_within_quota: bool,
}

/// What was forwarded to endpoints, against the true quotas.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct QuotaCounts {
    /// Units forwarded within quotas.
    #[serde(rename = "units_inside")]
    pub units_within_quota: f64,
    /// Units forwarded over quotas.
    #[serde(rename = "units_beyond")]
    pub units_over_quota: f64,
    /// Their weight.
    #[serde(rename = "worth_beyond")]
    pub weight_over_quota: f64,
    /// What the plans charge for them.
    pub overrun_cost: f64,
}

impl QuotaCounts {
    fn count(&mut self, forwarded: Forwarded) {
        if forwarded.is_within_quota {
            self.units_within_quota += forwarded.units;
        } else {
            self.units_over_quota += forwarded.units;
            self.weight_over_quota += forwarded.weight;
            self.overrun_cost += forwarded.weight * forwarded.over_quota_cost_share;
        }
    }
}

/// Attempts and how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct AttemptCounts {
    /// Sent.
    pub sent: u64,
    /// Served.
    pub ok: u64,
    /// Rejected by the endpoint.
    #[serde(rename = "full")]
    pub rejected: u64,
    /// Without a response in time.
    pub timeout: u64,
    /// Without a connection.
    pub connect_failed: u64,
    /// With a connection that broke.
    pub reset: u64,
    /// Cancelled, or never sent.
    pub cancelled: u64,
}

impl AttemptCounts {
    /// Counts the end of an attempt.
    pub fn count(&mut self, status: Status) {
        let count = match status {
            Status::Ok => &mut self.ok,
            Status::Rejected => &mut self.rejected,
            Status::Timeout => &mut self.timeout,
            Status::ConnectFailed => &mut self.connect_failed,
            Status::Error | Status::Reset => &mut self.reset,
            Status::Cancelled | Status::NotSent => &mut self.cancelled,
        };
        *count += 1;
    }
}

/// Counter calls and how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CounterCallCounts {
    /// Made.
    pub made: u64,
    /// Answered in time with a total.
    pub ok: u64,
    /// Rejected in time, as the counter's queue was full.
    #[serde(rename = "full")]
    pub rejected: u64,
    /// Not answered in time.
    pub timeout: u64,
    /// Added by the counter though the caller no longer waited.
    #[serde(rename = "added_in_vain")]
    pub added_after_timeout: u64,
    /// Entries that the counter lost.
    #[serde(rename = "names_lost")]
    pub entries_lost: u64,
}

impl CounterCallCounts {
    /// Counts the end of a call.
    pub fn count(&mut self, status: Status) {
        let count = match status {
            Status::Ok => &mut self.ok,
            Status::Rejected => &mut self.rejected,
            _ => &mut self.timeout,
        };
        *count += 1;
    }
}

/// What happened to the endpoint list and to the gateways.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct FleetCounts {
    /// Changes of the list.
    pub list_changes: u64,
    /// Complete lists sent to gateways.
    #[serde(rename = "lists_told")]
    pub complete_lists_sent: u64,
    /// Polls for the list that failed.
    #[serde(rename = "list_calls_failed")]
    pub polls_failed: u64,
    /// Restarts of gateways.
    pub restarts: u64,
}

/// One second of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct SecondCounts {
    /// Demands that were submitted or ended.
    #[serde(rename = "wishes")]
    pub demands: DemandCounts,
    /// Units forwarded.
    pub quotas: QuotaCounts,
    /// Counter calls made.
    pub counter_calls: u64,
    /// Attempts sent.
    pub attempts: u64,
}

/// All counts of a run.
#[derive(Debug, Clone)]
pub struct Measures {
    /// Demands.
    pub demands: DemandCounts,
    /// Submissions that reached a gateway: demands and their retries.
    pub submissions: u64,
    /// Weight within quotas.
    pub in_quota_weight: InQuotaWeight,
    /// Units forwarded.
    pub quotas: QuotaCounts,
    /// Attempts.
    pub attempts: AttemptCounts,
    /// Counter calls.
    pub counter_calls: CounterCallCounts,
    /// Lists and restarts.
    pub fleet: FleetCounts,
    /// Traffic of each role.
    pub traffic: RoleTraffic,
    /// Time from the first submission to the response that served, in microseconds.
    pub latency: Histogram<u64>,
    /// Most requests that were open in the fleet at once.
    pub max_open_requests: usize,
    /// The run, second by second.
    pub seconds: Vec<SecondCounts>,
}

impl Measures {
    /// Nothing counted yet, for so many gateways.
    pub fn new(gateway_count: usize) -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_MICROSECONDS, LATENCY_DIGITS);
        Self {
            demands: DemandCounts::default(),
            submissions: 0,
            in_quota_weight: InQuotaWeight::default(),
            quotas: QuotaCounts::default(),
            attempts: AttemptCounts::default(),
            counter_calls: CounterCallCounts::default(),
            fleet: FleetCounts::default(),
            traffic: RoleTraffic { gateways: vec![Traffic::default(); gateway_count], ..Default::default() },
            latency: latency.expect("constant bounds are usable"),
            max_open_requests: 0,
            seconds: Vec::new(),
        }
    }

    /// The counts of the second that `now` lies in.
    pub fn second(&mut self, now: Time) -> &mut SecondCounts {
        let index = (now - RUN_START).max(0.0) as usize;
        if self.seconds.len() <= index {
            self.seconds.resize_with(index + 1, SecondCounts::default);
        }
        &mut self.seconds[index]
    }

    /// Counts a demand; `in_quota_weight` is its weight if it is within the quota, else 0.
    pub fn count_demand(&mut self, now: Time, in_quota_weight: f64) {
        self.demands.submitted += 1;
        self.second(now).demands.submitted += 1;
        self.in_quota_weight.submitted += in_quota_weight;
    }

    /// Counts the end of a demand.
    pub fn count_outcome(&mut self, now: Time, outcome: DemandOutcome, in_quota_weight: f64) {
        self.demands.count_outcome(outcome);
        self.second(now).demands.count_outcome(outcome);
        self.in_quota_weight.count_outcome(outcome, in_quota_weight);
    }

    /// Counts a submission that was forwarded for the first time.
    pub fn count_forwarded(&mut self, now: Time, forwarded: Forwarded) {
        self.quotas.count(forwarded);
        self.second(now).quotas.count(forwarded);
    }

    /// Counts the latency of a demand that was served.
    pub fn count_latency(&mut self, latency: Seconds) {
        let microseconds = (latency * MICROSECONDS_PER_SECOND).round().max(1.0) as u64;
        self.latency.saturating_record(microseconds);
    }
}
