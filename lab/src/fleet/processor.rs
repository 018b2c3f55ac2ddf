//! Processor time of the policy, by kind of work. All other results are the same in two runs of one file and seed.

use hdrhistogram::Histogram;
use oliverack::{Event, ListKind};
use serde::Serialize;
use std::time::Duration;

/// Kind of work that an event causes in the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyWork {
    /// Arrival of a request.
    Request,
    /// End of an attempt.
    AttemptEnd,
    /// Complete endpoint list, current or stale, or a failed poll.
    CompleteList,
    /// Change of the endpoint list.
    ListChange,
    /// Expiry of a timer.
    Timer,
    /// End of a counter call.
    CounterReply,
    /// Any other event.
    Other,
}

impl PolicyWork {
    const ALL: [Self; 7] = [
        Self::Request,
        Self::AttemptEnd,
        Self::CompleteList,
        Self::ListChange,
        Self::Timer,
        Self::CounterReply,
        Self::Other,
    ];

    /// Returns the kind of work that an event causes.
    pub fn of(event: &Event) -> Self {
        match event {
            Event::Request(_) => Self::Request,
            Event::AttemptEnded { .. } => Self::AttemptEnd,
            Event::EndpointsUpdated { kind: ListKind::Changes, .. } => Self::ListChange,
            Event::EndpointsUpdated { .. } => Self::CompleteList,
            Event::Timer { .. } => Self::Timer,
            Event::CounterReplied { .. } => Self::CounterReply,
            _ => Self::Other,
        }
    }

    /// Returns the name of the kind in the report.
    fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::AttemptEnd => "outcome",
            Self::CompleteList => "whole_list",
            Self::ListChange => "list_change",
            Self::Timer => "timer",
            Self::CounterReply => "counted",
            Self::Other => "other",
        }
    }
}

/// Total and distribution of the times of one kind of work, in nanoseconds.
#[derive(Debug, Clone)]
struct WorkTimes {
    total: u128,
    histogram: Histogram<u64>,
}

/// Processor times of the policies of all gateways together.
#[derive(Debug, Clone)]
pub struct ProcessorTimes {
    /// Times of each kind of work, in the order of [`PolicyWork::ALL`].
    by_work: Vec<WorkTimes>,
}

/// Largest time that the histograms can hold: one minute.
const MAX_NANOSECONDS: u64 = 60_000_000_000;
/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 2;
const NANOSECONDS_PER_MICROSECOND: f64 = 1e3;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

impl ProcessorTimes {
    /// Returns times without any measurement.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_NANOSECONDS, HISTOGRAM_DIGITS)
            .expect("constant bounds are usable");
        Self { by_work: vec![WorkTimes { total: 0, histogram }; PolicyWork::ALL.len()] }
    }

    /// Records the time that the policy took for one event.
    pub fn record(&mut self, work: PolicyWork, time: Duration) {
        let times = &mut self.by_work[work as usize];
        let nanoseconds = time.as_nanos();
        times.total += nanoseconds;
        times.histogram.saturating_record(u64::try_from(nanoseconds).unwrap_or(MAX_NANOSECONDS));
    }

    /// Returns the totals, and the distribution for each kind of work that occurred.
    pub fn summary(&self) -> ProcessorSummary {
        let occurred_kinds =
            PolicyWork::ALL.iter().zip(&self.by_work).filter(|(_, times)| !times.histogram.is_empty());
        let by_event: Vec<EventTimes> =
            occurred_kinds.map(|(work, times)| event_times(*work, times)).collect();
        let total = |work: PolicyWork| self.by_work[work as usize].total as f64;
        let request_nanoseconds = total(PolicyWork::Request) + total(PolicyWork::AttemptEnd);
        let request_count = self.by_work[PolicyWork::Request as usize].histogram.len().max(1) as f64;
        ProcessorSummary {
            microseconds_per_request: request_nanoseconds / request_count / NANOSECONDS_PER_MICROSECOND,
            total_seconds: self.by_work.iter().map(|times| times.total).sum::<u128>() as f64
                / NANOSECONDS_PER_SECOND,
            by_event,
        }
    }
}

impl Default for ProcessorTimes {
    fn default() -> Self {
        Self::new()
    }
}

fn event_times(work: PolicyWork, times: &WorkTimes) -> EventTimes {
    let count = times.histogram.len();
    EventTimes {
        event: work.name(),
        count,
        mean_microseconds: times.total as f64 / count as f64 / NANOSECONDS_PER_MICROSECOND,
        p99_microseconds: times.histogram.value_at_quantile(0.99) as f64 / NANOSECONDS_PER_MICROSECOND,
        max_microseconds: times.histogram.max() as f64 / NANOSECONDS_PER_MICROSECOND,
    }
}

/// Processor time of one kind of work in the report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EventTimes {
    /// Name of the kind of work.
    pub event: &'static str,
    /// Number of events of this kind.
    pub count: u64,
    /// Mean time for one event.
    pub mean_microseconds: f64,
    /// 99th percentile.
    pub p99_microseconds: f64,
    /// Maximum time.
    pub max_microseconds: f64,
}

/// Processor time of the policy in the report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ProcessorSummary {
    /// Mean time for a request, including the ends of its attempts.
    pub microseconds_per_request: f64,
    /// Total time of all work.
    pub total_seconds: f64,
    /// Times of each kind of work that occurred.
    pub by_event: Vec<EventTimes>,
}
