//! The bounds that a checked run holds its report against.

use super::report::{Axis, Metric, Report, RowFailure, Subject, Summary};
use std::fmt;

/// The count of endpoints at which the bounds hold.
pub const BOUND_SIZE: usize = 9200;
/// The limit on the program's memory under which it has to take in the indented list, in MB.
pub const BOUND_MEMORY_MB: usize = 32;

/// Processor time of a one-entry change, of the program as of the policy alone: 0.2 ms.
pub const CHANGE: Bound = Bound {
    metric: Metric::ChangeProcessorMicros,
    statistic: Statistic::Median,
    limit: Limit::AtMost(200.0),
};
/// The bounds of the program.
pub const PROGRAM: [Bound; 3] = [
    Bound { metric: Metric::RequestProcessorMicros, statistic: Statistic::Ratio, limit: Limit::AtMost(1.25) },
    CHANGE,
    Bound {
        metric: Metric::PeakIndentedKibibytes,
        statistic: Statistic::Highest,
        limit: Limit::AtMost((BOUND_MEMORY_MB * 1024) as f64),
    },
];
/// State of an endpoint outside the subset of the gateway.
pub const OUTSIDE_STATE: Bound =
    Bound { metric: Metric::EndpointOutsideBytes, statistic: Statistic::Median, limit: Limit::Below(150.0) };

/// Which value of a summary is history against the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Statistic {
    /// The median of the rounds.
    Median,
    /// The highest of the rounds.
    Highest,
    /// The median over that of the base row.
    Ratio,
}

impl Statistic {
    fn of(self, summary: Summary) -> Option<f64> {
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

/// The limit of a value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Limit {
    /// The value may reach it.
    AtMost(f64),
    /// The value has to stay below it.
    Below(f64),
}

impl Limit {
    fn holds(self, value: f64) -> bool {
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

/// A limit on one quantity of a row.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// The quantity.
    pub metric: Metric,
    /// Which of its values.
    pub statistic: Statistic,
    /// What the value is history against.
    pub limit: Limit,
}

/// Why a checked run fails.
#[derive(Debug, Clone, PartialEq)]
pub enum CheckFailure {
    /// The row's value is not within the bound; `None`: it was not measured.
    Violated {
        /// The row.
        subject: Subject,
        /// The bound.
        bound: Bound,
        /// The value.
        value: Option<f64>,
    },
    /// A row could not be measured.
    Row(RowFailure),
}

impl fmt::Display for CheckFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Violated { subject, bound, value } => {
                let Bound { metric, statistic, limit } = bound;
                write!(f, "{subject}: {}, {statistic}: ", metric.title())?;
                match value {
                    Some(value) => write!(f, "{value:.2}, bound {limit}"),
                    None => write!(f, "not measured, bound {limit}"),
                }
            }
            Self::Row(failure) => write!(f, "{failure}"),
        }
    }
}

/// The row that bounds hold for, of a run with this count of gateways.
pub fn bounded_subject(gateways: u32) -> Subject {
    Subject { axis: Axis::Endpoints, gateways, size: BOUND_SIZE }
}

/// Holds the bounds against the values of their rows; also each failed row of the report fails the check.
pub fn check(report: &Report, bounds: impl IntoIterator<Item = (Subject, Bound)>) -> Vec<CheckFailure> {
    let violated = bounds.into_iter().filter_map(|(subject, bound)| violation(report, subject, bound));
    violated.chain(report.failures().map(CheckFailure::Row)).collect()
}

fn violation(report: &Report, subject: Subject, bound: Bound) -> Option<CheckFailure> {
    let value = report.summary(subject, bound.metric).and_then(|summary| bound.statistic.of(summary));
    let holds = value.is_some_and(|value| bound.limit.holds(value));
    (!holds).then_some(CheckFailure::Violated { subject, bound, value })
}
