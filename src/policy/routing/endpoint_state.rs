//! The state that a gateway keeps of one endpoint. The state is small until an attempt is sent, as most
//! endpoints of a long list are used by other gateways only.

use crate::{
    interface::{EndpointId, EndpointSnapshot, Seconds, Status, Time},
    policy::{
        load_shedder::SAMPLE_WEIGHT,
        routing::health::{Health, MAX_EJECTION, MIN_EJECTION, UNTRIED_HEALTH},
    },
    primitives::token_bucket::TokenBucket,
    settings::IdempotencyScope,
};

/// Time constant with which an endpoint's mean response time becomes out of date.
pub const LATENCY_TIME_CONSTANT: Seconds = 14.0;
/// Longest response time accepted from a predecessor's snapshot.
pub const MAX_LATENCY: Seconds = 60.0;

/// An endpoint that the list names, that a snapshot has restored, or that has left the list with attempts
/// still in flight.
#[derive(Debug, Default)]
pub struct EndpointState {
    /// Zone that the endpoint runs in.
    pub zone: u32,
    /// Cell that the endpoint runs in, within the zone.
    pub cell: u32,
    /// True if the list says that the endpoint accepts requests.
    pub is_running: bool,
    /// True if the list names the endpoint.
    pub is_listed: bool,
    /// True if the endpoint is running and not in maintenance.
    pub is_usable: bool,
    /// True once the endpoint has been listed or restored from a snapshot; the fields below are valid only
    /// then.
    pub is_observed: bool,
    /// Time at which the endpoint began to warm up; 0 if that was long ago.
    pub warming_up_since: Time,
    /// Tokens for attempts to the endpoint while it is warming up.
    pub slow_start_allowance: TokenBucket,
    /// Mean response time.
    pub mean_latency: Seconds,
    /// Health since the last restart; `None` stands for [`UNTRIED_HEALTH`].
    pub health: Option<Box<Health>>,
}

impl EndpointState {
    /// Returns the health since the last restart.
    pub fn health(&self) -> &Health {
        self.health.as_deref().unwrap_or(&UNTRIED_HEALTH)
    }

    /// Returns the health for modification. Creates it if there is none.
    pub fn health_mut(&mut self) -> &mut Health {
        self.health.get_or_insert_default()
    }

    /// Resets the state after the endpoint has restarted. Only the number of attempts in flight is kept.
    pub fn restart(&mut self, warming_up_since: Time, allowance: TokenBucket, mean_latency: Seconds) {
        self.is_observed = true;
        self.warming_up_since = warming_up_since;
        self.slow_start_allowance = allowance;
        self.mean_latency = mean_latency;
        let in_flight = self.health().in_flight;
        self.health = (in_flight > 0.0).then(|| Box::new(Health { in_flight, ..Health::default() }));
    }

    /// Returns the state to hand over to a successor process.
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

    /// Restores the state from a predecessor's snapshot, with the values clamped, unless the endpoint has
    /// restarted since. Returns whether the snapshot contains results of attempts.
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

    /// Records the result of an attempt. An endpoint that responds after it was unreachable for long may have
    /// restarted without notice, so it counts as warming up from now on.
    pub fn record_outcome(&mut self, now: Time, status: Status, is_fleet_timing_out: bool) {
        let health = self.health.get_or_insert_default();
        if status == Status::Ok && health.may_have_restarted {
            self.warming_up_since = now;
            health.may_have_restarted = false;
        }
        health.record_outcome(now, status, is_fleet_timing_out);
    }

    /// Moves the mean response time towards a sample. The sample has more weight the longer ago the previous
    /// one was, as the endpoint may have changed since.
    pub fn record_latency(&mut self, now: Time, sample: Seconds) {
        let previous_response_at = std::mem::replace(&mut self.health_mut().last_response_at, now);
        let previous_weight =
            (1.0 - SAMPLE_WEIGHT) * (-(now - previous_response_at) / LATENCY_TIME_CONSTANT).exp();
        self.mean_latency = sample + (self.mean_latency - sample) * previous_weight;
    }

    /// Returns the time at which the endpoint has its full capacity; 0 if it has been warm for long.
    pub fn warm_at(&self, slow_start_window: Seconds) -> Time {
        if self.warming_up_since <= 0.0 { 0.0 } else { self.warming_up_since + slow_start_window }
    }

    /// Returns whether the endpoint remembers the same idempotency keys as an endpoint of this zone and cell.
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
