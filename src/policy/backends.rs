//! Combines endpoint selection with load shedding for admission and requests: decides whether there is
//! capacity for another attempt and which endpoint receives it.

use crate::{
    interface::{EndpointId, Seconds},
    policy::{
        context::Context,
        load_shedder::LoadShedder,
        requests::RequestState,
        routing::{AttemptOutcome, Router},
    },
};

/// Router and load shedder of one gateway. Both learn from the same attempts.
#[derive(Debug, Default)]
pub struct Backends {
    pub(super) router: Router,
    pub(super) load_shedder: LoadShedder,
}

impl Backends {
    /// Creates the backends of one gateway, without any endpoint.
    pub fn new(gateway_index: u32) -> Self {
        Self { router: Router::new(gateway_index), load_shedder: LoadShedder::default() }
    }

    /// Returns whether another attempt may start within `share` of the limit on attempts in flight.
    pub fn has_capacity(&self, share: f64, context: &mut Context) -> bool {
        self.load_shedder.has_capacity(share, self.router.usable_count(), context)
    }

    /// Returns the mean response time; 0 before the first response.
    pub fn mean_latency(&self) -> Seconds {
        self.load_shedder.mean_latency()
    }

    /// Picks an endpoint for an attempt and counts the attempt as in flight. Returns `None` if no endpoint
    /// may receive it.
    pub fn start_attempt(&mut self, request: &RequestState, context: &mut Context) -> Option<EndpointId> {
        let endpoint = self.router.start_attempt(request, self.load_shedder.mean_latency(), context)?;
        self.load_shedder.record_start();
        Some(endpoint)
    }

    /// Counts an attempt as no longer in flight.
    pub fn end_attempt(&mut self, endpoint: &EndpointId) {
        if self.router.end_attempt(endpoint) {
            self.load_shedder.record_end();
        }
    }

    /// Updates the endpoint's health and the limit on attempts in flight after an attempt has ended.
    pub fn record_outcome(&mut self, outcome: AttemptOutcome, context: &Context) {
        self.router.record_outcome(outcome, &mut self.load_shedder, context);
    }
}
