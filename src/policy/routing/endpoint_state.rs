//! What a gateway keeps of one endpoint. It is little while nothing was sent to the endpoint, as most
//! endpoints of a long list are used by other gateways.

use crate::{
    interface::{EndpointId, EndpointSnapshot, Seconds, Status, Time},
    policy::{
        load_shedder::SAMPLE_WEIGHT,
        routing::health::{Health, MAX_EJECTION, MIN_EJECTION, UNTRIED},
    },
    primitives::token_bucket::TokenBucket,
    settings::IdempotencyScope,
};

/// Time constant over which the response time of an endpoint becomes out of date.
pub const LATENCY_TIME_CONSTANT: Seconds = 14.0;
/// The longest response time that a predecessor's snapshot may name.
pub const MAX_LATENCY: Seconds = 60.0;

/// An endpoint that the list names, or named while attempts to it are still in flight.
#[derive(Debug, Default)]
pub struct EndpointState {
    /// The zone that it runs in.
    pub zone: u32,
    /// The cell that it runs in.
    pub cell: u32,
    /// The list says that it accepts requests.
    pub is_running: bool,
    /// The list names it.
    pub is_listed: bool,
    /// It is running and not in maintenance.
    pub is_usable: bool,
    /// True once this incarnation was observed; the fields below are valid only then.
    pub is_observed: bool,
    /// Since when it has been warming up; 0 if it has been warm for long.
    pub warming_up_since: Time,
    /// What it may be sent while it is warming up.
    pub slow_start_allowance: TokenBucket,
    /// Mean time that its responses take.
    pub mean_latency: Seconds,
    /// What attempts have shown; `None` if there was none to this incarnation.
    pub health: Option<Box<Health>>,
}

impl EndpointState {
    /// What attempts have shown so far.
    pub fn health(&self) -> &Health {
        self.health.as_deref().unwrap_or(&UNTRIED)
    }

    /// What attempts have shown so far, to be changed.
    pub fn health_mut(&mut self) -> &mut Health {
        self.health.get_or_insert_default()
    }

    /// Begins a new incarnation. Nothing that was learned holds any more, but attempts in flight stay in
    /// flight.
    pub fn restart(&mut self, warming_up_since: Time, allowance: TokenBucket, mean_latency: Seconds) {
        self.is_observed = true;
        self.warming_up_since = warming_up_since;
        self.slow_start_allowance = allowance;
        self.mean_latency = mean_latency;
        let in_flight = self.health().in_flight;
        self.health = (in_flight > 0.0).then(|| Box::new(Health { in_flight, ..Health::default() }));
    }

    /// What a successor process should know of it.
    pub fn snapshot(&self, id: &EndpointId) -> EndpointSnapshot {
        let health = self.health();
        let next_ejection_duration =
            if self.is_observed { health.next_ejection_duration.max(MIN_EJECTION) } else { 0.0 };
        EndpointSnapshot {
            id: id.clone(),
            warming_up_since: self.warming_up_since,
            mean_latency: self.mean_latency,
            last_response_at: health.last_response_at,
            ejected_until: health.ejected_until,
            next_ejection_duration,
        }
    }

    /// Takes over what a predecessor knew, within sane bounds, unless the endpoint has restarted since.
    /// Returns whether attempts had shown anything of it.
    pub fn restore(&mut self, snapshot: &EndpointSnapshot, now: Time, allowance: TokenBucket) -> bool {
        if self.warming_up_since > snapshot.warming_up_since {
            return false;
        }
        let mean_latency = snapshot.mean_latency.clamp(0.0, MAX_LATENCY);
        self.restart(snapshot.warming_up_since.min(now), allowance, mean_latency);
        let was_ejected = snapshot.ejected_until != 0.0 || snapshot.next_ejection_duration > MIN_EJECTION;
        let is_tried = snapshot.last_response_at != 0.0 || was_ejected;
        if is_tried {
            let health = self.health_mut();
            health.last_response_at = snapshot.last_response_at.min(now);
            health.next_ejection_duration = snapshot.next_ejection_duration.clamp(MIN_EJECTION, MAX_EJECTION);
            health.ejected_until = snapshot.ejected_until.min(now + MAX_EJECTION);
        }
        is_tried
    }

    /// Records how an attempt ended. An endpoint that responds after it was unreachable for long may have
    /// restarted without notice, so it counts as warming up from now on.
    pub fn record_outcome(&mut self, now: Time, status: Status, fleet_times_out: bool) {
        let health = self.health.get_or_insert_default();
        if status == Status::Ok && health.may_have_restarted {
            self.warming_up_since = now;
            health.may_have_restarted = false;
        }
        health.record_outcome(now, status, fleet_times_out);
    }

    /// Moves the mean response time towards a sample; further the longer the endpoint was not heard of, as it
    /// may have changed since.
    pub fn record_latency(&mut self, now: Time, sample: Seconds) {
        let previous = std::mem::replace(&mut self.health_mut().last_response_at, now);
        let remembered = (1.0 - SAMPLE_WEIGHT) * (-(now - previous) / LATENCY_TIME_CONSTANT).exp();
        self.mean_latency = sample + (self.mean_latency - sample) * remembered;
    }

    /// When it has its full capacity, if warming up takes `slow_start_window`.
    pub fn warm_at(&self, slow_start_window: Seconds) -> Time {
        if self.warming_up_since <= 0.0 { 0.0 } else { self.warming_up_since + slow_start_window }
    }

    /// Whether it remembers the idempotency keys that an endpoint in this zone and cell does.
    pub fn is_in_scope(&self, scope: IdempotencyScope, zone: u32, cell: u32) -> bool {
        match scope {
            IdempotencyScope::All => true,
            IdempotencyScope::Zone => self.zone == zone,
            IdempotencyScope::Cell => self.cell == cell && self.zone == zone,
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/endpoint_state.rs"]
mod tests;
