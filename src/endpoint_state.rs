//! What a gateway keeps of one endpoint: little while it has sent it nothing, as most of a long list are other
//! gateways' endpoints.

use crate::{
    decaying_sum::DecayingSum,
    interface::{EndpointId, EndpointSnapshot, Time},
    settings::IdempotencyScope,
    token_bucket::TokenBucket,
};
use std::ops::RangeInclusive;

/// An endpoint that the list names, or did.
#[derive(Debug, Default)]
pub struct EndpointState {
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// The list says that it takes work.
    pub running: bool,
    /// The list names it.
    pub listed: bool,
    /// It runs, and operators have not left it out.
    pub usable: bool,
    /// A life of it has begun: what follows holds.
    pub known: bool,
    /// Since when it has been warming up; 0: long ago.
    pub cold_since: Time,
    /// What it may be sent while it is cold.
    pub cold: TokenBucket,
    /// Seconds that its answers take in the mean.
    pub latency: f64,
    /// What attempts have shown of it; `None`: there was none in this life.
    pub health: Option<Box<Health>>,
}

/// What attempts have shown of an endpoint.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Attempts that it works on.
    pub inflight: f64,
    /// When it last answered, or failed to in time.
    pub heard: Time,
    /// Failures in a row.
    pub failures: u32,
    /// By class, the share of errors among the answers of late, and when the last answer came.
    pub errors: Vec<DecayingSum>,
    /// It has been out of reach for so long that it may have restarted.
    pub gone: bool,
    /// Since when no connection to it has come up; 0: it answered last.
    pub missed_since: Time,
    /// It is ejected until then.
    pub out_until: Time,
    /// Seconds for which it is ejected next; 0: the least.
    pub out_for: f64,
}

/// The health of an endpoint that nothing was sent to.
static UNTRIED: Health = Health {
    inflight: 0.0,
    heard: 0.0,
    failures: 0,
    errors: Vec::new(),
    gone: false,
    missed_since: 0.0,
    out_until: 0.0,
    out_for: 0.0,
};

impl EndpointState {
    /// What attempts have shown so far.
    pub fn health(&self) -> &Health {
        self.health.as_deref().unwrap_or(&UNTRIED)
    }

    /// The same, to add to it.
    pub fn health_mut(&mut self) -> &mut Health {
        self.health.get_or_insert_default()
    }

    /// Begins a new life: nothing that was learned of an old one holds. What is out stays out.
    pub fn renew(&mut self, cold_since: Time, cold: TokenBucket, latency: f64) {
        (self.known, self.cold_since, self.cold, self.latency) = (true, cold_since, cold, latency);
        let inflight = self.health().inflight;
        self.health = (inflight > 0.0).then(|| Box::new(Health { inflight, ..Health::default() }));
    }
}

impl EndpointState {
    /// What a process that follows should know of it.
    pub fn known(&self, id: &EndpointId, least_ejection: f64) -> EndpointSnapshot {
        let health = self.health();
        EndpointSnapshot {
            id: id.clone(),
            warming_up_since: self.cold_since,
            mean_latency: self.latency,
            last_response_at: health.heard,
            ejected_until: health.out_until,
            ejection_time: if self.known { health.out_for.max(least_ejection) } else { 0.0 },
        }
    }
}

impl EndpointState {
    /// Takes over what another process knew of it, within bounds for its answers' time and for how long it may be
    /// ejected; whether attempts had shown something of it. One that started anew since is left as it is.
    pub fn restore(
        &mut self,
        known: &EndpointSnapshot,
        now: Time,
        cold: TokenBucket,
        longest_answer: f64,
        ejection: RangeInclusive<f64>,
    ) -> bool {
        if self.cold_since > known.warming_up_since {
            return false;
        }
        self.renew(known.warming_up_since.min(now), cold, known.mean_latency.clamp(0.0, longest_answer));
        let (least, most) = ejection.into_inner();
        let is_tried =
            known.last_response_at != 0.0 || known.ejected_until != 0.0 || known.ejection_time > least;
        if is_tried {
            let health = self.health_mut();
            health.heard = known.last_response_at.min(now);
            health.out_for = known.ejection_time.clamp(least, most);
            health.out_until = known.ejected_until.min(now + most);
        }
        is_tried
    }

    /// It has served an attempt. If it was out of reach for long it may have restarted untold: it counts as cold from
    /// now on. It is ejected for the least time next.
    pub fn note_served(&mut self, now: Time, least_ejection: f64) {
        let health = self.health.get_or_insert_default();
        if health.gone {
            (self.cold_since, health.gone) = (now, false);
        }
        (health.failures, health.out_for) = (0, least_ejection);
    }

    /// Moves its mean latency by a share of the way to an answer's time, and further the longer ago it was heard of.
    pub fn note_latency(&mut self, now: Time, elapsed: f64, gain: f64, memory: f64) {
        let heard = std::mem::replace(&mut self.health_mut().heard, now);
        let kept = (1.0 - gain) * (-(now - heard) / memory).exp();
        self.latency = elapsed + (self.latency - elapsed) * kept;
    }

    /// When it is no longer cold, if a cold endpoint takes so many seconds to warm up.
    pub fn warm_at(&self, warm_up: f64) -> Time {
        if self.cold_since <= 0.0 { 0.0 } else { self.cold_since + warm_up }
    }

    /// Whether it is in the same part of a group as the endpoint of this zone and cell.
    pub fn is_beside(&self, group: IdempotencyScope, zone: u32, cell: u32) -> bool {
        match group {
            IdempotencyScope::All => true,
            IdempotencyScope::Zone => self.zone == zone,
            IdempotencyScope::Cell => self.cell == cell && self.zone == zone,
        }
    }
}

impl Health {
    /// Ejects it for a time that doubles with each ejection in a row, within bounds in seconds.
    pub fn eject(&mut self, now: Time, least: f64, most: f64) {
        let out_for = self.out_for.max(least);
        (self.out_until, self.out_for) = (now + out_for, (out_for * 2.0).min(most));
    }

    /// No connection to it came up. Out of reach for so many seconds, it counts as gone.
    pub fn note_unreachable(&mut self, now: Time, gone_after: f64) {
        if self.missed_since == 0.0 {
            self.missed_since = now;
        }
        self.gone |= now - self.missed_since >= gone_after;
    }

    /// Notes an answer to a class, of so many: its share of errors moves by `gain`, and old errors fade.
    pub fn note_error(
        &mut self,
        now: Time,
        class: usize,
        classes: usize,
        failed: bool,
        gain: f64,
        memory: f64,
    ) {
        self.errors.resize_with(classes, DecayingSum::default);
        self.errors[class].add(now, 0.0, memory);
        let share = &mut self.errors[class].level;
        *share += gain * (f64::from(u8::from(failed)) - *share);
    }
}

#[cfg(test)]
#[path = "../tests/unit/endpoint_state.rs"]
mod tests;
