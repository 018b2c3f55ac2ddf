//! Processor time of the policy, by kind of event. No other figures differ between two runs of one file and seed.

use hdrhistogram::Histogram;
use oliverack::{Event, ListKind};
use serde::Serialize;
use std::time::Duration;

/// What the policy works on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyWork {
    /// A request.
    Request,
    /// The end of an attempt.
    AttemptEnd,
    /// A complete endpoint list.
    CompleteList,
    /// A change of the endpoint list.
    ListChange,
    /// A timer.
    Timer,
    /// The end of a counter call.
    CounterReply,
    /// Anything else.
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

    /// The kind of work that an event causes.
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

    /// Its name in the report.
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

/// Times of one kind of work, in nanoseconds.
#[derive(Debug, Clone)]
struct WorkTimes {
    total: u128,
    histogram: Histogram<u64>,
}

/// Processor times of all policies together.
#[derive(Debug, Clone)]
pub struct ProcessorTimes {
    /// In the order of [`PolicyWork::ALL`].
    by_work: Vec<WorkTimes>,
}

/// Longest time that the histograms hold: one minute.
const MAX_NANOSECONDS: u64 = 60_000_000_000;
/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 2;
const NANOSECONDS_PER_MICROSECOND: f64 = 1e3;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

impl ProcessorTimes {
    /// Nothing measured yet.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_NANOSECONDS, HISTOGRAM_DIGITS)
            .expect("constant bounds are usable");
        Self { by_work: vec![WorkTimes { total: 0, histogram }; PolicyWork::ALL.len()] }
    }

    /// Records the time that a notification of the policy took.
    pub fn record(&mut self, work: PolicyWork, time: Duration) {
        let times = &mut self.by_work[work as usize];
        let nanoseconds = time.as_nanos();
        times.total += nanoseconds;
        times.histogram.saturating_record(u64::try_from(nanoseconds).unwrap_or(MAX_NANOSECONDS));
    }

    /// The totals and the distribution of each kind of work.
    pub fn summary(&self) -> ProcessorSummary {
        let kinds =
            PolicyWork::ALL.iter().zip(&self.by_work).filter(|(_, times)| !times.histogram.is_empty());
        let by_event: Vec<EventTimes> = kinds.map(|(work, times)| event_times(*work, times)).collect();
        let total = |work: PolicyWork| self.by_work[work as usize].total as f64;
        let request_nanoseconds = total(PolicyWork::Request) + total(PolicyWork::AttemptEnd);
        let requests = self.by_work[PolicyWork::Request as usize].histogram.len().max(1) as f64;
        ProcessorSummary {
            microseconds_per_request: request_nanoseconds / requests / NANOSECONDS_PER_MICROSECOND,
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

/// Processor time of one kind of work.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EventTimes {
    /// Name of the kind.
    pub event: &'static str,
    /// How many there were.
    pub count: u64,
    /// Mean time.
    pub mean_microseconds: f64,
    /// 99th percentile.
    pub p99_microseconds: f64,
    /// Longest time.
    pub max_microseconds: f64,
}

/// Processor time of the policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ProcessorSummary {
    /// Mean for a request, with the ends of its attempts.
    pub microseconds_per_request: f64,
    /// Total of all work.
    pub total_seconds: f64,
    /// By kind of work, without those that did not occur.
    pub by_event: Vec<EventTimes>,
}
