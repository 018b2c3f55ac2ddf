//! Table of the open requests of the process.

use crate::node::{
    hot_restart::message::RequestIdHash,
    runtime::{open_request::OpenRequest, recent_ids::RecentIds},
};
use fnv::{FnvHashMap, FnvHashSet};
use hyper::header::HeaderValue;
use oliverack::{RequestId, stable_hash};
use std::cell::{Cell, RefCell, RefMut};

/// The open requests by id, and their transaction ids, which clients assign.
#[derive(Default)]
pub struct RequestTable {
    requests: RefCell<FnvHashMap<RequestId, OpenRequest>>,
    transaction_ids: RefCell<FnvHashSet<HeaderValue>>,
    /// Transaction ids of requests that may have run, in this process or another one, and must not run again.
    recent_ids: RefCell<RecentIds>,
    last_id: Cell<u64>,
}

impl RequestTable {
    /// Creates an empty table that remembers up to `max_recent_ids` transaction ids of requests that must not run again.
    pub fn new(max_recent_ids: usize) -> Self {
        Self { recent_ids: RefCell::new(RecentIds::new(max_recent_ids)), ..Self::default() }
    }

    /// Reserves a transaction id until its request is removed, and returns a new id for the request. `None` if an open
    /// request has the same transaction id, or a request with this id may have run and must not run again.
    pub fn reserve_id(&self, transaction_id: &HeaderValue) -> Option<RequestId> {
        if self.recent_ids.borrow().contains(hash(transaction_id)) {
            return None;
        }
        if !self.transaction_ids.borrow_mut().insert(transaction_id.clone()) {
            return None;
        }
        self.last_id.set(self.last_id.get() + 1);
        Some(self.last_id.get().to_string().into())
    }

    /// Adds a request under an id from [`reserve_id`](Self::reserve_id).
    pub fn insert(&self, id: RequestId, request: OpenRequest) {
        self.requests.borrow_mut().insert(id, request);
    }

    /// Returns an open request. The table is borrowed until the result is dropped: drop it before calling anything
    /// that may use the table.
    pub fn get_mut(&self, id: &RequestId) -> Option<RefMut<'_, OpenRequest>> {
        RefMut::filter_map(self.requests.borrow_mut(), |requests| requests.get_mut(id)).ok()
    }

    /// Returns whether the request is open and `predicate` returns true for it.
    pub fn is_some_and(&self, id: &RequestId, predicate: impl FnOnce(&OpenRequest) -> bool) -> bool {
        self.requests.borrow().get(id).is_some_and(predicate)
    }

    /// Removes and returns a request, unless it is not finished or not open.
    pub fn remove_finished(&self, id: &RequestId) -> Option<OpenRequest> {
        let mut requests = self.requests.borrow_mut();
        if !requests.get(id)?.is_finished() {
            return None;
        }
        let request = requests.remove(id)?;
        let transaction_id = &request.upstream().transaction_id;
        self.transaction_ids.borrow_mut().remove(transaction_id);
        if !request.may_run_again() {
            self.recent_ids.borrow_mut().insert(hash(transaction_id));
        }
        Some(request)
    }

    /// Remembers requests that may have run at another process and must not run again.
    pub fn remember(&self, hashes: Vec<RequestIdHash>) {
        let mut recent_ids = self.recent_ids.borrow_mut();
        for hash in hashes {
            recent_ids.insert(hash);
        }
    }

    /// Returns the requests that may have run or may yet run, and must not run again.
    pub fn request_id_hashes(&self) -> Vec<RequestIdHash> {
        let requests = self.requests.borrow();
        let open = requests.values().filter(|request| !request.is_repeatable());
        let open = open.map(|request| hash(&request.upstream().transaction_id));
        self.recent_ids.borrow().iter().chain(open).collect()
    }

    /// Returns the ids of all open requests.
    pub fn ids(&self) -> Vec<RequestId> {
        self.requests.borrow().keys().cloned().collect()
    }

    /// Returns the number of requests that wait for their final response.
    pub fn waiting_count(&self) -> usize {
        self.requests.borrow().values().filter(|request| request.is_waiting()).count()
    }
}

/// Returns the hash by which the processes of a gateway know a transaction id.
pub fn hash(transaction_id: &HeaderValue) -> RequestIdHash {
    stable_hash(&[transaction_id.as_bytes()])
}

#[cfg(test)]
#[path = "../../../tests/unit/request_table.rs"]
mod tests;
