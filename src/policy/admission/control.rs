//! Decides whether to admit a request by applying its customer's limits in order.

use crate::{
    interface::{RejectionReason, Request, RequestId, Time},
    policy::{
        admission::{
            Admission, Candidate, concurrency::MAX_SLOT_WAIT_SHARE, customer_table::CustomerTable,
            leasing::LeaseManager,
        },
        backends::Backends,
        context::Context,
        counter::{CounterReply, window::QuotaWindow},
        load_shedder::SPARE_CAPACITY_SHARE,
        timers::TimerPurpose,
    },
};

/// Budget that a request's units are taken from.
#[derive(Debug, Clone, Copy, PartialEq)]
enum UnitSource {
    /// The lease; the count includes its units already.
    Lease,
    /// The even share; the units are reported to the counter later.
    EvenShare,
}

/// State of all customers, and the leases of their quotas.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    customers: CustomerTable,
    leases: LeaseManager,
}

impl AdmissionControl {
    /// Creates admission control for one of `gateway_count` gateways, without any customer.
    pub fn new(gateway_count: u32, plan_count: usize) -> Self {
        Self { customers: CustomerTable::default(), leases: LeaseManager::new(gateway_count, plan_count) }
    }

    /// Returns the customers that this gateway keeps state for.
    pub fn customers(&mut self) -> &mut CustomerTable {
        &mut self.customers
    }

    /// Returns the present limit on counter calls, in calls a second.
    pub fn counter_calls_per_second(&self) -> f64 {
        self.leases.calls_per_second()
    }

    /// Takes over from a predecessor, which may have spent all shares granted up to `now`.
    pub fn restore(&mut self, now: Time, counter_calls_per_second: f64) {
        self.leases.restore_rate(counter_calls_per_second);
        self.customers.record_restore(now);
    }

    /// Decides about a request that has just arrived.
    pub fn admit(&mut self, request: &Request, backends: &Backends, context: &mut Context) -> Admission {
        let retry_after = context.settings.max_retry_after;
        if !self.customers.make_room(&request.customer, context) {
            return Admission::reject(RejectionReason::TooManyCustomers, retry_after);
        }
        let plan = context.plan(request.plan);
        self.customers.record_arrival(request, &plan, context);
        if !backends.has_capacity(1.0, context) {
            return Admission::reject(RejectionReason::NoCapacity, retry_after);
        }
        let mut candidate = Candidate { request, plan, backends, context };
        if plan.rate <= 0.0 {
            return self.spend(&mut candidate, 0.0, UnitSource::Lease);
        }
        self.admit_by_quota(&mut candidate)
    }

    /// Decides about a request that has waited for the counter. `has_reply` is false if no successful reply
    /// has come.
    pub fn admit_after_wait(
        &mut self,
        request: &Request,
        has_reply: bool,
        backends: &Backends,
        context: &mut Context,
    ) -> Admission {
        let customer = self.customers.expect_mut(&request.customer);
        let lease_covers = customer.quota.lease_covers(request.units);
        let plan = context.plan(customer.plan_index);
        let mut candidate = Candidate { request, plan, backends, context };
        if lease_covers {
            self.spend(&mut candidate, request.units, UnitSource::Lease)
        } else if has_reply {
            self.admit_over_quota(&mut candidate)
        } else {
            self.admit_by_even_share(&mut candidate)
        }
    }

    fn admit_by_quota(&mut self, candidate: &mut Candidate) -> Admission {
        let Candidate { request, plan, .. } = *candidate;
        let now = candidate.context.now;
        if !self.customers.ceiling_covers(request, request.units, &plan, candidate.context) {
            return self.reject_above_ceiling(candidate);
        }
        let may_call = self.leases.may_call(request.units * plan.priority_weight, candidate.context);
        let window = QuotaWindow::current(&plan, &request.customer, now);
        let quota = &mut self.customers.expect_mut(&request.customer).quota;
        quota.enter_window(window.number);
        if quota.lease_covers(request.units) {
            return self.spend(candidate, request.units, UnitSource::Lease);
        }
        if let Some(pending) = quota.pending.as_mut().filter(|pending| !pending.is_overdue) {
            pending.waiting.push(request.id.clone());
            return Admission::AwaitLease;
        }
        if quota.is_exhausted(now, &plan, request.units) {
            return self.admit_over_quota(candidate);
        }
        if quota.pending.is_some() || !may_call {
            return self.admit_by_even_share(candidate);
        }
        self.request_lease(candidate, window)
    }

    /// Requests a lease from the counter. While nothing is known of the customer's quota, a request that the
    /// even share covers does not wait for the reply.
    fn request_lease(&mut self, candidate: &mut Candidate, window: QuotaWindow) -> Admission {
        let Candidate { request, plan, .. } = *candidate;
        let context = &mut *candidate.context;
        let customer = self.customers.expect_mut(&request.customer);
        let may_skip_wait = !customer.quota.is_known() && customer.even_share_can_hold(request.units, &plan);
        self.leases.request_lease(request, customer, &plan, window, context);
        if may_skip_wait && customer.even_share_covers(request.units, &plan, context) {
            if let Some(pending) = &mut customer.quota.pending {
                pending.waiting.pop();
            }
            return self.spend(candidate, request.units, UnitSource::EvenShare);
        }
        Admission::AwaitLease
    }

    /// Decides by the even share when the counter cannot be called or does not reply in time.
    fn admit_by_even_share(&mut self, candidate: &mut Candidate) -> Admission {
        let Candidate { request, plan, .. } = *candidate;
        let customer = self.customers.expect_mut(&request.customer);
        if customer.even_share_covers(request.units, &plan, candidate.context) {
            self.spend(candidate, request.units, UnitSource::EvenShare)
        } else {
            self.admit_over_quota(candidate)
        }
    }

    /// Rejects a request beyond the quota, unless its plan gives it more weight than it costs and does not
    /// limit concurrent attempts, and the endpoints have spare capacity. The ceiling applies in any case.
    fn admit_over_quota(&mut self, candidate: &mut Candidate) -> Admission {
        let Candidate { request, plan, backends, .. } = *candidate;
        let context = &mut *candidate.context;
        let is_worthwhile = plan.over_quota_weight_share > plan.over_quota_cost_share;
        let is_admitted = is_worthwhile
            && plan.max_concurrent_attempts == 0
            && backends.has_capacity(SPARE_CAPACITY_SHARE, context)
            && self.customers.ceiling_covers(request, request.units, &plan, context);
        let customer = self.customers.expect_mut(&request.customer);
        if !is_admitted {
            let missing = customer.quota.missing_units(context.now, &plan, request.units);
            return Admission::reject(RejectionReason::OverQuota, missing / plan.rate);
        }
        customer.even_share.saturating_take(request.units);
        customer.ceiling.spend(request.units);
        Admission::Admit
    }

    /// Takes a request's units from `source` and admits the request as soon as its customer has a free slot.
    /// Rejects it above a scarce concurrency limit or above the ceiling.
    fn spend(&mut self, candidate: &mut Candidate, units: f64, source: UnitSource) -> Admission {
        let request = candidate.request;
        let context = &mut *candidate.context;
        // The customer may have changed its plan while the request waited.
        candidate.plan = context.plan(request.plan);
        let plan = &candidate.plan;
        let mean_latency = candidate.backends.mean_latency();
        let customer = self.customers.expect_mut(&request.customer);
        if customer.exceeds_scarce_limit(plan, mean_latency, &mut context.rng) {
            return Admission::reject(RejectionReason::ConcurrencyLimit, mean_latency);
        }
        // Checks again, as other requests may have spent the share while this one waited.
        if !self.customers.ceiling_covers(request, units, plan, context) {
            return self.reject_above_ceiling(candidate);
        }
        let customer = self.customers.expect_mut(&request.customer);
        customer.ceiling.spend(units);
        match source {
            UnitSource::Lease => {
                customer.quota.spend_lease(units);
                customer.even_share.saturating_take(0.0);
            }
            UnitSource::EvenShare => {
                customer.even_share.saturating_take(units);
                self.record_unreported(candidate, units);
            }
        }
        self.await_slot(candidate, units)
    }

    /// Records units spent without the counter: for the customer if its even share can hold the request, else
    /// for the plan, as each gateway then spends too few units to report them customer by customer.
    fn record_unreported(&mut self, candidate: &Candidate, units: f64) {
        let plan = candidate.plan;
        let customer = self.customers.expect_mut(&candidate.request.customer);
        if customer.even_share_can_hold(units, &plan) {
            let max_units = (plan.burst / f64::from(customer.gateway_count)).max(units);
            customer.quota.spend_unreported(units, max_units);
        } else {
            self.leases.record_unreported(customer.plan_index, units, candidate.context.now);
        }
    }

    /// Admits a covered request as soon as its customer has a free concurrency slot. Rejects it at once if
    /// the expected wait is too long.
    fn await_slot(&mut self, candidate: &mut Candidate, units: f64) -> Admission {
        let Candidate { request, plan, backends, .. } = *candidate;
        let context = &mut *candidate.context;
        let customer = self.customers.expect_mut(&request.customer);
        let slots = customer.slots(&plan, context);
        if customer.concurrency.has_free_slot(slots) {
            return Admission::Admit;
        }
        let max_wait = MAX_SLOT_WAIT_SHARE * context.settings.classes[request.class].latency_objective;
        let wait = customer.concurrency.expected_wait(slots, backends.mean_latency());
        if wait > max_wait {
            customer.refund(units);
            return Admission::reject(RejectionReason::ConcurrencyLimit, wait);
        }
        customer.concurrency.enqueue(request.id.clone(), units);
        context.set_timer(context.now + max_wait, TimerPurpose::EndSlotWait(request.id.clone()));
        Admission::AwaitSlot
    }

    /// Rejects a request that the share of the ceiling does not cover. Asks the client to wait about until
    /// the next grant.
    fn reject_above_ceiling(&mut self, candidate: &Candidate) -> Admission {
        let Candidate { request, plan, .. } = *candidate;
        let gateway_count = self.customers.expect_mut(&request.customer).gateway_count;
        let holder_count = candidate.context.replicas.holder_count(gateway_count);
        let retry_after = request.units * holder_count / plan.ceiling_rate;
        Admission::reject(RejectionReason::AboveCeiling, retry_after)
    }

    /// Handles the end of a counter call. Returns the requests that waited for it.
    pub fn counter_replied(&mut self, reply: &CounterReply, context: &mut Context) -> Vec<RequestId> {
        self.leases.settle(reply, &mut self.customers, context)
    }
}
