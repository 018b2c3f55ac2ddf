//! The harness around one gateway.

use super::{AttemptEnd, FakeCounter, endpoint, request};
use oliverack::{
    Action, Endpoint, EndpointId, Event, Gateway, Lifecycle, ListKind, RequestId, Settings, Status, Time,
};

/// Time on the gateway's clock when a test starts.
const START: Time = 100.0;
/// Seed of a gateway whose test does not choose one.
const DEFAULT_SEED: u64 = 7;
/// Time that a counter call takes, in seconds.
const COUNTER_CALL_TIME: f64 = 0.002;

/// A gateway, its clock, and all actions that it has returned.
pub struct GatewayHarness {
    pub gateway: Gateway,
    pub now: Time,
    pub actions: Vec<Action>,
}

/// Builder of a [`GatewayHarness`].
pub struct HarnessBuilder {
    settings: Settings,
    seed: u64,
    now: Time,
    endpoints: Option<Vec<Endpoint>>,
}

impl HarnessBuilder {
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Time on the gateway's clock at the start.
    pub fn now(mut self, now: Time) -> Self {
        self.now = now;
        self
    }

    /// Index of the gateway in its fleet.
    pub fn gateway_index(mut self, index: u32) -> Self {
        self.settings.gateway_index = index;
        self
    }

    /// The cached endpoint list that the gateway starts with.
    pub fn endpoints(mut self, endpoints: Vec<Endpoint>) -> Self {
        self.endpoints = Some(endpoints);
        self
    }

    pub fn build(self) -> GatewayHarness {
        let gateway = Gateway::new(self.settings, self.seed).expect("usable settings");
        let mut harness = GatewayHarness { gateway, now: self.now, actions: Vec::new() };
        if let Some(endpoints) = self.endpoints {
            harness.update_endpoints(ListKind::Stale, endpoints);
        }
        harness
    }
}

impl GatewayHarness {
    pub fn builder(settings: Settings) -> HarnessBuilder {
        HarnessBuilder { settings, seed: DEFAULT_SEED, now: START, endpoints: None }
    }

    /// A gateway that knows the endpoints `a`, `b` and `c`.
    pub fn new(settings: Settings) -> Self {
        let endpoints = ["a", "b", "c"].map(|name| endpoint(name, Lifecycle::Running, 0.0)).to_vec();
        Self::builder(settings).endpoints(endpoints).build()
    }

    /// A gateway that has not yet received an endpoint list.
    pub fn without_endpoints(settings: Settings) -> Self {
        Self::builder(settings).build()
    }

    pub fn update_endpoints(&mut self, kind: ListKind, endpoints: Vec<Endpoint>) {
        self.handle(Event::EndpointsUpdated { kind, endpoints });
    }

    /// Handles one event and returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub fn send_request(&mut self, request_id: &str) -> Vec<Action> {
        let request = request(request_id, self.now);
        self.handle(Event::Request(request))
    }

    pub fn counter_replied(&mut self, counter: u64, status: Status, total: f64) -> Vec<Action> {
        self.handle(Event::CounterReplied { counter, status, total, elapsed: COUNTER_CALL_TIME })
    }

    pub fn attempt_ended(
        &mut self,
        request_id: &str,
        attempt: u32,
        endpoint: &EndpointId,
        status: Status,
    ) -> Vec<Action> {
        self.handle(AttemptEnd::new(request_id, endpoint).attempt(attempt).status(status).event())
    }
}

/// All `count` gateways of a fleet, each with these endpoints.
pub fn fleet(count: u32, settings: &Settings, endpoints: &[Endpoint]) -> Vec<GatewayHarness> {
    let gateway = |index: u32| {
        let mut settings = settings.clone();
        settings.gateway_count = count;
        GatewayHarness::builder(settings)
            .gateway_index(index)
            .seed(u64::from(index) * 7919 + 1)
            .endpoints(endpoints.to_vec())
            .build()
    };
    (0..count).map(gateway).collect()
}

/// Counter calls among `actions`: the count's name and the units to add.
pub fn counter_calls(actions: &[Action]) -> Vec<(u64, f64)> {
    let call = |action: &Action| match action {
        Action::AddToCounter { counter, amount, .. } => Some((*counter, *amount)),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

/// Attempts that `actions` start: the request and the endpoint.
pub fn started_attempts(actions: &[Action]) -> Vec<(RequestId, EndpointId)> {
    let attempt = |action: &Action| match action {
        Action::StartAttempt { request_id, endpoint, .. } => Some((request_id.clone(), endpoint.clone())),
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

pub fn rejected_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Reject { .. })).count()
}

pub fn failed_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Fail { .. })).count()
}

/// Advances the clock to `now` and fires every timer that is due, with counter calls answered by `counter`.
pub fn fire_timers(harness: &mut GatewayHarness, counter: &mut FakeCounter, now: Time) {
    let actions = std::mem::take(&mut harness.actions);
    harness.now = now;
    for action in actions {
        if let Action::SetTimer { token, at } = action
            && at <= now
        {
            let resulting = harness.handle(Event::Timer { token });
            counter.reply_to_calls(harness, &resulting);
        }
    }
}
