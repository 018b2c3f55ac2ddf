//! Leases blocks of customers' quotas from the counter and settles the counter's replies.

use crate::{
    interface::{Request, RequestId, Seconds, Status, Time},
    policy::{
        admission::{
            concurrency::ARRIVALS_TIME_CONSTANT,
            customer::Customer,
            customer_table::CustomerTable,
            leased_quota::{LeaseReply, PendingLease},
            unreported_units::UnreportedUnitsEstimator,
        },
        context::Context,
        counter::{
            CounterCaller, CounterReply,
            call::{CallPurpose, CountKey, CounterCall},
            window::QuotaWindow,
        },
        timers::TimerPurpose,
    },
    settings::{Plan, Settings},
};

/// Longest wait of a request for the counter's reply, as a share of `counter_timeout`.
const MAX_REPLY_WAIT_SHARE: f64 = 0.4;
/// Units up to which a count is taken for zero, because of rounding.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Calls the counter for leases and corrections of counts.
#[derive(Debug, Default)]
pub struct LeaseManager {
    counter: CounterCaller,
    /// Units that are reported per plan instead of per customer, by index of the plan.
    unreported: Vec<UnreportedUnitsEstimator>,
}

impl LeaseManager {
    /// Creates the lease manager of one of `gateway_count` gateways.
    pub fn new(gateway_count: u32, plan_count: usize) -> Self {
        let unreported = vec![UnreportedUnitsEstimator::default(); plan_count];
        Self { counter: CounterCaller::new(gateway_count), unreported }
    }

    /// Returns the longest time that a request may wait for the counter's reply.
    pub fn max_wait(settings: &Settings) -> Seconds {
        MAX_REPLY_WAIT_SHARE * settings.counter_timeout
    }

    /// Returns the present limit on counter calls, in calls a second.
    pub fn calls_per_second(&self) -> f64 {
        self.counter.calls_per_second()
    }

    /// Continues with the call rate of a predecessor, which called the same counter.
    pub fn restore_rate(&mut self, calls_per_second: f64) {
        self.counter.restore_rate(calls_per_second);
    }

    /// Returns whether a lease call may be made now for a request of this weight.
    pub fn may_call(&mut self, weight: f64, context: &Context) -> bool {
        self.counter.may_call(weight, context)
    }

    /// Records units spent without the counter for a plan whose customers each spend too few at a gateway to
    /// be reported by customer.
    pub fn record_unreported(&mut self, plan_index: usize, units: f64, now: Time) {
        self.unreported[plan_index].record_spent(now, units, ARRIVALS_TIME_CONSTANT);
    }

    /// Calls the counter for a block that covers a request and recent demand, and reports unreported units.
    /// The request waits for the reply.
    pub fn request_lease(
        &mut self,
        request: &Request,
        customer: &mut Customer,
        plan: &Plan,
        window: QuotaWindow,
        context: &mut Context,
    ) {
        let now = context.now;
        let wanted = customer.quota.wanted_units(now, plan, request.units, customer.gateway_count);
        let estimator = &mut self.unreported[customer.plan_index];
        estimator.record_requested(now, request.units, ARRIVALS_TIME_CONSTANT);
        let estimated_unreported = if customer.even_share_can_hold(request.units, plan) {
            0.0
        } else {
            estimator.take_report(request.units, plan.burst)
        };
        let unreported = customer.quota.begin_lease_call(window.number) + estimated_unreported;
        let key = CountKey {
            customer: request.customer.clone(),
            plan_index: customer.plan_index,
            window: window.number,
        };
        let purpose = CallPurpose::Lease { wanted, unreported };
        let call = CounterCall { key, amount: wanted + unreported, purpose };
        self.counter.call(call, window.length, context);
        let purpose = TimerPurpose::EndLeaseWait(request.customer.clone());
        let timer = context.set_timer(now + Self::max_wait(&context.settings), purpose);
        let waiting = vec![request.id.clone()];
        customer.quota.pending = Some(PendingLease { timer, is_overdue: false, waiting });
    }

    /// Applies a reply to the customer's quota. Returns the requests that waited for it.
    pub fn settle(
        &mut self,
        reply: &CounterReply,
        customers: &mut CustomerTable,
        context: &mut Context,
    ) -> Vec<RequestId> {
        let Some(call) = self.counter.take_answered(reply, context) else { return Vec::new() };
        let Some(customer) = customers.get_mut(&call.key.customer) else { return Vec::new() };
        let plan = context.plan(customer.plan_index);
        let total = reply.total;
        match (reply.status, call.purpose) {
            (Status::Ok, CallPurpose::ReadPrevious) => {
                self.settle_previous(&call, total, customer, &plan, context);
            }
            (Status::Ok, CallPurpose::Lease { wanted, unreported }) => {
                let reply = LeaseReply { window: call.key.window, wanted, unreported, total };
                self.settle_lease(&call, reply, customer, &plan, context);
            }
            // The counter added nothing, so the units must be reported again.
            (Status::Rejected | Status::ConnectFailed, CallPurpose::Lease { unreported, .. }) => {
                customer.quota.report_later(unreported, &plan);
            }
            (Status::Rejected | Status::ConnectFailed, CallPurpose::Correct) => {
                customer.quota.report_later(call.amount, &plan);
            }
            // The counter added the amount but its reply was invalid. No gateway received the block, so the
            // count is too high by it.
            (Status::Error, CallPurpose::Lease { wanted, .. }) => {
                customer.quota.report_later(-wanted, &plan);
            }
            // The amount may have been added. The count stays as it is, so that the quota is not exceeded.
            _ => {}
        }
        if !matches!(call.purpose, CallPurpose::Lease { .. }) {
            return Vec::new();
        }
        customer.quota.pending.take().map(|pending| pending.waiting).unwrap_or_default()
    }

    /// Applies a lease reply to the quota, then corrects the count or reads that of the previous window if
    /// the quota requires it.
    fn settle_lease(
        &mut self,
        call: &CounterCall,
        reply: LeaseReply,
        customer: &mut Customer,
        plan: &Plan,
        context: &mut Context,
    ) {
        let current = QuotaWindow::current(plan, &call.key.customer, context.now);
        let settlement = customer.quota.settle_lease(reply, current, plan, context.now);
        let plan_index = customer.plan_index;
        if let Some(correction) = settlement.correction {
            let key = CountKey { plan_index, ..call.key.clone() };
            self.call_for_settlement(key, correction, CallPurpose::Correct, current, context);
        }
        if settlement.must_read_previous {
            let window = call.key.window - 1;
            let key = CountKey { plan_index, window, ..call.key.clone() };
            self.call_for_settlement(key, 0.0, CallPurpose::ReadPrevious, current, context);
        }
    }

    /// Applies the count of the previous window to the quota and corrects the current count. Ignores a window
    /// that is no longer the previous one, and a count that was zero before the call.
    fn settle_previous(
        &mut self,
        call: &CounterCall,
        total: f64,
        customer: &mut Customer,
        plan: &Plan,
        context: &mut Context,
    ) {
        let current = QuotaWindow::current(plan, &call.key.customer, context.now);
        let is_previous = call.key.window + 1 == current.number;
        let was_used = total - call.amount > ROUNDING_TOLERANCE;
        if !is_previous || !was_used {
            return;
        }
        if let Some(missing) = customer.quota.settle_previous(total, current, plan) {
            let key =
                CountKey { plan_index: customer.plan_index, window: current.number, ..call.key.clone() };
            self.call_for_settlement(key, missing, CallPurpose::Correct, current, context);
        }
    }

    /// Makes a counter call that a settlement requires: a correction of a count, or a read of the previous
    /// window's count.
    fn call_for_settlement(
        &mut self,
        key: CountKey,
        amount: f64,
        purpose: CallPurpose,
        current: QuotaWindow,
        context: &mut Context,
    ) {
        self.counter.call(CounterCall { key, amount, purpose }, current.length, context);
    }
}
