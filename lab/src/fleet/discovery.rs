//! Model of discovery: the history of the endpoint list and the queue of polls.

use super::configuration;
use super::wire_size;
use oliverack::{Endpoint, EndpointId, Lifecycle, Seconds, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Endpoint list, or change of it, as it is sent to many gateways.
#[derive(Debug, Clone, PartialEq)]
pub struct SharedList {
    /// Entries of the list or of the change.
    pub endpoints: Vec<Endpoint>,
    /// Size of the response that carries them, in bytes.
    pub bytes: u64,
}

impl SharedList {
    fn new(endpoints: Vec<Endpoint>, is_complete: bool) -> Self {
        let bytes = wire_size::list_response(&endpoints, is_complete);
        Self { endpoints, bytes }
    }
}

/// Change of one list entry.
#[derive(Debug, Clone)]
struct Change {
    at: Time,
    endpoint: Endpoint,
}

/// Result of a poll and its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PollResult {
    /// The poll is answered at this time.
    Answered(Time),
    /// The poll would wait too long in the queue and fails at this time.
    TimedOut(Time),
}

/// Complete list and the number of changes that it includes.
#[derive(Debug)]
struct CachedList {
    version: usize,
    list: Arc<SharedList>,
}

/// Endpoint list with all its changes, and the queue of polls.
#[derive(Debug)]
pub struct Discovery {
    poll_seconds: Seconds,
    poll_timeout: Seconds,
    /// Time at which the last poll in the queue will have been served.
    idle_at: Time,
    initial: Vec<Endpoint>,
    changes: Vec<Change>,
    /// Last complete list that was requested; cached, as many gateways get the same one.
    cached: Option<CachedList>,
}

impl Discovery {
    /// Returns a service that lists these endpoints.
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

    /// Queues a poll and returns its result, which lies in the future.
    pub fn poll(&mut self, now: Time) -> PollResult {
        let starts_at = self.idle_at.max(now);
        if starts_at - now > self.poll_timeout {
            return PollResult::TimedOut(now + self.poll_timeout);
        }
        self.idle_at = starts_at + self.poll_seconds;
        PollResult::Answered(self.idle_at)
    }

    /// Records the change of an entry and returns it in the form that is sent to the gateways.
    pub fn record_change(&mut self, now: Time, endpoint: Endpoint) -> Arc<SharedList> {
        self.changes.push(Change { at: now, endpoint: endpoint.clone() });
        Arc::new(SharedList::new(vec![endpoint], false))
    }

    /// Returns the current version of the list, which is the number of its changes.
    pub fn version(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Returns the complete list as it was at a time, past or present.
    pub fn list_at(&mut self, time: Time) -> Arc<SharedList> {
        let version = self.changes.partition_point(|change| change.at <= time);
        if let Some(cached) = self.cached.as_ref().filter(|cached| cached.version == version) {
            return Arc::clone(&cached.list);
        }
        let list = Arc::new(SharedList::new(self.replay(version), true));
        self.cached = Some(CachedList { version, list: Arc::clone(&list) });
        list
    }

    /// Returns the entries after the first `version` changes, without endpoints that are gone.
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
