//! Decides which server an attempt goes to: the least loaded one of those that this gateway keeps to, by what
//! is out, how slowly it answers and how often it fails, and as much to a cold one as it bears.

use super::*;

/// Share of the cold budget that all gateways together plan to use.
const COLD_SHARE: f64 = 0.4;
/// A server counts as fuller by its mean latency over that of all servers, from one over this on.
const OUTLIER: f64 = 1.5;
/// A server that errs always on a class counts as this many times fuller: an error may be a request lost.
const ERROR_WEIGHT: f64 = 20.0;
/// Seconds over which sends are averaged.
pub const SENT_MEMORY: f64 = 3.0;
/// Seconds over which the most that a server was sent is forgotten: a warm-up.
const PEAK_MEMORY: f64 = 20.0;

impl Gateway {
    /// Rule 4: a cold server has a budget from what servers carry on average and the capacity that it
    /// surely has; as every gateway does so, they stay under the multiple together, and each starts at a
    /// random level. Harms only a fleet that is all cold: its climb is slower.
    fn cold_budget(&mut self, place: Place) -> f64 {
        // Over those that it keeps to: it is one of the few gateways that any of them meets.
        let mean = self.sent_units.level / SENT_MEMORY / self.subset_size().max(1) as f64;
        // The most of late: when all are refused the mean falls, and the budget must not fall with it.
        self.peak_units.add(self.now, 0.0, PEAK_MEMORY);
        self.peak_units.level = self.peak_units.level.max(mean);
        let (now, settings) = (self.now, &self.settings);
        let server = &mut self.servers[place];
        let age = now - server.cold_since;
        if server.cold_since <= 0.0 || age >= settings.cold {
            return f64::INFINITY;
        }
        let warmth = settings.cold_from + (1.0 - settings.cold_from) * (age / settings.cold).max(0.0);
        let share = (settings.fall_multiple * COLD_SHARE).min(1.0) / f64::from(self.sharing.processes);
        let rate = warmth * share * self.peak_units.level;
        server.cold.refill(now, rate, (rate * settings.fall / 2.0).max(1.0))
    }

    /// The server that should answer first, among those this job may go to; `None`: all are full.
    pub(super) fn choose(&mut self, job: &Job) -> Option<Place> {
        let anchor = self.anchor(job)?;
        let subset_size = self.subset_size();
        let first = (self.rng.f64() * subset_size as f64) as usize;
        let mut best: Option<(f64, Place)> = None;
        for i in 0..subset_size {
            let place = self.servers.usable_from(self.subset_start, (first + i) % subset_size);
            if !self.allowed(job, anchor, place) {
                continue;
            }
            let server = &self.servers[place];
            let (score, warm) =
                (self.score(server, job.request.class), self.now >= server.warm_at(self.settings.cold));
            let may = warm || self.cold_budget(place) >= 1.0;
            if best.is_none_or(|(least, _)| score < least) && may {
                best = Some((score, place));
            }
        }
        best.map(|(_, place)| place).or_else(|| self.choose_beyond(job, anchor))
    }

    /// The first server that this job may go to beyond those that this gateway keeps to.
    fn choose_beyond(&mut self, job: &Job, anchor: attempts::Anchor) -> Option<Place> {
        if self.now < self.none_beyond_until {
            return None;
        }
        // When the first of them may be sent something, whatever the job.
        let mut first = f64::INFINITY;
        for i in self.subset_size()..self.servers.usable().len() {
            let place = self.servers.usable_from(self.subset_start, i);
            let server = &self.servers[place];
            let warm_at = server.warm_at(self.settings.cold);
            if self.now >= warm_at && self.allowed(job, anchor, place) {
                return Some(place);
            }
            first = first.min(server.health().out_until.max(warm_at));
        }
        self.none_beyond_until = first;
        None
    }

    /// Whether a job may go to a server once it is warm: one not ejected, of the right group, new to the job.
    fn allowed(&self, job: &Job, anchor: attempts::Anchor, place: Place) -> bool {
        let server = &self.servers[place];
        let in_group = anchor.is_none_or(|(group, zone, cell)| server.is_beside(group, zone, cell));
        let tried = || job.attempts.iter().any(|a| a.server == *self.servers.id(place));
        in_group && self.now >= server.health().out_until && !tried()
    }

    /// How much fuller than an idle server this one counts, from 1 on.
    fn score(&self, server: &ServerState, class: usize) -> f64 {
        let health = server.health();
        let faded = |at: Time, memory: f64| (-(self.now - at) / memory).exp();
        // Slower servers are sent less, by news that fades; those known as quick are not told apart.
        let slower = (server.latency / self.overload.latency.mean.max(1e-3) * OUTLIER - 1.0).max(0.0);
        let slow = if slower > 0.0 { slower * faded(health.heard, servers::NEWS_MEMORY) + 1.0 } else { 1.0 };
        let erred = health.errors.get(class).filter(|e| ERROR_WEIGHT * e.level > 1.0);
        let erring = erred.map_or(0.0, |e| e.level * faded(e.at, attempts::ERROR_MEMORY));
        (1.0 + health.inflight) * slow * (ERROR_WEIGHT * erring).max(1.0)
    }
}
