//! The results of a run: records for the JSON file, and a table for people.

use super::measures::{
    AttemptCounts, CounterCallCounts, DemandCounts, FleetCounts, InQuotaWeight, QuotaCounts, SecondCounts,
    Traffic,
};
use super::processor::ProcessorSummary;
use super::simulation::RunResult;
use super::tenants::Tenant;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Share of its burst by which a ceiling may be overdrawn.
pub const MAX_CEILING_OVERDRAFT_SHARE: f64 = 0.1;

/// Sizes of the run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RunRecord {
    /// The seed.
    pub seed: u64,
    /// Seconds in which requests arrived.
    pub seconds: f64,
    /// Gateways.
    #[serde(rename = "gatekeepers")]
    pub gateways: usize,
    /// Endpoints at the start.
    #[serde(rename = "workers")]
    pub endpoints: u32,
    /// Tenants.
    pub tenants: usize,
    /// Requests a second that the tenants poll for on average.
    pub nominal_requests_per_second: f64,
}

/// Times of the answers that served, from the client's first try on, in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LatencyRecord {
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90 of 100 stay within it.
    pub p90: f64,
    /// 99 of 100.
    pub p99: f64,
    /// 999 of 1000.
    pub p999: f64,
    /// The longest.
    pub max: f64,
}

/// What was passed, against the true quotas and ceilings.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct QuotaRecord {
    /// Units and worth.
    #[serde(flatten)]
    pub counts: QuotaCounts,
    /// Tenants under a ceiling.
    pub ceilings: usize,
    /// Those of them whose ceiling was overdrawn by more than its slack.
    #[serde(rename = "ceilings_broken")]
    pub ceilings_exceeded: usize,
    /// The lowest level of any ceiling, as a share of its burst; 1 without any.
    pub lowest_ceiling: f64,
}

/// Messages of one role, both ways.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TrafficRecord {
    /// The role.
    pub role: &'static str,
    /// Messages a second.
    pub messages_per_second: f64,
    /// Bytes a second.
    pub bytes_per_second: f64,
}

/// Calls a try.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PerSubmissionRecord {
    /// Tries that reached a gateway.
    #[serde(rename = "tries")]
    pub submissions: u64,
    /// Attempts at endpoints.
    pub attempts: f64,
    /// Counter calls.
    pub counter_calls: f64,
}

/// What gateways hold.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct StateRecord {
    /// Most requests open in the whole fleet at once.
    pub fleet_open_max: usize,
    /// Most requests open at one gateway at once.
    #[serde(rename = "gatekeeper_open_max")]
    pub gateway_open_max: usize,
    /// Tenants that a gateway met, on average.
    pub tenants_mean: f64,
    /// Most tenants that one met.
    pub tenants_max: usize,
    /// Endpoints that a gateway lists at the end, on average.
    #[serde(rename = "workers_listed_mean")]
    pub endpoints_listed_mean: f64,
    /// Those of them that it avoids.
    #[serde(rename = "workers_avoided_mean")]
    pub endpoints_avoided_mean: f64,
    /// Names that the counter holds at the end.
    #[serde(rename = "counter_names")]
    pub counter_entries: usize,
}

/// Processor time; the only record that differs between two runs of one file and seed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ProcessorRecord {
    /// The policy's time.
    #[serde(flatten)]
    pub policy: ProcessorSummary,
    /// Time that the whole run took.
    pub run_wall_seconds: f64,
}

/// One line of the JSON file.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// Sizes.
    Run(RunRecord),
    /// Demands of clients.
    #[serde(rename = "wishes")]
    Demands(DemandCounts),
    /// Latency.
    Latency(LatencyRecord),
    /// Quotas and ceilings.
    Quotas(QuotaRecord),
    /// Worth inside quotas.
    #[serde(rename = "inside_worth")]
    InQuotaWeight(InQuotaWeight),
    /// Attempts at endpoints.
    Attempts(AttemptCounts),
    /// Counter calls.
    CounterCalls(CounterCallCounts),
    /// Calls a try.
    #[serde(rename = "per_try")]
    PerSubmission(PerSubmissionRecord),
    /// Lists and restarts.
    Fleet(FleetCounts),
    /// Messages of a role.
    Traffic(TrafficRecord),
    /// State.
    State(StateRecord),
    /// One second.
    Second {
        /// Its number, from 0.
        second: usize,
        /// Its counts.
        #[serde(flatten)]
        counts: SecondCounts,
    },
    /// Processor time.
    Processor(ProcessorRecord),
}

/// All records of a run, that of processor times last.
pub fn records(outcome: &RunResult, seed: u64, run_wall_seconds: f64) -> Vec<Record> {
    let measures = &outcome.measures;
    let mut records = vec![
        Record::Run(run_record(outcome, seed)),
        Record::Demands(measures.demands),
        Record::Latency(latency_record(&measures.latency)),
        Record::Quotas(quota_record(measures.quotas, &outcome.tenants)),
        Record::InQuotaWeight(measures.in_quota_weight),
        Record::Attempts(measures.attempts),
        Record::CounterCalls(measures.counter_calls),
        Record::PerSubmission(per_submission_record(outcome)),
        Record::Fleet(measures.fleet),
    ];
    records.extend(traffic_records(outcome).into_iter().map(Record::Traffic));
    records.push(Record::State(state_record(outcome)));
    let seconds = measures.seconds.iter().enumerate();
    records.extend(seconds.map(|(second, counts)| Record::Second { second, counts: *counts }));
    records.push(Record::Processor(ProcessorRecord { policy: outcome.times.summary(), run_wall_seconds }));
    records
}

fn run_record(outcome: &RunResult, seed: u64) -> RunRecord {
    RunRecord {
        seed,
        seconds: outcome.configuration.seconds,
        gateways: outcome.gateways.len(),
        endpoints: outcome.configuration.endpoints.count,
        tenants: outcome.tenants.len(),
        nominal_requests_per_second: outcome.tenants.iter().map(Tenant::mean_requests_per_second).sum(),
    }
}

fn latency_record(latency: &Histogram<u64>) -> LatencyRecord {
    let milliseconds = |quantile: f64| latency.value_at_quantile(quantile) as f64 / 1e3;
    LatencyRecord {
        mean: latency.mean() / 1e3,
        p50: milliseconds(0.5),
        p90: milliseconds(0.9),
        p99: milliseconds(0.99),
        p999: milliseconds(0.999),
        max: latency.max() as f64 / 1e3,
    }
}

fn quota_record(counts: QuotaCounts, tenants: &[Tenant]) -> QuotaRecord {
    let levels: Vec<f64> = tenants.iter().filter(|t| t.ceiling.is_some()).map(|t| t.lowest_ceiling).collect();
    QuotaRecord {
        counts,
        ceilings: levels.len(),
        ceilings_exceeded: levels.iter().filter(|level| **level < -MAX_CEILING_OVERDRAFT_SHARE).count(),
        lowest_ceiling: levels.iter().copied().fold(1.0, f64::min),
    }
}

fn per_submission_record(outcome: &RunResult) -> PerSubmissionRecord {
    let submissions = outcome.measures.submissions;
    let per_submission = |count: u64| count as f64 / submissions.max(1) as f64;
    PerSubmissionRecord {
        submissions,
        attempts: per_submission(outcome.measures.attempts.sent),
        counter_calls: per_submission(outcome.measures.counter_calls.made),
    }
}

fn traffic_records(outcome: &RunResult) -> Vec<TrafficRecord> {
    let record = |role, messages: f64, bytes: f64| TrafficRecord {
        role,
        messages_per_second: messages / outcome.configuration.seconds,
        bytes_per_second: bytes / outcome.configuration.seconds,
    };
    let whole = |role, traffic: Traffic| record(role, traffic.messages as f64, traffic.bytes as f64);
    let mut all = Traffic::default();
    outcome.gateways.iter().for_each(|gateway| all += gateway.traffic);
    let count = outcome.gateways.len().max(1) as f64;
    let busiest = outcome.gateways.iter().map(|g| g.traffic).max_by_key(|t| t.messages);
    let traffic = &outcome.measures.traffic;
    vec![
        whole("gatekeepers", all),
        record("gatekeeper_mean", all.messages as f64 / count, all.bytes as f64 / count),
        whole("gatekeeper_max", busiest.unwrap_or_default()),
        whole("counter", traffic.counter),
        whole("discovery", traffic.discovery),
        whole("workers", traffic.endpoints),
    ]
}

fn state_record(outcome: &RunResult) -> StateRecord {
    let gateways = &outcome.gateways;
    let count = gateways.len().max(1) as f64;
    let endpoint_counts: Vec<_> = gateways.iter().map(|g| g.endpoint_counts(outcome.end)).collect();
    StateRecord {
        fleet_open_max: outcome.measures.max_open,
        gateway_open_max: gateways.iter().map(|g| g.max_open).max().unwrap_or(0),
        tenants_mean: gateways.iter().map(|g| g.tenants()).sum::<usize>() as f64 / count,
        tenants_max: gateways.iter().map(|g| g.tenants()).max().unwrap_or(0),
        endpoints_listed_mean: endpoint_counts.iter().map(|t| t.listed).sum::<usize>() as f64 / count,
        endpoints_avoided_mean: endpoint_counts.iter().map(|t| t.avoided).sum::<usize>() as f64 / count,
        counter_entries: outcome.counter_entries,
    }
}
