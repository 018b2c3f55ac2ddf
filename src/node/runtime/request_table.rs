//! Table of the open requests of the process.

use crate::node::runtime::open_request::OpenRequest;
use fnv::{FnvHashMap, FnvHashSet};
use hyper::header::HeaderValue;
use oliverack::RequestId;
use std::cell::{Cell, RefCell, RefMut};

/// The open requests by id, and their transaction ids, which clients assign.
#[derive(Default)]
pub struct RequestTable {
    requests: RefCell<FnvHashMap<RequestId, OpenRequest>>,
    transaction_ids: RefCell<FnvHashSet<HeaderValue>>,
    last_id: Cell<u64>,
}

impl RequestTable {
    /// Reserves a transaction id until its request is removed, and returns a new id for the request. `None` if an open
    /// request has the same transaction id.
    pub fn reserve_id(&self, transaction_id: &HeaderValue) -> Option<RequestId> {
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
        self.transaction_ids.borrow_mut().remove(&request.upstream().transaction_id);
        Some(request)
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

#[cfg(test)]
#[path = "../../../tests/unit/request_table.rs"]
mod tests;
