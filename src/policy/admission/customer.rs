//! What a gateway keeps of one customer.

use crate::{
    interface::{CustomerId, Seconds, Time},
    policy::{
        admission::{
            ceiling::{self, CeilingShare},
            concurrency::ConcurrencyLimiter,
            leased_quota::LeasedQuota,
        },
        context::Context,
        counter::window::window_offset,
    },
    primitives::{staggered_share::StaggeredShare, token_bucket::TokenBucket},
    settings::Plan,
};

/// A customer that has sent requests to this gateway lately.
#[derive(Debug)]
pub struct Customer {
    /// Index of its plan.
    pub plan: usize,
    /// How many gateways receive its requests.
    pub gateway_count: u32,
    /// Position of this gateway among those, from 0.
    pub position: u32,
    /// When its last request arrived.
    pub last_seen: Time,
    /// The quota on lease.
    pub quota: LeasedQuota,
    /// This gateway's even share of the quota, for while the counter can't be used.
    pub even_share: TokenBucket,
    /// This gateway's share of the hard ceiling.
    pub ceiling: CeilingShare,
    /// The limit on concurrent attempts.
    pub concurrency: ConcurrencyLimiter,
}

impl Customer {
    /// A customer that nothing is known of but its shares.
    pub fn new(even_share: TokenBucket, ceiling: CeilingShare) -> Self {
        Self {
            plan: 0,
            gateway_count: 0,
            position: 0,
            last_seen: 0.0,
            quota: LeasedQuota::default(),
            even_share,
            ceiling,
            concurrency: ConcurrencyLimiter::default(),
        }
    }

    /// Whether an attempt or a lease call of this customer is in flight.
    pub fn is_in_use(&self) -> bool {
        self.concurrency.is_in_use() || self.quota.pending.is_some()
    }

    /// How many slots for concurrent attempts this process has for the customer.
    pub fn slots(&self, plan: &Plan, context: &Context) -> u32 {
        ConcurrencyLimiter::slots(plan, self.position, self.gateway_count, context.replicas)
    }

    /// Whether this gateway's even share of the burst holds a request of these units.
    pub fn share_holds(&self, units: f64, plan: &Plan) -> bool {
        plan.burst >= f64::from(self.gateway_count) * units
    }

    /// Whether a request is one too many under a limit on concurrent attempts that is scarce among the
    /// gateways.
    pub fn exceeds_scarce_limit(&self, plan: &Plan, mean_latency: Seconds, rng: &mut fastrand::Rng) -> bool {
        self.concurrency.exceeds_scarce_limit(plan, self.gateway_count, mean_latency, rng)
    }

    /// Whether this gateway's even share of the quota covers a request; it always holds one request when
    /// full.
    pub fn even_share_covers(&mut self, units: f64, plan: &Plan, context: &Context) -> bool {
        let holder_count = context.replicas.holder_count(self.gateway_count);
        let burst = (plan.burst / holder_count).max(units);
        self.even_share.refill(context.now, plan.rate / holder_count, burst) >= units
    }

    /// Whether this gateway's share of the ceiling covers a request. Nothing was spent of what was granted
    /// from `unspent_since` on, where nothing else is known.
    pub fn ceiling_covers(
        &mut self,
        id: &CustomerId,
        units: f64,
        plan: &Plan,
        unspent_since: Time,
        context: &Context,
    ) -> bool {
        if plan.ceiling_rate <= 0.0 {
            return true;
        }
        let replica_offset = self.gateway_count * context.replicas.index;
        let position = self.position % self.gateway_count + replica_offset;
        let share = StaggeredShare {
            rate: plan.ceiling_rate,
            burst: ceiling::BURST_SHARE * plan.ceiling_burst,
            quantum: context.settings.max_units.max(1.0),
            position: f64::from(position) + window_offset(id),
            holder_count: context.replicas.holder_count(self.gateway_count),
        };
        self.ceiling.refill(context.now, unspent_since, &share) >= units
    }

    /// Returns the units of a request that was not sent after all.
    pub fn refund(&mut self, units: f64) {
        self.quota.refund(units);
        self.ceiling.refund(units);
    }
}
