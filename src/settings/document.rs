//! The settings object as the operators write it. Its keys keep the names of the protocol, and the fields map
//! them to the terms that the code uses. Keys that are missing or null have their defaults; unknown keys are
//! ignored. All times are in seconds.

use schemars::JsonSchema;
use serde::Deserialize;

/// The settings object.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase", default)]
pub struct SettingsDocument {
    /// Request classes, which requests name.
    pub classes: Option<Vec<ClassDocument>>,
    /// Plans of customers, which requests name.
    pub plans: Option<Vec<PlanDocument>>,
    /// Names of the zones.
    #[serde(rename = "Dcs")]
    pub zones: Option<Vec<String>>,
    /// How the endpoint list is learned; by default discovery pushes it.
    pub discovery: Option<DiscoveryMode>,
    /// Index of the zone that this gateway runs in.
    #[serde(rename = "Locality")]
    pub zone: Option<Count>,
    /// Index of this gateway among all gateways, from 0.
    #[serde(rename = "Me")]
    pub gateway_index: Option<Count>,
    /// How many gateways there are; 1 by default.
    #[serde(rename = "PeersTotal")]
    pub gateway_count: Option<Count>,
    /// Least time between two batches of events.
    #[serde(rename = "Step")]
    pub event_interval: Option<f64>,
    /// The counter, and the units that requests take.
    pub domain: Option<DomainDocument>,
    /// Limits of the deployment.
    pub limits: Option<DeploymentLimitsDocument>,
    /// Figures that the rules are stated with.
    pub rules: Option<RulesDocument>,
}

/// A count. A fraction is cut off, and a negative number counts as 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(from = "f64")]
pub struct Count(pub u32);

impl From<f64> for Count {
    fn from(number: f64) -> Self {
        Self(number as u32)
    }
}

/// How the endpoint list is learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum DiscoveryMode {
    /// Gateways poll it.
    Ask,
    /// Discovery pushes changes.
    #[serde(other)]
    Push,
}

/// What happens when a request is sent more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EffectName {
    /// It may run any number of times.
    Idempotent,
    /// Endpoints of the group discard retries by idempotency key, within the window.
    Deduplicated,
    /// It must not run more than once.
    AtMostOnce,
}

/// Which endpoints remember idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum ScopeName {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell. A group of no known name is taken for this one, as it promises least.
    #[serde(other)]
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase")]
pub struct ClassDocument {
    /// Its name.
    pub name: Option<String>,
    /// A response within this time counts in full.
    #[serde(rename = "Slo")]
    pub latency_objective: Option<f64>,
    /// How long a client waits.
    pub deadline: Option<f64>,
    /// What happens when a request is sent more than once.
    pub effect: EffectName,
    /// For requests with an idempotency key: which endpoints remember it.
    #[serde(rename = "Group")]
    pub scope: Option<ScopeName>,
    /// For requests with an idempotency key: how long it is remembered after the first attempt that may have
    /// run.
    pub window: Option<f64>,
    /// Share of its weight that a late response counts for.
    #[serde(rename = "LateWorth")]
    pub late_weight_share: Option<f64>,
    /// The response is a stream.
    #[serde(rename = "Streamed")]
    pub is_streamed: Option<bool>,
}

/// A plan; its figures hold for each customer over all gateways together.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase", default)]
pub struct PlanDocument {
    /// Its name.
    pub name: Option<String>,
    /// Units a second that refill the quota; 0 if there is no quota.
    #[serde(rename = "QuotaRate")]
    pub rate: Option<f64>,
    /// Units that the quota holds.
    #[serde(rename = "Depth")]
    pub burst: Option<f64>,
    /// Attempts that may be in flight at once; 0 if there is no such limit.
    #[serde(rename = "Open")]
    pub max_concurrent_attempts: Option<Count>,
    /// Weight of a unit, relative to the other plans.
    #[serde(rename = "Pays")]
    pub priority_weight: Option<f64>,
    /// Share of its weight that a request beyond the quota counts for.
    #[serde(rename = "ExcessWorth")]
    pub over_quota_weight_share: Option<f64>,
    /// Share of its weight that a request beyond the quota costs.
    #[serde(rename = "OverrunCost")]
    pub over_quota_cost_share: Option<f64>,
    /// Units a second that refill the hard ceiling; 0 if there is no ceiling.
    pub ceiling_rate: Option<f64>,
    /// Units that the hard ceiling holds.
    pub ceiling_burst: Option<f64>,
}

/// The counter, and the units that requests take.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase", default)]
pub struct DomainDocument {
    /// There is a counter service.
    pub has_counter: Option<bool>,
    /// A counter call that takes longer has failed.
    #[serde(rename = "CountLimit")]
    pub counter_timeout: Option<f64>,
    /// Most units that one request takes.
    pub max_units: Option<f64>,
    /// The true units of a request come with its response.
    #[serde(rename = "PostPaid")]
    pub units_settled_after_response: Option<bool>,
}

/// Limits of the deployment.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase", default)]
pub struct DeploymentLimitsDocument {
    /// Attempts may be cancelled.
    #[serde(rename = "Cancelling")]
    pub cancellation_enabled: Option<bool>,
    /// Endpoints close a connection that has been idle for so long.
    #[serde(rename = "ConnIdle")]
    pub idle_timeout: Option<f64>,
    /// A connection that takes longer to open has failed.
    pub connect_timeout: Option<f64>,
    /// The longest wait that clients honour.
    pub max_retry_after: Option<f64>,
    /// Endpoints may be sent health checks.
    #[serde(rename = "MayProbe")]
    pub health_checks_enabled: Option<bool>,
    /// Most requests that a gateway may have open.
    #[serde(rename = "OpenCap")]
    pub max_open_requests: Option<Count>,
    /// Rejected clients are told how long to wait.
    #[serde(rename = "RetryAfter")]
    pub retry_after_enabled: Option<bool>,
    /// Two attempts of one request may be in flight at once.
    #[serde(rename = "SecondCopies")]
    pub hedging_enabled: Option<bool>,
    /// Most attempts for one request.
    #[serde(rename = "SendCap")]
    pub max_attempts: Option<Count>,
}

/// Figures that the rules are stated with.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase", default)]
pub struct RulesDocument {
    /// A newly started endpoint has its full capacity after this time at most.
    #[serde(rename = "Cold")]
    pub slow_start_window: Option<f64>,
    /// Share of its capacity that a newly started endpoint has at least.
    #[serde(rename = "ColdFrom")]
    pub slow_start_initial_share: Option<f64>,
    /// A warming endpoint fails when it is sent too much for so long.
    #[serde(rename = "Fall")]
    pub overload_window: Option<f64>,
    /// What is too much, as a multiple of its present capacity.
    #[serde(rename = "FallMultiple")]
    pub overload_multiple: Option<f64>,
    /// A gateway that has not polled the list for so long counts as notified.
    #[serde(rename = "MustAskIn")]
    pub max_poll_interval: Option<f64>,
}
