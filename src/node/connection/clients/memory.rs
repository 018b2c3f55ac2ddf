//! The memory that bodies and streams may hold, dealt out in permits.

use crate::node::hot_restart::replica_counts::Processes;
use std::{cell::Cell, rc::Rc};

/// The memory that bodies and streams of all clients may hold, in bytes. Processes side by side share it.
pub struct BodyMemory {
    whole: usize,
    left: Cell<usize>,
    processes: Rc<Processes>,
}

impl BodyMemory {
    /// So many bytes, shared with the other processes.
    pub fn new(whole: usize, processes: Rc<Processes>) -> Self {
        Self { whole, left: Cell::new(whole), processes }
    }

    /// This process's part.
    fn share(&self) -> usize {
        self.whole / self.processes.count() as usize
    }

    fn held(&self) -> usize {
        self.whole - self.left.get()
    }

    /// Whether so many bytes more may be held with ease: half of the part is left then.
    pub fn is_plenty(&self, bytes: usize) -> bool {
        self.held() + bytes <= self.share() / 2
    }

    /// A permit for so many bytes, if they are left.
    pub fn take(&self, bytes: usize) -> Option<MemoryPermit<'_>> {
        if self.held() + bytes > self.share() {
            return None;
        }
        self.left.set(self.left.get().checked_sub(bytes)?);
        Some(MemoryPermit { left: &self.left, bytes })
    }

    /// A permit for nothing yet.
    pub fn none(&self) -> MemoryPermit<'_> {
        MemoryPermit { left: &self.left, bytes: 0 }
    }
}

/// Bytes that may be held, given back with this.
pub struct MemoryPermit<'a> {
    left: &'a Cell<usize>,
    bytes: usize,
}

impl MemoryPermit<'_> {
    /// How many they are.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes over the other's.
    pub fn join(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for MemoryPermit<'_> {
    fn drop(&mut self) {
        self.left.set(self.left.get() + self.bytes);
    }
}
