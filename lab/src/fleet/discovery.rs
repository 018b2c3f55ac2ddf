//! The service that tells the list of workers: its versions, its changes, and the line of calls that ask for it.

use super::configuration;
use super::wire_size;
use oliverack::{Server, ServerId, Time};
use std::sync::Arc;

/// A list as it is told to many gatekeepers.
#[derive(Debug, Clone, PartialEq)]
pub struct SharedList {
    /// Its entries.
    pub servers: Vec<Server>,
    /// Bytes of the answer that holds it.
    pub bytes: u64,
}

/// One change of the list.
#[derive(Debug, Clone)]
struct Change {
    at: Time,
    server: Server,
}

/// What becomes of a call that asks for the list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Turn {
    /// It is answered at this time.
    Answered(Time),
    /// It has waited in vain until this time.
    Failed(Time),
}

/// The list of workers and the line before it.
#[derive(Debug)]
pub struct Discovery {
    call_seconds: f64,
    give_up_after: f64,
    free_at: Time,
    initial: Vec<Server>,
    changes: Vec<Change>,
    /// The whole list after so many changes, kept as many gatekeepers are told the same.
    latest: Option<(usize, Arc<SharedList>)>,
}

impl Discovery {
    /// A service that knows these workers.
    pub fn new(figures: &configuration::Discovery, initial: Vec<Server>) -> Self {
        Self {
            call_seconds: 1.0 / figures.calls_per_second,
            give_up_after: figures.give_up_after,
            free_at: 0.0,
            initial,
            changes: Vec::new(),
            latest: None,
        }
    }

    /// Takes in a call for the list at `now`.
    pub fn ask(&mut self, now: Time) -> Turn {
        let begins = self.free_at.max(now);
        if begins - now > self.give_up_after {
            return Turn::Failed(now + self.give_up_after);
        }
        self.free_at = begins + self.call_seconds;
        Turn::Answered(self.free_at)
    }

    /// Records a change, and gives it as it is told.
    pub fn change(&mut self, now: Time, server: Server) -> Arc<SharedList> {
        self.changes.push(Change { at: now, server: server.clone() });
        Arc::new(shared(vec![server], false))
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
    fn replay(&self, version: usize) -> Vec<Server> {
        let mut servers = self.initial.clone();
        let known = |(place, server): (usize, &Server)| (server.id.clone(), place);
        let mut places: std::collections::BTreeMap<ServerId, usize> =
            servers.iter().enumerate().map(known).collect();
        for change in &self.changes[..version] {
            match places.get(&change.server.id) {
                Some(place) => servers[*place] = change.server.clone(),
                None => {
                    places.insert(change.server.id.clone(), servers.len());
                    servers.push(change.server.clone());
                }
            }
        }
        servers.retain(|server| server.lifecycle != oliverack::Lifecycle::Gone);
        servers
    }
}

fn shared(servers: Vec<Server>, full: bool) -> SharedList {
    let bytes = wire_size::list_answer(&servers, full);
    SharedList { servers, bytes }
}
