//! Collects measured values over rounds and reports their medians as a table and as JSON lines.

use super::Error;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fmt::{self, Write as _},
    fs,
    path::Path,
};

/// Size of the row that ratios are relative to.
pub const BASE_SIZE: usize = 100;

/// The largest size of a row.
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

/// What differs in size from row to row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Axis {
    /// Listed endpoints.
    #[serde(rename = "workers")]
    Endpoints,
    /// Tenants with a quota.
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

/// A row of the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct RowKey {
    /// What the size is of.
    pub axis: Axis,
    /// Gateways in the settings.
    pub gateways: u32,
    /// How many endpoints or tenants there are.
    pub size: usize,
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}, {} gateways", self.size, self.axis.title(), self.gateways)
    }
}

/// A measured quantity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Processor time a request, in microseconds.
    RequestProcessorMicros,
    /// Share of the requests that were served.
    ServedShare,
    /// Counter calls a request, on which the processor time of a row of tenants depends.
    CounterCallsPerRequest,
    /// Processor time of a change of one entry, in microseconds.
    ChangeProcessorMicros,
    /// Time from the write of such a change to the next watch, in microseconds.
    ChangeElapsedMicros,
    /// Processor time of a timer, in microseconds.
    TimerProcessorMicros,
    /// Processor time of a sweep over the tenants, in microseconds.
    SweepProcessorMicros,
    /// Processor time to apply the complete list, compact, in milliseconds.
    CompactListProcessorMillis,
    /// Time from the write of the complete list, compact, to the next watch, in milliseconds.
    CompactListElapsedMillis,
    /// Processor time to apply the complete list, indented, in milliseconds.
    IndentedListProcessorMillis,
    /// Time from the write of the complete list, indented, to the next watch, in milliseconds.
    IndentedListElapsedMillis,
    /// Resident memory after the requests, in KiB.
    ResidentKibibytes,
    /// Peak of the resident memory after requests and changes, before any indented list, in KiB.
    PeakResidentKibibytes,
    /// Peak of the resident memory after the indented list, in KiB.
    PeakIndentedKibibytes,
    /// Bytes of state for a listed endpoint outside the subset of the gateway.
    #[serde(rename = "worker_outside_bytes")]
    EndpointOutsideBytes,
    /// Bytes of state for an endpoint of the subset that has not received requests.
    #[serde(rename = "worker_inside_bytes")]
    EndpointInsideBytes,
    /// Bytes of state for an endpoint of the subset that has responded.
    #[serde(rename = "worker_answered_bytes")]
    EndpointRespondedBytes,
    /// Bytes of state for a tenant.
    TenantBytes,
    /// Bytes of state for an open request with its timer.
    OpenRequestBytes,
}

impl Metric {
    /// Its name in the table, with its unit.
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

/// The values of one quantity over the rounds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Summary {
    /// The median.
    pub median: f64,
    /// The lowest.
    pub lowest: f64,
    /// The highest.
    pub highest: f64,
    /// How many values there are.
    pub rounds: usize,
    /// The median divided by that of the row of [`BASE_SIZE`] in the same run.
    pub ratio: Option<f64>,
}

/// Why a row could not be measured completely.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{row_key}, in {rounds} rounds: {reason}")]
pub struct RowFailure {
    /// The row.
    pub row_key: RowKey,
    /// What the error said.
    pub reason: String,
    /// In how many rounds.
    pub rounds: usize,
}

/// Measured values, by quantity and row, and the rows that failed.
#[derive(Debug, Default)]
pub struct Report {
    values: BTreeMap<(Axis, Metric), BTreeMap<RowKey, Vec<f64>>>,
    /// By row and reason, in how many rounds it failed.
    failures: BTreeMap<RowKey, BTreeMap<String, usize>>,
}

/// One line of the JSON file.
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
    /// Adds a value.
    pub fn record(&mut self, row_key: RowKey, metric: Metric, value: f64) {
        self.values.entry((row_key.axis, metric)).or_default().entry(row_key).or_default().push(value);
    }

    /// Adds a failure of a row.
    pub fn record_failure(&mut self, row_key: RowKey, error: &Error) {
        *self.failures.entry(row_key).or_default().entry(error.to_string()).or_default() += 1;
    }

    /// The summary of one quantity of one row; `None` if it was not measured.
    pub fn summary(&self, row_key: RowKey, metric: Metric) -> Option<Summary> {
        let values = self.values.get(&(row_key.axis, metric))?.get(&row_key)?;
        let mut summary = summarize(values)?;
        let base = RowKey { size: BASE_SIZE, ..row_key };
        let base = self.values.get(&(row_key.axis, metric))?.get(&base).and_then(|values| summarize(values));
        summary.ratio = base.filter(|base| base.median != 0.0).map(|base| summary.median / base.median);
        Some(summary)
    }

    /// The rows of which a quantity was measured.
    pub fn row_keys(&self, axis: Axis, metric: Metric) -> impl Iterator<Item = RowKey> + '_ {
        self.values.get(&(axis, metric)).into_iter().flat_map(|rows| rows.keys().copied())
    }

    /// The failures of rows.
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

    /// Prints the table, and writes the JSON lines if a file is given.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn publish(&self, part: &str, json: Option<&Path>) -> Result<(), Error> {
        print!("{}", self.table());
        let Some(path) = json else { return Ok(()) };
        fs::write(path, self.json_lines(part)).map_err(Error::system("writing the JSON lines"))
    }

    /// The table: a block for each quantity, a line for each row.
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

    /// The report as JSON lines: one for each quantity of each row, and one for each failure.
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
        let write =
            |line| serde_json::to_string(line).expect("a line has only named fields and finite numbers");
        lines.iter().map(write).fold(String::new(), |text, line| text + &line + "\n")
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
