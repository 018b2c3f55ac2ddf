//! Processor time of the policy, by kind of event. The only figures of a run that differ from one run to the next.

use hdrhistogram::Histogram;
use oliverack::{Event, ListKind};
use serde::Serialize;
use std::time::Duration;

/// What the policy was doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// A request came in.
    Request,
    /// An attempt ended.
    RunResult,
    /// A whole list came.
    CompleteList,
    /// A change of the list came.
    ListChange,
    /// A timer was due.
    Timer,
    /// A counter call ended.
    CounterReply,
    /// Anything else.
    Other,
}

impl Work {
    const ALL: [Self; 7] = [
        Self::Request,
        Self::RunResult,
        Self::CompleteList,
        Self::ListChange,
        Self::Timer,
        Self::CounterReply,
        Self::Other,
    ];

    /// What an event means for the policy.
    pub fn of(event: &Event) -> Self {
        match event {
            Event::Request(_) => Self::Request,
            Event::AttemptEnded { .. } => Self::RunResult,
            Event::EndpointsUpdated { kind: ListKind::Changes, .. } => Self::ListChange,
            Event::EndpointsUpdated { .. } => Self::CompleteList,
            Event::Timer { .. } => Self::Timer,
            Event::CounterReplied { .. } => Self::CounterReply,
            _ => Self::Other,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::RunResult => "outcome",
            Self::CompleteList => "whole_list",
            Self::ListChange => "list_change",
            Self::Timer => "timer",
            Self::CounterReply => "counted",
            Self::Other => "other",
        }
    }
}

/// Times of one kind of event, in nanoseconds.
#[derive(Debug, Clone)]
struct Times {
    total: u128,
    each: Histogram<u64>,
}

/// Processor times of all policies together.
#[derive(Debug, Clone)]
pub struct ProcessorTimes {
    by_work: Vec<Times>,
}

/// Longest time that is told apart.
const LONGEST_NANOSECONDS: u64 = 60_000_000_000;

impl ProcessorTimes {
    /// Nothing measured yet.
    pub fn new() -> Self {
        let histogram =
            Histogram::new_with_bounds(1, LONGEST_NANOSECONDS, 2).expect("constant bounds are usable");
        Self { by_work: vec![Times { total: 0, each: histogram }; Work::ALL.len()] }
    }

    /// Notes the time that an event took.
    pub fn record(&mut self, work: Work, time: Duration) {
        let times = &mut self.by_work[work as usize];
        let nanoseconds = time.as_nanos();
        times.total += nanoseconds;
        times.each.saturating_record(u64::try_from(nanoseconds).unwrap_or(LONGEST_NANOSECONDS));
    }

    /// Sums up.
    pub fn summary(&self) -> ProcessorSummary {
        let kinds = Work::ALL.iter().zip(&self.by_work).filter(|(_, times)| !times.each.is_empty());
        let by_event: Vec<EventTimes> = kinds.map(|(work, times)| event_times(*work, times)).collect();
        let total = |work: Work| self.by_work[work as usize].total as f64;
        let requests = self.by_work[Work::Request as usize].each.len().max(1) as f64;
        ProcessorSummary {
            microseconds_per_request: (total(Work::Request) + total(Work::RunResult)) / requests / 1e3,
            total_seconds: self.by_work.iter().map(|times| times.total).sum::<u128>() as f64 / 1e9,
            by_event,
        }
    }
}

impl Default for ProcessorTimes {
    fn default() -> Self {
        Self::new()
    }
}

fn event_times(work: Work, times: &Times) -> EventTimes {
    let count = times.each.len();
    EventTimes {
        event: work.name(),
        count,
        mean_microseconds: times.total as f64 / count as f64 / 1e3,
        p99_microseconds: times.each.value_at_quantile(0.99) as f64 / 1e3,
        max_microseconds: times.each.max() as f64 / 1e3,
    }
}

/// Processor time of one kind of event.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EventTimes {
    /// The kind.
    pub event: &'static str,
    /// How many there were.
    pub count: u64,
    /// Mean time.
    pub mean_microseconds: f64,
    /// Time that 99 of 100 stay within.
    pub p99_microseconds: f64,
    /// Longest time.
    pub max_microseconds: f64,
}

/// Processor time of the policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ProcessorSummary {
    /// For a request with the outcomes of its attempts.
    pub microseconds_per_request: f64,
    /// For everything.
    pub total_seconds: f64,
    /// For each kind of event.
    pub by_event: Vec<EventTimes>,
}
