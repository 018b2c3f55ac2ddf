//! Keeps the state of a bounded number of customers and evicts idle ones.

use crate::{
    interface::{CustomerId, Request, RequestId, Seconds, Time},
    policy::{
        admission::{ceiling::CeilingShare, concurrency::QueuedRequest, customer::Customer},
        context::Context,
    },
    primitives::token_bucket::TokenBucket,
    settings::Plan,
};
use std::collections::BTreeMap;

/// Time after which an idle customer is evicted. Its shares have been refilled by then.
const IDLE_TIMEOUT: Seconds = 26.0;
/// A full table evicts at least one in this many customers, so that it is not scanned again soon.
const EVICTION_DIVISOR: usize = 8;

/// Customers by identifier, and the times after which shares of theirs are certainly unspent.
#[derive(Debug, Default)]
pub struct CustomerTable {
    customers: BTreeMap<CustomerId, Customer>,
    /// Customers whose last request arrived before this time may have been evicted.
    evicted_before: Time,
    /// Time when this process took over from a predecessor; 0 if it did not.
    restored_at: Time,
    /// Time since which the number of processes that divide the shares is the same; 0 before the first event.
    shares_unchanged_since: Time,
}

impl CustomerTable {
    /// Records the time of the first event, from which on shares are granted. Later calls have no effect.
    pub fn record_first_event(&mut self, now: Time) {
        if self.shares_unchanged_since == 0.0 {
            self.shares_unchanged_since = now;
        }
    }

    /// Records that shares are divided among another number of processes from `now` on.
    pub fn replicas_changed(&mut self, now: Time) {
        self.shares_unchanged_since = now;
    }

    /// Records that a predecessor has handed over its state.
    pub fn record_restore(&mut self, now: Time) {
        self.restored_at = now;
    }

    /// Returns a customer, or `None` if the table does not hold it.
    pub(super) fn get_mut(&mut self, id: &CustomerId) -> Option<&mut Customer> {
        self.customers.get_mut(id)
    }

    /// Returns the customer of a request that is being decided about.
    ///
    /// # Panics
    /// If the customer is not in the table. A customer is in use, and so not evicted, while one of its
    /// requests waits.
    pub(super) fn expect_mut(&mut self, id: &CustomerId) -> &mut Customer {
        self.customers.get_mut(id).expect("customer of an arrived or waiting request must be in the table")
    }

    /// Counts an attempt for a customer as in flight.
    pub fn record_attempt_start(&mut self, customer: &CustomerId) {
        if let Some(customer) = self.customers.get_mut(customer) {
            customer.concurrency.record_start();
        }
    }

    /// Counts an attempt for a customer as ended, or as one whose streamed response has started.
    pub fn record_attempt_end(&mut self, customer: &CustomerId) {
        if let Some(customer) = self.customers.get_mut(customer) {
            customer.concurrency.record_end();
        }
    }

    /// Records the units that a request actually took, where they are settled after the response.
    pub fn settle_units(&mut self, request: &Request, actual_units: f64) {
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.quota.record_actual_units(actual_units - request.units);
        }
    }

    /// Ensures that the table can hold a customer, which may be new; a full table evicts customers that have
    /// been idle longest. Returns whether it can.
    pub fn make_room(&mut self, id: &CustomerId, context: &Context) -> bool {
        let max_customers = context.settings.max_customers;
        if self.customers.len() < max_customers || self.customers.contains_key(id) {
            return true;
        }
        let target_count = max_customers - max_customers.div_ceil(EVICTION_DIVISOR);
        let mut idle_time = IDLE_TIMEOUT;
        while self.customers.len() > target_count && idle_time > context.settings.event_interval {
            idle_time /= 2.0;
            self.evict(context.now, idle_time);
        }
        self.customers.len() < max_customers
    }

    /// Evicts the customers that have been idle for [`IDLE_TIMEOUT`].
    pub fn evict_idle(&mut self, now: Time) {
        self.evict(now, IDLE_TIMEOUT);
    }

    fn evict(&mut self, now: Time, idle_time: Seconds) {
        self.evicted_before = self.evicted_before.max(now - idle_time);
        self.customers.retain(|_, customer| now - customer.last_seen < idle_time || customer.is_in_use());
    }

    /// Records a request that has arrived for its customer, and adds the customer if it is new.
    pub fn record_arrival(&mut self, request: &Request, plan: &Plan, context: &Context) {
        let now = context.now;
        let total_gateways = context.settings.gateway_count;
        let gateway_count = request.customer_gateway_count.clamp(1, total_gateways);
        let even_share = if self.restored_at == 0.0 {
            let burst = plan.burst / context.replicas.holder_count(gateway_count);
            TokenBucket { level: burst.max(request.units), updated_at: now }
        } else {
            // The predecessor may have spent all units granted before it handed over.
            TokenBucket { level: 0.0, updated_at: self.restored_at }
        };
        // A restarted gateway does not know what it spent of a ceiling before, so only later grants count.
        let ceiling = CeilingShare::empty_since(self.unspent_since());
        let new_customer = || Customer::new(even_share, ceiling);
        let customer = self.customers.entry(request.customer.clone()).or_insert_with(new_customer);
        customer.plan_index = request.plan;
        customer.gateway_count = gateway_count;
        customer.last_seen = now;
        let first_gateway = request.first_gateway % total_gateways;
        let gateway_index = context.settings.gateway_index;
        customer.position = (gateway_index + total_gateways - first_gateway) % total_gateways;
        customer.quota.record_demand(now, request.units);
        customer.concurrency.record_arrival(now);
    }

    /// Returns whether this process's share of the hard ceiling covers `units` of a request.
    pub fn ceiling_covers(&mut self, request: &Request, units: f64, plan: &Plan, context: &Context) -> bool {
        let unspent_since = self.unspent_since();
        self.expect_mut(&request.customer).ceiling_covers(
            &request.customer,
            units,
            plan,
            unspent_since,
            context,
        )
    }

    /// Returns the time since which a ceiling's grants are certainly unspent for a customer new in the table.
    fn unspent_since(&self) -> Time {
        self.shares_unchanged_since.max(self.evicted_before)
    }

    /// Ends the wait for the reply to a lease call when `timer` is due. Returns the requests that waited,
    /// none if the timer belongs to an earlier call.
    pub fn end_lease_wait(&mut self, customer: &CustomerId, timer: u64) -> Vec<RequestId> {
        let Some(customer) = self.customers.get_mut(customer) else { return Vec::new() };
        match &mut customer.quota.pending {
            Some(pending) if pending.timer == timer => {
                pending.is_overdue = true;
                std::mem::take(&mut pending.waiting)
            }
            _ => Vec::new(),
        }
    }

    /// Removes a customer's longest-waiting request from the queue if a concurrency slot is free.
    pub fn dequeue_for_free_slot(
        &mut self,
        customer: &CustomerId,
        context: &Context,
    ) -> Option<QueuedRequest> {
        let customer = self.customers.get_mut(customer)?;
        let slots = customer.slots(&context.plan(customer.plan_index), context);
        if customer.concurrency.has_free_slot(slots) { customer.concurrency.dequeue() } else { None }
    }

    /// Gives back the units of a customer's request that was not sent.
    pub fn refund(&mut self, customer: &CustomerId, units: f64) {
        if let Some(customer) = self.customers.get_mut(customer) {
            customer.refund(units);
        }
    }

    /// Ends a request's wait for a concurrency slot and refunds its units. Returns whether it still waited.
    pub fn end_slot_wait(&mut self, request: &Request) -> bool {
        let Some(customer) = self.customers.get_mut(&request.customer) else { return false };
        let Some(queued) = customer.concurrency.remove_queued(&request.id) else { return false };
        customer.refund(queued.units);
        true
    }
}
