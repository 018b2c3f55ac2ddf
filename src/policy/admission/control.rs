//! Applies a customer's limits to its requests, one after the other.

use crate::{
    interface::{Request, RequestId, Time},
    policy::{
        admission::{
            Admission, Candidate, concurrency::MAX_WAIT_SHARE, customer_table::CustomerTable,
            leasing::Leasing,
        },
        backends::Backends,
        context::Context,
        counter::{CounterReply, window::QuotaWindow},
        load_shedder::SPARE_CAPACITY_SHARE,
        timers::TimerPurpose,
    },
};

/// What a request is charged to.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Source {
    /// Units on lease, which are in the count.
    Lease,
    /// The even share; the counter has yet to be notified.
    EvenShare,
}

/// The state of all customers, and the lease calls on their behalf.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    customers: CustomerTable,
    leasing: Leasing,
}

impl AdmissionControl {
    /// Admission control that knows no customer yet.
    pub fn new(gateway_count: u32, plan_count: usize) -> Self {
        Self { customers: CustomerTable::default(), leasing: Leasing::new(gateway_count, plan_count) }
    }

    /// The customers that this gateway keeps state for.
    pub fn customers(&mut self) -> &mut CustomerTable {
        &mut self.customers
    }

    /// The calls a second that the counter may be sent at present.
    pub fn counter_calls_per_second(&self) -> f64 {
        self.leasing.calls_per_second()
    }

    /// Takes over from a predecessor, which may have spent all shares up to now.
    pub fn restore(&mut self, now: Time, counter_calls_per_second: f64) {
        self.leasing.restore_rate(counter_calls_per_second);
        self.customers.restored(now);
    }

    /// Decides about a request that has just arrived.
    pub fn admit(&mut self, request: &Request, backends: &Backends, context: &mut Context) -> Admission {
        let overloaded = Admission::Reject { retry_after: context.settings.max_retry_after };
        if !self.customers.make_room(&request.customer, context) {
            return overloaded;
        }
        let plan = context.plan(request.plan);
        self.customers.record_arrival(request, &plan, context);
        if !backends.has_capacity(1.0, context) {
            return overloaded;
        }
        let mut candidate = Candidate { request, plan, backends, context };
        if plan.rate <= 0.0 {
            return self.spend(&mut candidate, 0.0, Source::Lease);
        }
        self.admit_by_quota(&mut candidate)
    }

    /// Decides about a request that has waited for the counter.
    pub fn admit_after_wait(
        &mut self,
        request: &Request,
        has_reply: bool,
        backends: &Backends,
        context: &mut Context,
    ) -> Admission {
        let customer = self.customers.known(&request.customer);
        let lease_covers = customer.quota.lease_covers(request.units);
        let plan = context.plan(customer.plan);
        let mut candidate = Candidate { request, plan, backends, context };
        if lease_covers {
            self.spend(&mut candidate, request.units, Source::Lease)
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
        let may_call = self.leasing.may_call(request.units * plan.priority_weight, candidate.context);
        let window = QuotaWindow::current(&plan, &request.customer, now);
        let quota = &mut self.customers.known(&request.customer).quota;
        quota.enter_window(window.number);
        if quota.lease_covers(request.units) {
            return self.spend(candidate, request.units, Source::Lease);
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

    /// Calls the counter for a request. The first request of a customer does not wait for the reply where the
    /// even share covers it.
    fn request_lease(&mut self, candidate: &mut Candidate, window: QuotaWindow) -> Admission {
        let Candidate { request, plan, .. } = *candidate;
        let context = &mut *candidate.context;
        let customer = self.customers.known(&request.customer);
        let may_skip_wait = !customer.quota.is_known() && customer.share_holds(request.units, &plan);
        self.leasing.request(request, customer, &plan, window, context);
        if may_skip_wait && customer.even_share_covers(request.units, &plan, context) {
            if let Some(pending) = &mut customer.quota.pending {
                pending.waiting.pop();
            }
            return self.spend(candidate, request.units, Source::EvenShare);
        }
        Admission::AwaitLease
    }

    /// Decides by the even share, as the counter can't be used, or not in time.
    fn admit_by_even_share(&mut self, candidate: &mut Candidate) -> Admission {
        let Candidate { request, plan, .. } = *candidate;
        let customer = self.customers.known(&request.customer);
        if customer.even_share_covers(request.units, &plan, candidate.context) {
            self.spend(candidate, request.units, Source::EvenShare)
        } else {
            self.admit_over_quota(candidate)
        }
    }

    /// Decides about a request beyond the quota. It is rejected, unless the plan gives it more weight than it
    /// costs and the endpoints have capacity to spare. A ceiling holds all the same.
    fn admit_over_quota(&mut self, candidate: &mut Candidate) -> Admission {
        let Candidate { request, plan, backends, .. } = *candidate;
        let context = &mut *candidate.context;
        let is_worthwhile = plan.over_quota_weight_share > plan.over_quota_cost_share;
        let is_admitted = is_worthwhile
            && plan.max_concurrent_attempts == 0
            && backends.has_capacity(SPARE_CAPACITY_SHARE, context)
            && self.customers.ceiling_covers(request, request.units, &plan, context);
        let customer = self.customers.known(&request.customer);
        if !is_admitted {
            let missing = customer.quota.missing_units(context.now, &plan, request.units);
            return Admission::Reject { retry_after: missing / plan.rate };
        }
        customer.even_share.take_down_to_zero(request.units);
        customer.ceiling.spend(request.units);
        Admission::Admit
    }

    /// Spends units on a covered request and admits it as soon as its customer has a free concurrency slot.
    fn spend(&mut self, candidate: &mut Candidate, units: f64, source: Source) -> Admission {
        let request = candidate.request;
        let context = &mut *candidate.context;
        // The request may have waited, and its customer may have changed its plan meanwhile.
        candidate.plan = context.plan(request.plan);
        let plan = &candidate.plan;
        let mean_latency = candidate.backends.mean_latency();
        let customer = self.customers.known(&request.customer);
        if customer.exceeds_scarce_limit(plan, mean_latency, &mut context.rng) {
            return Admission::Reject { retry_after: mean_latency };
        }
        // Checked again: other requests may have spent the share while this one waited.
        if !self.customers.ceiling_covers(request, units, plan, context) {
            return self.reject_above_ceiling(candidate);
        }
        let customer = self.customers.known(&request.customer);
        customer.ceiling.spend(units);
        match source {
            Source::Lease => {
                customer.quota.spend_lease(units);
                customer.even_share.take_down_to_zero(0.0);
            }
            Source::EvenShare => {
                customer.even_share.take_down_to_zero(units);
                self.record_unreported(candidate, units);
            }
        }
        self.await_slot(candidate, units)
    }

    /// Records units that were spent without the counter: at their customer where its even share holds the
    /// request, else at its plan, as each gateway has too few of them then.
    fn record_unreported(&mut self, candidate: &Candidate, units: f64) {
        let plan = candidate.plan;
        let customer = self.customers.known(&candidate.request.customer);
        if customer.share_holds(units, &plan) {
            let most = (plan.burst / f64::from(customer.gateway_count)).max(units);
            customer.quota.spend_unreported(units, most);
        } else {
            self.leasing.record_unreported(customer.plan, units, candidate.context.now);
        }
    }

    /// Admits a covered request as soon as its customer has a free concurrency slot. Where the requests
    /// before it would take too long, it is rejected at once.
    fn await_slot(&mut self, candidate: &mut Candidate, units: f64) -> Admission {
        let Candidate { request, plan, backends, .. } = *candidate;
        let context = &mut *candidate.context;
        let customer = self.customers.known(&request.customer);
        let slots = customer.slots(&plan, context);
        if customer.concurrency.has_free_slot(slots) {
            return Admission::Admit;
        }
        let max_wait = MAX_WAIT_SHARE * context.settings.classes[request.class].latency_objective;
        let wait = customer.concurrency.expected_wait(slots, backends.mean_latency());
        if wait > max_wait {
            customer.refund(units);
            return Admission::Reject { retry_after: wait };
        }
        customer.concurrency.push(request.id.clone(), units);
        context.set_timer(context.now + max_wait, TimerPurpose::EndSlotWait(request.id.clone()));
        Admission::AwaitSlot
    }

    /// Rejects a request that the share of the ceiling does not cover, until about the next grant.
    fn reject_above_ceiling(&mut self, candidate: &Candidate) -> Admission {
        let Candidate { request, plan, .. } = *candidate;
        let gateway_count = self.customers.known(&request.customer).gateway_count;
        let holder_count = candidate.context.replicas.holder_count(gateway_count);
        Admission::Reject { retry_after: request.units * holder_count / plan.ceiling_rate }
    }

    /// Takes a reply of the counter. Returns the requests that waited for it.
    pub fn counter_replied(&mut self, reply: &CounterReply, context: &mut Context) -> Vec<RequestId> {
        self.leasing.settle(reply, &mut self.customers, context)
    }
}
