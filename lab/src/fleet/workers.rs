//! The workers: slots, a bounded queue, a cold start, and the ways in which they fail.

use super::configuration;
use super::requests::AttemptKey;
use oliverack::{Status, Time};
use std::collections::VecDeque;

/// What a worker does with requests at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
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

/// What becomes of an attempt that has reached a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reception {
    /// Its service begins at once.
    Begins,
    /// It waits for a slot.
    Waits,
    /// It is answered so, without service.
    Rejected(Status),
    /// Nothing is heard of it.
    Silent,
}

/// One worker.
#[derive(Debug)]
pub struct Worker {
    /// Its zone.
    pub zone: u32,
    /// When it last started; 0: long ago.
    pub started: Time,
    /// What it does with requests.
    pub condition: Condition,
    /// Counts its lives: what one life had in work ends with it.
    pub life: u32,
    slots: usize,
    queue: usize,
    in_work: Vec<AttemptKey>,
    waiting: VecDeque<AttemptKey>,
}

impl Worker {
    /// A worker that serves.
    pub fn new(figures: &configuration::Workers, zone: u32, started: Time) -> Self {
        Self {
            zone,
            started,
            condition: Condition::Serving,
            life: 0,
            slots: figures.slots as usize,
            queue: figures.queue as usize,
            in_work: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Takes in an attempt.
    pub fn receive(&mut self, attempt: AttemptKey) -> Reception {
        match self.condition {
            Condition::Draining => Reception::Rejected(Status::Rejected),
            Condition::Down | Condition::Gone => Reception::Rejected(Status::ConnectFailed),
            Condition::Hung | Condition::Unreachable => Reception::Silent,
            Condition::Serving if self.in_work.len() < self.slots => {
                self.in_work.push(attempt);
                Reception::Begins
            }
            Condition::Serving if self.waiting.len() < self.queue => {
                self.waiting.push_back(attempt);
                Reception::Waits
            }
            Condition::Serving => Reception::Rejected(Status::Rejected),
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

    /// Ends this life in a condition that serves nothing, and gives up all that was held.
    pub fn stop(&mut self, condition: Condition) -> Vec<AttemptKey> {
        self.condition = condition;
        self.life += 1;
        let mut held = std::mem::take(&mut self.in_work);
        held.extend(std::mem::take(&mut self.waiting));
        held
    }

    /// Serves again; `started` is the time of a new start, or `None` if the process went on.
    pub fn resume(&mut self, started: Option<Time>) {
        self.condition = Condition::Serving;
        self.started = started.unwrap_or(self.started);
    }

    /// Its capacity at `now`, as a share of the full.
    pub fn capacity(&self, now: Time, figures: &configuration::Workers) -> f64 {
        let age = now - self.started;
        if self.started <= 0.0 || age >= figures.cold_seconds {
            return 1.0;
        }
        figures.cold_from + (1.0 - figures.cold_from) * age / figures.cold_seconds
    }
}
