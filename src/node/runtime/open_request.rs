//! State of one open request and its attempts.

use crate::node::{
    connection::{
        body_memory::MemoryPermit,
        clients::FinalResponse,
        exchange_progress::{AttemptProgress, ProgressHandle},
    },
    runtime::{clock::Clock, timers::TimerKey},
    wire::{client_request::UpstreamRequest, stream::RequestBody},
};
use oliverack::{AttemptEndTime, EndpointId, ResponseLimits, Seconds, Time};
use std::{fmt::Debug, rc::Rc, time::Instant};
use tokio::{sync::oneshot, task::AbortHandle};
use tracing::debug;

/// Interval at which an expired time limit is checked while the client is awaited.
const WAIT_CHECK_INTERVAL: Seconds = 0.05;

/// An attempt that has not ended.
pub struct InFlightAttempt {
    /// Endpoint that the attempt is sent to.
    pub endpoint: EndpointId,
    /// Time at which the attempt was started.
    pub started_at: Time,
    /// Time at which the attempt was started or, if that is later, at which the request's body was received completely.
    pub sent_at: Time,
    /// Maximum time until the first byte of the response, from `started_at` or, if that is later, from the start of the client's wait.
    pub timeout: Seconds,
    /// Streamed response that the client is being sent; `None` before that and for responses that are not streamed.
    pub stream: Option<StartedStream>,
    /// Progress of writing the request to the endpoint.
    pub progress: ProgressHandle,
    /// Task that carries out the attempt. Aborting the task closes the attempt's connection.
    pub task: AbortHandle,
    /// Timer of the attempt's end; `None` before it is set.
    pub timeout_timer: Option<TimerKey>,
}

/// A streamed response whose first data has arrived.
#[derive(Debug, Clone, Copy)]
pub struct StartedStream {
    /// Time at which the stream started.
    pub started_at: Time,
    /// Length of the complete body in bytes; `None` if it is unknown.
    pub length: Option<u64>,
}

impl InFlightAttempt {
    /// Returns the endpoint and how far the attempt has come, for logs.
    fn describe(&self) -> (EndpointId, AttemptProgress) {
        (self.endpoint.clone(), self.progress.state())
    }

    /// Returns whether the endpoint certainly has not begun to run the attempt.
    fn is_unsent(&self) -> bool {
        self.stream.is_none() && !self.progress.may_have_run()
    }
}

/// Outcome of delivering a final response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// The client's connection received the response.
    Delivered,
    /// The client has disconnected, which its connection has not reported yet.
    ClientDisconnected,
    /// The request already has its final response, or its client's disconnect has been reported.
    NotWaiting,
}

/// A request that waits for its final response or still has attempts in flight.
pub struct OpenRequest {
    /// Sender of the final response; `None` once that was sent, or the client has disconnected.
    response: Option<oneshot::Sender<FinalResponse>>,
    /// Request that the attempts send to endpoints.
    upstream: Rc<UpstreamRequest>,
    /// Time that the client waits for the response, from the request's last byte on.
    time_limit: Seconds,
    /// Earliest time at which the client can have sent the request's last byte; `None` while it has not.
    wait_started_at: Option<Time>,
    /// True once the request was received completely.
    is_received: bool,
    /// Timer that fires shortly after the deadline, or earlier while the body is still arriving.
    deadline_timer: Option<TimerKey>,
    /// Time from which endpoints may forget the idempotency key, so that no attempt may be written any more. Infinite
    /// without such a limit.
    dedup_until: Time,
    /// True if the request may run any number of times.
    is_repeatable: bool,
    /// True if an attempt has ended that may have run.
    may_have_run: bool,
    /// Memory reserved for the request's body; `None` if the body has no reservation, or a response has taken it over.
    body_memory: Option<MemoryPermit>,
    /// Attempts, indexed by their number; `None` once an attempt has ended.
    attempts: Vec<Option<InFlightAttempt>>,
}

impl OpenRequest {
    /// Creates a request that was just accepted. `time_limit` runs from the request's last byte on.
    pub fn new(
        response: oneshot::Sender<FinalResponse>,
        upstream: Rc<UpstreamRequest>,
        time_limit: Seconds,
    ) -> Self {
        Self {
            response: Some(response),
            upstream,
            time_limit,
            wait_started_at: None,
            is_received: false,
            deadline_timer: None,
            dedup_until: f64::INFINITY,
            is_repeatable: true,
            may_have_run: false,
            body_memory: None,
            attempts: Vec::new(),
        }
    }

    /// Returns the request that the attempts send to endpoints.
    pub fn upstream(&self) -> &Rc<UpstreamRequest> {
        &self.upstream
    }

    /// Records that the request must not be run again once it may have run.
    pub fn forbid_repetition(&mut self) {
        self.is_repeatable = false;
    }

    /// Returns whether the request may run any number of times.
    pub fn is_repeatable(&self) -> bool {
        self.is_repeatable
    }

    /// Records that an attempt has ended that may have run.
    pub fn mark_may_have_run(&mut self) {
        self.may_have_run = true;
    }

    /// Returns whether a finished request may be run again under the same transaction id.
    pub fn may_run_again(&self) -> bool {
        self.is_repeatable || !self.may_have_run
    }

    /// Holds the memory that is reserved for the request's body until the request is finished.
    pub fn hold_body_memory(&mut self, memory: MemoryPermit) {
        self.body_memory = Some(memory);
    }

    /// Takes the memory that is reserved for a streamed body. Returns `None` if the body is buffered, as the request
    /// still holds it.
    pub fn take_upload_memory(&mut self) -> Option<MemoryPermit> {
        let is_streamed = matches!(self.upstream.body, RequestBody::Streamed { .. });
        if is_streamed { self.body_memory.take() } else { None }
    }

    /// Returns whether the client waits for the final response.
    pub fn is_waiting(&self) -> bool {
        self.response.is_some()
    }

    /// Returns whether the client no longer waits and no attempt is in flight.
    pub fn is_finished(&self) -> bool {
        self.response.is_none() && self.attempts.iter().all(Option::is_none)
    }

    /// Returns whether the request was received completely.
    pub fn is_received(&self) -> bool {
        self.is_received
    }

    /// Returns whether an attempt may still be written: the client waits, and endpoints still recognize a retry by its
    /// idempotency key.
    pub fn may_send(&self, now: Time) -> bool {
        self.is_waiting() && now < self.dedup_until
    }

    /// Returns whether the client may have disconnected without having been noticed.
    pub fn may_be_abandoned(&self) -> bool {
        self.upstream.body.arrival().is_some_and(|arrival| arrival.may_be_abandoned(Instant::now()))
    }

    /// Sets the time from which endpoints may forget the request's idempotency key.
    pub fn set_dedup_until(&mut self, until: Time) {
        self.dedup_until = until;
    }

    /// Records that the request was received completely by `now`, and returns the deadline that follows from this.
    pub fn mark_received(&mut self, now: Time) -> Time {
        self.is_received = true;
        let wait_started_at = *self.wait_started_at.get_or_insert(now);
        wait_started_at + self.time_limit
    }

    /// Follows the arrival of a streamed body until it is received completely.
    pub fn update_wait_start(&mut self, clock: &Clock) {
        if let Some(arrival) = self.upstream.body.arrival().filter(|_| !self.is_received) {
            self.wait_started_at = arrival.earliest_end().map(|instant| clock.time(instant));
        }
    }

    /// Returns the time at which the client gives up, if it sends the request's last byte at `now` or has done so.
    pub fn deadline(&self, now: Time) -> Time {
        self.wait_started_at.unwrap_or(now) + self.time_limit
    }

    /// Returns when and why an attempt is ended, if the client sends the request's last byte at `now` or has done so. No
    /// more of a request is read once its response has started, so the client's wait then counts from the start of the
    /// response at the latest. `None` if the attempt has ended.
    pub fn attempt_end_time(&self, number: u32, now: Time) -> Option<AttemptEndTime> {
        let attempt = self.attempts.get(number as usize)?.as_ref()?;
        let latest_wait_start = attempt.stream.map_or(now, |stream| stream.started_at);
        let wait_started_at = self.wait_started_at.unwrap_or(latest_wait_start);
        let limits = ResponseLimits {
            timeout_at: attempt.started_at.max(wait_started_at) + attempt.timeout,
            deadline: wait_started_at + self.time_limit,
        };
        let progress = match attempt.stream {
            Some(stream) => attempt.progress.stream_progress(stream.length),
            None => attempt.progress.response_progress(),
        };
        Some(limits.end_time(&progress, now))
    }

    /// Returns the time at which a time limit that is now due at `due` is checked again. While the client is awaited the
    /// limit moves on with `now`, but it may turn out that the last byte had arrived before `now`.
    pub fn next_check(&self, due: Time, now: Time) -> Time {
        if self.wait_started_at.is_some() { due } else { due.min(now + WAIT_CHECK_INTERVAL) }
    }

    /// Sets the timer of the deadline.
    pub fn set_deadline_timer(&mut self, timer: TimerKey) {
        self.deadline_timer = Some(timer);
    }

    /// Returns the timer of the deadline.
    pub fn deadline_timer(&self) -> Option<TimerKey> {
        self.deadline_timer
    }

    /// Records that the client has disconnected, and returns whether it was waiting.
    pub fn mark_disconnected(&mut self) -> bool {
        self.response.take().is_some()
    }

    /// Sends the final response to the client, unless the client no longer waits.
    pub fn deliver(&mut self, response: FinalResponse) -> DeliveryOutcome {
        let Some(sender) = self.response.take() else { return DeliveryOutcome::NotWaiting };
        debug!(request = ?self.upstream.transaction_id, response = response.name(), reason = ?response.rejection_reason(), "final response");
        match sender.send(response) {
            Ok(()) => DeliveryOutcome::Delivered,
            // The client's connection reports the disconnect itself.
            Err(_) => DeliveryOutcome::ClientDisconnected,
        }
    }

    /// Logs that the request is failed without a decision of the policy, and how far each attempt has come.
    pub fn log_failure(&self, reason: impl Debug) {
        let attempts: Vec<_> = self.attempts.iter().flatten().map(InFlightAttempt::describe).collect();
        debug!(
            request = ?self.upstream.transaction_id,
            is_received = self.is_received(),
            ?attempts,
            ?reason,
            "request failed"
        );
    }

    /// Returns the timeout of an attempt sent at `now`: `timeout`, but not more than the time that the client still
    /// waits. A `timeout` of 0 means that the attempt has no timeout of its own. Neither has a large upload, of which the
    /// endpoint may have read little when the gateway has written it all.
    pub fn attempt_timeout(&self, now: Time, timeout: Seconds) -> Seconds {
        let remaining = self.deadline(now) - now;
        let has_timeout = timeout != 0.0 && !self.upstream.body.is_large();
        if has_timeout { timeout.min(remaining) } else { remaining }
    }

    /// Returns the number of the next attempt, counted from 0.
    pub fn next_attempt_number(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Adds an attempt under [`next_attempt_number`](Self::next_attempt_number).
    pub fn add_attempt(&mut self, attempt: InFlightAttempt) {
        self.attempts.push(Some(attempt));
    }

    /// Adds an attempt that has ended without being sent, and returns its number.
    pub fn add_unsent_attempt(&mut self) -> u32 {
        let number = self.next_attempt_number();
        self.attempts.push(None);
        number
    }

    /// Returns an attempt; `None` if it has ended.
    pub fn attempt_mut(&mut self, number: u32) -> Option<&mut InFlightAttempt> {
        self.attempts.get_mut(number as usize)?.as_mut()
    }

    /// Removes and returns an attempt; `None` if it has ended.
    pub fn take_attempt(&mut self, number: u32) -> Option<InFlightAttempt> {
        self.attempts.get_mut(number as usize)?.take()
    }

    /// Returns the attempts in flight with their numbers.
    pub fn attempts_mut(&mut self) -> impl Iterator<Item = (u32, &mut InFlightAttempt)> {
        let numbered = (0..).zip(&mut self.attempts);
        numbered.filter_map(|(number, attempt)| Some((number, attempt.as_mut()?)))
    }

    /// Returns the numbers of the attempts that no endpoint can have begun to run.
    pub fn unsent_attempts(&self) -> Vec<u32> {
        let numbered = (0..).zip(&self.attempts);
        let is_unsent =
            |attempt: &Option<InFlightAttempt>| attempt.as_ref().is_some_and(InFlightAttempt::is_unsent);
        numbered.filter(|(_, attempt)| is_unsent(attempt)).map(|(number, _)| number).collect()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/open_request.rs"]
mod tests;
