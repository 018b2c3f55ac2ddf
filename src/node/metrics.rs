//! The metrics that operators read at `/stats`. Each value is either counted at one place or read from live state.

use oliverack::EndpointCounts;
use std::{cell::Cell, fmt::Write, rc::Rc};

/// Outcome of a request as its client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The client received a successful response.
    Served,
    /// The request was rejected, and no endpoint has run it.
    Rejected,
    /// The client received an error or an incomplete response.
    Failed,
}

/// A count that never decreases.
#[derive(Default)]
struct Counter(Cell<u64>);

impl Counter {
    fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Counts of the ended requests of one class, by outcome.
#[derive(Default)]
struct OutcomeCounters {
    served: Counter,
    rejected: Counter,
    failed: Counter,
}

impl OutcomeCounters {
    fn counter(&self, outcome: RequestOutcome) -> &Counter {
        match outcome {
            RequestOutcome::Served => &self.served,
            RequestOutcome::Rejected => &self.rejected,
            RequestOutcome::Failed => &self.failed,
        }
    }
}

/// Reason for which the gateway ends a message before its end, although the peer's connection is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutReason {
    /// The time of an attempt was over while its response was arriving.
    ResponseOverdue,
    /// An endpoint fell silent within a response.
    EndpointStalled,
    /// A client sent its request too slowly, or stopped.
    RequestOverdue,
    /// A client stopped reading a response.
    ClientStalled,
}

/// Names of the reasons in the metrics, in the order of the output.
const CUT_REASONS: [(&str, CutReason); 4] = [
    ("response_overdue", CutReason::ResponseOverdue),
    ("endpoint_stalled", CutReason::EndpointStalled),
    ("request_overdue", CutReason::RequestOverdue),
    ("client_stalled", CutReason::ClientStalled),
];

/// Counts of the messages that the gateway has cut off, by reason.
#[derive(Default)]
pub struct CutCounters([Counter; CUT_REASONS.len()]);

impl CutCounters {
    /// Counts a message that was cut off.
    pub fn count(&self, reason: CutReason) {
        self.0[reason as usize].increment();
    }

    fn render(&self, text: &mut String) {
        // Writing to a string can't fail.
        let _ = writeln!(text, "# TYPE svc_cut_messages counter");
        for (name, reason) in CUT_REASONS {
            let value = self.0[reason as usize].get();
            let _ = writeln!(text, "svc_cut_messages{{reason=\"{name}\"}} {value}");
        }
    }
}

/// Names of the metrics and the outcomes that they count, in the order of the output.
const OUTCOME_METRICS: [(&str, RequestOutcome); 3] = [
    ("success", RequestOutcome::Served),
    ("overload", RequestOutcome::Rejected),
    ("error", RequestOutcome::Failed),
];

/// Counters and gauges of one process. Counters start at 0 with the process.
pub struct Metrics {
    /// Counters by class index.
    outcomes: Vec<OutcomeCounters>,
    in_flight: Cell<u64>,
    /// Number of attempts whose request was written to an endpoint completely.
    pub dispatches: Rc<Cell<u64>>,
    /// Counts of the messages that the gateway has cut off.
    pub cuts: Rc<CutCounters>,
}

impl Metrics {
    /// Creates metrics for `class_count` classes, all at 0.
    pub fn new(class_count: usize) -> Rc<Self> {
        let outcomes = (0..class_count).map(|_| OutcomeCounters::default()).collect();
        Rc::new(Self { outcomes, in_flight: Cell::new(0), dispatches: Rc::default(), cuts: Rc::default() })
    }

    /// Counts a request of the class at index `class` as in flight until the guard is dropped.
    pub fn request_started(self: &Rc<Self>, class: usize) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard { metrics: self.clone(), class }
    }

    /// Renders the metrics in the Prometheus text format. `class_names` are the values of the label `type`, in the
    /// order of the classes.
    pub fn render(&self, class_names: &[String], endpoints: EndpointCounts) -> String {
        let mut text = String::with_capacity(1024);
        for (name, outcome) in OUTCOME_METRICS {
            self.render_outcome(&mut text, name, outcome, class_names);
        }
        render_value(&mut text, "dispatches", "counter", self.dispatches.get());
        render_value(&mut text, "concurrent", "gauge", self.in_flight.get());
        render_value(&mut text, "targets", "gauge", endpoints.listed as u64);
        render_value(&mut text, "targets_disabled", "gauge", endpoints.avoided as u64);
        self.cuts.render(&mut text);
        text
    }

    fn render_outcome(&self, text: &mut String, name: &str, outcome: RequestOutcome, class_names: &[String]) {
        // Writing to a string can't fail.
        let _ = writeln!(text, "# TYPE svc_{name} counter");
        for (class, counters) in class_names.iter().zip(&self.outcomes) {
            let class = escape_label(class);
            let value = counters.counter(outcome).get();
            let _ = writeln!(text, "svc_{name}{{type=\"{class}\"}} {value}");
        }
    }
}

fn render_value(text: &mut String, name: &str, kind: &str, value: u64) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "# TYPE svc_{name} {kind}\nsvc_{name} {value}");
}

fn escape_label(label: &str) -> String {
    label.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

/// A request in flight. If the client disconnects, the guard is dropped without counting an outcome.
pub struct InFlightGuard {
    metrics: Rc<Metrics>,
    class: usize,
}

impl InFlightGuard {
    /// Counts the outcome of the request, and drops the guard.
    pub fn end(self, outcome: RequestOutcome) {
        if let Some(counters) = self.metrics.outcomes.get(self.class) {
            counters.counter(outcome).increment();
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.metrics.in_flight.set(self.metrics.in_flight.get() - 1);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/metrics.rs"]
mod tests;
