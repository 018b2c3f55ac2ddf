//! Reads the settings object into the policy's settings, and into the names and limits that the code around
//! the policy needs.

use crate::interface::Seconds;
use crate::settings::document::{
    ClassDocument, Count, DeploymentLimitsDocument, DiscoveryMode, DomainDocument, EffectName, PlanDocument,
    RulesDocument, ScopeName, SettingsDocument,
};
use crate::settings::{Class, Effect, IdempotencyScope, Plan, Settings};
use serde_json::Value;
use thiserror::Error;

/// Time that clients wait if their class has no deadline.
const DEFAULT_DEADLINE: Seconds = 30.0;
/// Idle time after which endpoints close a connection, unless the limits name another.
const DEFAULT_IDLE_TIMEOUT: Seconds = 30.0;
/// Timeout for opening a connection, unless the limits name another.
const DEFAULT_CONNECT_TIMEOUT: Seconds = 0.25;

/// Content of a settings object, created with [`Options::read`] or from a [`SettingsDocument`].
#[derive(Debug, Clone, Default, PartialEq)]
#[non_exhaustive]
pub struct Options {
    /// Settings of the policy, for [`crate::Gateway::new`].
    pub settings: Settings,
    /// Names of the request classes, by index.
    pub class_names: Vec<String>,
    /// Names of the plans, by index.
    pub plan_names: Vec<String>,
    /// Names of the zones, by index.
    pub zone_names: Vec<String>,
    /// Idle time after which endpoints close a connection.
    pub endpoint_idle_timeout: Seconds,
    /// Longest deadline of all classes; 0 if there are no classes.
    pub longest_deadline: Seconds,
    /// Timeout for opening a connection.
    pub connect_timeout: Seconds,
}

/// Error for a settings object that can't be read.
#[derive(Debug, Error)]
#[error("Options.{path}: {reason}")]
#[non_exhaustive]
pub struct OptionsError {
    /// Path of the invalid key, such as `Classes[0].Effect`.
    pub path: String,
    /// Error at that key.
    pub reason: serde_json::Error,
}

impl Options {
    /// Reads a settings object. A missing key has its default.
    ///
    /// # Errors
    /// A value has the wrong type.
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
        settings.gateway_index = count_or(document.gateway_index, settings.gateway_index);
        settings.gateway_count = count_or(document.gateway_count, settings.gateway_count);
        settings.zone = count_or(document.zone, settings.zone);
        settings.event_interval = document.event_interval.unwrap_or(settings.event_interval);
        settings.discovery_is_polled = document.discovery == Some(DiscoveryMode::Ask);
        apply_domain(&mut settings, &document.domain.unwrap_or_default());
        let limits = document.limits.unwrap_or_default();
        apply_limits(&mut settings, &limits);
        apply_rules(&mut settings, &document.rules.unwrap_or_default());
        let classes = document.classes.unwrap_or_default();
        let plans = document.plans.unwrap_or_default();
        settings.classes = classes.iter().map(read_class).collect();
        settings.plans = plans.iter().map(read_plan).collect();
        let deadlines = classes.iter().map(|class| class.deadline.unwrap_or(DEFAULT_DEADLINE));
        Self {
            longest_deadline: deadlines.fold(0.0, f64::max),
            settings,
            class_names: classes.into_iter().map(|class| class.name.unwrap_or_default()).collect(),
            plan_names: plans.into_iter().map(|plan| plan.name.unwrap_or_default()).collect(),
            zone_names: document.zones.unwrap_or_default(),
            endpoint_idle_timeout: limits.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT),
            connect_timeout: limits.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
        }
    }
}

fn count_or(count: Option<Count>, default: u32) -> u32 {
    count.map_or(default, |Count(count)| count)
}

fn apply_domain(settings: &mut Settings, domain: &DomainDocument) {
    settings.has_counter = domain.has_counter.unwrap_or(false);
    settings.counter_timeout = domain.counter_timeout.unwrap_or(settings.counter_timeout);
    settings.max_units = domain.max_units.unwrap_or(settings.max_units);
    settings.units_settled_after_response = domain.units_settled_after_response.unwrap_or(false);
}

fn apply_limits(settings: &mut Settings, limits: &DeploymentLimitsDocument) {
    settings.health_checks_enabled = limits.health_checks_enabled.unwrap_or(false);
    settings.cancellation_enabled = limits.cancellation_enabled.unwrap_or(false);
    settings.hedging_enabled = limits.hedging_enabled.unwrap_or(false);
    settings.max_attempts = count_or(limits.max_attempts, settings.max_attempts);
    settings.max_open_requests = count_or(limits.max_open_requests, settings.max_open_requests);
    settings.retry_after_enabled = limits.retry_after_enabled.unwrap_or(false);
    settings.max_retry_after = limits.max_retry_after.unwrap_or(settings.max_retry_after);
}

fn apply_rules(settings: &mut Settings, rules: &RulesDocument) {
    settings.max_poll_interval = rules.max_poll_interval.unwrap_or(settings.max_poll_interval);
    settings.slow_start_initial_share =
        rules.slow_start_initial_share.unwrap_or(settings.slow_start_initial_share);
    settings.slow_start_window = rules.slow_start_window.unwrap_or(settings.slow_start_window);
    settings.overload_multiple = rules.overload_multiple.unwrap_or(settings.overload_multiple);
    settings.overload_window = rules.overload_window.unwrap_or(settings.overload_window);
}

fn read_class(document: &ClassDocument) -> Class {
    let scope = match document.scope.unwrap_or(ScopeName::Cell) {
        ScopeName::All => IdempotencyScope::All,
        ScopeName::Zone => IdempotencyScope::Zone,
        ScopeName::Cell => IdempotencyScope::Cell,
    };
    let effect = match document.effect {
        EffectName::Idempotent => Effect::Idempotent,
        EffectName::Deduplicated => Effect::IdempotencyKey { scope, window: document.window.unwrap_or(0.0) },
        EffectName::AtMostOnce => Effect::AtMostOnce,
    };
    Class {
        latency_objective: document.latency_objective.unwrap_or(Class::default().latency_objective),
        late_weight_share: document.late_weight_share.unwrap_or(0.0),
        effect,
        is_streamed: document.is_streamed.unwrap_or(false),
    }
}

fn read_plan(document: &PlanDocument) -> Plan {
    Plan {
        rate: document.rate.unwrap_or(0.0),
        burst: document.burst.unwrap_or(0.0),
        max_concurrent_attempts: count_or(document.max_concurrent_attempts, 0),
        priority_weight: document.priority_weight.unwrap_or(1.0),
        over_quota_weight_share: document.over_quota_weight_share.unwrap_or(0.0),
        over_quota_cost_share: document.over_quota_cost_share.unwrap_or(0.0),
        ceiling_rate: document.ceiling_rate.unwrap_or(0.0),
        ceiling_burst: document.ceiling_burst.unwrap_or(0.0),
    }
}
