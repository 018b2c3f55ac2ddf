//! The endpoints: slots, a bounded queue, a cold start, and the ways in which they fail.

use super::configuration;
use super::requests::AttemptKey;
use oliverack::{Status, Time};
use std::collections::VecDeque;

/// What a endpoint does with requests at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It serves them.
    Serving,
    /// It finishes what it has and turns new ones away.
    Draining,
    /// It takes them and answers none.
    Hung,
    /// Nothing listens at its address, until it starts again.
    Down,
    /// Nothing listens at its address for good.
    Gone,
    /// Its machine is out of reach: nothing is heard of it.
    Unreachable,
}

/// What becomes of an attempt that has reached a endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reception {
    /// Its service begins at once.
    Started,
    /// It waits for a slot.
    Queued,
    /// It is answered so, without service.
    Rejected(Status),
    /// Nothing is heard of it.
    NoResponse,
}

/// One endpoint.
#[derive(Debug)]
pub struct SimulatedEndpoint {
    /// Its zone.
    pub zone: u32,
    /// When it last started; 0: long ago.
    pub started: Time,
    /// What it does with requests.
    pub state: EndpointState,
    /// Counts its is_incarnation: what one incarnation had in work ends with it.
    pub incarnation: u32,
    slots: usize,
    queue: usize,
    in_work: Vec<AttemptKey>,
    waiting: VecDeque<AttemptKey>,
}

impl SimulatedEndpoint {
    /// A endpoint that serves.
    pub fn new(figures: &configuration::Endpoints, zone: u32, started: Time) -> Self {
        Self {
            zone,
            started,
            state: EndpointState::Serving,
            incarnation: 0,
            slots: figures.slots as usize,
            queue: figures.queue as usize,
            in_work: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Takes in an attempt.
    pub fn receive(&mut self, attempt: AttemptKey) -> Reception {
        match self.state {
            EndpointState::Draining => Reception::Rejected(Status::Rejected),
            EndpointState::Down | EndpointState::Gone => Reception::Rejected(Status::ConnectFailed),
            EndpointState::Hung | EndpointState::Unreachable => Reception::NoResponse,
            EndpointState::Serving if self.in_work.len() < self.slots => {
                self.in_work.push(attempt);
                Reception::Started
            }
            EndpointState::Serving if self.waiting.len() < self.queue => {
                self.waiting.push_back(attempt);
                Reception::Queued
            }
            EndpointState::Serving => Reception::Rejected(Status::Rejected),
        }
    }

    /// Frees the slot of an attempt.
    pub fn finish(&mut self, attempt: AttemptKey) {
        self.in_work.retain(|key| *key != attempt);
    }

    /// Moves the next attempt that is still wanted into a free slot.
    pub fn begin_next(&mut self, wanted: impl Fn(AttemptKey) -> bool) -> Option<AttemptKey> {
        if self.in_work.len() >= self.slots {
            return None;
        }
        while let Some(attempt) = self.waiting.pop_front() {
            if wanted(attempt) {
                self.in_work.push(attempt);
                return Some(attempt);
            }
        }
        None
    }

    /// Ends this incarnation in a state that serves nothing, and gives up all that was held.
    pub fn stop(&mut self, state: EndpointState) -> Vec<AttemptKey> {
        self.state = state;
        self.incarnation += 1;
        let mut held = std::mem::take(&mut self.in_work);
        held.extend(std::mem::take(&mut self.waiting));
        held
    }

    /// Serves again; `started` is the time of a new start, or `None` if the process went on.
    pub fn resume(&mut self, started: Option<Time>) {
        self.state = EndpointState::Serving;
        self.started = started.unwrap_or(self.started);
    }

    /// Its capacity at `now`, as a share of the full.
    pub fn capacity(&self, now: Time, figures: &configuration::Endpoints) -> f64 {
        let age = now - self.started;
        if self.started <= 0.0 || age >= figures.slow_start_window {
            return 1.0;
        }
        figures.slow_start_initial_share
            + (1.0 - figures.slow_start_initial_share) * age / figures.slow_start_window
    }
}
