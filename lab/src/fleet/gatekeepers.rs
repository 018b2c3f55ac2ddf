//! The gatekeepers: each holds the policy itself, which starts anew at every restart.

use super::configuration::{Configuration, Repeat};
use super::counter_calls::CounterCalls;
use super::measures::Traffic;
use super::processor::{ProcessorTimes, Work};
use oliverack::{
    Action, Class, Effect, Event, Gateway, IdempotencyScope, Plan, Settings, SettingsError, Time,
};
use std::collections::HashSet;
use std::time::Instant;

/// One gatekeeper.
#[derive(Debug)]
pub struct Gatekeeper {
    /// Its zone.
    pub zone: u32,
    /// Seconds by which news of the workers is late here.
    pub lateness: f64,
    /// Counts its lives: events for a past life are dropped.
    pub life: u32,
    /// Since when it has been down; `None`: it is up.
    pub down_since: Option<Time>,
    /// The service tells it changes.
    pub watching: bool,
    /// When the last answer of the service came.
    pub told_at: Time,
    /// Its calls to the counter.
    pub calls: CounterCalls,
    /// Its messages.
    pub traffic: Traffic,
    /// Requests that are open.
    pub open: usize,
    /// Most that were.
    pub most_open: usize,
    /// Requests that it has taken.
    pub requests: u64,
    tenants: HashSet<usize>,
    policy: Gateway,
}

impl Gatekeeper {
    /// A gatekeeper that knows nothing yet.
    ///
    /// # Errors
    /// Settings that the policy refuses.
    pub fn new(settings: Settings, seed: u64, lateness: f64, now: Time) -> Result<Self, SettingsError> {
        Ok(Self {
            zone: settings.zone,
            lateness,
            life: 0,
            down_since: None,
            watching: false,
            told_at: now,
            calls: CounterCalls::default(),
            traffic: Traffic::default(),
            open: 0,
            most_open: 0,
            requests: 0,
            tenants: HashSet::new(),
            policy: Gateway::new(settings, seed)?,
        })
    }

    /// Ends this life: all that the policy knew and waited for is lost.
    pub fn die(&mut self, now: Time) {
        self.life += 1;
        self.down_since = Some(now);
        self.watching = false;
        self.calls = CounterCalls::default();
        self.open = 0;
    }

    /// Starts a new life.
    ///
    /// # Errors
    /// Settings that the policy refuses.
    pub fn start(&mut self, settings: Settings, seed: u64, now: Time) -> Result<(), SettingsError> {
        self.policy = Gateway::new(settings, seed)?;
        self.down_since = None;
        self.told_at = now;
        Ok(())
    }

    /// Whether it is up, in this life.
    pub fn lives(&self, life: u32) -> bool {
        self.down_since.is_none() && self.life == life
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
        self.most_open = self.most_open.max(self.open);
        self.tenants.insert(tenant);
    }

    /// Tenants that it has met in all its lives.
    pub fn tenants(&self) -> usize {
        self.tenants.len()
    }

    /// Workers that the policy lists, and those of them that it avoids.
    pub fn targets(&self, now: Time) -> oliverack::EndpointCounts {
        self.policy.endpoint_counts(now)
    }
}

/// What the policy is told at its start.
pub fn settings(configuration: &Configuration, number: u32, zone: u32) -> Settings {
    let mut settings = Settings::default();
    settings.gateway_index = number;
    settings.gateway_count = configuration.gatekeepers.count;
    settings.zone = zone;
    settings.classes = configuration.classes.iter().map(class).collect();
    settings.plans = configuration.plans.iter().map(plan).collect();
    settings.has_counter = configuration.counter.is_some();
    settings.counter_timeout = configuration.policy.count_limit;
    settings.max_units = f64::from(configuration.tenants.max_units);
    settings.cancellation_enabled = configuration.policy.may_cancel;
    settings.hedging_enabled = configuration.policy.second_copies;
    settings.max_attempts = configuration.policy.max_attempts;
    settings.max_retry_after = configuration.policy.max_retry_after;
    settings.discovery_is_polled = configuration.discovery.mode == super::configuration::DiscoveryMode::Ask;
    settings.slow_start_initial_share = configuration.workers.cold_from;
    settings.slow_start_window = configuration.workers.cold_seconds;
    settings.overload_multiple = configuration.workers.fall_multiple;
    settings.overload_window = configuration.workers.fall_seconds;
    settings
}

fn class(figures: &super::configuration::Class) -> Class {
    let mut class = Class::default();
    class.latency_objective = figures.aim;
    class.late_weight_share = figures.late_worth;
    class.effect = match figures.repeat {
        Repeat::Safe => Effect::Idempotent,
        Repeat::Keyed => Effect::IdempotencyKey { scope: IdempotencyScope::Zone, window: figures.window },
        Repeat::Unsafe => Effect::AtMostOnce,
    };
    class
}

fn plan(figures: &super::configuration::Plan) -> Plan {
    let mut plan = Plan::default();
    plan.rate = figures.rate;
    plan.burst = figures.burst;
    plan.max_concurrent_attempts = figures.open;
    plan.priority_weight = figures.pays;
    plan.over_quota_weight_share = figures.excess_worth;
    plan.over_quota_cost_share = figures.overrun_cost;
    plan.ceiling_rate = figures.ceiling_rate;
    plan.ceiling_burst = figures.ceiling_burst;
    plan
}

/// An event and the life of the gatekeeper that it is meant for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Address {
    /// The gatekeeper.
    pub gatekeeper: usize,
    /// Its life.
    pub life: u32,
}
