//! Accepts clients' requests and gives each its one final response.

use crate::node::{
    connection::clients::{FinalResponse, RequestHandler},
    runtime::{
        attempts::Attempts,
        clock::Clock,
        open_request::{DeliveryOutcome, OpenRequest},
        policy_loop::PolicyLoop,
        request_table::RequestTable,
        timers::{TimerPurpose, Timers},
    },
    wire::{client_request::ClientRequest, stream::RequestBody},
};
use oliverack::{Event, Request, RequestId, Seconds};
use std::rc::Rc;
use tokio::sync::oneshot;
use tracing::debug;

/// How long after its deadline a request is failed if the policy has given no final response. The policy's
/// own answer and the attempts' timeouts, which are cut to the deadline, come before.
const DEADLINE_GRACE: Seconds = 0.004;

/// The open requests, from their acceptance to their final responses.
pub struct Requests {
    policy: Rc<PolicyLoop>,
    clock: Rc<Clock>,
    timers: Rc<Timers>,
    table: Rc<RequestTable>,
    attempts: Rc<Attempts>,
}

impl Requests {
    /// Requests that are kept in `table` and served by `attempts`.
    pub fn new(
        policy: Rc<PolicyLoop>,
        clock: Rc<Clock>,
        timers: Rc<Timers>,
        table: Rc<RequestTable>,
        attempts: Rc<Attempts>,
    ) -> Rc<Self> {
        Rc::new(Self { policy, clock, timers, table, attempts })
    }

    /// How many requests wait for their final response.
    pub fn waiting_count(&self) -> usize {
        self.table.waiting_count()
    }

    /// Gives the final response: rejected.
    pub fn reject(&self, request_id: &RequestId, retry_after: Seconds) {
        self.respond(request_id, FinalResponse::Rejected { retry_after });
    }

    /// Gives the final response: failed.
    pub fn fail(&self, request_id: &RequestId) {
        self.respond(request_id, FinalResponse::Failed);
    }

    /// Fails every open request, as the process is about to be killed.
    pub fn fail_all(&self) {
        for request_id in self.table.ids() {
            self.fail_and_close(request_id);
        }
    }

    /// Fails a request that has no response although its deadline has passed.
    pub fn fail_at_deadline(&self, request_id: RequestId) {
        if self.table.is_some_and(&request_id, OpenRequest::is_waiting) {
            self.fail_and_close(request_id);
        }
    }

    /// Fails a request without being asked by the policy, which therefore learns that no response is owed.
    fn fail_and_close(&self, request_id: RequestId) {
        self.fail(&request_id);
        self.policy.post(Event::ClientDisconnected { request_id });
    }

    fn respond(&self, request_id: &RequestId, response: FinalResponse) {
        let Some(mut request) = self.table.get_mut(request_id) else { return };
        let outcome = request.deliver(response);
        drop(request);
        if outcome != DeliveryOutcome::NotOwed {
            self.attempts.release(request_id);
        }
    }
}

impl RequestHandler for Rc<Requests> {
    fn accept(&self, request: ClientRequest) -> Option<(RequestId, oneshot::Receiver<FinalResponse>)> {
        let request_id = self.table.reserve_id(&request.upstream.transaction_id)?;
        debug!(request = ?request.upstream.transaction_id, customer = request.customer, class = request.class, "request accepted");
        let deadline = self.clock.now() + request.remaining_seconds;
        let (response, receiver) = oneshot::channel();
        let upstream = Rc::new(request.upstream);
        let open = OpenRequest::new(response, upstream.clone(), request.remaining_seconds);
        self.table.insert(request_id.clone(), open);
        if matches!(upstream.body, RequestBody::Buffered(_)) {
            self.request_body_received(&request_id);
        }
        self.policy.post(Event::Request(Request {
            id: request_id.clone(),
            units: request.units,
            deadline,
            plan: request.plan,
            customer_gateway_count: request.customer_gateway_count,
            first_gateway: request.first_gateway,
            class: request.class,
            customer: request.customer.into(),
            is_retry: request.is_retry,
        }));
        Some((request_id, receiver))
    }

    fn request_body_received(&self, request_id: &RequestId) {
        let Some(mut request) = self.table.get_mut(request_id) else { return };
        if request.is_complete() {
            return;
        }
        let now = self.clock.now();
        let deadline = request.complete(now);
        let purpose = TimerPurpose::Deadline(request_id.clone());
        request.set_deadline_timer(self.timers.set(deadline + DEADLINE_GRACE, purpose));
        for (number, attempt) in request.attempts_mut() {
            if attempt.response_started_at.is_none() {
                attempt.sent_at = now;
                let purpose = TimerPurpose::Attempt(request_id.clone(), number);
                attempt.timeout_timer = Some(self.timers.set(now + attempt.timeout, purpose));
            }
        }
    }

    fn client_disconnected(&self, request_id: &RequestId) {
        let Some(mut request) = self.table.get_mut(request_id) else { return };
        let was_waiting = request.abandon();
        drop(request);
        if was_waiting {
            self.attempts.release(request_id);
            self.policy.post(Event::ClientDisconnected { request_id: request_id.clone() });
        }
    }
}
