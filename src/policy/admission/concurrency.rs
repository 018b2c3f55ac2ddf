//! Enforces a plan's limit on a customer's concurrent attempts. Covered requests beyond it wait briefly for a
//! slot.

use crate::{
    interface::{RequestId, Seconds, Time},
    policy::replicas::Replicas,
    primitives::decaying_sum::DecayingSum,
    settings::Plan,
};
use std::collections::VecDeque;

/// Time constant over which a customer's request rate is averaged.
pub const ARRIVALS_TIME_CONSTANT: Seconds = 20.0;
/// Share of the latency objective that a request may wait for a slot; the rest is for its response.
pub const MAX_WAIT_SHARE: f64 = 0.4;
/// Share of a scarce limit that the gateways use in the mean, as they may all use it at once by chance.
const SCARCE_LIMIT_SHARE: f64 = 0.4;
/// A limit is scarce if it gives less than one slot to so many gateways.
const SCARCE_LIMIT_GATEWAYS: u32 = 4;

/// The even share of whole slots at an index, from 0. The remainder goes to the first holders, one slot each.
fn even_slots(slots: u32, index: u32, holder_count: u32) -> u32 {
    slots / holder_count + u32::from(index < slots % holder_count)
}

/// A covered request that waits for a slot.
#[derive(Debug)]
pub struct QueuedRequest {
    /// The request.
    pub id: RequestId,
    /// Units that were spent on it, to be refunded if it is never sent.
    pub units: f64,
}

/// One customer's attempts in flight at this gateway, and the requests that wait for one of them to end.
#[derive(Debug, Default)]
pub struct ConcurrencyLimiter {
    attempts_in_flight: u32,
    queue: VecDeque<QueuedRequest>,
    /// Requests that arrived lately.
    arrivals: DecayingSum,
}

impl ConcurrencyLimiter {
    /// Records that a request arrived.
    pub fn record_arrival(&mut self, now: Time) {
        self.arrivals.add(now, 1.0, ARRIVALS_TIME_CONSTANT);
    }

    /// This process's share of the plan's limit, at least one slot.
    pub fn slots(plan: &Plan, position: u32, gateway_count: u32, replicas: Replicas) -> u32 {
        if plan.max_concurrent_attempts == 0 {
            return u32::MAX;
        }
        let gateway_slots = even_slots(plan.max_concurrent_attempts, position, gateway_count);
        even_slots(gateway_slots, replicas.index, replicas.count).max(1)
    }

    /// Whether an attempt may be started without waiting.
    pub fn has_free_slot(&self, slots: u32) -> bool {
        self.attempts_in_flight < slots
    }

    /// Whether any attempt is in flight.
    pub fn is_in_use(&self) -> bool {
        self.attempts_in_flight > 0
    }

    /// Counts an attempt as in flight.
    pub fn record_start(&mut self) {
        self.attempts_in_flight += 1;
    }

    /// Counts an attempt as no longer in flight.
    pub fn record_end(&mut self) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
    }

    /// Whether a request is one too many under a limit that has far fewer slots than there are gateways. The
    /// rate of requests here tells how many attempts all gateways have in flight (Little's law).
    pub fn exceeds_scarce_limit(
        &self,
        plan: &Plan,
        gateway_count: u32,
        mean_latency: Seconds,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let rate = self.arrivals.level / ARRIVALS_TIME_CONSTANT;
        let in_flight = rate * f64::from(gateway_count) * mean_latency;
        let limit = plan.max_concurrent_attempts;
        let is_scarce = (1..gateway_count / SCARCE_LIMIT_GATEWAYS).contains(&limit);
        is_scarce && rng.f64() * in_flight > SCARCE_LIMIT_SHARE * f64::from(limit)
    }

    /// How long one more request would wait for a slot.
    pub fn expected_wait(&self, slots: u32, mean_latency: Seconds) -> Seconds {
        (self.queue.len() + 1) as f64 * mean_latency / f64::from(slots)
    }

    /// Makes a request wait for a slot.
    pub fn push(&mut self, id: RequestId, units: f64) {
        self.queue.push_back(QueuedRequest { id, units });
    }

    /// The request that has waited longest, which no longer waits.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        self.queue.pop_front()
    }

    /// Removes a request that still waits.
    pub fn remove(&mut self, id: &RequestId) -> Option<QueuedRequest> {
        let index = self.queue.iter().position(|queued| queued.id == *id)?;
        self.queue.remove(index)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/concurrency.rs"]
mod tests;
