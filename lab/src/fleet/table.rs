//! Results of a run as a human-readable table. The names of the rows follow the JSON keys, such as `gatekeepers` for
//! gateways, `workers` for endpoints and `tries` for submissions.

use super::measures::{AttemptCounts, CounterCallCounts, DemandCounts, InQuotaWeight};
use super::report::{LatencyRecord, ProcessorRecord, QuotaRecord, Record, RunRecord, StateRecord};
use std::fmt::{self, Display};

/// Width of the column of row names, in characters.
const NAME_WIDTH: usize = 34;

/// Table of the records of a run, except for those of single seconds.
#[derive(Debug, Clone, Copy)]
pub struct Table<'a>(pub &'a [Record]);

impl Display for Table<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|record| write_record(f, record))
    }
}

fn row(f: &mut fmt::Formatter<'_>, name: &str, value: impl Display) -> fmt::Result {
    writeln!(f, "  {name:<NAME_WIDTH$} {value}")
}

fn three_decimals(value: f64) -> String {
    format!("{value:.3}")
}

fn count_with_percent(part: u64, total: u64) -> String {
    format!("{part} ({:.2}%)", 100.0 * part as f64 / total.max(1) as f64)
}

fn sum_with_percent(part: f64, total: f64) -> String {
    let percent = if total > 0.0 { 100.0 * part / total } else { 0.0 };
    format!("{part:.1} ({percent:.2}%)")
}

fn write_record(f: &mut fmt::Formatter<'_>, record: &Record) -> fmt::Result {
    match record {
        Record::Run(run) => write_run(f, run),
        Record::Demands(demands) => write_demands(f, demands),
        Record::Latency(latency) => write_latency(f, latency),
        Record::Quotas(quotas) => write_quotas(f, quotas),
        Record::InQuotaWeight(weight) => write_in_quota_weight(f, weight),
        Record::Attempts(attempts) => write_attempts(f, attempts),
        Record::CounterCalls(calls) => write_counter_calls(f, calls),
        Record::PerSubmission(per_submission) => {
            writeln!(f, "per submission at a gateway")?;
            row(f, "tries", per_submission.submissions)?;
            row(f, "attempts a try", three_decimals(per_submission.attempts))?;
            row(f, "counter calls a try", three_decimals(per_submission.counter_calls))
        }
        Record::Fleet(fleet) => {
            writeln!(f, "fleet")?;
            row(
                f,
                "list changes / whole lists",
                format!("{} / {}", fleet.list_changes, fleet.complete_lists_sent),
            )?;
            row(f, "list calls failed", fleet.polls_failed)?;
            row(f, "gatekeeper restarts", fleet.restarts)
        }
        Record::Traffic(traffic) => {
            let (messages, bytes) = (traffic.messages_per_second, traffic.bytes_per_second);
            let value = format!("{messages:>14.1} messages/s {bytes:>16.0} bytes/s");
            row(f, &format!("traffic of {}", traffic.role), value)
        }
        Record::State(state) => write_state(f, state),
        Record::Second { .. } => Ok(()),
        Record::Processor(processor) => write_processor(f, processor),
    }
}

fn write_demands(f: &mut fmt::Formatter<'_>, demands: &DemandCounts) -> fmt::Result {
    writeln!(f, "demands of clients, each counted once with its retries")?;
    row(f, "asked", demands.submitted)?;
    row(f, "served in time", count_with_percent(demands.served, demands.submitted))?;
    row(f, "served late", count_with_percent(demands.served_late, demands.submitted))?;
    row(f, "refused", count_with_percent(demands.rejected, demands.submitted))?;
    row(f, "failed", count_with_percent(demands.failed, demands.submitted))?;
    row(f, "abandoned", count_with_percent(demands.abandoned, demands.submitted))?;
    row(f, "lost with a gatekeeper", count_with_percent(demands.lost, demands.submitted))
}

fn write_latency(f: &mut fmt::Formatter<'_>, latency: &LatencyRecord) -> fmt::Result {
    writeln!(f, "latency of served demands from their first submission, ms")?;
    row(f, "mean", three_decimals(latency.mean))?;
    row(f, "p50 / p90", format!("{:.3} / {:.3}", latency.p50, latency.p90))?;
    row(f, "p99 / p99.9", format!("{:.3} / {:.3}", latency.p99, latency.p999))?;
    row(f, "max", three_decimals(latency.max))
}

fn write_in_quota_weight(f: &mut fmt::Formatter<'_>, weight: &InQuotaWeight) -> fmt::Result {
    writeln!(f, "weight of demands within quotas")?;
    row(f, "asked", format!("{:.1}", weight.submitted))?;
    row(f, "served in time", sum_with_percent(weight.served, weight.submitted))?;
    row(f, "refused", sum_with_percent(weight.rejected, weight.submitted))?;
    row(f, "late, failed, abandoned or lost", sum_with_percent(weight.otherwise, weight.submitted))
}

fn write_attempts(f: &mut fmt::Formatter<'_>, attempts: &AttemptCounts) -> fmt::Result {
    writeln!(f, "attempts at endpoints")?;
    row(f, "sent", attempts.sent)?;
    row(f, "ok", count_with_percent(attempts.ok, attempts.sent))?;
    row(f, "full", count_with_percent(attempts.rejected, attempts.sent))?;
    row(f, "timeout", count_with_percent(attempts.timeout, attempts.sent))?;
    row(f, "connection failed / reset", format!("{} / {}", attempts.connect_failed, attempts.reset))?;
    row(f, "cancelled", attempts.cancelled)
}

fn write_counter_calls(f: &mut fmt::Formatter<'_>, calls: &CounterCallCounts) -> fmt::Result {
    writeln!(f, "counter calls")?;
    row(f, "made", calls.made)?;
    row(f, "ok", count_with_percent(calls.ok, calls.made))?;
    row(f, "full", count_with_percent(calls.rejected, calls.made))?;
    row(f, "timeout", count_with_percent(calls.timeout, calls.made))?;
    row(f, "added in vain / names lost", format!("{} / {}", calls.added_after_timeout, calls.entries_lost))
}

fn write_run(f: &mut fmt::Formatter<'_>, run: &RunRecord) -> fmt::Result {
    writeln!(f, "run")?;
    row(f, "seed / seconds", format!("{} / {}", run.seed, run.seconds))?;
    let sizes = format!("{} / {} / {}", run.gateways, run.endpoints, run.tenants);
    row(f, "gatekeepers / workers / tenants", sizes)?;
    row(f, "nominal requests a second", format!("{:.1}", run.nominal_requests_per_second))
}

fn write_quotas(f: &mut fmt::Formatter<'_>, quotas: &QuotaRecord) -> fmt::Result {
    let counts = &quotas.counts;
    let units = counts.units_within_quota + counts.units_over_quota;
    writeln!(f, "units forwarded to endpoints, against the true quotas")?;
    row(f, "inside", sum_with_percent(counts.units_within_quota, units))?;
    row(f, "beyond", sum_with_percent(counts.units_over_quota, units))?;
    row(
        f,
        "worth beyond / its price",
        format!("{:.1} / {:.1}", counts.weight_over_quota, counts.overrun_cost),
    )?;
    row(f, "ceilings / broken", format!("{} / {}", quotas.ceilings, quotas.ceilings_exceeded))?;
    row(f, "lowest ceiling, share of its burst", three_decimals(quotas.lowest_ceiling))
}

fn write_state(f: &mut fmt::Formatter<'_>, state: &StateRecord) -> fmt::Result {
    let open_requests = format!("{} / {}", state.fleet_open_max, state.gateway_open_max);
    let tenants = format!("{:.1} / {}", state.tenants_mean, state.tenants_max);
    let endpoints = format!("{:.1} / {:.1}", state.endpoints_listed_mean, state.endpoints_avoided_mean);
    writeln!(f, "state")?;
    row(f, "most open: fleet / one gatekeeper", open_requests)?;
    row(f, "tenants met: mean / max", tenants)?;
    row(f, "workers: listed / avoided, mean", endpoints)?;
    row(f, "names at the counter", state.counter_entries)
}

fn write_processor(f: &mut fmt::Formatter<'_>, processor: &ProcessorRecord) -> fmt::Result {
    let policy = &processor.policy;
    writeln!(f, "processor time of the policy, differs from run to run")?;
    row(f, "a request and its outcomes, us", three_decimals(policy.microseconds_per_request))?;
    for times in &policy.by_event {
        let value = format!(
            "{:>10} x  mean {:.2}  p99 {:.2}  max {:.2} us",
            times.count, times.mean_microseconds, times.p99_microseconds, times.max_microseconds
        );
        row(f, times.event, value)?;
    }
    row(f, "whole policy / whole run, s", {
        format!("{:.1} / {:.1}", policy.total_seconds, processor.run_wall_seconds)
    })
}
