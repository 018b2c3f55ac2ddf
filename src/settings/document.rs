//! The serialized form of the settings object. The keys have the names of the protocol, also where the fields
//! have other names. A key that is missing or null has its default; unknown keys are ignored. All times are
//! in seconds.

use schemars::JsonSchema;
use serde::Deserialize;

/// The settings object.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase", default)]
pub struct SettingsDocument {
    /// Request classes. A request refers to its class by name.
    pub classes: Option<Vec<ClassDocument>>,
    /// Plans of customers. A request refers to its customer's plan by name.
    pub plans: Option<Vec<PlanDocument>>,
    /// Names of the zones, by index.
    #[serde(rename = "Dcs")]
    pub zones: Option<Vec<String>>,
    /// Way in which gateways learn the endpoint list; by default discovery pushes it.
    pub discovery: Option<DiscoveryMode>,
    /// Index of the zone that this gateway runs in.
    #[serde(rename = "Locality")]
    pub zone: Option<Count>,
    /// Index of this gateway among all gateways, from 0.
    #[serde(rename = "Me")]
    pub gateway_index: Option<Count>,
    /// Number of gateways; 1 by default.
    #[serde(rename = "PeersTotal")]
    pub gateway_count: Option<Count>,
    /// Shortest time between two batches of events.
    #[serde(rename = "Step")]
    pub event_interval: Option<f64>,
    /// Settings of the counter and of the units that requests take.
    pub domain: Option<DomainDocument>,
    /// Limits that the deployment sets.
    pub limits: Option<DeploymentLimitsDocument>,
    /// Parameters of the rules for slow start and discovery.
    pub rules: Option<RulesDocument>,
}

/// A whole number. A fraction is cut off, and a negative number becomes 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(from = "f64")]
pub struct Count(pub u32);

impl From<f64> for Count {
    fn from(number: f64) -> Self {
        Self(number as u32)
    }
}

/// Way in which gateways learn the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum DiscoveryMode {
    /// Gateways poll discovery.
    Ask,
    /// Discovery pushes changes. Unknown names mean this mode.
    #[serde(other)]
    Push,
}

/// Effect of sending a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EffectName {
    /// Requests may run any number of times.
    Idempotent,
    /// Endpoints of the group discard retries by their idempotency key, within the window.
    Deduplicated,
    /// Requests must not run more than once.
    AtMostOnce,
}

/// Group of endpoints that share their idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum ScopeName {
    /// All endpoints.
    All,
    /// Endpoints of one zone.
    Zone,
    /// Endpoints of one cell. Unknown names mean this group, as it allows the fewest retries.
    #[serde(other)]
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase")]
pub struct ClassDocument {
    /// Name of the class.
    pub name: Option<String>,
    /// Latency objective: a response within this time counts in full.
    #[serde(rename = "Slo")]
    pub latency_objective: Option<f64>,
    /// Time that clients wait for a response.
    pub deadline: Option<f64>,
    /// Effect of sending a request more than once.
    pub effect: EffectName,
    /// Group of endpoints that remember an idempotency key, if the effect is `deduplicated`.
    #[serde(rename = "Group")]
    pub scope: Option<ScopeName>,
    /// Time that endpoints remember an idempotency key after the first attempt that may have run, if the
    /// effect is `deduplicated`.
    pub window: Option<f64>,
    /// Share of its weight that a late response counts for, from 0 to 1.
    #[serde(rename = "LateWorth")]
    pub late_weight_share: Option<f64>,
    /// True if responses are streams.
    #[serde(rename = "Streamed")]
    pub is_streamed: Option<bool>,
}

/// A plan. The limits apply to each customer over all gateways together.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase", default)]
pub struct PlanDocument {
    /// Name of the plan.
    pub name: Option<String>,
    /// Rate of the quota in units per second; 0 if there is no quota.
    #[serde(rename = "QuotaRate")]
    pub rate: Option<f64>,
    /// Burst of the quota in units.
    #[serde(rename = "Depth")]
    pub burst: Option<f64>,
    /// Most attempts in flight at once; 0 if there is no limit.
    #[serde(rename = "Open")]
    pub max_concurrent_attempts: Option<Count>,
    /// Weight of a unit relative to the other plans.
    #[serde(rename = "Pays")]
    pub priority_weight: Option<f64>,
    /// Share of its weight that a request beyond the quota counts for.
    #[serde(rename = "ExcessWorth")]
    pub over_quota_weight_share: Option<f64>,
    /// Share of its weight that a request beyond the quota costs.
    #[serde(rename = "OverrunCost")]
    pub over_quota_cost_share: Option<f64>,
    /// Rate of the hard ceiling in units per second; 0 if there is no ceiling.
    pub ceiling_rate: Option<f64>,
    /// Burst of the hard ceiling in units.
    pub ceiling_burst: Option<f64>,
}

/// Settings of the counter and of the units that requests take.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase", default)]
pub struct DomainDocument {
    /// True if there is a counter.
    pub has_counter: Option<bool>,
    /// Time after which a counter call has failed.
    #[serde(rename = "CountLimit")]
    pub counter_timeout: Option<f64>,
    /// Most units of one request.
    pub max_units: Option<f64>,
    /// True if the units of a request are only an estimate until its response reports the actual ones.
    #[serde(rename = "PostPaid")]
    pub units_settled_after_response: Option<bool>,
}

/// Limits that the deployment sets.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase", default)]
pub struct DeploymentLimitsDocument {
    /// True if attempts may be cancelled.
    #[serde(rename = "Cancelling")]
    pub cancellation_enabled: Option<bool>,
    /// Idle time after which endpoints close a connection.
    #[serde(rename = "ConnIdle")]
    pub idle_timeout: Option<f64>,
    /// Timeout for opening a connection.
    pub connect_timeout: Option<f64>,
    /// Longest `Retry-After` that clients obey.
    pub max_retry_after: Option<f64>,
    /// True if endpoints may be sent health checks.
    #[serde(rename = "MayProbe")]
    pub health_checks_enabled: Option<bool>,
    /// Most open requests of one gateway.
    #[serde(rename = "OpenCap")]
    pub max_open_requests: Option<Count>,
    /// True if rejected clients are told how long to wait.
    #[serde(rename = "RetryAfter")]
    pub retry_after_enabled: Option<bool>,
    /// True if two attempts of one request may be in flight at once.
    #[serde(rename = "SecondCopies")]
    pub hedging_enabled: Option<bool>,
    /// Most attempts per request.
    #[serde(rename = "SendCap")]
    pub max_attempts: Option<Count>,
}

/// Parameters of the rules for slow start and discovery.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase", default)]
pub struct RulesDocument {
    /// Longest time that a newly started endpoint takes to reach its full capacity.
    #[serde(rename = "Cold")]
    pub slow_start_window: Option<f64>,
    /// Least share of its capacity that a newly started endpoint has, from 0 to 1.
    #[serde(rename = "ColdFrom")]
    pub slow_start_initial_share: Option<f64>,
    /// Time of overload after which an endpoint that is warming up fails.
    #[serde(rename = "Fall")]
    pub overload_window: Option<f64>,
    /// Load that overloads an endpoint that is warming up, as a multiple of its present capacity.
    #[serde(rename = "FallMultiple")]
    pub overload_multiple: Option<f64>,
    /// Longest time between two polls. A gateway that has not polled for this long counts as notified of
    /// all changes.
    #[serde(rename = "MustAskIn")]
    pub max_poll_interval: Option<f64>,
}
