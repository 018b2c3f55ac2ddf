//! Remembers which requests may have run, so that none of them is run again when its transaction id comes again.

use crate::node::hot_restart::message::RequestIdHash;
use fnv::FnvHashSet;
use std::{collections::VecDeque, hash::BuildHasherDefault};

/// Hashes of the transaction ids that were added last, up to a fixed number.
#[derive(Debug, Default)]
pub struct RecentIds {
    hashes: FnvHashSet<RequestIdHash>,
    /// The same hashes in the order in which they were added.
    order: VecDeque<RequestIdHash>,
    capacity: usize,
}

impl RecentIds {
    /// Creates an empty set that holds at most `capacity` hashes. The memory for them is allocated at once, so that it does
    /// not grow while the process runs.
    pub fn new(capacity: usize) -> Self {
        let hashes = FnvHashSet::with_capacity_and_hasher(capacity + 1, BuildHasherDefault::default());
        Self { hashes, order: VecDeque::with_capacity(capacity + 1), capacity }
    }

    /// Adds a hash, and drops the oldest one if the set is full. Does nothing if the set has the hash.
    pub fn insert(&mut self, hash: RequestIdHash) {
        if self.capacity == 0 || !self.hashes.insert(hash) {
            return;
        }
        self.order.push_back(hash);
        if self.order.len() > self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.hashes.remove(&oldest);
            }
        }
    }

    /// Returns whether the set has the hash.
    pub fn contains(&self, hash: RequestIdHash) -> bool {
        self.hashes.contains(&hash)
    }

    /// Returns all hashes, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = RequestIdHash> + '_ {
        self.order.iter().copied()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/recent_ids.rs"]
mod tests;
