//! An open request and its attempts.

use crate::{
    interface::{Action, EndpointId, Request, Seconds, Time},
    policy::context::Context,
    settings::{Class, Effect, IdempotencyScope, Settings},
};

/// Batches of events between the end of an attempt and that of its request, so that the response is still in
/// time.
const RESPONSE_EVENT_INTERVALS: f64 = 2.0;

/// What has become of an attempt, as far as it matters to a retry.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AttemptState {
    /// It is in flight.
    InFlight,
    /// It has ended and certainly did not run.
    DidNotRun,
    /// It has ended and may have run.
    MayHaveRun,
}

/// One attempt.
#[derive(Debug)]
struct Attempt {
    endpoint: EndpointId,
    sent_at: Time,
    state: AttemptState,
    /// Its response has started, so the endpoint has done the work, however long the client takes to read it.
    response_started: bool,
}

/// The endpoints that a further attempt may go to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptTargets<'a> {
    /// Any endpoint.
    Any,
    /// Endpoints that remember the request's idempotency key, as this one does.
    InScopeOf {
        /// The endpoint that the request was first sent to.
        endpoint: &'a EndpointId,
        /// Which endpoints remember the key.
        scope: IdempotencyScope,
    },
}

/// An attempt that was in flight and has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedAttempt {
    /// Its response had started before.
    pub response_started: bool,
}

/// A request that is open, or whose attempts are still in flight.
#[derive(Debug)]
pub struct RequestState {
    /// The request as the client sent it.
    pub request: Request,
    /// When it arrived.
    arrived_at: Time,
    /// In the order in which they were sent.
    attempts: Vec<Attempt>,
    /// It has its final response, or is owed none.
    is_finished: bool,
    /// Its response has started.
    is_streaming: bool,
}

impl RequestState {
    /// A request that has just arrived.
    pub fn new(request: Request, arrived_at: Time) -> Self {
        Self { request, arrived_at, attempts: Vec::new(), is_finished: false, is_streaming: false }
    }

    /// Whether it has its final response, or is owed none.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Notes that it has its final response, or is owed none. Returns whether an attempt is still in flight.
    pub fn finish(&mut self) -> bool {
        self.is_finished = true;
        self.in_flight() > 0
    }

    /// Whether only attempts in flight can still change its response.
    pub fn awaits_attempts(&self) -> bool {
        self.is_streaming || self.in_flight() > 0
    }

    /// Whether its first attempt is in flight and nothing else has happened to it.
    pub fn may_be_hedged(&self) -> bool {
        !self.is_finished && !self.is_streaming && self.in_flight() == 1
    }

    /// How many attempts are in flight.
    fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight).count()
    }

    /// The first attempt that may have run, or may still run.
    fn first_that_may_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.state != AttemptState::DidNotRun)
    }

    /// Whether an attempt was sent to this endpoint.
    pub fn has_tried(&self, endpoint: &EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == *endpoint)
    }

    /// The endpoints that a further attempt may go to without a risk of running the request twice; `None` if
    /// no further attempt may be made.
    pub fn attempt_targets(&self, context: &Context) -> Option<AttemptTargets<'_>> {
        if self.in_flight() > 0 && !context.settings.hedging_enabled {
            return None;
        }
        let Some(first) = self.first_that_may_run() else { return Some(AttemptTargets::Any) };
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

    /// Until when endpoints discard a retry by its idempotency key, counted from the first attempt that may
    /// have run.
    pub fn dedup_until(&self, class: &Class) -> Option<Time> {
        let first = self.first_that_may_run()?;
        match class.effect {
            Effect::IdempotencyKey { window, .. } => Some(first.sent_at + window),
            Effect::Idempotent | Effect::AtMostOnce => None,
        }
    }

    /// How long a further attempt may take; `None` if there is no time or no attempt left.
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

    /// Records that an attempt was sent.
    pub fn record_attempt(&mut self, endpoint: EndpointId, sent_at: Time) {
        let state = AttemptState::InFlight;
        self.attempts.push(Attempt { endpoint, sent_at, state, response_started: false });
    }

    /// Records that the response has started. Returns the endpoint whose attempt brought it, unless it is
    /// unclear which one did, or it was recorded before.
    pub fn record_response_start(&mut self) -> Option<EndpointId> {
        self.is_streaming = true;
        let is_waiting =
            |attempt: &&mut Attempt| attempt.state == AttemptState::InFlight && !attempt.response_started;
        let mut waiting = self.attempts.iter_mut().filter(is_waiting);
        let attempt = waiting.next()?;
        if waiting.next().is_some() {
            return None;
        }
        attempt.response_started = true;
        Some(attempt.endpoint.clone())
    }

    /// Whether the response to this attempt has started.
    pub fn has_response_started(&self, attempt: u32) -> bool {
        self.attempts.get(attempt as usize).is_some_and(|attempt| attempt.response_started)
    }

    /// Whether there is an attempt with this index.
    pub fn has_attempt(&self, attempt: u32) -> bool {
        (attempt as usize) < self.attempts.len()
    }

    /// Records that an attempt has ended, and whether it may have run; `None` if it was not in flight.
    pub fn record_end(&mut self, attempt: u32, may_have_run: bool) -> Option<EndedAttempt> {
        let attempt = self.attempts.get_mut(attempt as usize)?;
        if attempt.state != AttemptState::InFlight {
            return None;
        }
        attempt.state = if may_have_run { AttemptState::MayHaveRun } else { AttemptState::DidNotRun };
        Some(EndedAttempt { response_started: attempt.response_started })
    }

    /// The one final response: a rejection if a retry by the client certainly does no harm, else a failure.
    pub fn final_response(&self, retry_after: Seconds, settings: &Settings) -> Action {
        let request_id = self.request.id.clone();
        if !self.is_safe_to_retry(settings) {
            return Action::Fail { request_id };
        }
        let longest = if settings.retry_after_enabled { settings.max_retry_after } else { 0.0 };
        Action::Reject { request_id, retry_after: retry_after.max(0.0).min(longest) }
    }

    fn is_safe_to_retry(&self, settings: &Settings) -> bool {
        let did_not_run = self.first_that_may_run().is_none();
        match settings.classes.get(self.request.class).map(|class| class.effect) {
            Some(Effect::AtMostOnce) => did_not_run,
            Some(Effect::IdempotencyKey { scope, .. }) => did_not_run || scope == IdempotencyScope::All,
            Some(Effect::Idempotent) | None => true,
        }
    }
}
