//! The state of an open request and its attempts.

use crate::{
    interface::{Action, EndpointId, Request, Seconds, Time},
    policy::{admission::Rejection, context::Context},
    settings::{Class, Effect, IdempotencyScope, Settings},
};

/// Event intervals that pass between the end of an attempt and the response, reserved so that the response
/// still meets the latency objective.
const RESPONSE_EVENT_INTERVALS: f64 = 2.0;

/// State of an attempt, which decides whether a retry is safe.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AttemptState {
    /// In flight.
    InFlight,
    /// Ended, and certainly did not run.
    NeverRan,
    /// Ended, and may have run.
    MayHaveRun,
}

/// An attempt to serve the request.
#[derive(Debug)]
struct Attempt {
    endpoint: EndpointId,
    sent_at: Time,
    state: AttemptState,
    /// True if the response has started. The endpoint has then done its work, however long the client takes
    /// to read the response.
    has_response_started: bool,
}

/// Endpoints that a further attempt may go to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptTargets<'a> {
    /// Any endpoint.
    Any,
    /// Endpoints that remember the same idempotency keys as a given endpoint.
    InScopeOf {
        /// Endpoint of the first attempt that may have run or may still run.
        endpoint: &'a EndpointId,
        /// Group of endpoints that remember the key.
        scope: IdempotencyScope,
    },
}

/// An attempt that was in flight and has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedAttempt {
    /// True if the response had started before the end.
    pub has_response_started: bool,
}

/// A request that waits for its final response or has attempts in flight.
#[derive(Debug)]
pub struct RequestState {
    /// The request as the client sent it.
    pub request: Request,
    /// Arrival time.
    arrived_at: Time,
    /// Attempts in the order in which they were sent.
    attempts: Vec<Attempt>,
    /// True if the final response was sent or is no longer needed.
    is_finished: bool,
    /// True if the response has started.
    is_streaming: bool,
}

impl RequestState {
    /// Creates the state of a request that has just arrived.
    pub fn new(request: Request, arrived_at: Time) -> Self {
        Self { request, arrived_at, attempts: Vec::new(), is_finished: false, is_streaming: false }
    }

    /// Returns whether the final response was sent or is no longer needed.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Records that the final response was sent or is no longer needed. Returns whether an attempt is still
    /// in flight.
    pub fn finish(&mut self) -> bool {
        self.is_finished = true;
        self.in_flight() > 0
    }

    /// Returns whether the response has started or an attempt in flight may still bring one.
    pub fn awaits_attempts(&self) -> bool {
        self.is_streaming || self.in_flight() > 0
    }

    /// Returns whether exactly one attempt is in flight and its response has not started.
    pub fn can_be_hedged(&self) -> bool {
        !self.is_finished && !self.is_streaming && self.in_flight() == 1
    }

    /// Returns the number of attempts in flight.
    fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight).count()
    }

    /// Returns the first attempt that may have run or may still run.
    fn first_attempt_that_may_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// Returns whether an attempt was sent to this endpoint.
    pub fn has_tried(&self, endpoint: &EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == *endpoint)
    }

    /// Returns the endpoints that a further attempt may go to without a risk of running the request twice;
    /// `None` if no further attempt may be made.
    pub fn attempt_targets(&self, context: &Context) -> Option<AttemptTargets<'_>> {
        if self.in_flight() > 0 && !context.settings.hedging_enabled {
            return None;
        }
        let Some(first) = self.first_attempt_that_may_run() else { return Some(AttemptTargets::Any) };
        let class = &context.settings.classes[self.request.class];
        match class.effect {
            Effect::Idempotent => Some(AttemptTargets::Any),
            Effect::AtMostOnce => None,
            Effect::IdempotencyKey { scope, .. } => {
                let is_remembered = context.now < self.dedup_until(class)?;
                is_remembered.then_some(AttemptTargets::InScopeOf { endpoint: &first.endpoint, scope })
            }
        }
    }

    /// Returns the time until which endpoints discard a retry by its idempotency key, counted from the first
    /// attempt that may have run or may still run. Returns `None` if there is no such attempt or the class
    /// uses no such key.
    pub fn dedup_until(&self, class: &Class) -> Option<Time> {
        let first = self.first_attempt_that_may_run()?;
        match class.effect {
            Effect::IdempotencyKey { window, .. } => Some(first.sent_at + window),
            Effect::Idempotent | Effect::AtMostOnce => None,
        }
    }

    /// Returns the timeout of a further attempt; `None` if there is no time or no attempt left.
    pub fn next_timeout(&self, now: Time, settings: &Settings) -> Option<Seconds> {
        let class = &settings.classes[self.request.class];
        let useful_until = if class.late_weight_share > 0.0 {
            f64::INFINITY
        } else {
            self.arrived_at + class.latency_objective
        };
        let response_time = RESPONSE_EVENT_INTERVALS * settings.event_interval;
        let timeout = (useful_until - response_time).min(self.request.deadline) - now;
        let may_attempt = self.attempts.len() < settings.max_attempts as usize && !self.is_finished;
        (may_attempt && timeout > 0.0).then_some(timeout)
    }

    /// Records an attempt that was sent.
    pub fn record_attempt(&mut self, endpoint: EndpointId, sent_at: Time) {
        let state = AttemptState::InFlight;
        self.attempts.push(Attempt { endpoint, sent_at, state, has_response_started: false });
    }

    /// Records that the response has started. Returns the endpoint that sent it; `None` if that is unclear or
    /// the start was recorded before.
    pub fn record_response_start(&mut self) -> Option<EndpointId> {
        self.is_streaming = true;
        let is_waiting =
            |attempt: &&mut Attempt| attempt.state == AttemptState::InFlight && !attempt.has_response_started;
        let mut waiting = self.attempts.iter_mut().filter(is_waiting);
        let attempt = waiting.next()?;
        if waiting.next().is_some() {
            return None;
        }
        attempt.has_response_started = true;
        Some(attempt.endpoint.clone())
    }

    /// Returns whether the response to this attempt has started.
    pub fn has_response_started(&self, attempt: u32) -> bool {
        self.attempts.get(attempt as usize).is_some_and(|attempt| attempt.has_response_started)
    }

    /// Returns whether there is an attempt with this index.
    pub fn has_attempt(&self, attempt: u32) -> bool {
        (attempt as usize) < self.attempts.len()
    }

    /// Records that an attempt has ended and whether it may have run. Returns `None` if it was not in flight.
    pub fn record_end(&mut self, attempt: u32, may_have_run: bool) -> Option<EndedAttempt> {
        let attempt = self.attempts.get_mut(attempt as usize)?;
        if attempt.state != AttemptState::InFlight {
            return None;
        }
        attempt.state = if may_have_run { AttemptState::MayHaveRun } else { AttemptState::NeverRan };
        Some(EndedAttempt { has_response_started: attempt.has_response_started })
    }

    /// Returns the final response: a rejection if the client may retry safely, else a failure.
    pub fn final_response(&self, rejection: Rejection, settings: &Settings) -> Action {
        let request_id = self.request.id.clone();
        if !self.is_safe_to_retry(settings) {
            return Action::Fail { request_id };
        }
        let max_retry_after = if settings.retry_after_enabled { settings.max_retry_after } else { 0.0 };
        let retry_after = rejection.retry_after.max(0.0).min(max_retry_after);
        Action::Reject { request_id, retry_after, reason: rejection.reason }
    }

    fn is_safe_to_retry(&self, settings: &Settings) -> bool {
        let never_ran = self.first_attempt_that_may_run().is_none();
        match settings.classes.get(self.request.class).map(|class| class.effect) {
            Some(Effect::AtMostOnce) => never_ran,
            Some(Effect::IdempotencyKey { scope, .. }) => never_ran || scope == IdempotencyScope::All,
            Some(Effect::Idempotent) | None => true,
        }
    }
}
