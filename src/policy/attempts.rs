//! Decides about a request's attempts: the first, a retry after a failure, a second one beside the first (a
//! hedge), and the one final answer.

use super::*;

/// Share of the aim after which a second attempt may go out.
const HEDGE_SHARE: f64 = 0.4;
/// Times the mean answer's time that it waits at least: most answers come before.
const HEDGE_LATENCIES: f64 = 3.0;
/// Further attempts that each first one allows: too few to feed an overload.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Further attempts that may be saved up.
pub const SAVED_RETRIES: f64 = 10.0;
/// What one costs of these behind a broken connection: an overload turns away and is late, it breaks none.
const BROKEN_PRICE: f64 = 0.25;
/// Seconds after which an error counts for little: it is mended as suddenly as it came.
pub const ERROR_MEMORY: f64 = 4.0;

/// The group, with its zone and cell, that further attempts keep to; `None`: they may go anywhere.
pub type Anchor = Option<(IdempotencyScope, u32, u32)>;

impl Gateway {
    /// Rule 2: `None`: no further attempt may go out; `Some(None)`: anywhere; else only to that group.
    pub(super) fn anchor(&self, request_state: &RequestState) -> Option<Anchor> {
        if request_state.out() > 0 && !self.settings.hedging_enabled {
            return None;
        }
        let Some(first) = request_state.first_that_may_run() else { return Some(None) };
        match self.settings.classes[request_state.request.class].effect {
            Effect::Idempotent => Some(None),
            Effect::AtMostOnce => None,
            Effect::IdempotencyKey { scope: group, .. } => {
                let endpoint = &self.endpoints[self.endpoints.find(&first.endpoint)?];
                (self.now < self.dedup_until(request_state)?).then_some(Some((
                    group,
                    endpoint.zone,
                    endpoint.cell,
                )))
            }
        }
    }

    /// Until when endpoints discard repeats of a job: counted from the first attempt that may have run.
    fn dedup_until(&self, request_state: &RequestState) -> Option<Time> {
        let first = request_state.first_that_may_run()?;
        let Effect::IdempotencyKey { window, .. } = self.settings.classes[request_state.request.class].effect
        else {
            return None;
        };
        Some(first.sent + window)
    }

    /// Sends a covered request on, or refuses it where no endpoint takes it.
    pub(super) fn send_first(&mut self, id: RequestId) {
        self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(SAVED_RETRIES);
        if !self.send(&id) {
            self.end(&id, self.settings.max_retry_after);
        }
    }

    /// Begins an attempt where the rules and an endpoint's bound allow one.
    fn send(&mut self, id: &RequestId) -> bool {
        let Some(mut request_state) = self.requests.remove(id) else { return false };
        let class = self.settings.classes[request_state.request.class].clone();
        let useful = if class.late_weight_share > 0.0 {
            f64::INFINITY
        } else {
            request_state.arrived + class.latency_objective
        };
        let timeout =
            (useful - 2.0 * self.settings.event_interval).min(request_state.request.deadline) - self.now;
        let may_send = request_state.attempts.len() < self.settings.max_attempts as usize
            && timeout > 0.0
            && !request_state.is_finished;
        let place = if may_send { self.choose(&request_state) } else { None };
        if let Some(place) = place {
            let endpoint = self.endpoints.id(place).clone();
            let state = &mut self.endpoints[place];
            state.health_mut().inflight += 1.0;
            state.cold.level -= request_state.request.units.max(1.0);
            self.overload.in_flight += 1.0;
            if let Some(customer) = self.customers.get_mut(&request_state.request.customer) {
                customer.attempts_out += 1;
            }
            self.sent_units.add(self.now, request_state.request.units, choice::SENT_MEMORY);
            let dedup_until = self.dedup_until(&request_state);
            let attempt =
                Attempt { endpoint: endpoint.clone(), sent: self.now, ran: Ran::Out, has_started: false };
            request_state.attempts.push(attempt);
            self.actions.push(Action::StartAttempt {
                request_id: id.clone(),
                endpoint,
                timeout,
                dedup_until,
            });
            let delay =
                (HEDGE_SHARE * class.latency_objective).max(HEDGE_LATENCIES * self.overload.latency.mean);
            if self.settings.hedging_enabled && delay < timeout {
                self.set_timer(self.now + delay, TimerPurpose::Hedge(id.clone()));
            }
        }
        self.requests.insert(id.clone(), request_state);
        place.is_some()
    }

    /// A long answer has begun: its endpoint has done the work, and its customer's slot is free.
    pub(super) fn response_started(&mut self, id: &RequestId) {
        let Some(request_state) = self.requests.get_mut(id) else { return };
        let (Some(endpoint), key) = (request_state.begin_stream(), request_state.request.customer.clone())
        else {
            return;
        };
        self.release(&endpoint);
        let customer = self.customers.get_mut(&key);
        customer.into_iter().for_each(|c| c.attempts_out = c.attempts_out.saturating_sub(1));
        self.fill_slots(&key);
    }

    /// An attempt has ended: a retry, or the end.
    pub(super) fn outcome(
        &mut self,
        id: &RequestId,
        attempt: u32,
        status: Status,
        is_finished: bool,
        actual_units: Option<f64>,
    ) {
        let Some(request_state) = self.requests.get_mut(id) else { return };
        let Some(tried) = request_state.attempts.get_mut(attempt as usize) else { return };
        if tried.ran == Ran::Out {
            tried.ran = if status.never_ran() { Ran::Never } else { Ran::Maybe };
            if let Some(customer) = self.customers.get_mut(&request_state.request.customer) {
                customer.attempts_out = customer.attempts_out.saturating_sub(u32::from(!tried.has_started));
                if let Some(units) = actual_units {
                    customer.unreported += units - request_state.request.units;
                }
            }
        }
        if is_finished || request_state.is_finished {
            return self.finish(id);
        }
        if request_state.streaming || request_state.out() > 0 {
            return;
        }
        let price = if matches!(status, Status::Reset | Status::ConnectFailed) { BROKEN_PRICE } else { 1.0 };
        if self.retry_budget >= 1.0 && status != Status::Timeout && self.has_room(1.0) && self.send(id) {
            self.retry_budget -= price;
            return;
        }
        self.end(id, self.overload.latency.mean);
    }

    /// The first attempt is late: another one beside it.
    pub(super) fn hedge(&mut self, id: &RequestId) {
        let waits = self.requests.get(id).is_some_and(|j| !j.is_finished && !j.streaming && j.out() == 1);
        if waits && self.retry_budget >= 1.0 && self.has_room(overload::SPARE_SHARE) && self.send(id) {
            self.retry_budget -= 1.0;
        }
    }

    /// Gives the one final answer, refusing where a retry is known to do no harm.
    pub(super) fn end(&mut self, id: &RequestId, retry_after: f64) {
        let Some(request_state) = self.requests.get(id).filter(|j| !j.is_finished) else { return };
        let clean = request_state.first_that_may_run().is_none();
        let harmless = match self.settings.classes.get(request_state.request.class).map(|c| c.effect) {
            Some(Effect::AtMostOnce) => clean,
            Some(Effect::IdempotencyKey { scope: group, .. }) => clean || group == IdempotencyScope::All,
            _ => true,
        };
        if harmless {
            let longest = if self.settings.retry_after_enabled { self.settings.max_retry_after } else { 0.0 };
            let retry_after = retry_after.max(0.0).min(longest);
            self.actions.push(Action::Reject { request_id: id.clone(), retry_after });
        } else {
            self.actions.push(Action::Fail { request_id: id.clone() });
        }
        self.finish(id);
    }

    /// The request is over; it is kept only while attempts are out.
    pub(super) fn finish(&mut self, id: &RequestId) {
        if let Some(request_state) = self.requests.get_mut(id) {
            request_state.is_finished = true;
            if request_state.out() == 0 {
                self.requests.remove(id);
            }
        }
    }
}
