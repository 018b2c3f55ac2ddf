//! Carries out attempts and reports their ends to the policy.

use crate::node::{
    connection::{
        body_memory::MemoryPermit,
        clients::FinalResponse,
        endpoint_attempt::{AttemptRequest, AttemptResult},
        endpoint_pool::{EndpointPool, Target},
        exchange_progress::ProgressHandle,
    },
    hot_restart::replica_table::ReplicaTable,
    metrics::{CutCounters, CutReason},
    runtime::{
        clock::Clock,
        open_request::{DeliveryOutcome, InFlightAttempt, OpenRequest, StartedStream},
        policy_loop::PolicyLoop,
        request_table::{self, RequestTable},
        timers::{TimerPurpose, Timers},
    },
    wire::{
        client_request::UpstreamRequest,
        stream::{self, BodyFrame, RequestBody},
    },
};
use oliverack::{EndReason, EndpointId, Event, LoadReport, RequestId, Seconds, Status, Time};
use std::{rc::Rc, time::Duration};
use tokio::{sync::mpsc, task::AbortHandle};
use tracing::{Instrument, debug, debug_span};

/// Shortest time until the timer of a timeout that has moved fires again, so that short timeouts don't keep the process
/// busy.
const MIN_REARM_DELAY: Seconds = 0.004;

/// Parameters of an attempt that the policy starts.
pub struct AttemptSpec {
    /// Request that the attempt is for.
    pub request_id: RequestId,
    /// Endpoint that receives the attempt.
    pub endpoint: EndpointId,
    /// Maximum time until the response; 0 means as long as the client waits.
    pub timeout: Seconds,
    /// Time from which endpoints may forget the request's idempotency key; `None` if there is no such time.
    pub dedup_until: Option<Time>,
}

/// Starts, cancels and ends the attempts of all open requests.
pub struct Attempts {
    policy: Rc<PolicyLoop>,
    clock: Rc<Clock>,
    timers: Rc<Timers>,
    table: Rc<RequestTable>,
    endpoints: Rc<EndpointPool>,
    replicas: Rc<ReplicaTable>,
    cuts: Rc<CutCounters>,
}

impl Attempts {
    /// Creates the attempts of the requests in `table`. They are sent through `endpoints`, and `replicas` are notified of
    /// requests that must not run again. `cuts` counts the responses that are cut off.
    pub fn new(
        policy: Rc<PolicyLoop>,
        clock: Rc<Clock>,
        timers: Rc<Timers>,
        table: Rc<RequestTable>,
        endpoints: Rc<EndpointPool>,
        replicas: Rc<ReplicaTable>,
        cuts: Rc<CutCounters>,
    ) -> Rc<Self> {
        Rc::new(Self { policy, clock, timers, table, endpoints, replicas, cuts })
    }

    /// Starts an attempt. Reports it as not sent if its request no longer waits, its endpoint is unknown or no time is
    /// left.
    pub fn start(self: &Rc<Self>, now: Time, spec: AttemptSpec) {
        let target = self.endpoints.target(&spec.endpoint);
        let Some(mut request) = self.table.get_mut(&spec.request_id) else { return };
        request.update_wait_start(&self.clock);
        let timeout = request.attempt_timeout(now, spec.timeout);
        let is_finished = !request.is_waiting();
        if let Some(target) = target.filter(|_| !is_finished && timeout > 0.0) {
            self.launch(now, spec, target, timeout, &mut request);
            return;
        }
        let number = request.add_unsent_attempt();
        drop(request);
        self.release(&spec.request_id);
        self.policy.post(not_sent_event(spec.request_id, number, spec.endpoint, is_finished));
    }

    fn launch(
        self: &Rc<Self>,
        now: Time,
        spec: AttemptSpec,
        target: Target,
        timeout: Seconds,
        request: &mut OpenRequest,
    ) {
        let AttemptSpec { request_id, endpoint, dedup_until, .. } = spec;
        // Only a buffered body can be sent again; a streamed one is sent at most once, however long it takes.
        if let (Some(until), RequestBody::Buffered(_)) = (dedup_until, &request.upstream().body) {
            request.set_dedup_until(until);
            self.timers.set(until, TimerPurpose::DedupEnd(request_id.clone()));
        }
        let number = request.next_attempt_number();
        let upstream = request.upstream().clone();
        if number == 0 && !request.is_repeatable() {
            self.replicas.notify_request_id(request_table::hash(&upstream.transaction_id));
        }
        debug!(request = ?upstream.transaction_id, attempt = number, endpoint = %endpoint, timeout, "attempt started");
        let progress = ProgressHandle::default();
        let task = self.spawn(request_id.clone(), number, target, upstream, timeout, progress.clone());
        let timeout_timer = self.timers.set(now + timeout, TimerPurpose::Attempt(request_id, number));
        request.add_attempt(InFlightAttempt {
            endpoint,
            started_at: now,
            sent_at: now,
            timeout,
            stream: None,
            progress,
            task,
            timeout_timer: Some(timeout_timer),
        });
    }

    fn spawn(
        self: &Rc<Self>,
        request_id: RequestId,
        number: u32,
        target: Target,
        upstream: Rc<UpstreamRequest>,
        timeout: Seconds,
        progress: ProgressHandle,
    ) -> AbortHandle {
        let attempts = self.clone();
        let span = debug_span!("attempt", request = ?upstream.transaction_id, attempt = number);
        let run = async move {
            let request = RequestOfAttempt { attempts: &attempts, request_id: &request_id, number };
            let endpoints = &attempts.endpoints;
            let result = endpoints.attempt(&target, &upstream, timeout, &progress, &request).await;
            attempts.end(&request_id, number, result);
        };
        let task = tokio::task::spawn_local(run.instrument(span));
        task.abort_handle()
    }

    fn may_send(&self, request_id: &RequestId) -> bool {
        self.table.is_some_and(request_id, |request| {
            request.may_send(self.clock.now()) && !request.may_be_abandoned()
        })
    }

    /// Delivers a streamed response as the final one and returns the sender of its frames. `None` if the client
    /// already has another response, or has disconnected.
    fn response_started(
        &self,
        request_id: &RequestId,
        number: u32,
        length: Option<u64>,
        memory: MemoryPermit,
    ) -> Option<mpsc::Sender<BodyFrame>> {
        let mut request = self.table.get_mut(request_id)?;
        request.attempt_mut(number)?;
        let (sender, frames) = stream::channel();
        let outcome = request.deliver(FinalResponse::Streamed { length, frames, memory });
        if outcome == DeliveryOutcome::NotWaiting {
            return None;
        }
        debug!(request = ?request.upstream().transaction_id, attempt = number, ?length, "response started");
        let attempt = request.attempt_mut(number)?;
        attempt.stream = Some(StartedStream { started_at: self.clock.now(), length });
        drop(request);
        self.release(request_id);
        self.policy.post(Event::ResponseStarted { request_id: request_id.clone() });
        (outcome == DeliveryOutcome::Delivered).then_some(sender)
    }

    fn end(&self, request_id: &RequestId, number: u32, result: AttemptResult) {
        let Some(mut request) = self.table.get_mut(request_id) else { return };
        let Some(attempt) = request.take_attempt(number) else { return };
        let endpoint = attempt.endpoint;
        let progress = attempt.progress.state();
        let (received_bytes, silence) = attempt.progress.received().unzip();
        debug!(request = ?request.upstream().transaction_id, attempt = number, %endpoint, reason = ?result.status, ?progress, received_bytes, ?silence, "attempt ended");
        if let Some(timer) = attempt.timeout_timer {
            self.timers.cancel(timer);
        }
        if result.status == Status::Ok {
            request.deliver(FinalResponse::Served(result.body));
        }
        if !result.status.never_ran() {
            request.mark_may_have_run();
        }
        let is_finished = !request.is_waiting();
        drop(request);
        self.release(request_id);
        // The end of a streamed response depends on how fast its client reads, so only the time to its start counts.
        let ended_at = attempt.stream.map_or_else(|| self.clock.now(), |stream| stream.started_at);
        self.policy.post(Event::AttemptEnded {
            request_id: request_id.clone(),
            attempt: number,
            endpoint,
            status: result.status,
            elapsed: (ended_at - attempt.sent_at).max(0.0),
            is_finished,
            actual_units: None,
            load: result.load,
        });
    }

    /// Ends an attempt whose time is over. Sets the timer again if the time has moved, because the client was still sending
    /// the body or the response is arriving.
    pub fn time_out(&self, request_id: &RequestId, number: u32) {
        let Some(mut request) = self.table.get_mut(request_id) else { return };
        request.update_wait_start(&self.clock);
        let now = self.clock.now();
        let Some(end) = request.attempt_end_time(number, now) else { return };
        if end.at > now {
            let check_at = request.next_check(end.at, now).max(now + MIN_REARM_DELAY);
            let timer = self.timers.set(check_at, TimerPurpose::Attempt(request_id.clone(), number));
            if let Some(attempt) = request.attempt_mut(number) {
                attempt.timeout_timer = Some(timer);
            }
            return;
        }
        drop(request);
        match end.reason {
            EndReason::NoResponse => {}
            EndReason::ResponseOverdue => self.cuts.count(CutReason::ResponseOverdue),
            EndReason::EndpointSilent => self.cuts.count(CutReason::EndpointStalled),
        }
        self.cancel(request_id, number, end.reason.status());
    }

    /// Cancels an attempt and reports its end with `status`, or with [`Status::NotSent`] if the endpoint can't have
    /// run it because it was not written completely.
    pub fn cancel(&self, request_id: &RequestId, number: u32, status: Status) {
        let Some(mut request) = self.table.get_mut(request_id) else { return };
        let Some(attempt) = request.attempt_mut(number) else { return };
        attempt.task.abort();
        let status = if attempt.progress.may_have_run() { status } else { Status::NotSent };
        drop(request);
        self.end(request_id, number, AttemptResult::without_response(status));
    }

    /// Releases what a request no longer needs. Once nothing may be sent for the request, cancels its unsent attempts:
    /// they wait for a connection or are written partly, and must not run any more. Once the request is finished,
    /// removes it.
    pub fn release(&self, request_id: &RequestId) {
        for number in self.attempts_to_cancel(request_id) {
            self.cancel(request_id, number, Status::Cancelled);
        }
        let Some(request) = self.table.remove_finished(request_id) else { return };
        if let Some(timer) = request.deadline_timer() {
            self.timers.cancel(timer);
        }
    }

    fn attempts_to_cancel(&self, request_id: &RequestId) -> Vec<u32> {
        match self.table.get_mut(request_id) {
            Some(request) if !request.may_send(self.clock.now()) => request.unsent_attempts(),
            _ => Vec::new(),
        }
    }
}

/// The request of one attempt.
struct RequestOfAttempt<'a> {
    attempts: &'a Attempts,
    request_id: &'a RequestId,
    number: u32,
}

impl AttemptRequest for RequestOfAttempt<'_> {
    fn may_send(&self) -> bool {
        self.attempts.may_send(self.request_id)
    }

    fn remaining_wait(&self) -> Duration {
        let now = self.attempts.clock.now();
        let request = self.attempts.table.get_mut(self.request_id);
        let remaining = request.map_or(0.0, |request| request.deadline(now) - now);
        // A wait that is too long for a duration is as good as endless.
        Duration::try_from_secs_f64(remaining.max(0.0)).unwrap_or(Duration::MAX)
    }

    fn response_stalled(&self) {
        self.attempts.policy.post(Event::ResponseStalled { request_id: self.request_id.clone() });
    }

    fn take_upload_memory(&self) -> Option<MemoryPermit> {
        self.attempts.table.get_mut(self.request_id)?.take_upload_memory()
    }

    fn open_stream(&self, length: Option<u64>, memory: MemoryPermit) -> Option<mpsc::Sender<BodyFrame>> {
        self.attempts.response_started(self.request_id, self.number, length, memory)
    }
}

/// Returns the event for the end of an attempt that was never started.
fn not_sent_event(request_id: RequestId, attempt: u32, endpoint: EndpointId, is_finished: bool) -> Event {
    Event::AttemptEnded {
        request_id,
        attempt,
        endpoint,
        status: Status::NotSent,
        elapsed: 0.0,
        is_finished,
        actual_units: None,
        load: LoadReport::default(),
    }
}
