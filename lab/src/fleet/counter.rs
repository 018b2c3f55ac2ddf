//! The counter service: names spread over parts, each of which serves its calls one after another.

use super::configuration;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use weirusher::Time;

/// What becomes of a call that has reached the counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// It will be served, whether its caller still waits or not.
    Served {
        /// When its turn is over.
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

/// The counter service.
#[derive(Debug)]
pub struct Counter {
    call_seconds: f64,
    queue: f64,
    /// For each part, when it has worked off its queue.
    free_at: Vec<Time>,
    counts: BTreeMap<u64, Count>,
    slowdown: f64,
    silent: bool,
}

impl Counter {
    /// A counter that holds no names.
    pub fn new(configuration: &configuration::Counter) -> Self {
        Self {
            call_seconds: 1.0 / configuration.calls_per_second,
            queue: f64::from(configuration.queue),
            free_at: vec![0.0; configuration.parts as usize],
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
        let part = (name % self.free_at.len() as u64) as usize;
        let seconds = self.call_seconds * self.slowdown;
        let begins = self.free_at[part].max(now);
        if (begins - now) / seconds > self.queue {
            return Admission::Full;
        }
        self.free_at[part] = begins + seconds;
        Admission::Served { at: self.free_at[part] }
    }

    /// Adds to a name when the call's turn is over, and gives the total. The first call sets the name's life.
    pub fn add(&mut self, now: Time, name: u64, amount: f64, life: f64) -> f64 {
        let fresh = Count { total: 0.0, expires: now + life };
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

    /// How many names it holds, those of a past life included until they are named again.
    pub fn names(&self) -> usize {
        self.counts.len()
    }
}
