//! One open request and its attempts.

use crate::node::{
    connection::{clients::FinalResponse, write_progress::WriteProgressHandle},
    runtime::timers::TimerKey,
    wire::client_request::UpstreamRequest,
};
use oliverack::{EndpointId, Seconds, Time};
use std::rc::Rc;
use tokio::{sync::oneshot, task::AbortHandle};
use tracing::debug;

/// An attempt that has not ended.
pub struct InFlightAttempt {
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// When it was sent; for a request whose body comes in pieces, when the body was complete.
    pub sent_at: Time,
    /// How long its response may take.
    pub timeout: Seconds,
    /// When the first bytes of a streamed response arrived.
    pub response_started_at: Option<Time>,
    /// How much of its request has been written.
    pub write_progress: WriteProgressHandle,
    /// The task that carries it out. Aborting the task closes the attempt's connection.
    pub task: AbortHandle,
    /// Fires at the timeout. Not set before the request is complete and after the response has started.
    pub timeout_timer: Option<TimerKey>,
}

impl InFlightAttempt {
    /// Whether the endpoint certainly has not begun to work on it.
    fn is_unsent(&self) -> bool {
        self.response_started_at.is_none() && !self.write_progress.may_have_run()
    }
}

/// What became of a final response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// It went to the client.
    Delivered,
    /// The client has disconnected.
    ClientGone,
    /// The request already had its final response, or is owed none.
    NotOwed,
}

/// A request that is owed its final response, or that still has attempts in flight.
pub struct OpenRequest {
    /// Takes the final response; `None` once that was given, or is owed to nobody.
    response: Option<oneshot::Sender<FinalResponse>>,
    /// What its attempts send.
    upstream: Rc<UpstreamRequest>,
    /// How long the client waits, from the request's last byte on.
    time_limit: Seconds,
    /// When the client gives up; `None` while the body is still arriving.
    deadline: Option<Time>,
    /// Fires after the deadline. Set together with it.
    deadline_timer: Option<TimerKey>,
    /// Endpoints may forget the idempotency key from then on, so no attempt may be written any more.
    dedup_until: Time,
    /// By attempt number; `None` once an attempt has ended.
    attempts: Vec<Option<InFlightAttempt>>,
}

impl OpenRequest {
    /// A request that has just been accepted.
    pub fn new(
        response: oneshot::Sender<FinalResponse>,
        upstream: Rc<UpstreamRequest>,
        time_limit: Seconds,
    ) -> Self {
        Self {
            response: Some(response),
            upstream,
            time_limit,
            deadline: None,
            deadline_timer: None,
            dedup_until: f64::INFINITY,
            attempts: Vec::new(),
        }
    }

    /// What its attempts send.
    pub fn upstream(&self) -> &Rc<UpstreamRequest> {
        &self.upstream
    }

    /// Whether its client waits for the final response.
    pub fn is_waiting(&self) -> bool {
        self.response.is_some()
    }

    /// Whether no response is owed and no attempt is in flight.
    pub fn is_finished(&self) -> bool {
        self.response.is_none() && self.attempts.iter().all(Option::is_none)
    }

    /// Whether the request has arrived completely.
    pub fn is_complete(&self) -> bool {
        self.deadline.is_some()
    }

    /// Whether an attempt may still be written: the client waits, and endpoints would recognise a retry.
    pub fn may_send(&self, now: Time) -> bool {
        self.is_waiting() && now < self.dedup_until
    }

    /// Notes that endpoints may forget the request's idempotency key at `until`.
    pub fn set_dedup_deadline(&mut self, until: Time) {
        self.dedup_until = until;
    }

    /// Notes that the last byte has arrived, and returns the deadline that follows from it.
    pub fn complete(&mut self, now: Time) -> Time {
        let deadline = now + self.time_limit;
        self.deadline = Some(deadline);
        deadline
    }

    /// Sets the timer that belongs to the deadline.
    pub fn set_deadline_timer(&mut self, timer: TimerKey) {
        self.deadline_timer = Some(timer);
    }

    /// The timer that belongs to the deadline.
    pub fn deadline_timer(&self) -> Option<TimerKey> {
        self.deadline_timer
    }

    /// Notes that the client has disconnected; returns whether it was waiting.
    pub fn abandon(&mut self) -> bool {
        self.response.take().is_some()
    }

    /// Gives the final response, unless there was one before.
    pub fn deliver(&mut self, response: FinalResponse) -> DeliveryOutcome {
        let Some(sender) = self.response.take() else { return DeliveryOutcome::NotOwed };
        debug!(request = ?self.upstream.transaction_id, response = response.name(), "final response");
        match sender.send(response) {
            Ok(()) => DeliveryOutcome::Delivered,
            // The client's connection reports the disconnect itself.
            Err(_) => DeliveryOutcome::ClientGone,
        }
    }

    /// How long an attempt sent at `now` may take: its own timeout, or the client's where it has none (0) or
    /// a longer one.
    pub fn attempt_timeout(&self, now: Time, timeout: Seconds) -> Seconds {
        let remaining = self.deadline.map_or(self.time_limit, |deadline| deadline - now);
        if timeout == 0.0 { remaining } else { timeout.min(remaining) }
    }

    /// The number that the next attempt gets.
    pub fn next_attempt_number(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Adds the next attempt.
    pub fn add_attempt(&mut self, attempt: InFlightAttempt) {
        self.attempts.push(Some(attempt));
    }

    /// Adds the next attempt as one that was never sent, and returns its number.
    pub fn add_unsent_attempt(&mut self) -> u32 {
        let number = self.next_attempt_number();
        self.attempts.push(None);
        number
    }

    /// An attempt, unless it has ended.
    pub fn attempt_mut(&mut self, number: u32) -> Option<&mut InFlightAttempt> {
        self.attempts.get_mut(number as usize)?.as_mut()
    }

    /// Removes an attempt, unless it has ended.
    pub fn take_attempt(&mut self, number: u32) -> Option<InFlightAttempt> {
        self.attempts.get_mut(number as usize)?.take()
    }

    /// The attempts in flight, with their numbers.
    pub fn attempts_mut(&mut self) -> impl Iterator<Item = (u32, &mut InFlightAttempt)> {
        let numbered = (0..).zip(&mut self.attempts);
        numbered.filter_map(|(number, attempt)| Some((number, attempt.as_mut()?)))
    }

    /// The numbers of the attempts that no endpoint can have begun to work on.
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
