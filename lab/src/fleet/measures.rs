//! What a run counts.

use super::event_queue::RUN_START;
use hdrhistogram::Histogram;
use oliverack::{Status, Time};
use serde::Serialize;
use std::ops::AddAssign;

/// Messages and their bytes, both ways.
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

/// Messages that services and endpoints take and give.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoleTraffic {
    /// The counter.
    pub counter: Traffic,
    /// Discovery.
    pub discovery: Traffic,
    /// All endpoints.
    pub endpoints: Traffic,
}

/// How the demands of clients ended, and their worth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct DemandCounts {
    /// Asked for.
    #[serde(rename = "asked")]
    pub submitted: u64,
    /// Answered within the aim of their class.
    pub served: u64,
    /// Answered later.
    pub served_late: u64,
    /// Refused, retries included.
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
    fn of(&mut self, outcome: DemandOutcome) -> &mut u64 {
        match outcome {
            DemandOutcome::Served => &mut self.served,
            DemandOutcome::ServedLate => &mut self.served_late,
            DemandOutcome::Rejected => &mut self.rejected,
            DemandOutcome::Failed => &mut self.failed,
            DemandOutcome::Abandoned => &mut self.abandoned,
            DemandOutcome::Lost => &mut self.lost,
        }
    }
}

/// How a demand ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandOutcome {
    /// Answered within the aim.
    Served,
    /// Answered later.
    ServedLate,
    /// Refused.
    Rejected,
    /// Failed.
    Failed,
    /// The client left.
    Abandoned,
    /// Its gateway died or was down.
    Lost,
}

/// Worth that was asked for inside quotas, and what became of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct InQuotaWeight {
    /// Asked for.
    #[serde(rename = "asked")]
    pub submitted: f64,
    /// Answered within the aim.
    pub served: f64,
    /// Refused.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// Ended in any other way.
    pub otherwise: f64,
}

/// What was sent to endpoints, against the true quotas.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct QuotaCounts {
    /// Units sent inside quotas.
    #[serde(rename = "units_inside")]
    pub units_within_quota: f64,
    /// Units sent beyond them.
    #[serde(rename = "units_beyond")]
    pub units_over_quota: f64,
    /// Worth sent beyond them.
    #[serde(rename = "worth_beyond")]
    pub weight_over_quota: f64,
    /// What that costs by the plans' prices.
    pub overrun_cost: f64,
}

/// Attempts and how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct AttemptCounts {
    /// Forwarded.
    pub sent: u64,
    /// Served.
    pub ok: u64,
    /// Turned away.
    #[serde(rename = "full")]
    pub rejected: u64,
    /// Without an answer in time.
    pub timeout: u64,
    /// Without a connection.
    pub connect_failed: u64,
    /// Broken.
    pub reset: u64,
    /// Called off, or never sent.
    pub cancelled: u64,
}

impl AttemptCounts {
    /// Counts an outcome.
    pub fn count(&mut self, status: Status) {
        let counted = match status {
            Status::Ok => &mut self.ok,
            Status::Rejected => &mut self.rejected,
            Status::Timeout => &mut self.timeout,
            Status::ConnectFailed => &mut self.connect_failed,
            Status::Error | Status::Reset => &mut self.reset,
            Status::Cancelled | Status::NotSent => &mut self.cancelled,
        };
        *counted += 1;
    }
}

/// Counter calls and how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CounterCallCounts {
    /// Made.
    pub made: u64,
    /// Answered in time with a total.
    pub ok: u64,
    /// Answered in time that the counter is full.
    #[serde(rename = "full")]
    pub rejected: u64,
    /// Not answered in time.
    pub timeout: u64,
    /// Added though nobody waited any more.
    #[serde(rename = "added_in_vain")]
    pub added_after_timeout: u64,
    /// Names lost.
    #[serde(rename = "names_lost")]
    pub entries_lost: u64,
}

/// What happened to the list of endpoints and to the gateways.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct FleetCounts {
    /// Changes of the list.
    pub list_changes: u64,
    /// Whole lists told.
    #[serde(rename = "lists_told")]
    pub complete_lists_sent: u64,
    /// Calls for the list that failed.
    #[serde(rename = "list_calls_failed")]
    pub polls_failed: u64,
    /// Restarts of gateways.
    pub restarts: u64,
}

/// One second of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct SecondCounts {
    /// Demands, by the second in which they ended.
    #[serde(rename = "wishes")]
    pub demands: DemandCounts,
    /// Units sent.
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
    /// Tries that reached a gateway: demands and their retries.
    pub submissions: u64,
    /// Worth inside quotas.
    pub in_quota_weight: InQuotaWeight,
    /// Units sent.
    pub quotas: QuotaCounts,
    /// Attempts.
    pub attempts: AttemptCounts,
    /// Counter calls.
    pub counter_calls: CounterCallCounts,
    /// Lists and restarts.
    pub fleet: FleetCounts,
    /// Traffic of services and endpoints.
    pub traffic: RoleTraffic,
    /// Times of the answers that served, from the client's first try on, in microseconds.
    pub latency: Histogram<u64>,
    /// Most requests that were open in the fleet at once.
    pub max_open: usize,
    /// The run, second by second.
    pub seconds: Vec<SecondCounts>,
}

/// Longest latency that is told apart, in microseconds.
const LONGEST_LATENCY: u64 = 3_600_000_000;

impl Default for Measures {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, LONGEST_LATENCY, 3).expect("constant bounds are usable");
        Self {
            demands: DemandCounts::default(),
            submissions: 0,
            in_quota_weight: InQuotaWeight::default(),
            quotas: QuotaCounts::default(),
            attempts: AttemptCounts::default(),
            counter_calls: CounterCallCounts::default(),
            fleet: FleetCounts::default(),
            traffic: RoleTraffic::default(),
            latency,
            max_open: 0,
            seconds: Vec::new(),
        }
    }
}

/// What was sent and whether the quota held it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forwarded {
    /// Units.
    pub units: f64,
    /// Their worth.
    pub weight: f64,
    /// The plan's price of an overrun, as a share of the worth.
    pub over_quota_cost_share: f64,
    /// The quota held them.
    pub within_quota: bool,
}

impl QuotaCounts {
    fn count(&mut self, sent: Forwarded) {
        if sent.within_quota {
            self.units_within_quota += sent.units;
        } else {
            self.units_over_quota += sent.units;
            self.weight_over_quota += sent.weight;
            self.overrun_cost += sent.weight * sent.over_quota_cost_share;
        }
    }
}

impl Measures {
    /// The counts of the second that `now` lies in.
    pub fn second(&mut self, now: Time) -> &mut SecondCounts {
        let index = (now - RUN_START).max(0.0) as usize;
        if self.seconds.len() <= index {
            self.seconds.resize_with(index + 1, SecondCounts::default);
        }
        &mut self.seconds[index]
    }

    /// Counts a demand; `in_quota_weight` is its worth where the quota holds it, else 0.
    pub fn count_demand(&mut self, now: Time, in_quota_weight: f64) {
        self.demands.submitted += 1;
        self.second(now).demands.submitted += 1;
        self.in_quota_weight.submitted += in_quota_weight;
    }

    /// Counts the end of a demand.
    pub fn count_outcome(&mut self, now: Time, outcome: DemandOutcome, in_quota_weight: f64) {
        *self.demands.of(outcome) += 1;
        *self.second(now).demands.of(outcome) += 1;
        let worth = match outcome {
            DemandOutcome::Served => &mut self.in_quota_weight.served,
            DemandOutcome::Rejected => &mut self.in_quota_weight.rejected,
            _ => &mut self.in_quota_weight.otherwise,
        };
        *worth += in_quota_weight;
    }

    /// Counts what was sent first for a try.
    pub fn count_forwarded(&mut self, now: Time, sent: Forwarded) {
        self.quotas.count(sent);
        self.second(now).quotas.count(sent);
    }

    /// Counts the time of an answer that served.
    pub fn count_latency(&mut self, seconds: f64) {
        self.latency.saturating_record((seconds * 1e6).round().max(1.0) as u64);
    }
}
