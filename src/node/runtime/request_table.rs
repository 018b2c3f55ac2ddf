//! The open requests of the process.

use crate::node::runtime::open_request::OpenRequest;
use fnv::{FnvHashMap, FnvHashSet};
use hyper::header::HeaderValue;
use oliverack::RequestId;
use std::cell::{Cell, RefCell, RefMut};

/// The open requests by id, and the transaction ids by which clients name them.
#[derive(Default)]
pub struct RequestTable {
    requests: RefCell<FnvHashMap<RequestId, OpenRequest>>,
    transactions: RefCell<FnvHashSet<HeaderValue>>,
    last_id: Cell<u64>,
}

impl RequestTable {
    /// Reserves a client's transaction id until the request is removed, and returns an id for the request.
    /// `None` if an open request has the same transaction id.
    pub fn reserve_id(&self, transaction: &HeaderValue) -> Option<RequestId> {
        if !self.transactions.borrow_mut().insert(transaction.clone()) {
            return None;
        }
        self.last_id.set(self.last_id.get() + 1);
        Some(self.last_id.get().to_string().into())
    }

    /// Adds a request under a reserved id.
    pub fn insert(&self, id: RequestId, request: OpenRequest) {
        self.requests.borrow_mut().insert(id, request);
    }

    /// An open request. The table is borrowed for as long as the result lives: drop it before anything else
    /// is called that may look at the table.
    pub fn get_mut(&self, id: &RequestId) -> Option<RefMut<'_, OpenRequest>> {
        RefMut::filter_map(self.requests.borrow_mut(), |requests| requests.get_mut(id)).ok()
    }

    /// Whether the request is open and `predicate` holds for it.
    pub fn is_some_and(&self, id: &RequestId, predicate: impl FnOnce(&OpenRequest) -> bool) -> bool {
        self.requests.borrow().get(id).is_some_and(predicate)
    }

    /// Removes a request if it is finished.
    pub fn remove_finished(&self, id: &RequestId) -> Option<OpenRequest> {
        let mut requests = self.requests.borrow_mut();
        if !requests.get(id)?.is_finished() {
            return None;
        }
        let request = requests.remove(id)?;
        self.transactions.borrow_mut().remove(&request.upstream().transaction_id);
        Some(request)
    }

    /// The ids of all open requests.
    pub fn ids(&self) -> Vec<RequestId> {
        self.requests.borrow().keys().cloned().collect()
    }

    /// How many requests wait for their final response.
    pub fn waiting_count(&self) -> usize {
        self.requests.borrow().values().filter(|request| request.is_waiting()).count()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/request_table.rs"]
mod tests;
