//! Collects measured values over several rounds, and reports their medians as a table and as JSON lines.

use super::Error;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fmt::{self, Write as _},
    fs,
    path::Path,
};

/// Size of the base row, by whose medians ratios are computed.
pub const BASE_SIZE: usize = 100;

/// Largest accepted size of a row.
const MAX_SIZE: usize = 1_000_000;

/// Checks that rows of these sizes can be measured.
///
/// # Errors
/// A size is 0 or too large.
pub fn check_sizes<'a>(mut sizes: impl Iterator<Item = &'a usize>) -> Result<(), Error> {
    if sizes.all(|size| (1..=MAX_SIZE).contains(size)) {
        Ok(())
    } else {
        Err(Error::InvalidArgument("counts of workers and tenants must be from 1 to 1000000"))
    }
}

/// Quantity that grows from row to row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Axis {
    /// Number of listed endpoints.
    #[serde(rename = "workers")]
    Endpoints,
    /// Number of tenants with a quota.
    Tenants,
}

impl Axis {
    fn title(self) -> &'static str {
        match self {
            Self::Endpoints => "workers",
            Self::Tenants => "tenants",
        }
    }
}

/// Identifies a row of the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct RowKey {
    /// Quantity that `size` is the value of.
    pub axis: Axis,
    /// Number of gateways in the settings.
    pub gateways: u32,
    /// Number of endpoints or tenants.
    pub size: usize,
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}, {} gateways", self.size, self.axis.title(), self.gateways)
    }
}

/// Measured quantity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Processor time per request, in microseconds.
    RequestProcessorMicros,
    /// Share of the requests that were served, from 0 to 1.
    ServedShare,
    /// Counter calls per request, on which the processor time of a row of tenants depends.
    CounterCallsPerRequest,
    /// Processor time per change of one entry, in microseconds.
    ChangeProcessorMicros,
    /// Time from the write of a change of one entry to the next watch, in microseconds.
    ChangeElapsedMicros,
    /// Processor time per delivered timer, in microseconds.
    TimerProcessorMicros,
    /// Processor time per sweep over the tenants, in microseconds.
    SweepProcessorMicros,
    /// Processor time to apply the complete compact list, in milliseconds.
    CompactListProcessorMillis,
    /// Time from the write of the complete compact list to the next watch, in milliseconds.
    CompactListElapsedMillis,
    /// Processor time to apply the complete indented list, in milliseconds.
    IndentedListProcessorMillis,
    /// Time from the write of the complete indented list to the next watch, in milliseconds.
    IndentedListElapsedMillis,
    /// Resident memory after the requests, in KiB.
    ResidentKibibytes,
    /// Peak of the resident memory after requests and changes, before any indented list, in KiB.
    PeakResidentKibibytes,
    /// Peak of the resident memory after the indented list, in KiB.
    PeakIndentedKibibytes,
    /// Bytes of state per listed endpoint outside the subset of the gateway.
    #[serde(rename = "worker_outside_bytes")]
    EndpointOutsideBytes,
    /// Bytes of state per endpoint of the subset that has not received requests.
    #[serde(rename = "worker_inside_bytes")]
    EndpointInsideBytes,
    /// Bytes of state per endpoint of the subset that has responded.
    #[serde(rename = "worker_answered_bytes")]
    EndpointRespondedBytes,
    /// Bytes of state per tenant.
    TenantBytes,
    /// Bytes of state per open request, with its timer.
    OpenRequestBytes,
}

impl Metric {
    /// Returns the title in the table, with the unit.
    pub fn title(self) -> &'static str {
        match self {
            Self::RequestProcessorMicros => "processor time a request [us]",
            Self::ServedShare => "share of requests served",
            Self::CounterCallsPerRequest => "counter calls a request",
            Self::ChangeProcessorMicros => "processor time a one-entry change [us]",
            Self::ChangeElapsedMicros => "one-entry change, write to next watch [us]",
            Self::TimerProcessorMicros => "processor time a timer [us]",
            Self::SweepProcessorMicros => "processor time a sweep over the tenants [us]",
            Self::CompactListProcessorMillis => "processor time of a whole compact list [ms]",
            Self::CompactListElapsedMillis => "whole compact list, write to next watch [ms]",
            Self::IndentedListProcessorMillis => "processor time of a whole indented list [ms]",
            Self::IndentedListElapsedMillis => "whole indented list, write to next watch [ms]",
            Self::ResidentKibibytes => "resident memory after the requests [KiB]",
            Self::PeakResidentKibibytes => "peak resident memory after requests and changes [KiB]",
            Self::PeakIndentedKibibytes => "peak resident memory after the indented list [KiB]",
            Self::EndpointOutsideBytes => "state a worker outside the subset [bytes]",
            Self::EndpointInsideBytes => "state a worker inside the subset [bytes]",
            Self::EndpointRespondedBytes => "state a worker inside the subset that has answered [bytes]",
            Self::TenantBytes => "state a tenant [bytes]",
            Self::OpenRequestBytes => "state an open request [bytes]",
        }
    }
}

/// Summary of the values of one quantity of a row over the rounds, in the unit of the [`Metric`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Summary {
    /// Median of the values.
    pub median: f64,
    /// Lowest value.
    pub lowest: f64,
    /// Highest value.
    pub highest: f64,
    /// Number of values, one for each round in which the quantity was measured.
    pub rounds: usize,
    /// Median divided by that of the row with [`BASE_SIZE`] and the same number of gateways; `None` if the latter was
    /// not measured or is 0.
    pub ratio: Option<f64>,
}

/// Reason why a row could not be measured completely.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{row_key}, in {rounds} rounds: {reason}")]
pub struct RowFailure {
    /// Row that failed.
    pub row_key: RowKey,
    /// Text of the error.
    pub reason: String,
    /// Number of rounds in which the row failed for this reason.
    pub rounds: usize,
}

/// Measured values by quantity and row, and the failures of rows.
#[derive(Debug, Default)]
pub struct Report {
    values: BTreeMap<(Axis, Metric), BTreeMap<RowKey, Vec<f64>>>,
    /// Number of failed rounds by row and reason.
    failures: BTreeMap<RowKey, BTreeMap<String, usize>>,
}

/// Line of the JSON file. `part` is the name of the benchmark, `failed` the reason of a failure.
#[derive(Debug, Serialize)]
#[serde(untagged)]
enum Line<'a> {
    Measured {
        part: &'a str,
        #[serde(flatten)]
        row_key: RowKey,
        metric: Metric,
        #[serde(flatten)]
        summary: Summary,
    },
    Failed {
        part: &'a str,
        #[serde(flatten)]
        row_key: RowKey,
        failed: &'a str,
        rounds: usize,
    },
}

impl Report {
    /// Adds the value of one round.
    pub fn record(&mut self, row_key: RowKey, metric: Metric, value: f64) {
        self.values.entry((row_key.axis, metric)).or_default().entry(row_key).or_default().push(value);
    }

    /// Adds the failure of a row in one round.
    pub fn record_failure(&mut self, row_key: RowKey, error: &Error) {
        *self.failures.entry(row_key).or_default().entry(error.to_string()).or_default() += 1;
    }

    /// Returns the summary of one quantity of a row; `None` if the quantity was not measured.
    pub fn summary(&self, row_key: RowKey, metric: Metric) -> Option<Summary> {
        let values = self.values.get(&(row_key.axis, metric))?.get(&row_key)?;
        let mut summary = summarize(values)?;
        let base_key = RowKey { size: BASE_SIZE, ..row_key };
        let base =
            self.values.get(&(row_key.axis, metric))?.get(&base_key).and_then(|values| summarize(values));
        summary.ratio = base.filter(|base| base.median != 0.0).map(|base| summary.median / base.median);
        Some(summary)
    }

    /// Returns the keys of the rows for which a quantity was measured.
    pub fn row_keys(&self, axis: Axis, metric: Metric) -> impl Iterator<Item = RowKey> + '_ {
        self.values.get(&(axis, metric)).into_iter().flat_map(|rows| rows.keys().copied())
    }

    /// Returns the failures of rows, one for each row and reason.
    pub fn failures(&self) -> impl Iterator<Item = RowFailure> + '_ {
        self.failures.iter().flat_map(|(row_key, reasons)| {
            let failure = |(reason, rounds): (&String, &usize)| RowFailure {
                row_key: *row_key,
                reason: reason.clone(),
                rounds: *rounds,
            };
            reasons.iter().map(failure)
        })
    }

    /// Prints the table, and writes the JSON lines if a file is given. `part` is the name of the benchmark.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn publish(&self, part: &str, json: Option<&Path>) -> Result<(), Error> {
        print!("{}", self.table());
        let Some(path) = json else { return Ok(()) };
        fs::write(path, self.json_lines(part)).map_err(Error::io("writing the JSON lines"))
    }

    /// Returns the report as a table with a block for each quantity and a line for each row, followed by the failures.
    pub fn table(&self) -> String {
        let mut text = String::new();
        for (axis, metric) in self.values.keys() {
            let _ = writeln!(text, "\n{}", metric.title());
            let _ = writeln!(
                text,
                "{:>10} {:>9} {:>12} {:>12} {:>12} {:>7} {:>6}",
                axis.title(),
                "gateways",
                "median",
                "lowest",
                "highest",
                "ratio",
                "rounds"
            );
            for row_key in self.row_keys(*axis, *metric) {
                let Some(summary) = self.summary(row_key, *metric) else { continue };
                let ratio = summary.ratio.map_or("-".to_owned(), |ratio| format!("{ratio:.2}"));
                let _ = writeln!(
                    text,
                    "{:>10} {:>9} {:>12.2} {:>12.2} {:>12.2} {ratio:>7} {:>6}",
                    row_key.size,
                    row_key.gateways,
                    summary.median,
                    summary.lowest,
                    summary.highest,
                    summary.rounds
                );
            }
        }
        for failure in self.failures() {
            let _ = writeln!(text, "\nFAILED: {failure}");
        }
        text
    }

    /// Returns the report as JSON lines: one for each quantity of each row, and one for each failure.
    /// `part` is the name of the benchmark, which each line contains.
    pub fn json_lines(&self, part: &str) -> String {
        let mut lines = Vec::new();
        for (axis, metric) in self.values.keys() {
            for row_key in self.row_keys(*axis, *metric) {
                if let Some(summary) = self.summary(row_key, *metric) {
                    lines.push(Line::Measured { part, row_key, metric: *metric, summary });
                }
            }
        }
        for (row_key, reasons) in &self.failures {
            for (failed, rounds) in reasons {
                lines.push(Line::Failed { part, row_key: *row_key, failed, rounds: *rounds });
            }
        }
        let to_json =
            |line| serde_json::to_string(line).expect("a line has only named fields and finite numbers");
        lines.iter().map(to_json).fold(String::new(), |text, line| text + &line + "\n")
    }
}

fn summarize(values: &[f64]) -> Option<Summary> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (lowest, highest) = (*sorted.first()?, *sorted.last()?);
    let middle = sorted.len() / 2;
    let median =
        if sorted.len() % 2 == 1 { sorted[middle] } else { (sorted[middle - 1] + sorted[middle]) / 2.0 };
    Some(Summary { median, lowest, highest, rounds: sorted.len(), ratio: None })
}
