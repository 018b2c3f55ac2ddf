//! Model of the counter service: entries are spread over shards, each of which serves its calls one after another.

use super::configuration;
use oliverack::{Seconds, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// Decision of the counter on a call that has arrived.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallAdmission {
    /// The call will be served, even if the caller's timeout passes first.
    Admitted {
        /// Time at which the service of the call completes.
        completes_at: Time,
    },
    /// The queue of the call's shard is full.
    Rejected,
    /// The counter never responds.
    NoResponse,
}

/// Total of an entry and the end of its time to live.
#[derive(Debug, Clone, Copy)]
struct CounterEntry {
    total: f64,
    expires_at: Time,
}

/// Completion times of the calls that a shard holds, in order.
#[derive(Debug, Clone, Default)]
struct Shard {
    completions: VecDeque<Time>,
}

/// Simulated counter service.
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
    /// Returns a counter without entries.
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

    /// Returns the network delay between a gateway and the counter.
    pub fn network_delay(&self) -> Seconds {
        self.network_delay
    }

    /// Decides on a call for the entry `name`, and queues it at its shard unless it is rejected.
    pub fn admit(&mut self, now: Time, name: u64) -> CallAdmission {
        if self.is_silent {
            return CallAdmission::NoResponse;
        }
        let index = (name % self.shards.len() as u64) as usize;
        let shard = &mut self.shards[index];
        while shard.completions.front().is_some_and(|completion| *completion <= now) {
            shard.completions.pop_front();
        }
        // The first call is in service, only the others are queued.
        if shard.completions.len() > self.max_queued {
            return CallAdmission::Rejected;
        }
        let starts_at = shard.completions.back().copied().unwrap_or(now);
        let completes_at = starts_at + self.call_seconds * self.slowdown;
        shard.completions.push_back(completes_at);
        CallAdmission::Admitted { completes_at }
    }

    /// Adds to an entry and returns the new total. The call that creates the entry sets its time to live.
    pub fn add(&mut self, now: Time, name: u64, amount: f64, ttl: Seconds) -> f64 {
        let new_entry = CounterEntry { total: 0.0, expires_at: now + ttl };
        let entry = self.entries.entry(name).or_insert(new_entry);
        if entry.expires_at <= now {
            *entry = new_entry;
        }
        entry.total += amount;
        entry.total
    }

    /// Returns whether the counter is silent: it accepts no calls and sends no responses.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Silences the counter, or lets it respond again.
    pub fn set_silent(&mut self, is_silent: bool) {
        self.is_silent = is_silent;
    }

    /// Sets the factor by which the service time of calls is multiplied from now on.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    /// Removes a random share of the entries and returns their number.
    pub fn lose_entries(&mut self, share: f64, generator: &mut ChaCha8Rng) -> usize {
        let count_before = self.entries.len();
        self.entries.retain(|_, _| generator.random::<f64>() >= share);
        count_before - self.entries.len()
    }

    /// Returns the number of entries, including expired ones that no later call has replaced.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }
}
