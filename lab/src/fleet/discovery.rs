//! The model of discovery: the history of the endpoint list, and the queue of polls for it.

use super::configuration;
use super::wire_size;
use oliverack::{Endpoint, EndpointId, Lifecycle, Seconds, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A list that is sent to many gateways.
#[derive(Debug, Clone, PartialEq)]
pub struct SharedList {
    /// Its entries.
    pub endpoints: Vec<Endpoint>,
    /// Bytes of the response that holds it.
    pub bytes: u64,
}

impl SharedList {
    fn new(endpoints: Vec<Endpoint>, is_complete: bool) -> Self {
        let bytes = wire_size::list_response(&endpoints, is_complete);
        Self { endpoints, bytes }
    }
}

/// One change of the list.
#[derive(Debug, Clone)]
struct Change {
    at: Time,
    endpoint: Endpoint,
}

/// What becomes of a poll.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PollResult {
    /// It is answered at this time.
    Answered(Time),
    /// It would wait too long in the queue, and fails at this time.
    TimedOut(Time),
}

/// A complete list and the number of changes that it includes.
#[derive(Debug)]
struct CachedList {
    version: usize,
    list: Arc<SharedList>,
}

/// The endpoint list and the queue of polls.
#[derive(Debug)]
pub struct Discovery {
    poll_seconds: Seconds,
    poll_timeout: Seconds,
    /// When the last poll in the queue will have been served.
    idle_at: Time,
    initial: Vec<Endpoint>,
    changes: Vec<Change>,
    /// The complete list that was asked for last, as many gateways get the same one.
    cached: Option<CachedList>,
}

impl Discovery {
    /// A service that lists these endpoints.
    pub fn new(configuration: &configuration::Discovery, initial: Vec<Endpoint>) -> Self {
        Self {
            poll_seconds: 1.0 / configuration.calls_per_second,
            poll_timeout: configuration.poll_timeout,
            idle_at: 0.0,
            initial,
            changes: Vec::new(),
            cached: None,
        }
    }

    /// Receives a poll.
    pub fn poll(&mut self, now: Time) -> PollResult {
        let starts_at = self.idle_at.max(now);
        if starts_at - now > self.poll_timeout {
            return PollResult::TimedOut(now + self.poll_timeout);
        }
        self.idle_at = starts_at + self.poll_seconds;
        PollResult::Answered(self.idle_at)
    }

    /// Records the change of an entry, and returns it as it is sent to the gateways.
    pub fn record_change(&mut self, now: Time, endpoint: Endpoint) -> Arc<SharedList> {
        self.changes.push(Change { at: now, endpoint: endpoint.clone() });
        Arc::new(SharedList::new(vec![endpoint], false))
    }

    /// The present version of the list: how many changes there were.
    pub fn version(&self) -> u64 {
        self.changes.len() as u64
    }

    /// The complete list as it was at a time.
    pub fn list_at(&mut self, at: Time) -> Arc<SharedList> {
        let version = self.changes.partition_point(|change| change.at <= at);
        if let Some(cached) = self.cached.as_ref().filter(|cached| cached.version == version) {
            return Arc::clone(&cached.list);
        }
        let list = Arc::new(SharedList::new(self.replay(version), true));
        self.cached = Some(CachedList { version, list: Arc::clone(&list) });
        list
    }

    /// The entries after so many changes, without those that are gone.
    fn replay(&self, version: usize) -> Vec<Endpoint> {
        let mut endpoints = self.initial.clone();
        let mut positions: BTreeMap<EndpointId, usize> = BTreeMap::new();
        for (position, endpoint) in endpoints.iter().enumerate() {
            positions.insert(endpoint.id.clone(), position);
        }
        for change in &self.changes[..version] {
            match positions.get(&change.endpoint.id) {
                Some(position) => endpoints[*position] = change.endpoint.clone(),
                None => {
                    positions.insert(change.endpoint.id.clone(), endpoints.len());
                    endpoints.push(change.endpoint.clone());
                }
            }
        }
        endpoints.retain(|endpoint| endpoint.lifecycle != Lifecycle::Gone);
        endpoints
    }
}
