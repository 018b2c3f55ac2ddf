//! What operators read at `/stats`: each figure is counted at one place, here, or read from live state.

use oliverack::EndpointCounts;
use std::{cell::Cell, fmt::Write, rc::Rc};

/// How a request ended, as its client saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Refused,
    Failed,
}

/// The counts, from 0 at the start of the process.
pub struct Metrics {
    /// By class, the requests served, refused and failed.
    ends: Vec<[Cell<u64>; 3]>,
    concurrent: Cell<u64>,
    /// Attempts written whole to endpoints.
    pub dispatches: Rc<Cell<u64>>,
}

impl Metrics {
    pub fn new(classes: usize) -> Rc<Self> {
        let ends = (0..classes).map(|_| Default::default()).collect();
        Rc::new(Self { ends, concurrent: Cell::new(0), dispatches: Rc::default() })
    }

    /// A request of this class has been taken.
    pub fn take(self: &Rc<Self>, class: usize) -> Taken {
        self.concurrent.set(self.concurrent.get() + 1);
        Taken { metrics: self.clone(), class }
    }

    /// The metrics in Prometheus' text format.
    pub fn render(&self, classes: &[String], targets: EndpointCounts) -> String {
        let mut text = String::with_capacity(1024);
        let names = ["success", "overload", "error"];
        // Writing to memory does not fail.
        for (index, name) in names.into_iter().enumerate() {
            let _ = writeln!(text, "# TYPE svc_{name} counter");
            for (class, ends) in classes.iter().zip(&self.ends) {
                let _ = writeln!(text, "svc_{name}{{type=\"{}\"}} {}", escape(class), ends[index].get());
            }
        }
        for (name, kind, value) in [
            ("dispatches", "counter", self.dispatches.get()),
            ("concurrent", "gauge", self.concurrent.get()),
            ("targets", "gauge", targets.listed as u64),
            ("targets_disabled", "gauge", targets.avoided as u64),
        ] {
            let _ = writeln!(text, "# TYPE svc_{name} {kind}\nsvc_{name} {value}");
        }
        text
    }
}

fn escape(label: &str) -> String {
    label.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

/// A request that has been taken and has not ended. Dropped without an end, its client has gone.
pub struct Taken {
    metrics: Rc<Metrics>,
    class: usize,
}

impl Taken {
    pub fn end(self, outcome: Outcome) {
        let count = self.metrics.ends.get(self.class).map(|ends| &ends[outcome as usize]);
        count.into_iter().for_each(|count| count.set(count.get() + 1));
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.metrics.concurrent.set(self.metrics.concurrent.get() - 1);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/metrics.rs"]
mod tests;
