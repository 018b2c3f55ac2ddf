//! Results of a run as records, each of which is a line of the JSON file.
//!
//! Some JSON keys differ from the field names, and `serde(rename)` maps them: `gatekeepers` are gateways, `workers`
//! are endpoints, `tries` are submissions, and `counter_names` are entries of the counter. The other ones are
//! explained in [`measures`](super::measures).

use super::gateways::SimulatedGateway;
use super::measures::{
    AttemptCounts, CounterCallCounts, DemandCounts, FleetCounts, InQuotaWeight, QuotaCounts, SecondCounts,
    Traffic,
};
use super::processor::ProcessorSummary;
use super::simulation::RunResult;
use super::tenants::Tenant;
use hdrhistogram::Histogram;
use oliverack::Seconds;
use serde::Serialize;

/// Overdraft up to which a ceiling does not count as exceeded, as a share of the ceiling's burst.
pub const MAX_CEILING_OVERDRAFT_SHARE: f64 = 0.1;

/// Sizes of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RunRecord {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Duration for which requests arrived.
    pub seconds: Seconds,
    /// Number of gateways.
    #[serde(rename = "gatekeepers")]
    pub gateways: usize,
    /// Number of endpoints at the start.
    #[serde(rename = "workers")]
    pub endpoints: u32,
    /// Number of tenants.
    pub tenants: usize,
    /// Expected long-term mean of the demands of all tenants, in requests a second.
    pub nominal_requests_per_second: f64,
}

/// Time from the first submission of a served demand to its response, in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LatencyRecord {
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

/// Units forwarded to endpoints, compared with the true quotas and ceilings.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct QuotaRecord {
    /// Units within and over quotas.
    #[serde(flatten)]
    pub counts: QuotaCounts,
    /// Number of tenants with a ceiling.
    pub ceilings: usize,
    /// Number of tenants whose ceiling was overdrawn by more than [`MAX_CEILING_OVERDRAFT_SHARE`].
    #[serde(rename = "ceilings_broken")]
    pub ceilings_exceeded: usize,
    /// Lowest level of any ceiling, as a share of its burst, and negative if overdrawn; 1 if there are no ceilings.
    pub lowest_ceiling: f64,
}

/// Traffic of one role, in both directions.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TrafficRecord {
    /// Name of the role.
    pub role: &'static str,
    /// Messages a second.
    pub messages_per_second: f64,
    /// Bytes a second.
    pub bytes_per_second: f64,
}

/// Mean numbers of attempts and counter calls for each submission.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PerSubmissionRecord {
    /// Number of submissions that reached a gateway.
    #[serde(rename = "tries")]
    pub submissions: u64,
    /// Attempts for each submission.
    pub attempts: f64,
    /// Counter calls for each submission.
    pub counter_calls: f64,
}

/// Amounts of state in the gateways and the counter.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct StateRecord {
    /// Maximum number of requests open in the whole fleet at once.
    pub fleet_open_max: usize,
    /// Maximum number of requests open at one gateway at once.
    #[serde(rename = "gatekeeper_open_max")]
    pub gateway_open_max: usize,
    /// Mean number of tenants that sent requests to a gateway.
    pub tenants_mean: f64,
    /// Maximum number of tenants that sent requests to one gateway.
    pub tenants_max: usize,
    /// Mean number of endpoints that a gateway lists at the end of the run.
    #[serde(rename = "workers_listed_mean")]
    pub endpoints_listed_mean: f64,
    /// Mean number of listed endpoints that a gateway avoids at the end of the run.
    #[serde(rename = "workers_avoided_mean")]
    pub endpoints_avoided_mean: f64,
    /// Entries that the counter holds at the end of the run.
    #[serde(rename = "counter_names")]
    pub counter_entries: usize,
}

/// Processor time; the only record that differs between two runs of the same file and seed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ProcessorRecord {
    /// Processor time of the policies.
    #[serde(flatten)]
    pub policy: ProcessorSummary,
    /// Wall clock time of the run.
    pub run_wall_seconds: f64,
}

/// Line of the JSON file.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// Sizes of the run.
    Run(RunRecord),
    /// Demands by outcome.
    #[serde(rename = "wishes")]
    Demands(DemandCounts),
    /// Latency of served demands.
    Latency(LatencyRecord),
    /// Units forwarded, compared with quotas and ceilings.
    Quotas(QuotaRecord),
    /// Weight of demands within quotas, by outcome.
    #[serde(rename = "inside_worth")]
    InQuotaWeight(InQuotaWeight),
    /// Attempts by result.
    Attempts(AttemptCounts),
    /// Counter calls by result.
    CounterCalls(CounterCallCounts),
    /// Mean numbers for each submission.
    #[serde(rename = "per_try")]
    PerSubmission(PerSubmissionRecord),
    /// Endpoint lists and restarts of gateways.
    Fleet(FleetCounts),
    /// Traffic of one role.
    Traffic(TrafficRecord),
    /// Amounts of state.
    State(StateRecord),
    /// One second of the run.
    Second {
        /// Number of the second, from 0.
        second: usize,
        /// Counts of the second.
        #[serde(flatten)]
        counts: SecondCounts,
    },
    /// Processor time.
    Processor(ProcessorRecord),
}

/// Returns all records of a run; that of processor times is the last.
pub fn records(result: &RunResult, seed: u64, run_wall_seconds: f64) -> Vec<Record> {
    let measures = &result.measures;
    let mut records = vec![
        Record::Run(run_record(result, seed)),
        Record::Demands(measures.demands),
        Record::Latency(latency_record(&measures.latency)),
        Record::Quotas(quota_record(measures.quotas, &result.tenants)),
        Record::InQuotaWeight(measures.in_quota_weight),
        Record::Attempts(measures.attempts),
        Record::CounterCalls(measures.counter_calls),
        Record::PerSubmission(per_submission_record(result)),
        Record::Fleet(measures.fleet),
    ];
    records.extend(traffic_records(result).into_iter().map(Record::Traffic));
    records.push(Record::State(state_record(result)));
    let seconds = measures.seconds.iter().enumerate();
    records.extend(seconds.map(|(second, counts)| Record::Second { second, counts: *counts }));
    records.push(Record::Processor(ProcessorRecord {
        policy: result.processor_times.summary(),
        run_wall_seconds,
    }));
    records
}

fn run_record(result: &RunResult, seed: u64) -> RunRecord {
    RunRecord {
        seed,
        seconds: result.configuration.seconds,
        gateways: result.gateways.len(),
        endpoints: result.configuration.endpoints.count,
        tenants: result.tenants.len(),
        nominal_requests_per_second: result.tenants.iter().map(Tenant::mean_requests_per_second).sum(),
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
    let ceiling_levels: Vec<f64> =
        tenants.iter().filter(|t| t.ceiling.is_some()).map(|t| t.lowest_ceiling_level).collect();
    QuotaRecord {
        counts,
        ceilings: ceiling_levels.len(),
        ceilings_exceeded: ceiling_levels
            .iter()
            .filter(|level| **level < -MAX_CEILING_OVERDRAFT_SHARE)
            .count(),
        lowest_ceiling: ceiling_levels.iter().copied().fold(1.0, f64::min),
    }
}

fn per_submission_record(result: &RunResult) -> PerSubmissionRecord {
    let submissions = result.measures.submissions;
    let per_submission = |count: u64| count as f64 / submissions.max(1) as f64;
    PerSubmissionRecord {
        submissions,
        attempts: per_submission(result.measures.attempts.sent),
        counter_calls: per_submission(result.measures.counter_calls.made),
    }
}

fn traffic_records(result: &RunResult) -> Vec<TrafficRecord> {
    let record = |role, messages: f64, bytes: f64| TrafficRecord {
        role,
        messages_per_second: messages / result.configuration.seconds,
        bytes_per_second: bytes / result.configuration.seconds,
    };
    let total = |role, traffic: Traffic| record(role, traffic.messages as f64, traffic.bytes as f64);
    let traffic = &result.measures.traffic;
    let mut all_gateways = Traffic::default();
    for gateway in &traffic.gateways {
        all_gateways += *gateway;
    }
    let gateway_count = traffic.gateways.len().max(1) as f64;
    let busiest_gateway = traffic.gateways.iter().copied().max_by_key(|gateway| gateway.messages);
    vec![
        total("gatekeepers", all_gateways),
        record(
            "gatekeeper_mean",
            all_gateways.messages as f64 / gateway_count,
            all_gateways.bytes as f64 / gateway_count,
        ),
        total("gatekeeper_max", busiest_gateway.unwrap_or_default()),
        total("counter", traffic.counter),
        total("discovery", traffic.discovery),
        total("workers", traffic.endpoints),
    ]
}

fn state_record(result: &RunResult) -> StateRecord {
    let gateways = &result.gateways;
    let gateway_count = gateways.len().max(1) as f64;
    let endpoint_counts: Vec<_> = gateways.iter().map(|g| g.endpoint_counts(result.ended_at)).collect();
    StateRecord {
        fleet_open_max: result.measures.max_open_requests,
        gateway_open_max: gateways.iter().map(SimulatedGateway::max_open_requests).max().unwrap_or(0),
        tenants_mean: gateways.iter().map(SimulatedGateway::tenant_count).sum::<usize>() as f64
            / gateway_count,
        tenants_max: gateways.iter().map(SimulatedGateway::tenant_count).max().unwrap_or(0),
        endpoints_listed_mean: endpoint_counts.iter().map(|counts| counts.listed).sum::<usize>() as f64
            / gateway_count,
        endpoints_avoided_mean: endpoint_counts.iter().map(|counts| counts.avoided).sum::<usize>() as f64
            / gateway_count,
        counter_entries: result.counter_entries,
    }
}
