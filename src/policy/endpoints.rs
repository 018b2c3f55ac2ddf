//! Decides when the endpoint list is polled, which endpoints form the subset, and which are ejected.

use super::*;

/// Endpoints that a gateway keeps to at least.
pub const MIN_SUBSET: usize = 6;
/// Times endpoints over gateways that it keeps to, so that as many gateways meet at each endpoint.
pub const SUBSET_FACTOR: usize = 20;
/// Failures in a row that eject an endpoint; a refused connection counts as all but one of them.
const EJECT_AFTER: u32 = 3;
/// Seconds that an endpoint is ejected for at first.
pub const MIN_EJECTION: f64 = 1.0;
/// Seconds that it is ejected for at most.
pub const MAX_EJECTION: f64 = 8.0;
/// Share of the endpoints that may be ejected at once: more failing together is no endpoint's own fault.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Seconds out of reach, with no answer between, for an endpoint to count as gone, and to be spared as cold.
const GONE_AFTER: f64 = 0.5;
/// Seconds after which what was heard of an endpoint counts for little.
pub const NEWS_MEMORY: f64 = 14.0;
/// Seconds that each gateway adds to the span over which all spread their first calls for the list.
const LIST_CALL_SPACING: f64 = 0.05;
/// Most of that span at the start, in seconds.
const MAX_START_SPAN: f64 = 3.0;
/// Most of it after a call that failed, in seconds, as news counts as told 6 s after the service had it ...
const MAX_RETRY_SPAN: f64 = 1.0;
/// ... and while calls go on failing: in a small fleet, and in any.
const MIN_BACKOFF_SPAN: f64 = 2.0;
const MAX_BACKOFF_SPAN: f64 = 3.0;
/// Share that it may be of the time after which a gateway that has not asked counts as told.
const MUST_ASK_SHARE: f64 = 0.8;
/// Seconds between looks for idle customers.
pub const SWEEP_INTERVAL: f64 = 5.0;

impl Gateway {
    /// The list of endpoints, or that it could not be had.
    pub(super) fn list(&mut self, kind: ListKind, endpoints: Vec<Endpoint>) {
        match kind {
            ListKind::Stale => self.ask_for_list(MAX_START_SPAN),
            ListKind::Failed => self.ask_for_list(MAX_RETRY_SPAN),
            _ => self.list_call_span = 0.0,
        }
        if kind == ListKind::Stale {
            self.set_timer(self.now + SWEEP_INTERVAL, TimerPurpose::Sweep);
        }
        self.none_beyond_until = 0.0;
        let (now, latency, rng) = (self.now, self.overload.latency.mean, &mut self.rng);
        self.endpoints.update(kind == ListKind::Full, endpoints, |endpoint, entry| {
            let level = rng.f64();
            if !endpoint.known || entry.started > endpoint.cold_since {
                endpoint.renew(entry.started, TokenBucket { level, at: now }, latency);
            }
        });
    }

    /// One service tells all gateways the list in turn. A start of all fills its queue with calls that wait
    /// in vain and are made anew. So each calls at a moment of its own, while calls fail within a longer
    /// span.
    fn ask_for_list(&mut self, longest: f64) {
        if !self.settings.discovery_is_polled {
            return;
        }
        let spacing = LIST_CALL_SPACING * f64::from(self.settings.gateway_count);
        let must_ask = MUST_ASK_SHARE * self.settings.max_poll_interval;
        self.list_call_span = match self.list_call_span {
            0.0 => spacing.min(longest).min(must_ask),
            span => (2.0 * span).min(spacing.clamp(MIN_BACKOFF_SPAN, MAX_BACKOFF_SPAN)),
        };
        let at = self.now + self.rng.f64() * self.list_call_span;
        self.set_timer(at, TimerPurpose::WatchList);
    }

    /// Operators restart an endpoint in maintenance: it comes back cold, and what was learned of it is void.
    pub(super) fn set_maintenance(&mut self, endpoint: &EndpointId, out: bool) {
        self.none_beyond_until = 0.0;
        let was_out = self.endpoints.set_maintenance(endpoint, out);
        if was_out && !out {
            let cold = TokenBucket { level: self.rng.f64(), at: self.now };
            let (now, latency) = (self.now, self.overload.latency.mean);
            let place = self.endpoints.find(endpoint);
            place.into_iter().for_each(|place| self.endpoints[place].renew(now, cold, latency));
        }
    }

    /// How many of the endpoints it keeps to.
    pub(super) fn subset_size(&self) -> usize {
        let count = self.endpoints.usable().len();
        MIN_SUBSET.max(SUBSET_FACTOR * count / self.settings.gateway_count as usize).min(count)
    }

    /// One attempt less is out at an endpoint.
    pub(super) fn release(&mut self, endpoint: &EndpointId) {
        if let Some(place) = self.endpoints.find(endpoint) {
            let health = self.endpoints[place].health_mut();
            health.inflight = (health.inflight - 1.0).max(0.0);
            self.overload.in_flight = (self.overload.in_flight - 1.0).max(0.0);
        }
    }

    /// Learns from an attempt's end. Slow, failing and vanished endpoints all show here, whatever the cause.
    pub(super) fn observe(&mut self, id: &EndpointId, class: Option<usize>, status: Status, elapsed: f64) {
        let most_ejected = self.endpoints.usable().len() as f64 * MAX_EJECTED_SHARE;
        let may_eject = (self.endpoints.count_ejected(self.now) as f64) < most_ejected;
        let Some(place) = self.endpoints.find(id) else { return };
        let endpoint = &self.endpoints[place];
        if !endpoint.listed && endpoint.health().inflight == 0.0 {
            return self.endpoints.remove(place);
        }
        if let (Some(class), Status::Ok | Status::Error) = (class, status) {
            // By class, as one alone may fail: its errors stand between good answers to the others.
            let (classes, failed) = (self.settings.classes.len(), status == Status::Error);
            let health = self.endpoints[place].health_mut();
            health.note_error(self.now, class, classes, failed, GAIN, attempts::ERROR_MEMORY);
        }
        if matches!(status, Status::NotSent | Status::Cancelled) {
            return;
        }
        self.note_failure(place, status);
        let health = self.endpoints[place].health_mut();
        if health.failures >= EJECT_AFTER && self.now >= health.out_until && may_eject {
            health.eject(self.now, MIN_EJECTION, MAX_EJECTION);
            self.endpoints.note_ejected(place);
        }
        if matches!(status, Status::Ok | Status::Timeout) {
            self.note_latency(place, status, elapsed);
        }
    }

    /// Counts failures in a row.
    fn note_failure(&mut self, place: Place, status: Status) {
        let endpoint = &mut self.endpoints[place];
        let health = endpoint.health_mut();
        if matches!(status, Status::Ok | Status::Error | Status::Rejected) {
            health.missed_since = 0.0;
        }
        match status {
            Status::Ok => endpoint.note_served(self.now, MIN_EJECTION),
            Status::Rejected => self.overload.note_turned_away(),
            Status::ConnectFailed => {
                // One may be chance; with the next it is ejected.
                health.failures += EJECT_AFTER - 1;
                health.note_unreachable(self.now, GONE_AFTER);
            }
            // The latency says it.
            Status::Timeout if self.overload.has_many_timeouts() => {}
            _ => health.failures += 1,
        }
    }

    fn note_latency(&mut self, place: Place, status: Status, elapsed: f64) {
        // Old news counts less: a gateway of many hears of an endpoint rarely, and it has changed since.
        let endpoint = &mut self.endpoints[place];
        endpoint.note_latency(self.now, elapsed, GAIN, NEWS_MEMORY);
        let warm =
            endpoint.cold_since <= 0.0 || self.now - endpoint.cold_since >= self.settings.slow_start_window;
        self.overload.note_answer(self.now, elapsed, status == Status::Timeout, warm);
    }
}
