//! The service that tells the list of endpoints: its versions, its changes, and the line of calls that poll for it.

use super::configuration;
use super::wire_size;
use oliverack::{Endpoint, EndpointId, Time};
use std::sync::Arc;

/// A list as it is told to many gateways.
#[derive(Debug, Clone, PartialEq)]
pub struct SharedList {
    /// Its entries.
    pub endpoints: Vec<Endpoint>,
    /// Bytes of the answer that holds it.
    pub bytes: u64,
}

/// One change of the list.
#[derive(Debug, Clone)]
struct Change {
    at: Time,
    endpoint: Endpoint,
}

/// What becomes of a call that asks for the list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PollOutcome {
    /// It is answered at this time.
    Answered(Time),
    /// It has waited in vain until this time.
    Failed(Time),
}

/// The list of endpoints and the line before it.
#[derive(Debug)]
pub struct Discovery {
    call_seconds: f64,
    poll_timeout: f64,
    free_at: Time,
    initial: Vec<Endpoint>,
    changes: Vec<Change>,
    /// The whole list after so many changes, kept as many gateways are told the same.
    latest: Option<(usize, Arc<SharedList>)>,
}

impl Discovery {
    /// A service that knows these endpoints.
    pub fn new(figures: &configuration::Discovery, initial: Vec<Endpoint>) -> Self {
        Self {
            call_seconds: 1.0 / figures.calls_per_second,
            poll_timeout: figures.poll_timeout,
            free_at: 0.0,
            initial,
            changes: Vec::new(),
            latest: None,
        }
    }

    /// Takes in a call for the list at `now`.
    pub fn poll(&mut self, now: Time) -> PollOutcome {
        let starts_at = self.free_at.max(now);
        if starts_at - now > self.poll_timeout {
            return PollOutcome::Failed(now + self.poll_timeout);
        }
        self.free_at = starts_at + self.call_seconds;
        PollOutcome::Answered(self.free_at)
    }

    /// Records a change, and gives it as it is told.
    pub fn change(&mut self, now: Time, endpoint: Endpoint) -> Arc<SharedList> {
        self.changes.push(Change { at: now, endpoint: endpoint.clone() });
        Arc::new(shared(vec![endpoint], false))
    }

    /// The version after the last change.
    pub fn version(&self) -> u64 {
        self.changes.len() as u64
    }

    /// The whole list as it stood at `at`.
    pub fn list_at(&mut self, at: Time) -> Arc<SharedList> {
        let version = self.changes.partition_point(|change| change.at <= at);
        if let Some((cached, list)) = &self.latest {
            if *cached == version {
                return list.clone();
            }
        }
        let list = Arc::new(shared(self.replay(version), true));
        self.latest = Some((version, list.clone()));
        list
    }

    /// The entries after so many changes, without those that are gone.
    fn replay(&self, version: usize) -> Vec<Endpoint> {
        let mut endpoints = self.initial.clone();
        let known = |(place, endpoint): (usize, &Endpoint)| (endpoint.id.clone(), place);
        let mut places: std::collections::BTreeMap<EndpointId, usize> =
            endpoints.iter().enumerate().map(known).collect();
        for change in &self.changes[..version] {
            match places.get(&change.endpoint.id) {
                Some(place) => endpoints[*place] = change.endpoint.clone(),
                None => {
                    places.insert(change.endpoint.id.clone(), endpoints.len());
                    endpoints.push(change.endpoint.clone());
                }
            }
        }
        endpoints.retain(|endpoint| endpoint.lifecycle != oliverack::Lifecycle::Gone);
        endpoints
    }
}

fn shared(endpoints: Vec<Endpoint>, full: bool) -> SharedList {
    let bytes = wire_size::list_answer(&endpoints, full);
    SharedList { endpoints, bytes }
}
