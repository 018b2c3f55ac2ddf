//! Requests that are open at gateways, and their attempts.

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

/// What a client wants, finished all its submissions.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// The tenant.
    pub tenant: usize,
    /// The class.
    pub class: usize,
    /// Units that it takes.
    pub units: f64,
    /// When it was first asked for.
    pub submitted_at: Time,
    /// When the client gives up.
    pub deadline: Time,
    /// Seconds that a warm endpoint takes for it.
    pub work: f64,
    /// Its worth.
    pub weight: f64,
    /// It was inside the quota when it was first asked for.
    pub within_quota: bool,
    /// Tries before this one.
    pub retries: u32,
}

/// An attempt that was sent.
#[derive(Debug, Clone)]
pub struct SentAttempt {
    /// The endpoint's id, as the policy knows it.
    pub endpoint: EndpointId,
    /// When it was sent.
    pub sent_at: Time,
    /// Its outcome is still owed to the policy.
    pub in_flight: bool,
}

/// One try of a client at one gateway.
#[derive(Debug, Clone)]
pub struct OpenRequest {
    /// What the client wants.
    pub demand: Demand,
    /// The gateway.
    pub gateway: usize,
    /// The client has its answer, or has left.
    pub answered: bool,
    /// Its attempts.
    pub attempts: Vec<SentAttempt>,
}

impl OpenRequest {
    fn is_finished(&self) -> bool {
        self.answered && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }
}

/// The id by which the policy knows a request.
pub fn request_id_of(number: u64) -> RequestId {
    number.to_string().into()
}

/// The number of a request that the policy names.
///
/// # Panics
/// If the policy names a request that it was never given.
pub fn request_number(request_id: &RequestId) -> u64 {
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
    pub fn open(&mut self, demand: Demand, gateway: usize) -> u64 {
        self.created += 1;
        let request = OpenRequest { demand, gateway, answered: false, attempts: Vec::new() };
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
    pub fn attempt_in_flight(&self, key: AttemptKey) -> Option<&SentAttempt> {
        let request = self.open.get(&key.request)?;
        request.attempts.get(key.attempt as usize).filter(|attempt| attempt.in_flight)
    }

    /// Drops a request that has its answer and nothing out; says whether it did.
    pub fn close_if_finished(&mut self, number: u64) -> bool {
        let finished = self.open.get(&number).is_some_and(OpenRequest::is_finished);
        if finished {
            self.open.remove(&number);
        }
        finished
    }

    /// Drops all requests of a gateway that has died, and gives them in the order of their numbers.
    pub fn drop_all_of(&mut self, gateway: usize) -> Vec<OpenRequest> {
        let (lost, kept) =
            std::mem::take(&mut self.open).into_iter().partition(|(_, r)| r.gateway == gateway);
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
