//! Counts of a run.
//!
//! Some JSON keys of the report differ from the field names, and `serde(rename)` maps them: for example, `wishes` are
//! demands, `asked` is submitted, `refused` and `full` are rejected, `worth` is weight, and `inside` and `beyond` a
//! quota are within and over it.

use super::event_queue::RUN_START;
use hdrhistogram::Histogram;
use oliverack::{Seconds, Status, Time};
use serde::Serialize;
use std::ops::AddAssign;

/// Largest latency that the histogram can hold: one hour.
const MAX_LATENCY_MICROSECONDS: u64 = 3_600_000_000;
/// Significant digits of the latency histogram.
const LATENCY_DIGITS: u8 = 3;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Number and size of the messages in both directions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Total size of the messages.
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
    /// Traffic of each gateway, by index.
    pub gateways: Vec<Traffic>,
    /// Traffic of the counter.
    pub counter: Traffic,
    /// Traffic of discovery.
    pub discovery: Traffic,
    /// Traffic of all endpoints together.
    pub endpoints: Traffic,
}

/// Outcome of a demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandOutcome {
    /// Served within the latency objective.
    Served,
    /// Served after the latency objective.
    ServedLate,
    /// Rejected, and not retried any more.
    Rejected,
    /// Failed by the gateway.
    Failed,
    /// Abandoned by the client, which had no response by the deadline.
    Abandoned,
    /// Lost, because the gateway or all gateways of the tenant were down, or the gateway stopped before it responded.
    Lost,
}

/// Demands by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct DemandCounts {
    /// All demands, whatever their outcome.
    #[serde(rename = "asked")]
    pub submitted: u64,
    /// Demands served within the latency objective of their class.
    pub served: u64,
    /// Demands served after the latency objective.
    pub served_late: u64,
    /// Demands rejected, and not retried any more.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Demands failed by a gateway.
    pub failed: u64,
    /// Demands that their client abandoned at the deadline.
    pub abandoned: u64,
    /// Demands lost because gateways were down, or because a gateway stopped before it responded.
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

/// Total weight of the demands that were within their quota, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct InQuotaWeight {
    /// Weight of all these demands.
    #[serde(rename = "asked")]
    pub submitted: f64,
    /// Weight of the demands served within the latency objective.
    pub served: f64,
    /// Weight of the demands rejected and not retried any more.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// Weight of the demands with any other outcome.
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

/// Submission whose first attempt is sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ForwardedSubmission {
    /// Units of the request.
    pub units: f64,
    /// Weight of these units.
    pub weight: f64,
    /// Share of the weight that units over quota cost under the tenant's plan.
    pub over_quota_cost_share: f64,
    /// True if the tenant's true quota held enough units.
    pub is_within_quota: bool,
}

/// Units forwarded to endpoints, compared with the true quotas.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct QuotaCounts {
    /// Units forwarded within quotas.
    #[serde(rename = "units_inside")]
    pub units_within_quota: f64,
    /// Units forwarded over quotas.
    #[serde(rename = "units_beyond")]
    pub units_over_quota: f64,
    /// Weight of the units forwarded over quotas.
    #[serde(rename = "worth_beyond")]
    pub weight_over_quota: f64,
    /// Cost of the units forwarded over quotas, under the tenants' plans.
    pub overrun_cost: f64,
}

impl QuotaCounts {
    fn count(&mut self, forwarded: ForwardedSubmission) {
        if forwarded.is_within_quota {
            self.units_within_quota += forwarded.units;
        } else {
            self.units_over_quota += forwarded.units;
            self.weight_over_quota += forwarded.weight;
            self.overrun_cost += forwarded.weight * forwarded.over_quota_cost_share;
        }
    }
}

/// Attempts by result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct AttemptCounts {
    /// Attempts sent.
    pub sent: u64,
    /// Attempts served.
    pub ok: u64,
    /// Attempts rejected by their endpoint.
    #[serde(rename = "full")]
    pub rejected: u64,
    /// Attempts without a response before the timeout.
    pub timeout: u64,
    /// Attempts whose connection failed.
    pub connect_failed: u64,
    /// Attempts whose connection was reset or whose response was an error.
    pub reset: u64,
    /// Attempts cancelled or never sent.
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

/// Counter calls by result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CounterCallCounts {
    /// Calls made.
    pub made: u64,
    /// Calls answered with a total before their timeout.
    pub ok: u64,
    /// Calls rejected before their timeout because the counter's queue was full.
    #[serde(rename = "full")]
    pub rejected: u64,
    /// Calls without a response before their timeout.
    pub timeout: u64,
    /// Calls that the counter served after their caller had stopped waiting.
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

/// Changes and transfers of the endpoint list, and restarts of gateways.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct FleetCounts {
    /// Changes of the endpoint list.
    pub list_changes: u64,
    /// Complete lists sent to gateways.
    #[serde(rename = "lists_told")]
    pub complete_lists_sent: u64,
    /// Polls for the endpoint list that failed.
    #[serde(rename = "list_calls_failed")]
    pub polls_failed: u64,
    /// Restarts of gateways.
    pub restarts: u64,
}

/// Counts of one second of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct SecondCounts {
    /// Demands submitted, and demands that ended, in this second.
    #[serde(rename = "wishes")]
    pub demands: DemandCounts,
    /// Units forwarded, compared with the true quotas.
    pub quotas: QuotaCounts,
    /// Counter calls made.
    pub counter_calls: u64,
    /// Attempts sent.
    pub attempts: u64,
}

/// All counts of a run.
#[derive(Debug, Clone)]
pub struct Measures {
    /// Demands by outcome.
    pub demands: DemandCounts,
    /// Submissions that reached a gateway: demands and their retries.
    pub submissions: u64,
    /// Weight of demands within quotas, by outcome.
    pub in_quota_weight: InQuotaWeight,
    /// Units forwarded, compared with the true quotas.
    pub quotas: QuotaCounts,
    /// Attempts by result.
    pub attempts: AttemptCounts,
    /// Counter calls by result.
    pub counter_calls: CounterCallCounts,
    /// Changes and transfers of the endpoint list, and restarts of gateways.
    pub fleet: FleetCounts,
    /// Traffic of each role.
    pub traffic: RoleTraffic,
    /// Time from the first submission of a served demand to its response, in microseconds.
    pub latency: Histogram<u64>,
    /// Maximum number of requests that were open in the fleet at once.
    pub max_open_requests: usize,
    /// Counts of each second of the run.
    pub seconds: Vec<SecondCounts>,
}

impl Measures {
    /// Returns zero counts for a fleet of `gateway_count` gateways.
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

    /// Returns the counts of the second that contains `now`.
    pub fn second(&mut self, now: Time) -> &mut SecondCounts {
        let index = (now - RUN_START).max(0.0) as usize;
        if self.seconds.len() <= index {
            self.seconds.resize_with(index + 1, SecondCounts::default);
        }
        &mut self.seconds[index]
    }

    /// Counts a demand at its first submission; `in_quota_weight` is its weight if it is within the quota, else 0.
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

    /// Counts a submission when its first attempt is sent.
    pub fn count_forwarded(&mut self, now: Time, forwarded: ForwardedSubmission) {
        self.quotas.count(forwarded);
        self.second(now).quotas.count(forwarded);
    }

    /// Records the latency of a served demand.
    pub fn record_latency(&mut self, latency: Seconds) {
        let microseconds = (latency * MICROSECONDS_PER_SECOND).round().max(1.0) as u64;
        self.latency.saturating_record(microseconds);
    }
}
