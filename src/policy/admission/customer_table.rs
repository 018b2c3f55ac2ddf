//! The customers that a gateway keeps state for, within a bound, and since when their shares are granted.

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

/// Time after which an idle customer is forgotten; its shares have been refilled by then.
const IDLE_LIFETIME: Seconds = 26.0;
/// A full table forgets at least one in so many customers, so that the next scan of the table is far off.
const FORGOTTEN_FRACTION: usize = 8;

/// See the [module](self).
#[derive(Debug, Default)]
pub struct CustomerTable {
    customers: BTreeMap<CustomerId, Customer>,
    /// Customers that were last seen before this moment may have been forgotten.
    forgotten_before: Time,
    /// When this process took over from a predecessor; 0 if it did not.
    restored_at: Time,
    /// Since when shares have been divided among the same processes; 0 before the first event.
    divided_since: Time,
}

impl CustomerTable {
    /// Notes the time of an event. Shares are granted from the first one on.
    pub fn begin(&mut self, now: Time) {
        if self.divided_since == 0.0 {
            self.divided_since = now;
        }
    }

    /// Notes that shares are divided among another number of processes from now on.
    pub fn replicas_changed(&mut self, now: Time) {
        self.divided_since = now;
    }

    /// Notes that a predecessor has handed over.
    pub fn restored(&mut self, now: Time) {
        self.restored_at = now;
    }

    /// A customer, if it is known.
    pub(super) fn get_mut(&mut self, id: &CustomerId) -> Option<&mut Customer> {
        self.customers.get_mut(id)
    }

    /// The customer of a request that is being decided about.
    ///
    /// # Panics
    /// If the customer is unknown. It can't be forgotten while a request of it waits, as it is in use then.
    pub(super) fn known(&mut self, id: &CustomerId) -> &mut Customer {
        self.customers.get_mut(id).expect("a customer is recorded with its request and kept while one waits")
    }

    /// Counts an attempt for a customer as in flight.
    pub fn record_attempt_start(&mut self, customer: &CustomerId) {
        if let Some(customer) = self.customers.get_mut(customer) {
            customer.concurrency.record_start();
        }
    }

    /// Counts an attempt for a customer as no longer in flight, or as one whose response has started.
    pub fn record_attempt_end(&mut self, customer: &CustomerId) {
        if let Some(customer) = self.customers.get_mut(customer) {
            customer.concurrency.record_end();
        }
    }

    /// Records the units that a request really took, where they are settled after the response.
    pub fn settle_units(&mut self, request: &Request, actual_units: f64) {
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.quota.record_actual_units(actual_units - request.units);
        }
    }

    /// Whether the table has room for a customer that may be unknown. A full table forgets the customers that
    /// have been idle longest.
    pub fn make_room(&mut self, id: &CustomerId, context: &Context) -> bool {
        let max_customers = context.settings.max_customers;
        if self.customers.len() < max_customers || self.customers.contains_key(id) {
            return true;
        }
        let target = max_customers - max_customers.div_ceil(FORGOTTEN_FRACTION);
        let mut age = IDLE_LIFETIME;
        while self.customers.len() > target && age > context.settings.event_interval {
            age /= 2.0;
            self.forget(context.now, age);
        }
        self.customers.len() < max_customers
    }

    /// Forgets the customers that have been idle for long.
    pub fn forget_idle(&mut self, now: Time) {
        self.forget(now, IDLE_LIFETIME);
    }

    fn forget(&mut self, now: Time, age: Seconds) {
        self.forgotten_before = self.forgotten_before.max(now - age);
        self.customers.retain(|_, customer| now - customer.last_seen < age || customer.is_in_use());
    }

    /// Records a request at its customer, who may be new.
    pub fn record_arrival(&mut self, request: &Request, plan: &Plan, context: &Context) {
        let now = context.now;
        let total_gateways = context.settings.gateway_count;
        let gateway_count = request.customer_gateway_count.clamp(1, total_gateways);
        let even_share = if self.restored_at == 0.0 {
            let burst = plan.burst / context.replicas.holder_count(gateway_count);
            TokenBucket { level: burst.max(request.units), updated_at: now }
        } else {
            // The predecessor may have spent all that was granted before.
            TokenBucket { level: 0.0, updated_at: self.restored_at }
        };
        // A restarted gateway does not know what it spent of a ceiling, so it starts with what was granted
        // since.
        let ceiling = CeilingShare::empty_since(self.unspent_since());
        let new = || Customer::new(even_share, ceiling);
        let customer = self.customers.entry(request.customer.clone()).or_insert_with(new);
        customer.plan = request.plan;
        customer.gateway_count = gateway_count;
        customer.last_seen = now;
        let first_gateway = request.first_gateway % total_gateways;
        let gateway_index = context.settings.gateway_index;
        customer.position = (gateway_index + total_gateways - first_gateway) % total_gateways;
        customer.quota.record_demand(now, request.units);
        customer.concurrency.record_arrival(now);
    }

    /// Whether this gateway's share of the hard ceiling covers `units` of a request.
    pub fn ceiling_covers(&mut self, request: &Request, units: f64, plan: &Plan, context: &Context) -> bool {
        let unspent_since = self.unspent_since();
        self.known(&request.customer).ceiling_covers(&request.customer, units, plan, unspent_since, context)
    }

    /// Since when grants of a ceiling are certainly unspent, where nothing is known of a customer.
    fn unspent_since(&self) -> Time {
        self.divided_since.max(self.forgotten_before)
    }

    /// Ends the wait for a lease call that takes too long. Returns the requests that waited for it.
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

    /// The next request of a customer that may use a concurrency slot that has come free.
    pub fn dequeue_for_free_slot(
        &mut self,
        customer: &CustomerId,
        context: &Context,
    ) -> Option<QueuedRequest> {
        let customer = self.customers.get_mut(customer)?;
        let slots = customer.slots(&context.plan(customer.plan), context);
        if customer.concurrency.has_free_slot(slots) { customer.concurrency.pop() } else { None }
    }

    /// Returns the units of a customer's request that was not sent after all.
    pub fn refund(&mut self, customer: &CustomerId, units: f64) {
        if let Some(customer) = self.customers.get_mut(customer) {
            customer.refund(units);
        }
    }

    /// Ends a request's wait for a concurrency slot. Returns whether it was still waiting.
    pub fn end_slot_wait(&mut self, request: &Request) -> bool {
        let Some(customer) = self.customers.get_mut(&request.customer) else { return false };
        let Some(queued) = customer.concurrency.remove(&request.id) else { return false };
        customer.refund(queued.units);
        true
    }
}
