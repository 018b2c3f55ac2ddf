//! The life of each open request: admission, attempts, retries, hedged requests and the final response.

use crate::{
    interface::{Action, CustomerId, RejectionReason, Request, RequestId, Status},
    policy::{
        admission::{Admission, AdmissionControl, Rejection, is_servable},
        backends::Backends,
        context::Context,
        counter::CounterReply,
        load_shedder::SPARE_CAPACITY_SHARE,
        requests::{
            attempt_end::AttemptEnd,
            hedging::hedge_delay,
            request_state::RequestState,
            retry_budget::{RetryBudget, RetryReason},
        },
        routing::AttemptOutcome,
        timers::TimerPurpose,
    },
};
use std::collections::BTreeMap;

/// The open requests, with the retry budget and admission control that apply to them.
#[derive(Debug, Default)]
pub struct RequestLifecycle {
    requests: BTreeMap<RequestId, RequestState>,
    retry_budget: RetryBudget,
    admission: AdmissionControl,
}

impl RequestLifecycle {
    /// Creates a lifecycle without requests.
    pub fn new(gateway_count: u32, plan_count: usize) -> Self {
        Self { admission: AdmissionControl::new(gateway_count, plan_count), ..Self::default() }
    }

    /// Returns the admission control.
    pub fn admission(&mut self) -> &mut AdmissionControl {
        &mut self.admission
    }

    /// Returns the rate of counter calls that is allowed at present.
    pub fn counter_calls_per_second(&self) -> f64 {
        self.admission.counter_calls_per_second()
    }

    /// Admits or rejects a request that has arrived, or lets it wait. Ignores a request that is already open.
    pub fn request_arrived(&mut self, request: Request, backends: &mut Backends, context: &mut Context) {
        if self.requests.contains_key(&request.id) {
            return;
        }
        let is_full = self.requests.len() >= context.settings.max_open_requests as usize;
        let id = request.id.clone();
        let state = self.requests.entry(id.clone()).or_insert(RequestState::new(request, context.now));
        let admission = if !is_servable(&state.request, context) {
            Admission::reject(RejectionReason::NotServable, 0.0)
        } else if is_full {
            Admission::reject(RejectionReason::TooManyOpenRequests, context.settings.max_retry_after)
        } else {
            self.admission.admit(&state.request, backends, context)
        };
        self.apply_admission(&id, admission, backends, context);
    }

    fn apply_admission(
        &mut self,
        id: &RequestId,
        admission: Admission,
        backends: &mut Backends,
        context: &mut Context,
    ) {
        match admission {
            Admission::Admit => self.start_first_attempt(id, backends, context),
            Admission::Reject(rejection) => self.respond(id, rejection, context),
            Admission::AwaitLease | Admission::AwaitSlot => {}
        }
    }

    /// Records the result of a counter call, then admits or rejects the requests that waited for it.
    pub fn counter_replied(&mut self, reply: &CounterReply, backends: &mut Backends, context: &mut Context) {
        let released = self.admission.counter_replied(reply, context);
        self.admit_released(released, reply.status == Status::Ok, backends, context);
    }

    /// Admits or rejects the requests that wait for a counter call, as the call takes too long.
    pub fn end_lease_wait(
        &mut self,
        customer: &CustomerId,
        timer: u64,
        backends: &mut Backends,
        context: &mut Context,
    ) {
        let released = self.admission.customers().end_lease_wait(customer, timer);
        self.admit_released(released, false, backends, context);
    }

    fn admit_released(
        &mut self,
        released: Vec<RequestId>,
        has_reply: bool,
        backends: &mut Backends,
        context: &mut Context,
    ) {
        for id in released {
            let Some(state) = self.requests.get(&id).filter(|state| !state.is_finished()) else {
                continue;
            };
            let admission = self.admission.admit_after_wait(&state.request, has_reply, backends, context);
            self.apply_admission(&id, admission, backends, context);
        }
    }

    /// Sends the first attempt of an admitted request, or rejects the request if none can be started.
    fn start_first_attempt(&mut self, id: &RequestId, backends: &mut Backends, context: &mut Context) {
        self.retry_budget.record_request();
        if !self.start_attempt(id, backends, context) {
            let rejection = Rejection::new(RejectionReason::NoEndpoint, context.settings.max_retry_after);
            self.respond(id, rejection, context);
        }
    }

    /// Starts an attempt if the request may have one more and there is time and an endpoint for it. Returns
    /// whether an attempt was started.
    fn start_attempt(&mut self, id: &RequestId, backends: &mut Backends, context: &mut Context) -> bool {
        let Some(state) = self.requests.get_mut(id) else { return false };
        let Some(timeout) = state.next_timeout(context.now, &context.settings) else { return false };
        let Some(endpoint) = backends.start_attempt(state, context) else { return false };
        self.admission.customers().record_attempt_start(&state.request.customer);
        let class = &context.settings.classes[state.request.class];
        let dedup_until = state.dedup_until(class);
        let hedge_delay = hedge_delay(class, backends.mean_latency());
        state.record_attempt(endpoint.clone(), context.now);
        context.push_action(Action::StartAttempt { request_id: id.clone(), endpoint, timeout, dedup_until });
        if context.settings.hedging_enabled && hedge_delay < timeout {
            context.set_timer(context.now + hedge_delay, TimerPurpose::Hedge(id.clone()));
        }
        true
    }

    /// Records that a streamed response has started. The endpoint has done its work, so the customer's
    /// concurrency slot is free for other requests.
    pub fn response_started(&mut self, id: &RequestId, backends: &mut Backends, context: &mut Context) {
        let Some(state) = self.requests.get_mut(id) else { return };
        let Some(endpoint) = state.record_response_start() else { return };
        let customer_id = state.request.customer.clone();
        backends.end_attempt(&endpoint);
        self.admission.customers().record_attempt_end(&customer_id);
        self.start_queued_attempts(&customer_id, backends, context);
    }

    /// Records the result of an attempt, then retries the request or sends its final response.
    pub fn attempt_ended(&mut self, end: &AttemptEnd, backends: &mut Backends, context: &mut Context) {
        let state = self.requests.get(&end.request_id);
        let customer = state.map(|state| state.request.customer.clone());
        let class = state.map(|state| state.request.class);
        if !state.is_some_and(|state| state.has_response_started(end.attempt)) {
            backends.end_attempt(&end.endpoint);
        }
        let AttemptEnd { ref endpoint, status, elapsed, .. } = *end;
        backends.record_outcome(AttemptOutcome { endpoint, class, status, elapsed }, context);
        self.retry_or_respond(end, backends, context);
        if let Some(customer) = customer {
            self.start_queued_attempts(&customer, backends, context);
        }
    }

    fn retry_or_respond(&mut self, end: &AttemptEnd, backends: &mut Backends, context: &mut Context) {
        let Some(state) = self.requests.get_mut(&end.request_id) else { return };
        if !state.has_attempt(end.attempt) {
            return;
        }
        if let Some(ended) = state.record_end(end.attempt, !end.status.never_ran()) {
            let customers = self.admission.customers();
            if !ended.has_response_started {
                customers.record_attempt_end(&state.request.customer);
            }
            if let Some(actual_units) = end.actual_units {
                customers.settle_units(&state.request, actual_units);
            }
        }
        if end.is_finished || state.is_finished() {
            return self.finish(&end.request_id);
        }
        if state.awaits_attempts() {
            return;
        }
        let may_retry = self.retry_budget.allows_retry()
            && end.status != Status::Timeout
            && backends.has_capacity(1.0, context);
        if may_retry && self.start_attempt(&end.request_id, backends, context) {
            return self.retry_budget.record_retry(RetryReason::after(end.status));
        }
        let rejection = Rejection::new(RejectionReason::AttemptsEnded, backends.mean_latency());
        self.respond(&end.request_id, rejection, context);
    }

    /// Sends a hedged request if exactly one attempt is in flight and its response has not started.
    pub fn hedge(&mut self, id: &RequestId, backends: &mut Backends, context: &mut Context) {
        let may_hedge = self.requests.get(id).is_some_and(RequestState::can_be_hedged)
            && self.retry_budget.allows_retry()
            && backends.has_capacity(SPARE_CAPACITY_SHARE, context);
        if may_hedge && self.start_attempt(id, backends, context) {
            self.retry_budget.record_retry(RetryReason::Other);
        }
    }

    /// Starts the first attempts of requests that wait for a concurrency slot while slots are free.
    fn start_queued_attempts(
        &mut self,
        customer_id: &CustomerId,
        backends: &mut Backends,
        context: &mut Context,
    ) {
        while let Some(queued) = self.admission.customers().dequeue_for_free_slot(customer_id, context) {
            if self.requests.contains_key(&queued.id) {
                self.start_first_attempt(&queued.id, backends, context);
            } else {
                // The client has disconnected.
                self.admission.customers().refund(customer_id, queued.units);
            }
        }
    }

    /// Rejects a request if it still waits for a concurrency slot.
    pub fn end_slot_wait(&mut self, id: &RequestId, backends: &Backends, context: &mut Context) {
        let Some(state) = self.requests.get(id) else { return };
        if self.admission.customers().end_slot_wait(&state.request) {
            let rejection = Rejection::new(RejectionReason::ConcurrencyLimit, backends.mean_latency());
            self.respond(id, rejection, context);
        }
    }

    /// Sends the final response: a rejection if the client may retry safely, else a failure. Does nothing if
    /// the response was sent before.
    fn respond(&mut self, id: &RequestId, rejection: Rejection, context: &mut Context) {
        let Some(state) = self.requests.get(id).filter(|state| !state.is_finished()) else { return };
        let response = state.final_response(rejection, &context.settings);
        context.push_action(response);
        self.finish(id);
    }

    /// Records that a request needs no response any more, and keeps it only while attempts are in flight.
    pub fn finish(&mut self, id: &RequestId) {
        if let Some(state) = self.requests.get_mut(id) {
            if !state.finish() {
                self.requests.remove(id);
            }
        }
    }
}
