//! The memory that bodies and streams may hold, reserved by permits.

use crate::node::{hot_restart::replica_counts::ReplicaCounts, wire::limits::MAX_BUFFERED_BODY_BYTES};
use std::{cell::Cell, rc::Rc};

/// Most bytes that are buffered for one request while memory is ample. A slow client takes seconds to send them, and
/// meanwhile holds neither an endpoint's connection nor a place under a concurrency limit.
pub const MAX_AMPLE_BUFFER_BYTES: usize = 8 * MAX_BUFFERED_BODY_BYTES;

/// The memory for bodies and streams of all clients, in bytes, shared evenly with the other processes of this gateway.
pub struct BodyMemory {
    capacity: usize,
    reserved: Cell<usize>,
    replica_counts: Rc<ReplicaCounts>,
}

impl BodyMemory {
    /// A capacity in bytes, for all processes together.
    pub fn new(capacity: usize, replica_counts: Rc<ReplicaCounts>) -> Self {
        Self { capacity, reserved: Cell::new(0), replica_counts }
    }

    /// The part of this process.
    fn process_capacity(&self) -> usize {
        self.capacity / self.replica_counts.count() as usize
    }

    /// Whether this many more bytes leave at least half of this process's part free.
    pub fn is_ample_for(&self, bytes: usize) -> bool {
        self.reserved.get() + bytes <= self.process_capacity() / 2
    }

    /// Reserves this many bytes; `None` if they are not free.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryPermit<'_>> {
        let reserved = self.reserved.get() + bytes;
        if reserved > self.process_capacity() {
            return None;
        }
        self.reserved.set(reserved);
        Some(MemoryPermit { reserved: &self.reserved, bytes })
    }

    /// Extends a permit to this many bytes; `None` if they are not free, with the permit unchanged.
    pub fn extend<'a>(&'a self, permit: &mut MemoryPermit<'a>, bytes: usize) -> Option<()> {
        if bytes > permit.bytes {
            let mut addition = self.reserve(bytes - permit.bytes)?;
            permit.bytes += std::mem::take(&mut addition.bytes);
        }
        Some(())
    }

    /// A permit for no bytes yet.
    pub fn empty_permit(&self) -> MemoryPermit<'_> {
        MemoryPermit { reserved: &self.reserved, bytes: 0 }
    }
}

/// Reserved bytes, released when it is dropped.
pub struct MemoryPermit<'a> {
    reserved: &'a Cell<usize>,
    bytes: usize,
}

impl MemoryPermit<'_> {
    /// The number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for MemoryPermit<'_> {
    fn drop(&mut self) {
        self.reserved.set(self.reserved.get() - self.bytes);
    }
}
