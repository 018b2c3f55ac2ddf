//! Picks the endpoint for each attempt, and records the results of attempts.

use crate::{
    interface::{Endpoint, EndpointCounts, EndpointId, EndpointSnapshot, ListKind, Seconds, Status, Time},
    policy::{
        context::Context,
        load_shedder::LoadShedder,
        requests::{AttemptTargets, RequestState},
        routing::{
            endpoint_table::EndpointTable,
            slow_start::SlowStart,
            subset::{ScopeFilter, SelectionCriteria, Subset},
        },
    },
    primitives::token_bucket::TokenBucket,
};

/// Largest share of the usable endpoints that may be ejected at once: if more fail together, the cause is not
/// a single endpoint.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// Result of an attempt, from which the router learns about an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct AttemptOutcome<'a> {
    /// Endpoint that the attempt was sent to.
    pub endpoint: &'a EndpointId,
    /// Class of the request; `None` if the request is no longer known.
    pub class: Option<usize>,
    /// Result as the event reports it.
    pub status: Status,
    /// Time since the attempt was sent.
    pub elapsed: Seconds,
}

/// The endpoints of one gateway, and the selection of an endpoint for each attempt.
#[derive(Debug, Default)]
pub struct Router {
    pub(super) endpoints: EndpointTable,
    pub(super) subset: Subset,
    slow_start: SlowStart,
}

impl Router {
    /// Creates a router without endpoints for the gateway with this index.
    pub fn new(gateway_index: u32) -> Self {
        Self { subset: Subset::new(gateway_index), ..Self::default() }
    }

    /// Returns the table of all endpoints that the gateway knows.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// Returns the number of endpoints that are running and not in maintenance.
    pub fn usable_count(&self) -> usize {
        self.endpoints.usable().len()
    }

    /// Returns the numbers of endpoints that are listed and avoided at `now`.
    pub fn counts(&self, now: Time) -> EndpointCounts {
        self.endpoints.counts(now)
    }

    /// Returns the recent peak of the mean rate of units to an endpoint of the subset, in units per second.
    pub fn peak_units_per_second(&self) -> f64 {
        self.slow_start.peak_rate()
    }

    /// Applies an update of the endpoint list.
    pub fn update(
        &mut self,
        kind: ListKind,
        entries: Vec<Endpoint>,
        mean_latency: Seconds,
        context: &mut Context,
    ) {
        self.subset.endpoints_changed();
        let now = context.now;
        self.endpoints.update(kind == ListKind::Full, entries, |endpoint, entry| {
            let allowance = TokenBucket { level: context.rng.f64(), updated_at: now };
            if !endpoint.is_observed || entry.started > endpoint.warming_up_since {
                endpoint.restart(entry.started, allowance, mean_latency);
            }
        });
    }

    /// Puts an endpoint into maintenance or takes it out. Operators restart endpoints in maintenance, so an
    /// endpoint that comes out counts as warming up.
    pub fn set_maintenance(
        &mut self,
        id: &EndpointId,
        in_maintenance: bool,
        mean_latency: Seconds,
        context: &mut Context,
    ) {
        self.subset.endpoints_changed();
        let was_in_maintenance = self.endpoints.set_maintenance(id, in_maintenance);
        if !was_in_maintenance || in_maintenance {
            return;
        }
        let allowance = TokenBucket { level: context.rng.f64(), updated_at: context.now };
        if let Some(handle) = self.endpoints.find(id) {
            self.endpoints[handle].restart(context.now, allowance, mean_latency);
        }
    }

    /// Restores the endpoints from a predecessor's snapshot. Each is used once the list names it.
    pub fn restore(
        &mut self,
        endpoints: &[EndpointSnapshot],
        in_maintenance: Vec<EndpointId>,
        peak_units_per_second: f64,
        context: &mut Context,
    ) {
        for snapshot in endpoints.iter().filter(|snapshot| snapshot.next_ejection_duration > 0.0) {
            let allowance = TokenBucket { level: context.rng.f64(), updated_at: context.now };
            let handle = self.endpoints.find_or_add(snapshot.id.clone());
            if self.endpoints[handle].restore(snapshot, context.now, allowance) {
                self.endpoints.record_ejection(handle);
            }
        }
        self.endpoints.replace_maintenance(in_maintenance);
        self.subset.endpoints_changed();
        self.slow_start.restore_peak_rate(context.now, peak_units_per_second);
    }

    /// Picks the endpoint that should respond first and counts an attempt to it. Returns `None` if no
    /// endpoint may be sent one.
    pub fn start_attempt(
        &mut self,
        request: &RequestState,
        mean_latency: Seconds,
        context: &mut Context,
    ) -> Option<EndpointId> {
        let filter = self.scope_filter(request.attempt_targets(context)?)?;
        let criteria = SelectionCriteria { request, filter, mean_latency };
        let (endpoints, slow_start) = (&mut self.endpoints, &mut self.slow_start);
        let handle = self.subset.select(&criteria, endpoints, slow_start, context)?;
        let units = request.request.units;
        let endpoint = &mut self.endpoints[handle];
        endpoint.health_mut().in_flight += 1.0;
        endpoint.slow_start_allowance.level -= units.max(1.0);
        self.slow_start.record_sent(context.now, units);
        Some(self.endpoints.id(handle).clone())
    }

    /// Returns the filter for the endpoints that an attempt may go to; `None` if these depend on an endpoint
    /// that is no longer known.
    fn scope_filter(&self, targets: AttemptTargets) -> Option<ScopeFilter> {
        match targets {
            AttemptTargets::Any => Some(ScopeFilter::ANY),
            AttemptTargets::InScopeOf { endpoint, scope } => {
                let endpoint = &self.endpoints[self.endpoints.find(endpoint)?];
                Some(ScopeFilter { scope, zone: endpoint.zone, cell: endpoint.cell })
            }
        }
    }

    /// Counts an attempt as ended. Returns whether the endpoint is still known.
    pub fn end_attempt(&mut self, endpoint: &EndpointId) -> bool {
        let Some(handle) = self.endpoints.find(endpoint) else { return false };
        let health = self.endpoints[handle].health_mut();
        health.in_flight = (health.in_flight - 1.0).max(0.0);
        true
    }

    /// Records the result of an attempt. Slow, failing and vanished endpoints are all detected from these
    /// results, whatever the cause.
    pub fn record_outcome(
        &mut self,
        outcome: AttemptOutcome,
        load_shedder: &mut LoadShedder,
        context: &Context,
    ) {
        let now = context.now;
        let max_ejected = self.usable_count() as f64 * MAX_EJECTED_SHARE;
        let may_eject = (self.endpoints.count_ejected(now) as f64) < max_ejected;
        let Some(handle) = self.endpoints.find(outcome.endpoint) else { return };
        let endpoint = &mut self.endpoints[handle];
        if !endpoint.is_listed && endpoint.health().in_flight == 0.0 {
            return self.endpoints.remove(handle);
        }
        if let (Some(class), Status::Ok | Status::Error) = (outcome.class, outcome.status) {
            let class_count = context.settings.classes.len();
            let is_error = outcome.status == Status::Error;
            endpoint.health_mut().record_response(now, class, class_count, is_error);
        }
        if matches!(outcome.status, Status::NotSent | Status::Cancelled) {
            return;
        }
        endpoint.record_outcome(now, outcome.status, load_shedder.is_fleet_timing_out());
        if outcome.status == Status::Rejected {
            load_shedder.record_rejection();
        }
        if may_eject && endpoint.health().is_outlier(now) {
            endpoint.health_mut().eject(now);
            self.endpoints.record_ejection(handle);
        }
        if matches!(outcome.status, Status::Ok | Status::Timeout) {
            let endpoint = &mut self.endpoints[handle];
            endpoint.record_latency(now, outcome.elapsed);
            let age = now - endpoint.warming_up_since;
            let is_warm = endpoint.warming_up_since <= 0.0 || age >= context.settings.slow_start_window;
            let timed_out = outcome.status == Status::Timeout;
            load_shedder.record_response(now, outcome.elapsed, timed_out, is_warm);
        }
    }
}
