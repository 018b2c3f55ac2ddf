//! State that a gateway keeps for one customer.

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

/// Quota, ceiling and concurrency of a customer that has recently sent requests to this gateway.
#[derive(Debug)]
pub struct Customer {
    /// Index of the customer's plan in the settings.
    pub plan_index: usize,
    /// Number of gateways that receive the customer's requests.
    pub gateway_count: u32,
    /// Position of this gateway among those that receive the customer's requests, from 0.
    pub position: u32,
    /// Arrival time of the customer's last request.
    pub last_seen: Time,
    /// Quota at this gateway, with the units held on lease.
    pub quota: LeasedQuota,
    /// This process's even share of the quota, spent while the quota is unknown or the counter can't be used.
    pub even_share: TokenBucket,
    /// This process's share of the hard ceiling.
    pub ceiling: CeilingShare,
    /// Concurrent attempts and the queue for a slot.
    pub concurrency: ConcurrencyLimiter,
}

impl Customer {
    /// Creates a customer with these shares. Plan, gateways and time of the last request are set on arrival.
    pub fn new(even_share: TokenBucket, ceiling: CeilingShare) -> Self {
        Self {
            plan_index: 0,
            gateway_count: 0,
            position: 0,
            last_seen: 0.0,
            quota: LeasedQuota::default(),
            even_share,
            ceiling,
            concurrency: ConcurrencyLimiter::default(),
        }
    }

    /// Returns whether an attempt or a lease call of this customer is in flight.
    pub fn is_in_use(&self) -> bool {
        self.concurrency.has_attempts_in_flight() || self.quota.pending.is_some()
    }

    /// Returns the number of concurrent attempts that this process may have in flight for the customer.
    pub fn slots(&self, plan: &Plan, context: &Context) -> u32 {
        ConcurrencyLimiter::slots(plan, self.position, self.gateway_count, context.replicas)
    }

    /// Returns whether a request of `units` fits into this gateway's even share of the burst when full.
    pub fn even_share_can_hold(&self, units: f64, plan: &Plan) -> bool {
        plan.burst >= f64::from(self.gateway_count) * units
    }

    /// Returns whether to reject a request because the limit on concurrent attempts has far fewer slots than
    /// there are gateways.
    pub fn exceeds_scarce_limit(&self, plan: &Plan, mean_latency: Seconds, rng: &mut fastrand::Rng) -> bool {
        self.concurrency.exceeds_scarce_limit(plan, self.gateway_count, mean_latency, rng)
    }

    /// Returns whether this process's even share of the quota covers `units`. A full share always covers one
    /// request.
    pub fn even_share_covers(&mut self, units: f64, plan: &Plan, context: &Context) -> bool {
        let holder_count = context.replicas.holder_count(self.gateway_count);
        let burst = (plan.burst / holder_count).max(units);
        self.even_share.refill(context.now, plan.rate / holder_count, burst) >= units
    }

    /// Returns whether this process's share of the ceiling covers `units`. Grants since `unspent_since`, or
    /// since the last refill if later, count as unspent.
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

    /// Gives back the units of a request that was not sent.
    pub fn refund(&mut self, units: f64) {
        self.quota.refund(units);
        self.ceiling.refund(units);
    }
}
