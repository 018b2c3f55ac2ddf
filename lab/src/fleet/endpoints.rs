//! The model of an endpoint: slots, a bounded queue, slow start, and its kinds of failure.

use super::configuration;
use super::requests::AttemptKey;
use oliverack::{Status, Time};
use std::collections::VecDeque;

/// What an endpoint does with requests at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It serves them.
    Serving,
    /// It finishes those that it has and rejects new ones.
    Draining,
    /// It accepts them and never responds.
    Hung,
    /// Connections to it are refused until it starts again.
    Down,
    /// Connections to it are refused for good.
    Gone,
    /// Its zone is lost: neither requests nor responses get through.
    Unreachable,
}

/// What an endpoint does with an attempt that has reached it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptAdmission {
    /// Its service starts at once.
    Started,
    /// It waits for a slot.
    Queued,
    /// It ends with this status, without service.
    Rejected(Status),
    /// There is never a response.
    NoResponse,
}

/// One endpoint.
#[derive(Debug)]
pub struct SimulatedEndpoint {
    /// Its zone.
    pub zone: u32,
    /// When it last started; 0 for long ago.
    pub started: Time,
    /// What it does with requests.
    pub state: EndpointState,
    incarnation: u32,
    slots: usize,
    max_queued: usize,
    in_service: Vec<AttemptKey>,
    queue: VecDeque<AttemptKey>,
}

impl SimulatedEndpoint {
    /// An endpoint that serves.
    pub fn new(configuration: &configuration::Endpoints, zone: u32, started: Time) -> Self {
        Self {
            zone,
            started,
            state: EndpointState::Serving,
            incarnation: 0,
            slots: configuration.slots as usize,
            max_queued: configuration.queue as usize,
            in_service: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Number of its incarnation; service that an earlier incarnation started never completes.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// True if messages to it are read, even if it never responds.
    pub fn reads_messages(&self) -> bool {
        matches!(self.state, EndpointState::Serving | EndpointState::Draining | EndpointState::Hung)
    }

    /// Receives an attempt.
    pub fn receive(&mut self, attempt: AttemptKey) -> AttemptAdmission {
        match self.state {
            EndpointState::Draining => AttemptAdmission::Rejected(Status::Rejected),
            EndpointState::Down | EndpointState::Gone => AttemptAdmission::Rejected(Status::ConnectFailed),
            EndpointState::Hung | EndpointState::Unreachable => AttemptAdmission::NoResponse,
            EndpointState::Serving if self.in_service.len() < self.slots => {
                self.in_service.push(attempt);
                AttemptAdmission::Started
            }
            EndpointState::Serving if self.queue.len() < self.max_queued => {
                self.queue.push_back(attempt);
                AttemptAdmission::Queued
            }
            EndpointState::Serving => AttemptAdmission::Rejected(Status::Rejected),
        }
    }

    /// Frees the slot of an attempt.
    pub fn finish(&mut self, attempt: AttemptKey) {
        self.in_service.retain(|key| *key != attempt);
    }

    /// Moves the next queued attempt that is still awaited into a free slot.
    pub fn start_next(&mut self, is_awaited: impl Fn(AttemptKey) -> bool) -> Option<AttemptKey> {
        if self.in_service.len() >= self.slots {
            return None;
        }
        while let Some(attempt) = self.queue.pop_front() {
            if is_awaited(attempt) {
                self.in_service.push(attempt);
                return Some(attempt);
            }
        }
        None
    }

    /// Ends this incarnation in a state that serves nothing, and returns the attempts that it had.
    pub fn stop(&mut self, state: EndpointState) -> Vec<AttemptKey> {
        self.state = state;
        self.incarnation += 1;
        let mut attempts = std::mem::take(&mut self.in_service);
        attempts.extend(std::mem::take(&mut self.queue));
        attempts
    }

    /// Serves again; `started` is the time of a new start, or `None` if the process went on.
    pub fn resume(&mut self, started: Option<Time>) {
        self.state = EndpointState::Serving;
        self.started = started.unwrap_or(self.started);
    }

    /// Its present capacity during slow start, as a share of its full capacity.
    pub fn capacity(&self, now: Time, configuration: &configuration::Endpoints) -> f64 {
        let age = now - self.started;
        if self.started <= 0.0 || age >= configuration.slow_start_window {
            return 1.0;
        }
        let initial_share = configuration.slow_start_initial_share;
        initial_share + (1.0 - initial_share) * age / configuration.slow_start_window
    }
}
