//! The counter service: names spread over parts, each of which serves its calls one after another.

use super::configuration;
use oliverack::Time;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// What becomes of a call that has reached the counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// It will be served, whether its caller still waits or not.
    Served {
        /// When its completion is over.
        at: Time,
    },
    /// It is turned away.
    Full,
    /// Nothing is heard of it.
    Silent,
}

#[derive(Debug, Clone, Copy)]
struct Count {
    total: f64,
    expires: Time,
}

/// One shard: for each call in its line, when its completion is over.
#[derive(Debug, Clone, Default)]
struct Shard {
    completions: VecDeque<Time>,
}

/// The counter service.
#[derive(Debug)]
pub struct Counter {
    call_seconds: f64,
    queue: usize,
    shards: Vec<Shard>,
    counts: BTreeMap<u64, Count>,
    slowdown: f64,
    silent: bool,
}

impl Counter {
    /// A counter that holds no names.
    pub fn new(configuration: &configuration::Counter) -> Self {
        Self {
            call_seconds: 1.0 / configuration.calls_per_second,
            queue: configuration.queue as usize,
            shards: vec![Shard::default(); configuration.shards as usize],
            counts: BTreeMap::new(),
            slowdown: 1.0,
            silent: false,
        }
    }

    /// Takes in a call for `name` at `now`.
    pub fn admit(&mut self, now: Time, name: u64) -> Admission {
        if self.silent {
            return Admission::Silent;
        }
        let index = (name % self.shards.len() as u64) as usize;
        let shard = &mut self.shards[index];
        while shard.completions.front().is_some_and(|completion| *completion <= now) {
            shard.completions.pop_front();
        }
        // The first of them is being served, the others wait.
        if shard.completions.len() > self.queue {
            return Admission::Full;
        }
        let begins = shard.completions.back().copied().unwrap_or(now);
        let at = begins + self.call_seconds * self.slowdown;
        shard.completions.push_back(at);
        Admission::Served { at }
    }

    /// Adds to a name when the call's completion is over, and gives the total. The first call sets the name's incarnation.
    pub fn add(&mut self, now: Time, name: u64, amount: f64, incarnation: f64) -> f64 {
        let fresh = Count { total: 0.0, expires: now + incarnation };
        let count = self.counts.entry(name).or_insert(fresh);
        if count.expires <= now {
            *count = fresh;
        }
        count.total += amount;
        count.total
    }

    /// Whether answers are held back.
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Makes the counter silent, or lets it speak again.
    pub fn set_silent(&mut self, silent: bool) {
        self.silent = silent;
    }

    /// Makes each call take so many times as long.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    /// Loses a share of the names, and gives how many these were.
    pub fn forget(&mut self, share: f64, generator: &mut ChaCha8Rng) -> usize {
        let before = self.counts.len();
        self.counts.retain(|_, _| generator.random::<f64>() >= share);
        before - self.counts.len()
    }

    /// How many names it holds, those of a past incarnation included until they are named again.
    pub fn names(&self) -> usize {
        self.counts.len()
    }
}
