//! The endpoints as admission and requests see them: where attempts go, and whether there is capacity for one
//! more.

use crate::{
    interface::{EndpointId, Seconds},
    policy::{
        context::Context,
        load_shedder::LoadShedder,
        requests::RequestState,
        routing::{AttemptOutcome, Router},
    },
};

/// The router and the load shedder, which learns from the same attempts.
#[derive(Debug, Default)]
pub struct Backends {
    /// Picks endpoints.
    pub(super) router: Router,
    /// Limits the attempts in flight.
    pub(super) load_shedder: LoadShedder,
}

impl Backends {
    /// The backends of one gateway, of which no endpoint is known yet.
    pub fn new(gateway_index: u32) -> Self {
        Self { router: Router::new(gateway_index), load_shedder: LoadShedder::default() }
    }

    /// Whether one more attempt may be started within `share` of the limit on attempts in flight.
    pub fn has_capacity(&self, share: f64, context: &mut Context) -> bool {
        self.load_shedder.has_capacity(share, self.router.usable_count(), context)
    }

    /// The mean response time.
    pub fn mean_latency(&self) -> Seconds {
        self.load_shedder.mean_latency()
    }

    /// Picks an endpoint for an attempt and counts it as in flight; `None` if no endpoint may be sent one.
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

    /// Learns from an attempt's end.
    pub fn record_outcome(&mut self, outcome: AttemptOutcome, context: &Context) {
        self.router.record_outcome(outcome, &mut self.load_shedder, context);
    }
}
