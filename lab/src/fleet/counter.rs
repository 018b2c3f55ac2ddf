//! The model of the counter service: entries spread over shards, each of which serves its calls one after another.

use super::configuration;
use oliverack::{Seconds, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// What the counter does with a call that has reached it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallAdmission {
    /// It will be served, whether its caller still waits or not.
    Admitted {
        /// When its service completes.
        completes_at: Time,
    },
    /// Its shard's queue is full.
    Rejected,
    /// There is never a response.
    NoResponse,
}

/// One entry.
#[derive(Debug, Clone, Copy)]
struct CounterEntry {
    total: f64,
    expires_at: Time,
}

/// One shard: when each of its calls completes, in order.
#[derive(Debug, Clone, Default)]
struct Shard {
    completions: VecDeque<Time>,
}

/// The counter service.
#[derive(Debug)]
pub struct Counter {
    network_delay: Seconds,
    call_seconds: Seconds,
    max_queued: usize,
    shards: Vec<Shard>,
    entries: BTreeMap<u64, CounterEntry>,
    slowdown: f64,
    is_silent: bool,
}

impl Counter {
    /// A counter without entries.
    pub fn new(configuration: &configuration::Counter) -> Self {
        Self {
            network_delay: configuration.delay,
            call_seconds: 1.0 / configuration.calls_per_second,
            max_queued: configuration.queue as usize,
            shards: vec![Shard::default(); configuration.shards as usize],
            entries: BTreeMap::new(),
            slowdown: 1.0,
            is_silent: false,
        }
    }

    /// Delay between a gateway and the counter.
    pub fn network_delay(&self) -> Seconds {
        self.network_delay
    }

    /// Receives a call for the entry `name`.
    pub fn admit(&mut self, now: Time, name: u64) -> CallAdmission {
        if self.is_silent {
            return CallAdmission::NoResponse;
        }
        let index = (name % self.shards.len() as u64) as usize;
        let shard = &mut self.shards[index];
        while shard.completions.front().is_some_and(|completion| *completion <= now) {
            shard.completions.pop_front();
        }
        // The first call is in service, the others are queued.
        if shard.completions.len() > self.max_queued {
            return CallAdmission::Rejected;
        }
        let starts_at = shard.completions.back().copied().unwrap_or(now);
        let completes_at = starts_at + self.call_seconds * self.slowdown;
        shard.completions.push_back(completes_at);
        CallAdmission::Admitted { completes_at }
    }

    /// Adds to an entry, and returns its total. The call that creates the entry sets its time to live.
    pub fn add(&mut self, now: Time, name: u64, amount: f64, ttl: Seconds) -> f64 {
        let new = CounterEntry { total: 0.0, expires_at: now + ttl };
        let entry = self.entries.entry(name).or_insert(new);
        if entry.expires_at <= now {
            *entry = new;
        }
        entry.total += amount;
        entry.total
    }

    /// True while the counter does not respond.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Makes the counter silent, or lets it respond again.
    pub fn set_silent(&mut self, is_silent: bool) {
        self.is_silent = is_silent;
    }

    /// Multiplies the time that a call takes.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    /// Loses a share of the entries, and returns how many these were.
    pub fn lose_entries(&mut self, share: f64, generator: &mut ChaCha8Rng) -> usize {
        let before = self.entries.len();
        self.entries.retain(|_, _| generator.random::<f64>() >= share);
        before - self.entries.len()
    }

    /// How many entries it holds, expired ones included that no call has renewed.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }
}
