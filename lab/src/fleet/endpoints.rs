//! Model of an endpoint: slots, a bounded queue, slow start and failures.

use super::configuration;
use super::requests::AttemptKey;
use oliverack::{Status, Time};
use std::collections::VecDeque;

/// State of an endpoint, which decides how it handles attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// Serves attempts.
    Serving,
    /// Finishes the attempts that it has and rejects new ones.
    Draining,
    /// Accepts attempts and never responds.
    Hung,
    /// Refuses connections until it starts again.
    Down,
    /// Refuses connections for the rest of the run.
    Gone,
    /// In a lost zone: neither attempts nor responses get through.
    Unreachable,
}

/// Decision of an endpoint on an attempt that has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The service starts at once.
    Started,
    /// The attempt waits for a slot.
    Queued,
    /// The attempt ends with this status, without service.
    Rejected(Status),
    /// The endpoint never responds.
    NoResponse,
}

/// Simulated endpoint.
#[derive(Debug)]
pub struct SimulatedEndpoint {
    /// Zone of the endpoint.
    pub zone: u32,
    /// Time of the last start; 0 for an endpoint that started long ago and is past its slow start.
    pub started: Time,
    /// Current state.
    pub state: EndpointState,
    incarnation: u32,
    slots: usize,
    max_queued: usize,
    in_service: Vec<AttemptKey>,
    queue: VecDeque<AttemptKey>,
}

impl SimulatedEndpoint {
    /// Returns a serving endpoint with free slots.
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

    /// Returns the number of the current incarnation. Service that an earlier incarnation started never completes.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Returns whether the endpoint reads requests, even if it never responds.
    pub fn reads_requests(&self) -> bool {
        matches!(self.state, EndpointState::Serving | EndpointState::Draining | EndpointState::Hung)
    }

    /// Decides on an attempt that has arrived, and puts it into a slot or the queue if it is accepted.
    pub fn receive(&mut self, attempt: AttemptKey) -> Admission {
        match self.state {
            EndpointState::Draining => Admission::Rejected(Status::Rejected),
            EndpointState::Down | EndpointState::Gone => Admission::Rejected(Status::ConnectFailed),
            EndpointState::Hung | EndpointState::Unreachable => Admission::NoResponse,
            EndpointState::Serving if self.in_service.len() < self.slots => {
                self.in_service.push(attempt);
                Admission::Started
            }
            EndpointState::Serving if self.queue.len() < self.max_queued => {
                self.queue.push_back(attempt);
                Admission::Queued
            }
            EndpointState::Serving => Admission::Rejected(Status::Rejected),
        }
    }

    /// Frees the slot of an attempt.
    pub fn finish(&mut self, attempt: AttemptKey) {
        self.in_service.retain(|key| *key != attempt);
    }

    /// Moves the next queued attempt that its gateway still awaits into a free slot, and drops the ones before it.
    /// Returns `None` if no slot is free or no such attempt is queued.
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

    /// Ends the current incarnation, enters `state` (any but `Serving`), and returns the attempts in service and in
    /// the queue.
    pub fn stop(&mut self, state: EndpointState) -> Vec<AttemptKey> {
        self.state = state;
        self.incarnation += 1;
        let mut attempts = std::mem::take(&mut self.in_service);
        attempts.extend(std::mem::take(&mut self.queue));
        attempts
    }

    /// Returns to the state `Serving`; `started` is the time of a restart, or `None` if the process was not
    /// restarted.
    pub fn resume(&mut self, started: Option<Time>) {
        self.state = EndpointState::Serving;
        self.started = started.unwrap_or(self.started);
    }

    /// Returns the current capacity as a share of the full capacity; below 1 only during slow start.
    pub fn capacity(&self, now: Time, configuration: &configuration::Endpoints) -> f64 {
        let age = now - self.started;
        if self.started <= 0.0 || age >= configuration.slow_start_window {
            return 1.0;
        }
        let initial_share = configuration.slow_start_initial_share;
        initial_share + (1.0 - initial_share) * age / configuration.slow_start_window
    }
}
