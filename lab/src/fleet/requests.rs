//! Requests that are open at gateways, and their attempts.

use oliverack::{EndpointId, RequestId, Seconds, Time};
use std::collections::BTreeMap;

/// One attempt of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Number of the request.
    pub request: u64,
    /// Number of the attempt, from 0.
    pub attempt: u32,
}

impl AttemptKey {
    /// True for the first attempt of its request.
    pub fn is_first(self) -> bool {
        self.attempt == 0
    }
}

/// A logical request of a client: what it submits first, and again if it is rejected.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Index of the tenant.
    pub tenant: usize,
    /// Index of the class.
    pub class: usize,
    /// Units that it takes from the quota.
    pub units: f64,
    /// When it was first submitted.
    pub submitted_at: Time,
    /// When the client gives up.
    pub deadline: Time,
    /// How long an endpoint at full capacity works for it.
    pub service_seconds: Seconds,
    /// Its priority weight, over all units.
    pub weight: f64,
    /// It was within the quota when it was first submitted.
    pub is_within_quota: bool,
    /// Submissions before this one.
    pub retries: u32,
}

impl Demand {
    /// Its weight if it is within the quota, else 0.
    pub fn in_quota_weight(&self) -> f64 {
        if self.is_within_quota { self.weight } else { 0.0 }
    }
}

/// An attempt of an open request.
#[derive(Debug, Clone)]
struct SentAttempt {
    endpoint: EndpointId,
    sent_at: Time,
    /// The policy has not been notified of its end.
    is_in_flight: bool,
}

/// One submission of a demand at one gateway.
#[derive(Debug, Clone)]
pub struct OpenRequest {
    /// What was submitted.
    pub demand: Demand,
    /// Index of the gateway.
    pub gateway: usize,
    /// The client has its response, or has left.
    pub is_answered: bool,
    attempts: Vec<SentAttempt>,
}

impl OpenRequest {
    fn is_finished(&self) -> bool {
        self.is_answered && self.attempts.iter().all(|attempt| !attempt.is_in_flight)
    }
}

/// An attempt that has been added to its request.
#[derive(Debug, Clone, Copy)]
pub struct StartedAttempt {
    /// Its key.
    pub key: AttemptKey,
    /// What the request is for.
    pub demand: Demand,
    /// The client no longer waits.
    pub request_is_answered: bool,
}

/// An attempt whose end the policy is to be notified of.
#[derive(Debug, Clone)]
pub struct EndedAttempt {
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// When it was sent.
    pub sent_at: Time,
    /// Index of the gateway that sent it.
    pub gateway: usize,
}

/// A request that has just got its final response.
#[derive(Debug, Clone, Copy)]
pub struct AnsweredRequest {
    /// What the request was for.
    pub demand: Demand,
    /// Index of the gateway.
    pub gateway: usize,
}

/// The id by which the policy knows a request.
pub fn policy_request_id(number: u64) -> RequestId {
    number.to_string().into()
}

/// The number of a request that the policy names.
///
/// # Panics
/// If the policy names a request that it was never given.
pub fn request_number(request_id: &RequestId) -> u64 {
    request_id.parse().expect("the policy names only requests that it was given")
}

/// All open requests, by number.
#[derive(Debug, Default)]
pub struct RequestTable {
    last_number: u64,
    open: BTreeMap<u64, OpenRequest>,
}

impl RequestTable {
    /// Opens a request and returns its number.
    pub fn open(&mut self, demand: Demand, gateway: usize) -> u64 {
        self.last_number += 1;
        let request = OpenRequest { demand, gateway, is_answered: false, attempts: Vec::new() };
        self.open.insert(self.last_number, request);
        self.last_number
    }

    /// An open request.
    pub fn get(&self, number: u64) -> Option<&OpenRequest> {
        self.open.get(&number)
    }

    /// True if a request has its response, or is closed.
    pub fn is_answered(&self, number: u64) -> bool {
        self.get(number).is_none_or(|request| request.is_answered)
    }

    /// Marks a request as answered. `None` if it was answered before or is closed.
    pub fn answer(&mut self, number: u64) -> Option<AnsweredRequest> {
        let request = self.open.get_mut(&number).filter(|request| !request.is_answered)?;
        request.is_answered = true;
        Some(AnsweredRequest { demand: request.demand, gateway: request.gateway })
    }

    /// Adds an attempt to an open request. `None` if it is closed.
    pub fn start_attempt(&mut self, number: u64, endpoint: EndpointId, now: Time) -> Option<StartedAttempt> {
        let request = self.open.get_mut(&number)?;
        let key = AttemptKey { request: number, attempt: request.attempts.len() as u32 };
        request.attempts.push(SentAttempt { endpoint, sent_at: now, is_in_flight: true });
        Some(StartedAttempt { key, demand: request.demand, request_is_answered: request.is_answered })
    }

    /// Ends an attempt. `None` if it has ended before or its request is closed.
    pub fn end_attempt(&mut self, key: AttemptKey) -> Option<EndedAttempt> {
        let request = self.open.get_mut(&key.request)?;
        let attempt = request.attempts.get_mut(key.attempt as usize)?;
        if !attempt.is_in_flight {
            return None;
        }
        attempt.is_in_flight = false;
        let endpoint = attempt.endpoint.clone();
        Some(EndedAttempt { endpoint, sent_at: attempt.sent_at, gateway: request.gateway })
    }

    /// True if the policy has not been notified of an attempt's end.
    pub fn is_in_flight(&self, key: AttemptKey) -> bool {
        self.demand_of_attempt_in_flight(key).is_some()
    }

    /// What an attempt is for; `None` unless it is in flight.
    pub fn demand_of_attempt_in_flight(&self, key: AttemptKey) -> Option<Demand> {
        let request = self.get(key.request)?;
        let attempt = request.attempts.get(key.attempt as usize)?;
        attempt.is_in_flight.then_some(request.demand)
    }

    /// Closes a request that is answered and has no attempt in flight. Returns its gateway, or `None` if the request
    /// stays open or was closed before.
    pub fn close_if_finished(&mut self, number: u64) -> Option<usize> {
        if !self.get(number)?.is_finished() {
            return None;
        }
        self.open.remove(&number).map(|request| request.gateway)
    }

    /// Removes all requests at a gateway, and returns them in the order of their numbers.
    pub fn remove_all_at(&mut self, gateway: usize) -> Vec<OpenRequest> {
        let numbers: Vec<u64> =
            self.open.iter().filter(|(_, r)| r.gateway == gateway).map(|(n, _)| *n).collect();
        numbers.iter().filter_map(|number| self.open.remove(number)).collect()
    }

    /// How many requests are open.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// True if no request is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
