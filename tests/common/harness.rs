//! A harness that drives one gateway with a clock set by the test and records the actions that the gateway returns.

use super::{AttemptEnd, FakeCounter, endpoint, request};
use oliverack::{
    Action, Endpoint, EndpointId, Event, Gateway, Lifecycle, ListKind, RequestId, Settings, Status, Time,
};

/// Default time on the gateway's clock at the start of a test.
const START_TIME: Time = 100.0;
/// Seed of the gateway's random decisions unless the test sets another.
const DEFAULT_SEED: u64 = 7;
/// Duration of a counter call, in seconds.
const COUNTER_CALL_DURATION: f64 = 0.002;

/// A gateway with its clock and the actions that it has returned since the test last took or cleared them.
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

    /// Sets the time on the gateway's clock at the start.
    pub fn now(mut self, now: Time) -> Self {
        self.now = now;
        self
    }

    /// Sets the index of the gateway in its fleet.
    pub fn gateway_index(mut self, index: u32) -> Self {
        self.settings.gateway_index = index;
        self
    }

    /// Sets the cached endpoint list that the gateway starts with; none by default.
    pub fn endpoints(mut self, endpoints: Vec<Endpoint>) -> Self {
        self.endpoints = Some(endpoints);
        self
    }

    pub fn build(self) -> GatewayHarness {
        let gateway = Gateway::new(self.settings, self.seed).expect("valid settings");
        let mut harness = GatewayHarness { gateway, now: self.now, actions: Vec::new() };
        if let Some(endpoints) = self.endpoints {
            harness.update_endpoints(ListKind::Stale, endpoints);
        }
        harness
    }
}

impl GatewayHarness {
    pub fn builder(settings: Settings) -> HarnessBuilder {
        HarnessBuilder { settings, seed: DEFAULT_SEED, now: START_TIME, endpoints: None }
    }

    /// Returns a gateway that has an endpoint list with `a`, `b` and `c`.
    pub fn new(settings: Settings) -> Self {
        let endpoints = ["a", "b", "c"].map(|name| endpoint(name, Lifecycle::Running, 0.0)).to_vec();
        Self::builder(settings).endpoints(endpoints).build()
    }

    /// Returns a gateway that has not yet received an endpoint list.
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
        self.handle(Event::CounterReplied { counter, status, total, elapsed: COUNTER_CALL_DURATION })
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

/// Returns a fleet of `count` gateways that all have the same endpoint list.
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

/// Returns the counter calls among `actions`: the name of the count and the units to add.
pub fn counter_calls(actions: &[Action]) -> Vec<(u64, f64)> {
    let call = |action: &Action| match action {
        Action::AddToCounter { counter, amount, .. } => Some((*counter, *amount)),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

/// Returns the request and the endpoint of each attempt that `actions` start.
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

/// Sets the clock to `now` and fires every timer that is due by then; `counter` replies to the resulting calls. Takes
/// the recorded actions, so a timer that is not yet due is dropped.
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
