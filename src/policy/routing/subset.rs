//! The subset of the endpoints that one gateway uses, and the selection of an endpoint from it.
//!
//! Each gateway's subset begins at a different position among the usable endpoints, so that all endpoints are
//! used by about the same number of gateways. The position depends on the gateway's index only, so a
//! restarted gateway uses the same endpoints again.

use crate::{
    interface::{Seconds, Time},
    policy::{
        context::Context,
        requests::RequestState,
        routing::{endpoint_table::EndpointTable, load_balancer::score, slow_start::SlowStart},
    },
    primitives::ordered_table::EntryHandle,
    settings::IdempotencyScope,
};

/// Smallest number of endpoints in a subset, if that many are usable.
pub const MIN_SUBSET: usize = 6;
/// Average number of gateways that use each endpoint, which determines the size of the subsets.
pub const GATEWAYS_PER_ENDPOINT: usize = 20;
/// Fractional part of the golden ratio. The fractional parts of any number of multiples are spread evenly
/// over the range from 0 to 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// Filter for the endpoints that remember a request's idempotency key.
#[derive(Debug, Clone, Copy)]
pub struct ScopeFilter {
    /// Group of endpoints that remember the key.
    pub scope: IdempotencyScope,
    /// Zone of the endpoint that the request was first sent to.
    pub zone: u32,
    /// Cell of that endpoint.
    pub cell: u32,
}

impl ScopeFilter {
    /// Filter that accepts every endpoint.
    pub const ANY: Self = Self { scope: IdempotencyScope::All, zone: 0, cell: 0 };
}

/// Criteria for the selection of an endpoint.
#[derive(Debug)]
pub struct SelectionCriteria<'a> {
    /// Request to send.
    pub request: &'a RequestState,
    /// Filter for the endpoints that the request may go to.
    pub filter: ScopeFilter,
    /// Mean response time of all endpoints.
    pub mean_latency: Seconds,
}

impl SelectionCriteria<'_> {
    /// Returns whether an endpoint passes the filter, is not ejected, and was not tried for this request.
    fn accepts(&self, handle: EntryHandle, endpoints: &EndpointTable, now: Time) -> bool {
        let endpoint = &endpoints[handle];
        let ScopeFilter { scope, zone, cell } = self.filter;
        endpoint.is_in_scope(scope, zone, cell)
            && now >= endpoint.health().ejected_until
            && !self.request.has_tried(endpoints.id(handle))
    }
}

/// The subset of the endpoints that one gateway uses.
#[derive(Debug, Default)]
pub struct Subset {
    /// Start of the subset, as a fraction of all usable endpoints from 0 to 1.
    start: f64,
    /// Earliest time at which an endpoint outside the subset may be selected again.
    no_candidate_outside_until: Time,
}

impl Subset {
    /// Creates the subset of the gateway with this index.
    pub fn new(gateway_index: u32) -> Self {
        // Gateways with consecutive indices, such as those of one customer, start far apart.
        let start = (f64::from(gateway_index) * GOLDEN_RATIO).fract();
        Self { start, no_candidate_outside_until: 0.0 }
    }

    /// Records that endpoints outside the subset may have become usable.
    pub fn endpoints_changed(&mut self) {
        self.no_candidate_outside_until = 0.0;
    }

    /// Returns the number of endpoints in a subset.
    pub fn size(usable_count: usize, gateway_count: u32) -> usize {
        let wanted = GATEWAYS_PER_ENDPOINT * usable_count / gateway_count as usize;
        MIN_SUBSET.max(wanted).min(usable_count)
    }

    /// Returns the handle of the usable endpoint at an index from 0. The endpoints of the subset come first.
    pub fn handle_at(&self, index: usize, endpoints: &EndpointTable) -> EntryHandle {
        endpoints.usable_from(self.start, index)
    }

    /// Returns the handle of the endpoint that should respond first; `None` if no endpoint may be sent the
    /// request.
    pub fn select(
        &mut self,
        criteria: &SelectionCriteria,
        endpoints: &mut EndpointTable,
        slow_start: &mut SlowStart,
        context: &mut Context,
    ) -> Option<EntryHandle> {
        let now = context.now;
        let class = criteria.request.request.class;
        let size = Self::size(endpoints.usable().len(), context.settings.gateway_count);
        let first_index = (context.rng.f64() * size as f64) as usize;
        let mut best: Option<(f64, EntryHandle)> = None;
        for offset in 0..size {
            let handle = self.handle_at((first_index + offset) % size, endpoints);
            if !criteria.accepts(handle, endpoints, now) {
                continue;
            }
            let endpoint = &mut endpoints[handle];
            let score = score(endpoint, class, criteria.mean_latency, now);
            let is_warm = now >= endpoint.warm_at(context.settings.slow_start_window);
            let may_send = is_warm || slow_start.available_tokens(endpoint, size, context) >= 1.0;
            let is_best = best.is_none_or(|(lowest, _)| score < lowest);
            if may_send && is_best {
                best = Some((score, handle));
            }
        }
        match best {
            Some((_, handle)) => Some(handle),
            None => self.select_outside(criteria, size, endpoints, context),
        }
    }

    /// Returns the handle of the first warm endpoint outside the subset that a request may go to.
    fn select_outside(
        &mut self,
        criteria: &SelectionCriteria,
        size: usize,
        endpoints: &EndpointTable,
        context: &Context,
    ) -> Option<EntryHandle> {
        if context.now < self.no_candidate_outside_until {
            return None;
        }
        let mut earliest = f64::INFINITY;
        for index in size..endpoints.usable().len() {
            let handle = self.handle_at(index, endpoints);
            let endpoint = &endpoints[handle];
            let warm_at = endpoint.warm_at(context.settings.slow_start_window);
            if context.now >= warm_at && criteria.accepts(handle, endpoints, context.now) {
                return Some(handle);
            }
            earliest = earliest.min(endpoint.health().ejected_until.max(warm_at));
        }
        self.no_candidate_outside_until = earliest;
        None
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/subset.rs"]
mod tests;
