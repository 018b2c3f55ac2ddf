//! Carries requests from their clients to their final answers.

use crate::node::{
    connection::clients::{FinalAnswer, RequestHandler},
    runtime::{
        driver::Driver,
        open_requests::{Given, OpenRequest},
        timers::TimerPurpose,
    },
    wire::{client_request::ClientRequest, stream::Content},
};
use oliverack::{Event, Request, RequestId, Status};
use std::rc::Rc;
use tokio::sync::oneshot;
use tracing::debug;

/// Seconds after a request's end at which it is failed, should the policy not have answered.
const LAST_RESORT: f64 = 0.004;

impl Driver {
    /// How many requests wait for their answer.
    pub fn waiting_requests(&self) -> usize {
        self.open.borrow().values().filter(|open| open.is_waiting()).count()
    }

    /// Gives every request in hand its final answer: the process is about to be killed.
    pub fn fail_all(self: &Rc<Self>) {
        let requests: Vec<RequestId> = self.open.borrow().keys().cloned().collect();
        for request_id in requests {
            self.fail(&request_id);
            self.post(Event::ClientDisconnected { request_id });
        }
    }

    /// The policy answers before: this is the last resort, so that no client waits for nothing.
    pub(super) fn fail_at_deadline(self: &Rc<Self>, request_id: RequestId) {
        let waits = self.open.borrow().get(&request_id).is_some_and(OpenRequest::is_waiting);
        if waits {
            self.fail(&request_id);
            self.post(Event::ClientDisconnected { request_id });
        }
    }

    pub(super) fn refuse(self: &Rc<Self>, request_id: &RequestId, retry_after: f64) {
        self.answer(request_id, FinalAnswer::Refused { retry_after });
    }

    pub(super) fn fail(self: &Rc<Self>, request_id: &RequestId) {
        self.answer(request_id, FinalAnswer::Failed);
    }

    fn answer(self: &Rc<Self>, request_id: &RequestId, answer: FinalAnswer) {
        let given =
            self.open.borrow_mut().get_mut(request_id).map_or(Given::Before, |open| open.give(answer));
        if given != Given::Before {
            self.wind_up(request_id);
        }
    }

    /// Whether an attempt of a request may begin its work: its client waits, and the endpoints would know a repeat.
    pub(super) fn may_begin(&self, request_id: &RequestId) -> bool {
        let open = self.open.borrow();
        open.get(request_id).is_some_and(|open| open.is_waiting() && self.clock.now() < open.dedup_until)
    }

    /// Winds up a request that is answered, whose client has left, or which the endpoints may have forgotten. An
    /// attempt that still waits for its connection, or is half written, must not begin its work now: it is
    /// stopped. Without attempts out an answered request is dropped.
    pub(super) fn wind_up(self: &Rc<Self>, request_id: &RequestId) {
        let unsent = if self.may_begin(request_id) {
            Vec::new()
        } else {
            self.open.borrow().get(request_id).map(OpenRequest::unsent_attempts).unwrap_or_default()
        };
        unsent.into_iter().for_each(|number| self.stop(request_id, number, Status::Cancelled));
        let mut table = self.open.borrow_mut();
        if !table.get(request_id).is_some_and(OpenRequest::is_done) {
            return;
        }
        let open = table.remove(request_id);
        drop(table);
        if let Some(open) = open {
            open.deadline.into_iter().for_each(|timer| self.timers.cancel(timer));
            self.transactions.borrow_mut().remove(&open.upstream.transaction_id);
        }
    }
}

impl RequestHandler for Rc<Driver> {
    fn accept(&self, request: ClientRequest) -> Option<(RequestId, oneshot::Receiver<FinalAnswer>)> {
        if !self.transactions.borrow_mut().insert(request.upstream.transaction_id.clone()) {
            return None;
        }
        debug!(request = ?request.upstream.transaction_id, customer = request.customer, class = request.class, "request taken");
        self.last_job.set(self.last_job.get() + 1);
        let request_id: RequestId = self.last_job.get().to_string().into();
        let expires = self.clock.now() + request.remaining;
        let (answer, receiver) = oneshot::channel();
        let upstream = Rc::new(request.upstream);
        let open = OpenRequest::new(answer, upstream.clone(), request.remaining);
        self.open.borrow_mut().insert(request_id.clone(), open);
        if matches!(upstream.body, Content::Whole(_)) {
            self.received_whole(&request_id);
        }
        self.post(Event::Request(Request {
            id: request_id.clone(),
            units: request.units,
            deadline: expires,
            plan: request.plan,
            customer_gateway_count: request.customer_gateway_count,
            first_gateway: request.first_gateway,
            class: request.class,
            customer: request.customer.into(),
            is_retry: request.is_retry,
        }));
        Some((request_id, receiver))
    }

    fn received_whole(&self, request_id: &RequestId) {
        let mut table = self.open.borrow_mut();
        let Some(open) = table.get_mut(request_id).filter(|open| open.expires.is_none()) else { return };
        let now = self.clock.now();
        let expires = now + open.remaining;
        open.expires = Some(expires);
        // After the time-outs that are cut to the same moment: the policy's own answer comes first.
        let deadline = TimerPurpose::Deadline(request_id.clone());
        open.deadline = Some(self.timers.set(expires + LAST_RESORT, deadline));
        for (number, attempt) in (0..).zip(&mut open.attempts) {
            if let Some(attempt) = attempt.as_mut().filter(|attempt| attempt.begun.is_none()) {
                attempt.sent = now;
                let purpose = TimerPurpose::Attempt(request_id.clone(), number);
                attempt.timer = Some(self.timers.set(now + attempt.wait, purpose));
            }
        }
    }

    fn left(&self, request_id: &RequestId) {
        let waited = self.open.borrow_mut().get_mut(request_id).is_some_and(OpenRequest::abandon);
        if waited {
            self.wind_up(request_id);
            self.post(Event::ClientDisconnected { request_id: request_id.clone() });
        }
    }
}
