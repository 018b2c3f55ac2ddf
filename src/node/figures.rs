//! What operators read at `/stats`: each figure is counted at one place, here, or read from live state.

use oliverack::Targets;
use std::{cell::Cell, fmt::Write, rc::Rc};

/// How a request ended, as its client saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Served,
    Refused,
    Failed,
}

/// The counts, from 0 at the start of the process.
pub struct Figures {
    /// By class, the requests served, refused and failed.
    ends: Vec<[Cell<u64>; 3]>,
    concurrent: Cell<u64>,
    /// Attempts written whole to workers.
    pub dispatches: Rc<Cell<u64>>,
}

impl Figures {
    pub fn new(classes: usize) -> Rc<Self> {
        let ends = (0..classes).map(|_| Default::default()).collect();
        Rc::new(Self { ends, concurrent: Cell::new(0), dispatches: Rc::default() })
    }

    /// A request of this class has been taken.
    pub fn take(self: &Rc<Self>, class: usize) -> Taken {
        self.concurrent.set(self.concurrent.get() + 1);
        Taken { figures: self.clone(), class }
    }

    /// The figures in Prometheus' text format.
    pub fn render(&self, classes: &[String], targets: Targets) -> String {
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
    figures: Rc<Figures>,
    class: usize,
}

impl Taken {
    pub fn end(self, end: End) {
        let count = self.figures.ends.get(self.class).map(|ends| &ends[end as usize]);
        count.into_iter().for_each(|count| count.set(count.get() + 1));
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.figures.concurrent.set(self.figures.concurrent.get() - 1);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/figures.rs"]
mod tests;
