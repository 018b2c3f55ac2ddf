//! Decides which endpoint an attempt goes to: the least loaded one of the subset, by what is in flight, how
//! slowly it responds and how often it fails, and as much to a warming one as it bears.

use super::*;

/// Share of the cold budget that all gateways together plan to use.
const COLD_SHARE: f64 = 0.4;
/// An endpoint counts as fuller by its mean latency over that of all endpoints, from one over this on.
const OUTLIER: f64 = 1.5;
/// An endpoint that errs always on a class counts as this many times fuller: an error may be a request lost.
const ERROR_WEIGHT: f64 = 20.0;
/// Seconds over which sends are averaged.
pub const SENT_MEMORY: f64 = 3.0;
/// Seconds over which the most that an endpoint was sent is forgotten: a warm-up.
const PEAK_MEMORY: f64 = 20.0;

impl Gateway {
    /// Rule 4: a cold endpoint has a budget from what endpoints carry on average and the capacity that it
    /// surely has; as every gateway does so, they stay under the multiple together, and each starts at a
    /// random level. Harms only a fleet that is all cold: its climb is slower.
    fn cold_budget(&mut self, place: Place) -> f64 {
        // Over those that it keeps to: it is one of the few gateways that any of them meets.
        let mean = self.sent_units.level / SENT_MEMORY / self.subset_size().max(1) as f64;
        // The most of late: when all are refused the mean falls, and the budget must not fall with it.
        self.peak_units.add(self.now, 0.0, PEAK_MEMORY);
        self.peak_units.level = self.peak_units.level.max(mean);
        let (now, settings) = (self.now, &self.settings);
        let endpoint = &mut self.endpoints[place];
        let age = now - endpoint.cold_since;
        if endpoint.cold_since <= 0.0 || age >= settings.slow_start_window {
            return f64::INFINITY;
        }
        let warmth = settings.slow_start_initial_share
            + (1.0 - settings.slow_start_initial_share) * (age / settings.slow_start_window).max(0.0);
        let share = (settings.overload_multiple * COLD_SHARE).min(1.0) / f64::from(self.sharing.processes);
        let rate = warmth * share * self.peak_units.level;
        endpoint.cold.refill(now, rate, (rate * settings.overload_window / 2.0).max(1.0))
    }

    /// The endpoint that should answer first, among those this job may go to; `None`: all are full.
    pub(super) fn choose(&mut self, request_state: &RequestState) -> Option<Place> {
        let anchor = self.anchor(request_state)?;
        let subset_size = self.subset_size();
        let first = (self.rng.f64() * subset_size as f64) as usize;
        let mut best: Option<(f64, Place)> = None;
        for i in 0..subset_size {
            let place = self.endpoints.usable_from(self.subset_start, (first + i) % subset_size);
            if !self.allowed(request_state, anchor, place) {
                continue;
            }
            let endpoint = &self.endpoints[place];
            let (score, warm) = (
                self.score(endpoint, request_state.request.class),
                self.now >= endpoint.warm_at(self.settings.slow_start_window),
            );
            let may = warm || self.cold_budget(place) >= 1.0;
            if best.is_none_or(|(least, _)| score < least) && may {
                best = Some((score, place));
            }
        }
        best.map(|(_, place)| place).or_else(|| self.choose_beyond(request_state, anchor))
    }

    /// The first endpoint that this job may go to beyond those that this gateway keeps to.
    fn choose_beyond(&mut self, request_state: &RequestState, anchor: attempts::Anchor) -> Option<Place> {
        if self.now < self.none_beyond_until {
            return None;
        }
        // When the first of them may be sent something, whatever the job.
        let mut first = f64::INFINITY;
        for i in self.subset_size()..self.endpoints.usable().len() {
            let place = self.endpoints.usable_from(self.subset_start, i);
            let endpoint = &self.endpoints[place];
            let warm_at = endpoint.warm_at(self.settings.slow_start_window);
            if self.now >= warm_at && self.allowed(request_state, anchor, place) {
                return Some(place);
            }
            first = first.min(endpoint.health().out_until.max(warm_at));
        }
        self.none_beyond_until = first;
        None
    }

    /// Whether a request may go to an endpoint once it is warm: one not ejected, in scope, and not tried yet.
    fn allowed(&self, request_state: &RequestState, anchor: attempts::Anchor, place: Place) -> bool {
        let endpoint = &self.endpoints[place];
        let in_group = anchor.is_none_or(|(group, zone, cell)| endpoint.is_beside(group, zone, cell));
        let tried = || request_state.attempts.iter().any(|a| a.endpoint == *self.endpoints.id(place));
        in_group && self.now >= endpoint.health().out_until && !tried()
    }

    /// How much fuller than an idle endpoint this one counts, from 1 on.
    fn score(&self, endpoint: &EndpointState, class: usize) -> f64 {
        let health = endpoint.health();
        let faded = |at: Time, memory: f64| (-(self.now - at) / memory).exp();
        // Slower endpoints are sent less, by news that fades; those known as quick are not told apart.
        let slower = (endpoint.latency / self.overload.latency.mean.max(1e-3) * OUTLIER - 1.0).max(0.0);
        let slow =
            if slower > 0.0 { slower * faded(health.heard, endpoints::NEWS_MEMORY) + 1.0 } else { 1.0 };
        let erred = health.errors.get(class).filter(|e| ERROR_WEIGHT * e.level > 1.0);
        let erring = erred.map_or(0.0, |e| e.level * faded(e.at, attempts::ERROR_MEMORY));
        (1.0 + health.inflight) * slow * (ERROR_WEIGHT * erring).max(1.0)
    }
}
