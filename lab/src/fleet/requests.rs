//! Open requests at gateways and their attempts.

use oliverack::{EndpointId, RequestId, Seconds, Time};
use std::collections::BTreeMap;

/// Identifies an attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Number of the request.
    pub request: u64,
    /// Number of the attempt, from 0.
    pub attempt: u32,
}

impl AttemptKey {
    /// Returns whether this is the first attempt of its request.
    pub fn is_first(self) -> bool {
        self.attempt == 0
    }
}

/// Logical request of a client, which the client submits once, and again for each retry after a rejection.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Index of the tenant.
    pub tenant: usize,
    /// Index of the class.
    pub class: usize,
    /// Units that the request takes from the quota.
    pub units: f64,
    /// Time of the first submission.
    pub submitted_at: Time,
    /// Time at which the client abandons the demand.
    pub deadline: Time,
    /// Service time at an endpoint with its full capacity.
    pub service_seconds: Seconds,
    /// Weight of all units together.
    pub weight: f64,
    /// True if the quota held enough units at the first submission.
    pub is_within_quota: bool,
    /// Number of submissions before this one.
    pub retries: u32,
}

impl Demand {
    /// Returns the weight if the demand is within the quota, else 0.
    pub fn in_quota_weight(&self) -> f64 {
        if self.is_within_quota { self.weight } else { 0.0 }
    }
}

/// Attempt of an open request.
#[derive(Debug, Clone)]
struct SentAttempt {
    endpoint: EndpointId,
    sent_at: Time,
    /// True until the attempt ends.
    is_in_flight: bool,
}

/// Submission of a demand at a gateway.
#[derive(Debug, Clone)]
pub struct OpenRequest {
    /// Demand that was submitted.
    pub demand: Demand,
    /// Index of the gateway.
    pub gateway: usize,
    /// True if the client has got a final response, or no longer waits for one.
    pub is_answered: bool,
    attempts: Vec<SentAttempt>,
}

impl OpenRequest {
    fn is_finished(&self) -> bool {
        self.is_answered && self.attempts.iter().all(|attempt| !attempt.is_in_flight)
    }
}

/// Attempt that has just been added to its request.
#[derive(Debug, Clone, Copy)]
pub struct StartedAttempt {
    /// Key of the attempt.
    pub key: AttemptKey,
    /// Demand that the request submits.
    pub demand: Demand,
    /// True if the client no longer waits for a response.
    pub request_is_answered: bool,
}

/// Attempt that has just ended, of which the policy must be notified.
#[derive(Debug, Clone)]
pub struct EndedAttempt {
    /// Endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// Time at which it was sent.
    pub sent_at: Time,
    /// Index of the gateway that sent it.
    pub gateway: usize,
}

/// Request that has just been marked as answered.
#[derive(Debug, Clone, Copy)]
pub struct AnsweredRequest {
    /// Demand that the request submitted.
    pub demand: Demand,
    /// Index of the gateway.
    pub gateway: usize,
}

/// Returns the id of a request in events to the policy.
pub fn policy_request_id(number: u64) -> RequestId {
    number.to_string().into()
}

/// Returns the number of a request from the id in an action of the policy.
///
/// # Panics
/// If the id was not made by [`policy_request_id`].
pub fn request_number(request_id: &RequestId) -> u64 {
    request_id.parse().expect("the policy names only requests that it was given")
}

/// Open requests, by number.
#[derive(Debug, Default)]
pub struct RequestTable {
    last_number: u64,
    open_requests: BTreeMap<u64, OpenRequest>,
}

impl RequestTable {
    /// Inserts an open request and returns its number.
    pub fn insert(&mut self, demand: Demand, gateway: usize) -> u64 {
        self.last_number += 1;
        let request = OpenRequest { demand, gateway, is_answered: false, attempts: Vec::new() };
        self.open_requests.insert(self.last_number, request);
        self.last_number
    }

    /// Returns an open request; `None` if it is closed.
    pub fn get(&self, number: u64) -> Option<&OpenRequest> {
        self.open_requests.get(&number)
    }

    /// Returns whether a request is answered or closed.
    pub fn is_answered(&self, number: u64) -> bool {
        self.get(number).is_none_or(|request| request.is_answered)
    }

    /// Marks a request as answered. Returns `None` if it was answered before or is closed.
    pub fn answer(&mut self, number: u64) -> Option<AnsweredRequest> {
        let request = self.open_requests.get_mut(&number).filter(|request| !request.is_answered)?;
        request.is_answered = true;
        Some(AnsweredRequest { demand: request.demand, gateway: request.gateway })
    }

    /// Adds an attempt to an open request. Returns `None` if the request is closed.
    pub fn start_attempt(&mut self, number: u64, endpoint: EndpointId, now: Time) -> Option<StartedAttempt> {
        let request = self.open_requests.get_mut(&number)?;
        let key = AttemptKey { request: number, attempt: request.attempts.len() as u32 };
        request.attempts.push(SentAttempt { endpoint, sent_at: now, is_in_flight: true });
        Some(StartedAttempt { key, demand: request.demand, request_is_answered: request.is_answered })
    }

    /// Ends an attempt. Returns `None` if it has ended before or its request is closed.
    pub fn end_attempt(&mut self, key: AttemptKey) -> Option<EndedAttempt> {
        let request = self.open_requests.get_mut(&key.request)?;
        let attempt = request.attempts.get_mut(key.attempt as usize)?;
        if !attempt.is_in_flight {
            return None;
        }
        attempt.is_in_flight = false;
        let endpoint = attempt.endpoint.clone();
        Some(EndedAttempt { endpoint, sent_at: attempt.sent_at, gateway: request.gateway })
    }

    /// Returns whether an attempt has not ended and its request is open.
    pub fn is_in_flight(&self, key: AttemptKey) -> bool {
        self.demand_of_attempt_in_flight(key).is_some()
    }

    /// Returns the demand that an attempt serves; `None` if the attempt is not in flight.
    pub fn demand_of_attempt_in_flight(&self, key: AttemptKey) -> Option<Demand> {
        let request = self.get(key.request)?;
        let attempt = request.attempts.get(key.attempt as usize)?;
        attempt.is_in_flight.then_some(request.demand)
    }

    /// Closes a request that is answered and has no attempt in flight. Returns the index of its gateway, or `None` if
    /// the request stays open or was closed before.
    pub fn close_if_finished(&mut self, number: u64) -> Option<usize> {
        if !self.get(number)?.is_finished() {
            return None;
        }
        self.open_requests.remove(&number).map(|request| request.gateway)
    }

    /// Removes all requests at a gateway and returns them in the order of their numbers.
    pub fn remove_all_at(&mut self, gateway: usize) -> Vec<OpenRequest> {
        let numbers: Vec<u64> =
            self.open_requests.iter().filter(|(_, r)| r.gateway == gateway).map(|(n, _)| *n).collect();
        numbers.iter().filter_map(|number| self.open_requests.remove(number)).collect()
    }

    /// Returns the number of open requests.
    pub fn len(&self) -> usize {
        self.open_requests.len()
    }

    /// Returns whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.open_requests.is_empty()
    }
}
