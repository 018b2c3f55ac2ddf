//! The tenants: what they poll for and when, and their true quotas, as one that saw everything would keep them.

use super::configuration::{self, Configuration, Usage};
use super::event_queue::RUN_START;
use super::randomness::{self, uniform, weighted_index};
use oliverack::{CustomerId, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Time,
}

impl TokenBucket {
    /// A full bucket.
    pub fn full(rate: f64, burst: f64) -> Self {
        Self { rate, burst, level: burst, at: RUN_START }
    }

    fn refill(&mut self, now: Time) {
        self.level = (self.level + self.rate * (now - self.at)).min(self.burst);
        self.at = now;
    }

    /// Takes the units if it holds them.
    pub fn try_take(&mut self, now: Time, units: f64) -> bool {
        self.refill(now);
        let holds = self.level >= units;
        if holds {
            self.level -= units;
        }
        holds
    }

    /// Takes the units in any case, and gives what is left, as a share of the burst.
    pub fn draw(&mut self, now: Time, units: f64) -> f64 {
        self.refill(now);
        self.level -= units;
        self.level / self.burst
    }
}

/// Times at which a tenant asks for more than usual.
#[derive(Debug, Clone, Copy)]
struct Spikes {
    factor: f64,
    seconds: f64,
    every: f64,
    offset: f64,
}

impl Spikes {
    fn factor_at(&self, now: Time) -> f64 {
        let spikes = self.every > 0.0 && (now - RUN_START + self.offset) % self.every < self.seconds;
        if spikes { self.factor } else { 1.0 }
    }
}

/// One tenant.
#[derive(Debug)]
pub struct Tenant {
    /// Its id.
    pub id: CustomerId,
    /// Its plan's index.
    pub plan: usize,
    /// How many gateways carry it.
    pub spread: u32,
    /// The first of them.
    pub first: u32,
    /// Weights of these gateways.
    pub weights: Vec<f64>,
    /// Requests a second outside of spikes.
    pub requests_per_second: f64,
    spikes: Spikes,
    /// The quota, drawn on by what is asked for first.
    pub submitted: TokenBucket,
    /// The quota, drawn on by what is sent to endpoints.
    pub sent: TokenBucket,
    /// The ceiling, drawn on by what is sent to endpoints.
    pub ceiling: Option<TokenBucket>,
    /// The lowest level of the ceiling, as a share of its burst.
    pub lowest_ceiling: f64,
}

impl Tenant {
    /// When its next candidate for a request is due. `None`: it never asks.
    pub fn next_candidate(&self, now: Time, generator: &mut ChaCha8Rng) -> Option<Time> {
        let most = self.requests_per_second * if self.spikes.every > 0.0 { self.spikes.factor } else { 1.0 };
        (most > 0.0).then(|| now + randomness::exponential(generator, 1.0 / most))
    }

    /// Whether a candidate becomes a request: outside of spikes only some do.
    pub fn accepts(&self, now: Time, generator: &mut ChaCha8Rng) -> bool {
        let most = if self.spikes.every > 0.0 { self.spikes.factor } else { 1.0 };
        generator.random::<f64>() * most < self.spikes.factor_at(now)
    }

    /// The mean of its requests a second over a long time.
    pub fn mean_requests_per_second(&self) -> f64 {
        let Spikes { factor, seconds, every, .. } = self.spikes;
        let share = if every > 0.0 { seconds / every } else { 0.0 };
        self.requests_per_second * (1.0 + share * (factor - 1.0))
    }
}

/// Draws all tenants.
pub fn draw(configuration: &Configuration, generator: &mut ChaCha8Rng) -> Vec<Tenant> {
    let plans: Vec<f64> = configuration.plans.iter().map(|plan| plan.share).collect();
    let usages: Vec<f64> = configuration.usage.iter().map(|usage| usage.share).collect();
    (0..configuration.tenants.count)
        .map(|number| {
            let plan = weighted_index(generator, &plans);
            let usage = &configuration.usage[weighted_index(generator, &usages)];
            draw_one(configuration, number, plan, usage, generator)
        })
        .collect()
}

fn draw_one(
    configuration: &Configuration,
    number: u32,
    plan_index: usize,
    usage: &Usage,
    generator: &mut ChaCha8Rng,
) -> Tenant {
    let figures = &configuration.tenants;
    let plan: &configuration::Plan = &configuration.plans[plan_index];
    let spread = generator.random_range(figures.gateways_per_tenant[0]..=figures.gateways_per_tenant[1]);
    let first = generator.random_range(0..configuration.gateways.count);
    let skew = uniform(generator, figures.skew);
    let mut weights: Vec<f64> = (1..=spread).map(|n| f64::from(n).powf(-skew)).collect();
    weights.rotate_left(generator.random_range(0..spread) as usize);
    let mean_units = f64::from(1 + figures.max_units) / 2.0;
    let spikes = Spikes {
        factor: usage.spike_factor,
        seconds: usage.spike_seconds,
        every: usage.spike_every,
        offset: generator.random::<f64>() * usage.spike_every,
    };
    let quota = TokenBucket::full(plan.rate, plan.burst);
    let ceiling = TokenBucket::full(plan.ceiling_rate, plan.ceiling_burst);
    Tenant {
        // Spread over the ids that a customer may have, as a hash would be.
        id: format!("{:016x}", u64::from(number).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 31).into(),
        plan: plan_index,
        spread,
        first,
        weights,
        requests_per_second: uniform(generator, usage.load_factor) * plan.rate / mean_units,
        spikes,
        submitted: quota,
        sent: quota,
        ceiling: (plan.ceiling_rate > 0.0).then_some(ceiling),
        lowest_ceiling: 1.0,
    }
}
