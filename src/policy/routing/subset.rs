//! The subset of the endpoints that one gateway uses, and the selection from it.
//!
//! Each gateway's subset begins at a place of its own among the usable endpoints, so that each endpoint is
//! used by about as many gateways, and a restarted gateway uses the same endpoints again.

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

/// The least number of endpoints in a subset.
pub const MIN_SUBSET: usize = 6;
/// Size of a subset in multiples of endpoints per gateway: how many gateways use each endpoint.
pub const GATEWAYS_PER_ENDPOINT: usize = 20;
/// The golden ratio's fractional part: its multiples are spread evenly over a circle, however many there are.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// The endpoints that remember a request's idempotency key.
#[derive(Debug, Clone, Copy)]
pub struct ScopeFilter {
    /// Which endpoints remember the key.
    pub scope: IdempotencyScope,
    /// The zone of the endpoint that the request was first sent to.
    pub zone: u32,
    /// The cell of that endpoint.
    pub cell: u32,
}

impl ScopeFilter {
    /// Lets every endpoint pass.
    pub const ANY: Self = Self { scope: IdempotencyScope::All, zone: 0, cell: 0 };
}

/// What an endpoint is selected for.
#[derive(Debug)]
pub struct Search<'a> {
    /// The request.
    pub request: &'a RequestState,
    /// The endpoints that it may go to.
    pub filter: ScopeFilter,
    /// The mean response time of all endpoints.
    pub mean_latency: Seconds,
}

impl Search<'_> {
    /// Whether an endpoint is in scope, not ejected, and not tried for this request yet.
    fn accepts(&self, handle: EntryHandle, endpoints: &EndpointTable, now: Time) -> bool {
        let endpoint = &endpoints[handle];
        let ScopeFilter { scope, zone, cell } = self.filter;
        endpoint.is_in_scope(scope, zone, cell)
            && now >= endpoint.health().ejected_until
            && !self.request.has_tried(endpoints.id(handle))
    }
}

/// See the [module](self).
#[derive(Debug, Default)]
pub struct Subset {
    /// Where the subset begins among the usable endpoints, from 0 to 1.
    start: f64,
    /// Earliest time at which an endpoint outside the subset may be selected again.
    no_candidate_outside_until: Time,
}

impl Subset {
    /// The subset of the gateway with this index.
    pub fn new(gateway_index: u32) -> Self {
        // Gateways with consecutive indices, such as those of one customer, start far apart.
        let start = (f64::from(gateway_index) * GOLDEN_RATIO).fract();
        Self { start, no_candidate_outside_until: 0.0 }
    }

    /// Notes that endpoints outside the subset may have become usable.
    pub fn endpoints_changed(&mut self) {
        self.no_candidate_outside_until = 0.0;
    }

    /// How many of the usable endpoints the subset has.
    pub fn size(usable_count: usize, gateway_count: u32) -> usize {
        let wanted = GATEWAYS_PER_ENDPOINT * usable_count / gateway_count as usize;
        MIN_SUBSET.max(wanted).min(usable_count)
    }

    /// The usable endpoint at an index, from 0; the subset comes first.
    pub fn handle_at(&self, index: usize, endpoints: &EndpointTable) -> EntryHandle {
        endpoints.usable_from(self.start, index)
    }

    /// The endpoint that should respond first; `None` if none may be sent an attempt.
    pub fn select(
        &mut self,
        search: &Search,
        endpoints: &mut EndpointTable,
        slow_start: &mut SlowStart,
        context: &mut Context,
    ) -> Option<EntryHandle> {
        let now = context.now;
        let class = search.request.request.class;
        let size = Self::size(endpoints.usable().len(), context.settings.gateway_count);
        let first = (context.rng.f64() * size as f64) as usize;
        let mut best: Option<(f64, EntryHandle)> = None;
        for i in 0..size {
            let handle = self.handle_at((first + i) % size, endpoints);
            if !search.accepts(handle, endpoints, now) {
                continue;
            }
            let endpoint = &mut endpoints[handle];
            let score = score(endpoint, class, search.mean_latency, now);
            let is_warm = now >= endpoint.warm_at(context.settings.slow_start_window);
            let may_be_sent = is_warm || slow_start.allowance(endpoint, size, context) >= 1.0;
            let is_best = best.is_none_or(|(lowest, _)| score < lowest);
            if may_be_sent && is_best {
                best = Some((score, handle));
            }
        }
        match best {
            Some((_, handle)) => Some(handle),
            None => self.select_outside(search, size, endpoints, context),
        }
    }

    /// The first warm endpoint outside the subset that a request may go to.
    fn select_outside(
        &mut self,
        search: &Search,
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
            if context.now >= warm_at && search.accepts(handle, endpoints, context.now) {
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
