//! Requests that are open at gatekeepers, and their attempts.

use oliverack::{EndpointId, RequestId, Time};
use std::collections::BTreeMap;

/// One attempt of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The request's number.
    pub request: u64,
    /// The attempt's number, from 0.
    pub attempt: u32,
}

/// What a client wants, over all its tries.
#[derive(Debug, Clone, Copy)]
pub struct Wish {
    /// The tenant.
    pub tenant: usize,
    /// The class.
    pub class: usize,
    /// Units that it takes.
    pub units: f64,
    /// When it was first asked for.
    pub since: Time,
    /// When the client gives up.
    pub until: Time,
    /// Seconds that a warm worker takes for it.
    pub work: f64,
    /// Its worth.
    pub worth: f64,
    /// It was inside the quota when it was first asked for.
    pub inside: bool,
    /// Tries before this one.
    pub retries: u32,
}

/// An attempt that was sent.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The worker's id, as the policy knows it.
    pub endpoint: EndpointId,
    /// When it was sent.
    pub sent: Time,
    /// Its outcome is still owed to the policy.
    pub out: bool,
}

/// One try of a client at one gatekeeper.
#[derive(Debug, Clone)]
pub struct OpenRequest {
    /// What the client wants.
    pub wish: Wish,
    /// The gatekeeper.
    pub gatekeeper: usize,
    /// The client has its answer, or has left.
    pub answered: bool,
    /// Its attempts.
    pub attempts: Vec<Attempt>,
}

impl OpenRequest {
    fn is_over(&self) -> bool {
        self.answered && self.attempts.iter().all(|attempt| !attempt.out)
    }
}

/// The id by which the policy knows a request.
pub fn job_id(number: u64) -> RequestId {
    number.to_string().into()
}

/// The number of a request that the policy names.
///
/// # Panics
/// If the policy names a request that it was never given.
pub fn number_of(request_id: &RequestId) -> u64 {
    request_id.parse().expect("the policy names no request but those that it was given")
}

/// All open requests, by number.
#[derive(Debug, Default)]
pub struct RequestTable {
    created: u64,
    open: BTreeMap<u64, OpenRequest>,
}

impl RequestTable {
    /// Opens a request and gives its number.
    pub fn open(&mut self, wish: Wish, gatekeeper: usize) -> u64 {
        self.created += 1;
        let request = OpenRequest { wish, gatekeeper, answered: false, attempts: Vec::new() };
        self.open.insert(self.created, request);
        self.created
    }

    /// An open request.
    pub fn get(&self, number: u64) -> Option<&OpenRequest> {
        self.open.get(&number)
    }

    /// An open request, to be changed.
    pub fn get_mut(&mut self, number: u64) -> Option<&mut OpenRequest> {
        self.open.get_mut(&number)
    }

    /// An attempt whose outcome is still owed.
    pub fn attempt_out(&self, key: AttemptKey) -> Option<&Attempt> {
        let request = self.open.get(&key.request)?;
        request.attempts.get(key.attempt as usize).filter(|attempt| attempt.out)
    }

    /// Drops a request that has its answer and nothing out; says whether it did.
    pub fn close_if_over(&mut self, number: u64) -> bool {
        let over = self.open.get(&number).is_some_and(OpenRequest::is_over);
        if over {
            self.open.remove(&number);
        }
        over
    }

    /// Drops all requests of a gatekeeper that has died, and gives them in the order of their numbers.
    pub fn drop_all_of(&mut self, gatekeeper: usize) -> Vec<OpenRequest> {
        let (lost, kept) =
            std::mem::take(&mut self.open).into_iter().partition(|(_, r)| r.gatekeeper == gatekeeper);
        let lost: BTreeMap<u64, OpenRequest> = lost;
        self.open = kept;
        lost.into_values().collect()
    }

    /// How many are open.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
