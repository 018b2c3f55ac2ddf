//! Model of the tenants: arrivals of demands, and true quotas, which are accounted across the whole fleet.

use super::configuration::{self, Configuration, UsageProfile};
use super::event_queue::RUN_START;
use super::randomness::{exponential, uniform, weighted_index};
use oliverack::{CustomerId, Seconds, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Multiplier and shift that scramble the number of a tenant into its id.
const ID_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
const ID_SHIFT: u32 = 31;

/// Token bucket that is refilled on access.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// Returns a bucket that is full at the start of a run.
    pub fn full(rate: f64, burst: f64) -> Self {
        Self { rate, burst, level: burst, updated_at: RUN_START }
    }

    fn refill(&mut self, now: Time) {
        self.level = (self.level + self.rate * (now - self.updated_at)).min(self.burst);
        self.updated_at = now;
    }

    /// Takes the units if the bucket holds enough, and returns whether it did.
    pub fn try_take(&mut self, now: Time, units: f64) -> bool {
        self.refill(now);
        let has_units = self.level >= units;
        if has_units {
            self.level -= units;
        }
        has_units
    }

    /// Takes the units even if the bucket holds fewer, and returns the remaining level as a share of the burst;
    /// negative if overdrawn.
    pub fn overdraw(&mut self, now: Time, units: f64) -> f64 {
        self.refill(now);
        self.level -= units;
        self.level / self.burst
    }
}

/// Periodic load spikes of a tenant.
#[derive(Debug, Clone, Copy)]
struct Spikes {
    factor: f64,
    duration: Seconds,
    /// Time from the start of one spike to the start of the next; 0 if there are no spikes.
    period: Seconds,
    /// Random position in the period at the start of the run, so that the spikes of different tenants do not coincide.
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
        let spike_share_of_time = if self.period > 0.0 { self.duration / self.period } else { 0.0 };
        1.0 + spike_share_of_time * (self.factor - 1.0)
    }
}

/// Simulated tenant.
#[derive(Debug)]
pub struct Tenant {
    /// Id under which the policy knows the tenant.
    pub id: CustomerId,
    /// Index of the plan.
    pub plan: usize,
    /// Number of gateways that serve the tenant.
    pub gateway_count: u32,
    /// Index of the first gateway that serves the tenant; the others have the next indices, modulo the number of
    /// gateways.
    pub first_gateway: u32,
    /// Weights by which requests are spread over these gateways.
    pub gateway_weights: Vec<f64>,
    /// Demands a second outside spikes.
    requests_per_second: f64,
    spikes: Spikes,
    /// True quota, charged with each demand at its first submission.
    pub submitted_quota: TokenBucket,
    /// True quota, charged with each submission when its first attempt is sent.
    pub forwarded_quota: TokenBucket,
    /// Ceiling, charged with each submission when its first attempt is sent; `None` if the plan has no ceiling.
    pub ceiling: Option<TokenBucket>,
    /// Lowest level of the ceiling so far, as a share of its burst; 1 if there is no ceiling.
    pub lowest_ceiling_level: f64,
}

impl Tenant {
    /// Draws the time of the next arrival candidate; `None` if the tenant never submits anything.
    ///
    /// Demands arrive as a Poisson process whose rate changes with time. It is simulated by thinning: candidates
    /// arrive at the maximum rate, and [`Tenant::accepts_candidate`] keeps each with the probability of the current
    /// rate divided by the maximum rate.
    pub fn next_arrival_candidate(&self, now: Time, generator: &mut ChaCha8Rng) -> Option<Time> {
        let max_rate = self.requests_per_second * self.spikes.max_factor();
        (max_rate > 0.0).then(|| now + exponential(generator, 1.0 / max_rate))
    }

    /// Returns whether an arrival candidate becomes a demand; decided at random.
    pub fn accepts_candidate(&self, now: Time, generator: &mut ChaCha8Rng) -> bool {
        generator.random::<f64>() * self.spikes.max_factor() < self.spikes.factor_at(now)
    }

    /// Returns the expected long-term mean of demands a second.
    pub fn mean_requests_per_second(&self) -> f64 {
        self.requests_per_second * self.spikes.mean_factor()
    }
}

/// Draws the plan, gateways and usage of all tenants.
pub fn draw_tenants(configuration: &Configuration, generator: &mut ChaCha8Rng) -> Vec<Tenant> {
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
    let gateways_per_tenant = tenants.gateways_per_tenant;
    let gateway_count = generator.random_range(gateways_per_tenant.min..=gateways_per_tenant.max);
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
        lowest_ceiling_level: 1.0,
    }
}

/// Returns the id of a tenant. The number is scrambled, because real customer ids are spread evenly over all values.
fn tenant_id(number: u32) -> CustomerId {
    format!("{:016x}", u64::from(number).wrapping_mul(ID_MULTIPLIER) >> ID_SHIFT).into()
}
