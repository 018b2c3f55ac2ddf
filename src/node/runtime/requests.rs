//! Accepts the requests of clients and gives each exactly one final response.

use crate::node::{
    connection::{
        body_memory::MemoryPermit,
        clients::{FinalResponse, RequestHandler},
    },
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
use oliverack::{Class, Effect, Event, RejectionReason, Request, RequestId, Seconds};
use std::{rc::Rc, time::Instant};
use tokio::sync::oneshot;
use tracing::debug;

/// Time after its deadline at which a request without a final response is failed. The policy's response and the
/// timeouts of the attempts, which are cut to the deadline, come first.
const DEADLINE_GRACE: Seconds = 0.004;

/// Reason why a request is failed without a decision of the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureReason {
    /// The client no longer waits.
    DeadlinePassed,
    /// The process may be killed soon.
    Shutdown,
}

/// Handles the open requests, from their acceptance to their final response.
pub struct Requests {
    policy: Rc<PolicyLoop>,
    clock: Rc<Clock>,
    timers: Rc<Timers>,
    table: Rc<RequestTable>,
    attempts: Rc<Attempts>,
    classes: Vec<Class>,
}

impl Requests {
    /// Creates the handler of the requests in `table`, which are served by `attempts` and belong to `classes`.
    pub fn new(
        policy: Rc<PolicyLoop>,
        clock: Rc<Clock>,
        timers: Rc<Timers>,
        table: Rc<RequestTable>,
        attempts: Rc<Attempts>,
        classes: Vec<Class>,
    ) -> Rc<Self> {
        Rc::new(Self { policy, clock, timers, table, attempts, classes })
    }

    /// Returns the number of requests that wait for their final response.
    pub fn waiting_count(&self) -> usize {
        self.table.waiting_count()
    }

    /// Rejects a request, unless its client no longer waits.
    pub fn reject(&self, request_id: &RequestId, retry_after: Seconds, reason: RejectionReason) {
        self.respond(request_id, FinalResponse::Rejected { retry_after, reason });
    }

    /// Fails a request, unless its client no longer waits.
    pub fn fail(&self, request_id: &RequestId) {
        self.respond(request_id, FinalResponse::Failed);
    }

    /// Fails every request that waits, as the process may be killed soon. Responses that are on their way go on.
    pub fn fail_all(&self) {
        for request_id in self.table.ids() {
            self.fail_and_notify_policy(request_id, FailureReason::Shutdown);
        }
    }

    /// Fails a request that still has no final response after its deadline. Sets the timer again if the deadline has
    /// moved, because the client was still sending the body.
    pub fn fail_at_deadline(&self, request_id: RequestId) {
        let Some(mut request) = self.table.get_mut(&request_id).filter(|request| request.is_waiting()) else {
            return;
        };
        request.update_wait_start(&self.clock);
        let now = self.clock.now();
        let due = request.deadline(now) + DEADLINE_GRACE;
        if due > now {
            let check_at = request.next_check(due, now);
            request.set_deadline_timer(self.timers.set(check_at, TimerPurpose::Deadline(request_id)));
            return;
        }
        drop(request);
        self.fail_and_notify_policy(request_id, FailureReason::DeadlinePassed);
    }

    /// Fails a request without an action of the policy, and notifies the policy that the client no longer waits.
    fn fail_and_notify_policy(&self, request_id: RequestId, reason: FailureReason) {
        if let Some(request) = self.table.get_mut(&request_id).filter(|request| request.is_waiting()) {
            request.log_failure(reason);
        }
        self.fail(&request_id);
        self.policy.post(Event::ClientDisconnected { request_id });
    }

    fn is_idempotent(&self, class: usize) -> bool {
        self.classes.get(class).is_some_and(|class| class.effect == Effect::Idempotent)
    }

    fn respond(&self, request_id: &RequestId, response: FinalResponse) {
        let Some(mut request) = self.table.get_mut(request_id) else { return };
        let outcome = request.deliver(response);
        drop(request);
        if outcome != DeliveryOutcome::NotWaiting {
            self.attempts.release(request_id);
        }
    }
}

impl RequestHandler for Rc<Requests> {
    fn accept(
        &self,
        request: ClientRequest,
        body_memory: MemoryPermit,
        received_at: Instant,
    ) -> Option<(RequestId, oneshot::Receiver<FinalResponse>)> {
        let request_id = self.table.reserve_id(&request.upstream.transaction_id)?;
        debug!(request = ?request.upstream.transaction_id, customer = request.customer, class = request.class, "request accepted");
        let received_at = self.clock.time(received_at);
        let deadline = received_at + request.remaining_seconds;
        let (response, receiver) = oneshot::channel();
        let upstream = Rc::new(request.upstream);
        let mut open_request = OpenRequest::new(response, upstream.clone(), request.remaining_seconds);
        open_request.hold_body_memory(body_memory);
        if !self.is_idempotent(request.class) {
            open_request.forbid_repetition();
        }
        let purpose = TimerPurpose::Deadline(request_id.clone());
        open_request.set_deadline_timer(self.timers.set(deadline + DEADLINE_GRACE, purpose));
        if matches!(upstream.body, RequestBody::Buffered(_)) {
            open_request.mark_received(received_at);
        }
        self.table.insert(request_id.clone(), open_request);
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
        if request.is_received() {
            return;
        }
        let now = self.clock.now();
        request.update_wait_start(&self.clock);
        request.mark_received(now);
        for (_, attempt) in request.attempts_mut() {
            if attempt.stream.is_none() {
                attempt.sent_at = now;
            }
        }
    }

    fn client_disconnected(&self, request_id: &RequestId) {
        let Some(mut request) = self.table.get_mut(request_id) else { return };
        let was_waiting = request.mark_disconnected();
        if was_waiting {
            debug!(request = ?request.upstream().transaction_id, "client disconnected before the final response");
        }
        drop(request);
        if was_waiting {
            self.attempts.release(request_id);
            self.policy.post(Event::ClientDisconnected { request_id: request_id.clone() });
        }
    }
}
