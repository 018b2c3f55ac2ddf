//! Simulated gateway, which runs the real policy. The policy starts without any state at every restart.

use super::configuration::{self, Configuration, DiscoveryMode, RepeatEffect};
use super::processor::{PolicyWork, ProcessorTimes};
use oliverack::{
    Action, Class, Effect, EndpointCounts, Event, Gateway, IdempotencyScope, Plan, Settings, SettingsError,
    Time,
};
use std::collections::HashSet;
use std::time::Instant;

/// Simulated gateway.
#[derive(Debug)]
pub struct SimulatedGateway {
    /// Zone of the gateway.
    pub zone: u32,
    incarnation: u32,
    down_since: Option<Time>,
    open_requests: usize,
    max_open_requests: usize,
    /// Tenants that have sent requests to the gateway, over all incarnations.
    tenants: HashSet<usize>,
    policy: Gateway,
}

impl SimulatedGateway {
    /// Returns a running gateway whose policy has no state yet.
    ///
    /// # Errors
    /// The policy rejects its settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Self {
            zone: settings.zone,
            incarnation: 0,
            down_since: None,
            open_requests: 0,
            max_open_requests: 0,
            tenants: HashSet::new(),
            policy: Gateway::new(settings, seed)?,
        })
    }

    /// Returns the number of the current incarnation, or of the next one while the gateway is down.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Returns the time at which the gateway went down; `None` if it is running.
    pub fn down_since(&self) -> Option<Time> {
        self.down_since
    }

    /// Ends the current incarnation, so that later events addressed to it are dropped.
    pub fn stop(&mut self, now: Time) {
        self.incarnation += 1;
        self.down_since = Some(now);
        self.open_requests = 0;
    }

    /// Starts the next incarnation with a new policy.
    ///
    /// # Errors
    /// The policy rejects its settings.
    pub fn start(&mut self, settings: Settings, seed: u64) -> Result<(), SettingsError> {
        self.policy = Gateway::new(settings, seed)?;
        self.down_since = None;
        Ok(())
    }

    /// Returns whether this incarnation is the current one and running.
    pub fn is_running(&self, incarnation: u32) -> bool {
        self.down_since.is_none() && self.incarnation == incarnation
    }

    /// Notifies the policy of an event, records the time that it takes, and returns its actions.
    pub fn notify(&mut self, now: Time, event: Event, times: &mut ProcessorTimes) -> Vec<Action> {
        let work = PolicyWork::of(&event);
        let mut actions = Vec::new();
        let started = Instant::now();
        self.policy.handle(now, event, &mut actions);
        times.record(work, started.elapsed());
        actions
    }

    /// Records that a request of a tenant has been opened.
    pub fn request_opened(&mut self, tenant: usize) {
        self.open_requests += 1;
        self.max_open_requests = self.max_open_requests.max(self.open_requests);
        self.tenants.insert(tenant);
    }

    /// Records that a request has been closed.
    pub fn request_closed(&mut self) {
        self.open_requests -= 1;
    }

    /// Returns the maximum number of requests that were open at once.
    pub fn max_open_requests(&self) -> usize {
        self.max_open_requests
    }

    /// Returns the number of tenants that have sent requests to the gateway, over all incarnations.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    /// Returns the numbers of endpoints that the policy lists and avoids.
    pub fn endpoint_counts(&self, now: Time) -> EndpointCounts {
        self.policy.endpoint_counts(now)
    }
}

/// Returns the policy settings of a gateway.
pub fn policy_settings(configuration: &Configuration, index: u32, zone: u32) -> Settings {
    let mut settings = Settings::default();
    settings.gateway_index = index;
    settings.gateway_count = configuration.gateways.count;
    settings.zone = zone;
    settings.classes = configuration.classes.iter().map(policy_class).collect();
    settings.plans = configuration.plans.iter().map(policy_plan).collect();
    settings.has_counter = configuration.counter.is_some();
    settings.counter_timeout = configuration.policy.counter_timeout;
    settings.max_units = f64::from(configuration.tenants.max_units);
    settings.cancellation_enabled = configuration.policy.cancellation_enabled;
    settings.hedging_enabled = configuration.policy.hedging_enabled;
    settings.max_attempts = configuration.policy.max_attempts;
    settings.max_retry_after = configuration.policy.max_retry_after;
    settings.discovery_is_polled = configuration.discovery.mode == DiscoveryMode::Poll;
    settings.slow_start_initial_share = configuration.endpoints.slow_start_initial_share;
    settings.slow_start_window = configuration.endpoints.slow_start_window;
    settings.overload_multiple = configuration.endpoints.overload_multiple;
    settings.overload_window = configuration.endpoints.overload_window;
    settings
}

fn policy_class(configuration: &configuration::Class) -> Class {
    let mut class = Class::default();
    class.latency_objective = configuration.latency_objective;
    class.late_weight_share = configuration.late_weight_share;
    class.effect = match configuration.repeat_effect {
        RepeatEffect::Idempotent => Effect::Idempotent,
        RepeatEffect::IdempotencyKey => {
            Effect::IdempotencyKey { scope: IdempotencyScope::Zone, window: configuration.idempotency_window }
        }
        RepeatEffect::AtMostOnce => Effect::AtMostOnce,
    };
    class
}

fn policy_plan(configuration: &configuration::Plan) -> Plan {
    let mut plan = Plan::default();
    plan.rate = configuration.rate;
    plan.burst = configuration.burst;
    plan.max_concurrent_attempts = configuration.max_concurrent_attempts;
    plan.priority_weight = configuration.priority_weight;
    plan.over_quota_weight_share = configuration.over_quota_weight_share;
    plan.over_quota_cost_share = configuration.over_quota_cost_share;
    plan.ceiling_rate = configuration.ceiling_rate;
    plan.ceiling_burst = configuration.ceiling_burst;
    plan
}

/// Incarnation of a gateway to which an event is addressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayAddress {
    /// Index of the gateway.
    pub gateway: usize,
    /// Number of the incarnation, from 0.
    pub incarnation: u32,
}
