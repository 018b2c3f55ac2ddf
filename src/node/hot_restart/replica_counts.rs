//! Counts the processes that serve this gateway at the same time.

use std::cell::Cell;

/// Numbers of predecessors and successors of this process.
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

    /// Returns the index of this process among all processes of the gateway, ordered by their starts.
    pub fn index(&self) -> u32 {
        self.predecessors.get()
    }

    /// Returns the number of processes of the gateway, including this one.
    pub fn count(&self) -> u32 {
        1 + self.predecessors.get() + self.successors.get()
    }

    /// Returns whether a successor also accepts clients.
    pub fn has_successor(&self) -> bool {
        self.successors.get() > 0
    }
}
