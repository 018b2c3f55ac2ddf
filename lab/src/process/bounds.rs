//! Bounds with which a checked run compares its report.

use super::report::{Axis, Metric, Report, RowFailure, RowKey, Summary};
use std::fmt;

/// Number of endpoints in the row that the bounds apply to.
pub const BOUND_SIZE: usize = 9200;
/// Memory limit, in MiB, with which the program has to be able to apply the indented list.
pub const BOUND_MEMORY_MB: usize = 32;
const KIBIBYTES_PER_MEBIBYTE: usize = 1024;

/// Bound on the processor time of a one-entry change, for the program and for the policy alone: 200 µs.
pub const CHANGE: Bound = Bound {
    metric: Metric::ChangeProcessorMicros,
    statistic: Statistic::Median,
    limit: Limit::AtMost(200.0),
};
/// Bounds of the `process program` benchmark.
pub const PROGRAM: [Bound; 3] = [
    Bound { metric: Metric::RequestProcessorMicros, statistic: Statistic::Ratio, limit: Limit::AtMost(1.25) },
    CHANGE,
    Bound {
        metric: Metric::PeakIndentedKibibytes,
        statistic: Statistic::Highest,
        limit: Limit::AtMost((BOUND_MEMORY_MB * KIBIBYTES_PER_MEBIBYTE) as f64),
    },
];
/// Bound on the bytes of state of an endpoint outside the subset of the gateway.
pub const OUTSIDE_STATE: Bound =
    Bound { metric: Metric::EndpointOutsideBytes, statistic: Statistic::Median, limit: Limit::Below(150.0) };

/// Value of a summary that is compared with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Statistic {
    /// Median of the rounds.
    Median,
    /// Highest value of the rounds.
    Highest,
    /// Median divided by that of the base row.
    Ratio,
}

impl Statistic {
    fn select(self, summary: Summary) -> Option<f64> {
        match self {
            Self::Median => Some(summary.median),
            Self::Highest => Some(summary.highest),
            Self::Ratio => summary.ratio,
        }
    }
}

impl fmt::Display for Statistic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Median => "median",
            Self::Highest => "highest",
            Self::Ratio => "ratio",
        })
    }
}

/// Limit of a value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Limit {
    /// The value may be equal to the limit.
    AtMost(f64),
    /// The value has to be below the limit.
    Below(f64),
}

impl Limit {
    fn is_kept_by(self, value: f64) -> bool {
        match self {
            Self::AtMost(limit) => value <= limit,
            Self::Below(limit) => value < limit,
        }
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtMost(limit) => write!(f, "at most {limit}"),
            Self::Below(limit) => write!(f, "below {limit}"),
        }
    }
}

/// Limit on one quantity of a row.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Quantity that is bounded.
    pub metric: Metric,
    /// Value of the summary that is compared with the limit.
    pub statistic: Statistic,
    /// Limit of the value.
    pub limit: Limit,
}

/// Reason why a checked run fails.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum CheckFailure {
    /// The value of a row violates a bound, or was not measured.
    #[error(
        "{row_key}: {}, {}: {}, bound {}",
        .bound.metric.title(),
        .bound.statistic,
        value_text(*.value),
        .bound.limit
    )]
    Violated {
        /// Row with the violation.
        row_key: RowKey,
        /// Violated bound.
        bound: Bound,
        /// Value of the row; `None` if it was not measured.
        value: Option<f64>,
    },
    /// A row could not be measured completely.
    #[error(transparent)]
    Row(RowFailure),
}

/// Returns the value of a violated bound as text.
fn value_text(value: Option<f64>) -> String {
    value.map_or_else(|| "not measured".to_owned(), |value| format!("{value:.2}"))
}

/// Returns the key of the row that the bounds apply to, in a run with this number of gateways.
pub fn bounded_row_key(gateways: u32) -> RowKey {
    RowKey { axis: Axis::Endpoints, gateways, size: BOUND_SIZE }
}

/// Compares the values of rows with their bounds. Returns the violations and all failed rows of the report.
pub fn check(report: &Report, bounds: impl IntoIterator<Item = (RowKey, Bound)>) -> Vec<CheckFailure> {
    let violations = bounds.into_iter().filter_map(|(row_key, bound)| violation(report, row_key, bound));
    violations.chain(report.failures().map(CheckFailure::Row)).collect()
}

fn violation(report: &Report, row_key: RowKey, bound: Bound) -> Option<CheckFailure> {
    let value = report.summary(row_key, bound.metric).and_then(|summary| bound.statistic.select(summary));
    let is_kept = value.is_some_and(|value| bound.limit.is_kept_by(value));
    (!is_kept).then_some(CheckFailure::Violated { row_key, bound, value })
}
