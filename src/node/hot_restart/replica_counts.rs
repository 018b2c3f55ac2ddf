//! How many processes serve this gateway side by side.

use std::cell::Cell;

/// How many peer processes there are.
#[derive(Debug, Default)]
pub struct ReplicaCounts {
    predecessors: Cell<u32>,
    successors: Cell<u32>,
}

impl ReplicaCounts {
    /// Replaces both counts.
    pub fn set(&self, predecessors: u32, successors: u32) {
        self.predecessors.set(predecessors);
        self.successors.set(successors);
    }

    /// The position of this process among all of them, in the order of their starts.
    pub fn index(&self) -> u32 {
        self.predecessors.get()
    }

    /// How many processes there are, this one included.
    pub fn count(&self) -> u32 {
        1 + self.predecessors.get() + self.successors.get()
    }

    /// Whether a successor accepts clients, too.
    pub fn has_successor(&self) -> bool {
        self.successors.get() > 0
    }
}
