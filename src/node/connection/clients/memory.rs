//! Memory budget for bodies and streams. Permits reserve parts of it.

use crate::node::{hot_restart::replica_counts::ReplicaCounts, wire::limits::MAX_BUFFERED_BODY_BYTES};
use std::{cell::Cell, rc::Rc};

/// Largest request body that is buffered while memory has headroom. A slow client takes seconds to send the body, and a
/// buffered request holds neither an endpoint's connection nor a slot of a concurrency limit meanwhile.
pub const MAX_BUFFER_BYTES_WITH_HEADROOM: usize = 8 * MAX_BUFFERED_BODY_BYTES;

/// The budget for bodies and streams of all clients, divided evenly among the processes of the gateway.
pub struct BodyMemory {
    /// Bytes for all processes together.
    capacity: usize,
    /// Bytes that this process has reserved.
    reserved: Cell<usize>,
    replica_counts: Rc<ReplicaCounts>,
}

impl BodyMemory {
    /// Creates a budget of `capacity` bytes for all processes together.
    pub fn new(capacity: usize, replica_counts: Rc<ReplicaCounts>) -> Self {
        Self { capacity, reserved: Cell::new(0), replica_counts }
    }

    /// Returns this process's share of the capacity in bytes.
    fn process_capacity(&self) -> usize {
        self.capacity / self.replica_counts.count() as usize
    }

    /// Returns whether at least half of this process's share stays free after reserving this many more bytes.
    pub fn has_headroom_for(&self, bytes: usize) -> bool {
        self.reserved.get() + bytes <= self.process_capacity() / 2
    }

    /// Reserves this many bytes; returns `None` if fewer are free.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryPermit<'_>> {
        let reserved = self.reserved.get() + bytes;
        if reserved > self.process_capacity() {
            return None;
        }
        self.reserved.set(reserved);
        Some(MemoryPermit { reserved: &self.reserved, bytes })
    }

    /// Extends a permit to `total_bytes` if it holds fewer. Returns `None` and leaves the permit unchanged if too few
    /// bytes are free.
    pub fn extend_to<'a>(&'a self, permit: &mut MemoryPermit<'a>, total_bytes: usize) -> Option<()> {
        if total_bytes > permit.bytes {
            let mut added = self.reserve(total_bytes - permit.bytes)?;
            permit.bytes += std::mem::take(&mut added.bytes);
        }
        Some(())
    }

    /// Creates a permit that holds no bytes.
    pub fn empty_permit(&self) -> MemoryPermit<'_> {
        MemoryPermit { reserved: &self.reserved, bytes: 0 }
    }
}

/// A reservation of bytes, released on drop.
pub struct MemoryPermit<'a> {
    reserved: &'a Cell<usize>,
    bytes: usize,
}

impl MemoryPermit<'_> {
    /// Returns the number of bytes that this permit holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for MemoryPermit<'_> {
    fn drop(&mut self) {
        self.reserved.set(self.reserved.get() - self.bytes);
    }
}
