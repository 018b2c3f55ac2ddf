//! Enforces a plan's limit on a customer's concurrent attempts. A request that the quota covers waits briefly
//! for a slot if the limit is reached.

use crate::{
    interface::{RequestId, Seconds, Time},
    policy::replicas::Replicas,
    primitives::decaying_sum::DecayingSum,
    settings::Plan,
};
use std::collections::VecDeque;

/// Time constant over which a customer's request rate is averaged.
pub const ARRIVALS_TIME_CONSTANT: Seconds = 20.0;
/// Share of the latency objective that a request may wait for a slot. The rest is left for the response.
pub const MAX_SLOT_WAIT_SHARE: f64 = 0.4;
/// Share of a scarce limit that the gateways use on average. The rest allows for chance, as gateways may use
/// it at the same time.
const SCARCE_LIMIT_SHARE: f64 = 0.4;
/// Number of gateways per slot above which a limit is scarce.
const SCARCE_LIMIT_GATEWAYS: u32 = 4;

/// Returns the number of slots of the holder at `index`, from 0, if `slots` are divided evenly. The remainder
/// goes to the first holders, one slot each.
fn even_slots(slots: u32, index: u32, holder_count: u32) -> u32 {
    slots / holder_count + u32::from(index < slots % holder_count)
}

/// Request that waits for a slot. Its units are already spent.
#[derive(Debug)]
pub struct QueuedRequest {
    pub id: RequestId,
    /// Units spent on the request, to be refunded if it is never sent.
    pub units: f64,
}

/// Attempts of one customer in flight at this process, and the requests that wait for a slot.
#[derive(Debug, Default)]
pub struct ConcurrencyLimiter {
    attempts_in_flight: u32,
    queue: VecDeque<QueuedRequest>,
    /// Recent requests, for the request rate.
    arrivals: DecayingSum,
}

impl ConcurrencyLimiter {
    /// Adds an arriving request to the request rate.
    pub fn record_arrival(&mut self, now: Time) {
        self.arrivals.add(now, 1.0, ARRIVALS_TIME_CONSTANT);
    }

    /// Returns this process's share of the plan's limit: at least one slot, `u32::MAX` if there is no limit.
    pub fn slots(plan: &Plan, position: u32, gateway_count: u32, replicas: Replicas) -> u32 {
        if plan.max_concurrent_attempts == 0 {
            return u32::MAX;
        }
        let gateway_slots = even_slots(plan.max_concurrent_attempts, position, gateway_count);
        even_slots(gateway_slots, replicas.index, replicas.count).max(1)
    }

    /// Returns whether fewer attempts than `slots` are in flight.
    pub fn has_free_slot(&self, slots: u32) -> bool {
        self.attempts_in_flight < slots
    }

    /// Returns whether any attempt is in flight.
    pub fn has_attempts_in_flight(&self) -> bool {
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

    /// Returns whether to reject a request under a limit with far fewer slots than there are gateways.
    ///
    /// The request rate at this gateway gives an estimate of the attempts that all gateways have in flight
    /// (Little's law). Requests are rejected at random, the more often the higher the estimate.
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

    /// Returns the time that one more request is expected to wait for a slot.
    pub fn expected_wait(&self, slots: u32, mean_latency: Seconds) -> Seconds {
        (self.queue.len() + 1) as f64 * mean_latency / f64::from(slots)
    }

    /// Adds a request to the end of the queue for a slot.
    pub fn enqueue(&mut self, id: RequestId, units: f64) {
        self.queue.push_back(QueuedRequest { id, units });
    }

    /// Removes the request that has waited longest.
    pub fn dequeue(&mut self) -> Option<QueuedRequest> {
        self.queue.pop_front()
    }

    /// Removes a request from the queue; `None` if it is not queued.
    pub fn remove_queued(&mut self, id: &RequestId) -> Option<QueuedRequest> {
        let index = self.queue.iter().position(|queued| queued.id == *id)?;
        self.queue.remove(index)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/concurrency.rs"]
mod tests;
