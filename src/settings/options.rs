//! The policy's settings, and the names and limits that whoever carries out the actions needs beside them, as
//! the settings object tells them.

use crate::settings::document::{
    ClassDocument, Count, DiscoveryMode, DomainDocument, EffectName, GroupName, LimitsDocument, PlanDocument,
    RulesDocument, SettingsDocument,
};
use crate::settings::{Class, Effect, IdempotencyScope, Plan, Settings};
use serde_json::Value;
use std::fmt;

/// How long a client waits, in seconds, where its class does not say.
const DEFAULT_DEADLINE: f64 = 30.0;
/// How long an idle connection stays open, in seconds, where the limits do not say.
const DEFAULT_CONN_IDLE: f64 = 30.0;
/// How long a connection may take to come up, in seconds, where the limits do not say.
const DEFAULT_CONNECT_TIMEOUT: f64 = 0.25;

/// The settings object, read. Build one with [`Options::read`] or from a [`SettingsDocument`].
#[derive(Debug, Clone, Default, PartialEq)]
#[non_exhaustive]
pub struct Options {
    /// What [`crate::Gateway::new`] takes.
    pub settings: Settings,
    /// Names of the request classes, by index.
    pub classes: Vec<String>,
    /// Names of the plans, by index.
    pub plans: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// An endpoint closes a connection that has stood idle for this many seconds.
    pub conn_idle: f64,
    /// The longest time that a client waits for an answer, in seconds.
    pub deadline: f64,
    /// A connection that is not up after this many seconds has failed.
    pub connect_timeout: f64,
}

/// A settings object that could not be read.
#[derive(Debug)]
#[non_exhaustive]
pub struct OptionsError {
    /// The path of the key at fault, such as `Classes[0].Effect`.
    pub path: String,
    /// What is wrong there.
    pub reason: serde_json::Error,
}

impl fmt::Display for OptionsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Options.{}: {}", self.path, self.reason)
    }
}

impl std::error::Error for OptionsError {}

impl Options {
    /// Reads a settings object; a missing key has its default.
    ///
    /// # Errors
    /// A value of the wrong kind.
    pub fn read(value: &Value) -> Result<Self, OptionsError> {
        let document: Result<SettingsDocument, _> = serde_path_to_error::deserialize(value);
        let document = document.map_err(|error| {
            let path = error.path().to_string();
            OptionsError { path, reason: error.into_inner() }
        })?;
        Ok(document.into())
    }
}

impl From<SettingsDocument> for Options {
    fn from(document: SettingsDocument) -> Self {
        let mut settings = Settings::default();
        settings.gateway_index = count_or(document.me, settings.gateway_index);
        settings.gateway_count = count_or(document.peers_total, settings.gateway_count);
        settings.zone = count_or(document.locality, settings.zone);
        settings.event_interval = document.step.unwrap_or(settings.event_interval);
        settings.discovery_is_polled = document.discovery == Some(DiscoveryMode::Ask);
        apply_domain(&mut settings, &document.domain.unwrap_or_default());
        let limits = document.limits.unwrap_or_default();
        apply_limits(&mut settings, &limits);
        apply_rules(&mut settings, &document.rules.unwrap_or_default());
        let (classes, plans) = (document.classes.unwrap_or_default(), document.plans.unwrap_or_default());
        settings.classes = classes.iter().map(class).collect();
        settings.plans = plans.iter().map(plan).collect();
        let deadlines = classes.iter().map(|class| class.deadline.unwrap_or(DEFAULT_DEADLINE));
        Self {
            deadline: deadlines.fold(0.0, f64::max),
            settings,
            classes: classes.into_iter().map(|class| class.name.unwrap_or_default()).collect(),
            plans: plans.into_iter().map(|plan| plan.name.unwrap_or_default()).collect(),
            zones: document.dcs.unwrap_or_default(),
            conn_idle: limits.conn_idle.unwrap_or(DEFAULT_CONN_IDLE),
            connect_timeout: limits.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
        }
    }
}

fn count_or(count: Option<Count>, default: u32) -> u32 {
    count.map_or(default, |Count(count)| count)
}

fn apply_domain(settings: &mut Settings, domain: &DomainDocument) {
    settings.has_counter = domain.has_counter.unwrap_or(false);
    settings.counter_timeout = domain.count_limit.unwrap_or(settings.counter_timeout);
    settings.max_units = domain.max_units.unwrap_or(settings.max_units);
    settings.units_settle_later = domain.post_paid.unwrap_or(false);
}

fn apply_limits(settings: &mut Settings, limits: &LimitsDocument) {
    settings.health_checks_enabled = limits.may_probe.unwrap_or(false);
    settings.cancellation_enabled = limits.cancelling.unwrap_or(false);
    settings.hedging_enabled = limits.second_copies.unwrap_or(false);
    settings.max_attempts = count_or(limits.send_cap, settings.max_attempts);
    settings.max_open_requests = count_or(limits.open_cap, settings.max_open_requests);
    settings.retry_after_enabled = limits.retry_after.unwrap_or(false);
    settings.max_retry_after = limits.max_retry_after.unwrap_or(settings.max_retry_after);
}

fn apply_rules(settings: &mut Settings, rules: &RulesDocument) {
    settings.max_poll_interval = rules.must_ask_in.unwrap_or(settings.max_poll_interval);
    settings.slow_start_initial_share = rules.cold_from.unwrap_or(settings.slow_start_initial_share);
    settings.slow_start_window = rules.cold.unwrap_or(settings.slow_start_window);
    settings.overload_multiple = rules.fall_multiple.unwrap_or(settings.overload_multiple);
    settings.overload_window = rules.fall.unwrap_or(settings.overload_window);
}

fn class(document: &ClassDocument) -> Class {
    let group = match document.group.unwrap_or(GroupName::Cell) {
        GroupName::All => IdempotencyScope::All,
        GroupName::Zone => IdempotencyScope::Zone,
        GroupName::Cell => IdempotencyScope::Cell,
    };
    let effect = match document.effect {
        EffectName::Idempotent => Effect::Idempotent,
        EffectName::Deduplicated => {
            Effect::IdempotencyKey { scope: group, window: document.window.unwrap_or(0.0) }
        }
        EffectName::AtMostOnce => Effect::AtMostOnce,
    };
    Class {
        latency_objective: document.slo.unwrap_or(Class::default().latency_objective),
        late_weight_share: document.late_worth.unwrap_or(0.0),
        effect,
        streamed: document.streamed.unwrap_or(false),
    }
}

fn plan(document: &PlanDocument) -> Plan {
    Plan {
        rate: document.quota_rate.unwrap_or(0.0),
        burst: document.depth.unwrap_or(0.0),
        max_concurrent_attempts: count_or(document.open, 0),
        priority_weight: document.pays.unwrap_or(1.0),
        over_quota_weight_share: document.excess_worth.unwrap_or(0.0),
        over_quota_cost_share: document.overrun_cost.unwrap_or(0.0),
        ceiling_rate: document.ceiling_rate.unwrap_or(0.0),
        ceiling_burst: document.ceiling_burst.unwrap_or(0.0),
    }
}
