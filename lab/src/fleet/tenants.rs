//! The tenants: when they submit demands, and their true quotas, as an observer of the whole fleet would account them.

use super::configuration::{self, Configuration, UsageProfile};
use super::event_queue::RUN_START;
use super::randomness::{exponential, uniform, weighted_index};
use oliverack::{CustomerId, Seconds, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Multiplier and shift that scramble the number of a tenant into its id.
const ID_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
const ID_SHIFT: u32 = 31;

/// A token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// A full bucket at the start of a run.
    pub fn full(rate: f64, burst: f64) -> Self {
        Self { rate, burst, level: burst, updated_at: RUN_START }
    }

    fn refill(&mut self, now: Time) {
        self.level = (self.level + self.rate * (now - self.updated_at)).min(self.burst);
        self.updated_at = now;
    }

    /// Takes the units if the bucket holds them.
    pub fn try_take(&mut self, now: Time, units: f64) -> bool {
        self.refill(now);
        let has_units = self.level >= units;
        if has_units {
            self.level -= units;
        }
        has_units
    }

    /// Takes the units in any case, and returns the remaining level as a share of the burst; below 0 if overdrawn.
    pub fn overdraw(&mut self, now: Time, units: f64) -> f64 {
        self.refill(now);
        self.level -= units;
        self.level / self.burst
    }
}

/// Periodic times at which a tenant submits more than usual.
#[derive(Debug, Clone, Copy)]
struct Spikes {
    factor: f64,
    duration: Seconds,
    /// 0 if there are no spikes.
    period: Seconds,
    offset: Seconds,
}

impl Spikes {
    fn factor_at(&self, now: Time) -> f64 {
        let is_spike = self.period > 0.0 && (now - RUN_START + self.offset) % self.period < self.duration;
        if is_spike { self.factor } else { 1.0 }
    }

    fn max_factor(&self) -> f64 {
        if self.period > 0.0 { self.factor } else { 1.0 }
    }

    fn mean_factor(&self) -> f64 {
        let share_of_time = if self.period > 0.0 { self.duration / self.period } else { 0.0 };
        1.0 + share_of_time * (self.factor - 1.0)
    }
}

/// One tenant.
#[derive(Debug)]
pub struct Tenant {
    /// Its id.
    pub id: CustomerId,
    /// Index of its plan.
    pub plan: usize,
    /// How many gateways serve it.
    pub gateway_count: u32,
    /// Index of the first of them; the others follow it.
    pub first_gateway: u32,
    /// Weights by which its requests are spread over these gateways.
    pub gateway_weights: Vec<f64>,
    /// Requests a second outside of spikes.
    requests_per_second: f64,
    spikes: Spikes,
    /// The quota, drawn on by demands when they are first submitted.
    pub submitted_quota: TokenBucket,
    /// The quota, drawn on by submissions when they are first forwarded.
    pub forwarded_quota: TokenBucket,
    /// The ceiling, drawn on by submissions when they are first forwarded.
    pub ceiling: Option<TokenBucket>,
    /// The lowest level of the ceiling so far, as a share of its burst.
    pub lowest_ceiling: f64,
}

impl Tenant {
    /// When the arrival process fires next; `None` if it never does.
    ///
    /// Arrivals are a Poisson process whose rate changes with time, by thinning: candidates arrive at the highest rate,
    /// and [`Tenant::accepts_candidate`] drops as many as the present rate asks for.
    pub fn next_arrival_candidate(&self, now: Time, generator: &mut ChaCha8Rng) -> Option<Time> {
        let max_rate = self.requests_per_second * self.spikes.max_factor();
        (max_rate > 0.0).then(|| now + exponential(generator, 1.0 / max_rate))
    }

    /// Draws whether a candidate becomes a demand.
    pub fn accepts_candidate(&self, now: Time, generator: &mut ChaCha8Rng) -> bool {
        generator.random::<f64>() * self.spikes.max_factor() < self.spikes.factor_at(now)
    }

    /// Its long-term mean of requests a second.
    pub fn mean_requests_per_second(&self) -> f64 {
        self.requests_per_second * self.spikes.mean_factor()
    }
}

/// Draws all tenants.
pub fn draw(configuration: &Configuration, generator: &mut ChaCha8Rng) -> Vec<Tenant> {
    let plan_shares: Vec<f64> = configuration.plans.iter().map(|plan| plan.share).collect();
    let usage_shares: Vec<f64> = configuration.usage.iter().map(|usage| usage.share).collect();
    let mut tenants = Vec::new();
    for number in 0..configuration.tenants.count {
        let plan = weighted_index(generator, &plan_shares);
        let usage = &configuration.usage[weighted_index(generator, &usage_shares)];
        tenants.push(draw_tenant(configuration, number, plan, usage, generator));
    }
    tenants
}

fn draw_tenant(
    configuration: &Configuration,
    number: u32,
    plan_index: usize,
    usage: &UsageProfile,
    generator: &mut ChaCha8Rng,
) -> Tenant {
    let tenants = &configuration.tenants;
    let plan: &configuration::Plan = &configuration.plans[plan_index];
    let gateways = tenants.gateways_per_tenant;
    let gateway_count = generator.random_range(gateways.min..=gateways.max);
    let first_gateway = generator.random_range(0..configuration.gateways.count);
    let skew = uniform(generator, tenants.skew);
    let mut gateway_weights: Vec<f64> = (1..=gateway_count).map(|n| f64::from(n).powf(-skew)).collect();
    gateway_weights.rotate_left(generator.random_range(0..gateway_count) as usize);
    let mean_units = f64::from(1 + tenants.max_units) / 2.0;
    let spikes = Spikes {
        factor: usage.spike_factor,
        duration: usage.spike_seconds,
        period: usage.spike_every,
        offset: generator.random::<f64>() * usage.spike_every,
    };
    let quota = TokenBucket::full(plan.rate, plan.burst);
    let ceiling = TokenBucket::full(plan.ceiling_rate, plan.ceiling_burst);
    Tenant {
        id: tenant_id(number),
        plan: plan_index,
        gateway_count,
        first_gateway,
        gateway_weights,
        requests_per_second: uniform(generator, usage.load_factor) * plan.rate / mean_units,
        spikes,
        submitted_quota: quota,
        forwarded_quota: quota,
        ceiling: (plan.ceiling_rate > 0.0).then_some(ceiling),
        lowest_ceiling: 1.0,
    }
}

/// Id of a tenant: scrambled, as ids of customers are spread evenly over all values.
fn tenant_id(number: u32) -> CustomerId {
    format!("{:016x}", u64::from(number).wrapping_mul(ID_MULTIPLIER) >> ID_SHIFT).into()
}
