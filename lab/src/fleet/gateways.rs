//! The gateways: each holds the policy itself, which starts anew at every restart.

use super::configuration::{Configuration, RepeatEffect};
use super::counter_calls::CounterCalls;
use super::measures::Traffic;
use super::processor::{ProcessorTimes, Work};
use oliverack::{
    Action, Class, Effect, Event, Gateway, IdempotencyScope, Plan, Settings, SettingsError, Time,
};
use std::collections::HashSet;
use std::time::Instant;

/// One gateway.
#[derive(Debug)]
pub struct SimulatedGateway {
    /// Its zone.
    pub zone: u32,
    /// Seconds by which news of the endpoints is late here.
    pub propagation_delay: f64,
    /// Counts its is_incarnation: events for a past incarnation are dropped.
    pub incarnation: u32,
    /// Since when it has been down; `None`: it is up.
    pub down_since: Option<Time>,
    /// The service tells it changes.
    pub watching: bool,
    /// When the last answer of the service came.
    pub last_answer_at: Time,
    /// Its calls to the counter.
    pub calls: CounterCalls,
    /// Its messages.
    pub traffic: Traffic,
    /// Requests that are open.
    pub open: usize,
    /// Most that were.
    pub max_open: usize,
    /// Requests that it has taken.
    pub requests: u64,
    tenants: HashSet<usize>,
    policy: Gateway,
}

impl SimulatedGateway {
    /// A gateway that knows nothing yet.
    ///
    /// # Errors
    /// Settings that the policy refuses.
    pub fn new(
        settings: Settings,
        seed: u64,
        propagation_delay: f64,
        now: Time,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            zone: settings.zone,
            propagation_delay,
            incarnation: 0,
            down_since: None,
            watching: false,
            last_answer_at: now,
            calls: CounterCalls::default(),
            traffic: Traffic::default(),
            open: 0,
            max_open: 0,
            requests: 0,
            tenants: HashSet::new(),
            policy: Gateway::new(settings, seed)?,
        })
    }

    /// Ends this incarnation: all that the policy knew and waited for is lost.
    pub fn stop(&mut self, now: Time) {
        self.incarnation += 1;
        self.down_since = Some(now);
        self.watching = false;
        self.calls = CounterCalls::default();
        self.open = 0;
    }

    /// Starts a new incarnation.
    ///
    /// # Errors
    /// Settings that the policy refuses.
    pub fn start(&mut self, settings: Settings, seed: u64, now: Time) -> Result<(), SettingsError> {
        self.policy = Gateway::new(settings, seed)?;
        self.down_since = None;
        self.last_answer_at = now;
        Ok(())
    }

    /// Whether it is up, in this incarnation.
    pub fn is_incarnation(&self, incarnation: u32) -> bool {
        self.down_since.is_none() && self.incarnation == incarnation
    }

    /// Gives an event to the policy, and measures the time that it takes.
    pub fn handle(&mut self, now: Time, event: Event, times: &mut ProcessorTimes) -> Vec<Action> {
        let work = Work::of(&event);
        let mut actions = Vec::new();
        let begun = Instant::now();
        self.policy.handle(now, event, &mut actions);
        times.record(work, begun.elapsed());
        actions
    }

    /// Notes a request of a tenant.
    pub fn note_request(&mut self, tenant: usize) {
        self.requests += 1;
        self.open += 1;
        self.max_open = self.max_open.max(self.open);
        self.tenants.insert(tenant);
    }

    /// Tenants that it has met in all its is_incarnation.
    pub fn tenants(&self) -> usize {
        self.tenants.len()
    }

    /// Endpoints that the policy lists, and those of them that it avoids.
    pub fn endpoint_counts(&self, now: Time) -> oliverack::EndpointCounts {
        self.policy.endpoint_counts(now)
    }
}

/// What the policy is told at its start.
pub fn settings(configuration: &Configuration, number: u32, zone: u32) -> Settings {
    let mut settings = Settings::default();
    settings.gateway_index = number;
    settings.gateway_count = configuration.gateways.count;
    settings.zone = zone;
    settings.classes = configuration.classes.iter().map(class).collect();
    settings.plans = configuration.plans.iter().map(plan).collect();
    settings.has_counter = configuration.counter.is_some();
    settings.counter_timeout = configuration.policy.counter_timeout;
    settings.max_units = f64::from(configuration.tenants.max_units);
    settings.cancellation_enabled = configuration.policy.cancellation_enabled;
    settings.hedging_enabled = configuration.policy.hedging_enabled;
    settings.max_attempts = configuration.policy.max_attempts;
    settings.max_retry_after = configuration.policy.max_retry_after;
    settings.discovery_is_polled = configuration.discovery.mode == super::configuration::DiscoveryMode::Poll;
    settings.slow_start_initial_share = configuration.endpoints.slow_start_initial_share;
    settings.slow_start_window = configuration.endpoints.slow_start_window;
    settings.overload_multiple = configuration.endpoints.overload_multiple;
    settings.overload_window = configuration.endpoints.overload_window;
    settings
}

fn class(figures: &super::configuration::Class) -> Class {
    let mut class = Class::default();
    class.latency_objective = figures.latency_objective;
    class.late_weight_share = figures.late_weight_share;
    class.effect = match figures.repeat_effect {
        RepeatEffect::Idempotent => Effect::Idempotent,
        RepeatEffect::IdempotencyKey => {
            Effect::IdempotencyKey { scope: IdempotencyScope::Zone, window: figures.idempotency_window }
        }
        RepeatEffect::AtMostOnce => Effect::AtMostOnce,
    };
    class
}

fn plan(figures: &super::configuration::Plan) -> Plan {
    let mut plan = Plan::default();
    plan.rate = figures.rate;
    plan.burst = figures.burst;
    plan.max_concurrent_attempts = figures.max_concurrent_attempts;
    plan.priority_weight = figures.priority_weight;
    plan.over_quota_weight_share = figures.over_quota_weight_share;
    plan.over_quota_cost_share = figures.over_quota_cost_share;
    plan.ceiling_rate = figures.ceiling_rate;
    plan.ceiling_burst = figures.ceiling_burst;
    plan
}

/// An event and the incarnation of the gateway that it is meant for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayAddress {
    /// The gateway.
    pub gateway: usize,
    /// Its incarnation.
    pub incarnation: u32,
}
