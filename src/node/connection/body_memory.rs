//! Memory budget for bodies and streams in either direction. Permits reserve parts of it.

use crate::node::{
    hot_restart::replica_counts::ReplicaCounts,
    wire::{
        limits::MAX_BUFFERED_BODY_BYTES,
        stream::{MAX_RESPONSE_FRAME_BYTES, MIN_RESPONSE_FRAME_BYTES, RESPONSE_STREAM_FRAMES},
    },
};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::sleep;

/// Largest request body that is buffered while memory has headroom. A slow client takes seconds to send the body, and a
/// buffered request holds neither an endpoint's connection nor a slot of a concurrency limit meanwhile.
pub const MAX_BUFFER_BYTES_WITH_HEADROOM: usize = 8 * MAX_BUFFERED_BODY_BYTES;
/// Pause between two attempts to reserve memory.
const RESERVE_BACKOFF: Duration = Duration::from_millis(20);

/// The budget for bodies and streams of all requests, divided evenly among the processes of the gateway.
#[derive(Debug)]
pub struct BodyMemory {
    /// Bytes for all processes together.
    capacity: usize,
    /// Maximum length of a frame of a streamed response.
    response_frame_bytes: usize,
    /// Bytes that this process has reserved.
    reserved: Cell<usize>,
    replica_counts: Rc<ReplicaCounts>,
}

impl BodyMemory {
    /// Creates a budget of `capacity` bytes for all processes together. `max_streams` streamed responses fit into it,
    /// if frames of the smallest size allow that.
    pub fn new(capacity: usize, max_streams: usize, replica_counts: Rc<ReplicaCounts>) -> Rc<Self> {
        let has_large_frames = max_streams * RESPONSE_STREAM_FRAMES * MAX_RESPONSE_FRAME_BYTES <= capacity;
        let response_frame_bytes =
            if has_large_frames { MAX_RESPONSE_FRAME_BYTES } else { MIN_RESPONSE_FRAME_BYTES };
        Rc::new(Self { capacity, response_frame_bytes, reserved: Cell::new(0), replica_counts })
    }

    /// Returns the maximum length of a frame of a streamed response, in bytes.
    pub fn response_frame_bytes(&self) -> usize {
        self.response_frame_bytes
    }

    /// Returns the memory that a streamed response needs, in bytes.
    pub fn response_stream_bytes(&self) -> usize {
        RESPONSE_STREAM_FRAMES * self.response_frame_bytes
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
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Option<MemoryPermit> {
        let mut permit = self.empty_permit();
        permit.extend_to(bytes)?;
        Some(permit)
    }

    /// Creates a permit that holds no bytes.
    pub fn empty_permit(self: &Rc<Self>) -> MemoryPermit {
        MemoryPermit { memory: self.clone(), bytes: 0 }
    }
}

/// A reservation of bytes, released on drop.
#[derive(Debug)]
pub struct MemoryPermit {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl MemoryPermit {
    /// Returns the number of bytes that this permit holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Extends the permit to `total_bytes` if it holds fewer. Returns `None` and leaves the permit unchanged if too few
    /// bytes are free.
    pub fn extend_to(&mut self, total_bytes: usize) -> Option<()> {
        if total_bytes > self.bytes {
            let reserved = self.memory.reserved.get() + total_bytes - self.bytes;
            if reserved > self.memory.process_capacity() {
                return None;
            }
            self.memory.reserved.set(reserved);
            self.bytes = total_bytes;
        }
        Some(())
    }

    /// Like [`extend_to`](Self::extend_to), but only while memory has headroom.
    pub fn extend_with_headroom(&mut self, total_bytes: usize) -> Option<()> {
        let has_headroom = self.memory.has_headroom_for(total_bytes.saturating_sub(self.bytes));
        if total_bytes <= self.bytes || has_headroom { self.extend_to(total_bytes) } else { None }
    }

    /// Extends the permit to `total_bytes`, and waits until they are free. The caller limits the wait.
    pub async fn extend_when_free(&mut self, total_bytes: usize) {
        while self.extend_to(total_bytes).is_none() {
            sleep(RESERVE_BACKOFF).await;
        }
    }

    /// Adds the bytes of another permit of the same budget.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Releases the bytes beyond `total_bytes`.
    pub fn shrink_to(&mut self, total_bytes: usize) {
        let released = self.bytes.saturating_sub(total_bytes);
        self.memory.reserved.set(self.memory.reserved.get() - released);
        self.bytes -= released;
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
