//! The TOML file that describes a run: sizes, rates, quotas and faults.
//!
//! The keys of the file are older than the names of the fields and stay as they are.

use oliverack::Seconds;
use serde::Deserialize;

/// A range of values, both ends included; in the file an array of two.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(from = "[T; 2]")]
pub struct Range<T> {
    /// The lowest value.
    pub min: T,
    /// The highest value.
    pub max: T,
}

impl<T> From<[T; 2]> for Range<T> {
    fn from([min, max]: [T; 2]) -> Self {
        Self { min, max }
    }
}

/// A complete run. Times are seconds from its start, delays are one way.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// For how long requests arrive.
    pub seconds: Seconds,
    /// Zones, regions and the delays between them.
    pub topology: Topology,
    /// The gateways.
    #[serde(rename = "gatekeepers")]
    pub gateways: Gateways,
    /// Settings of the policy beside those that follow from the sizes.
    pub policy: Policy,
    /// The endpoints.
    #[serde(rename = "workers")]
    pub endpoints: Endpoints,
    /// The service that publishes the endpoint list.
    pub discovery: Discovery,
    /// The counter service; `None` for a fleet without one.
    pub counter: Option<Counter>,
    /// The tenants.
    pub tenants: Tenants,
    /// The clients and the load balancer in front of the gateways.
    pub clients: Clients,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans, of which each tenant has one.
    pub plans: Vec<Plan>,
    /// Kinds of usage, of which each tenant has one.
    pub usage: Vec<UsageProfile>,
    /// The faults of the run.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// A file that holds only faults.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultFile {
    /// The faults of the run.
    pub faults: Vec<Fault>,
}

/// Zones, regions and the delays between them.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// How many regions there are; zones are split evenly over them.
    pub regions: u32,
    /// How many zones there are; gateways and endpoints are assigned to them in turn.
    pub zones: u32,
    /// Delay within a zone.
    pub delay_in_zone: Seconds,
    /// Delay between two zones of one region.
    pub delay_in_region: Seconds,
    /// Delay between regions.
    pub delay_between_regions: Seconds,
}

/// The gateways.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    /// How many there are.
    pub count: u32,
    /// How long a gateway is down when it restarts.
    pub restart_seconds: Seconds,
}

/// Settings of the policy beside those that follow from the sizes.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Timeout of a counter call.
    #[serde(rename = "count_limit")]
    pub counter_timeout: Seconds,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// A second attempt may be started while the first is in flight.
    #[serde(rename = "second_copies")]
    pub hedging_enabled: bool,
    /// Attempts may be cancelled.
    #[serde(rename = "may_cancel")]
    pub cancellation_enabled: bool,
    /// The longest Retry-After that clients honour.
    pub max_retry_after: Seconds,
}

/// The endpoints.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoints {
    /// How many there are at the start.
    pub count: u32,
    /// How many cells there are; endpoints are assigned to them in turn.
    pub cells: u32,
    /// Requests that an endpoint serves at the same time.
    pub slots: u32,
    /// Requests that may be queued; others are rejected.
    pub queue: u32,
    /// Mean service time of a request, without that of its units.
    pub service_seconds: Seconds,
    /// Mean service time of each unit of a request.
    pub service_seconds_per_unit: Seconds,
    /// Share of the service time that is exponentially distributed; the rest is constant.
    pub service_variation: f64,
    /// Share of its full capacity that an endpoint starts with.
    #[serde(rename = "cold_from")]
    pub slow_start_initial_share: f64,
    /// How long an endpoint takes to reach its full capacity.
    #[serde(rename = "cold_seconds")]
    pub slow_start_window: Seconds,
    /// Multiple of its capacity above which an endpoint is overloaded; known to the policy, not modelled.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// How long an endpoint has to be above that multiple; known to the policy, not modelled.
    #[serde(rename = "fall_seconds")]
    pub overload_window: Seconds,
}

/// How the endpoint list reaches the gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryMode {
    /// Changes are sent to every gateway.
    Push,
    /// Changes are sent to a gateway once it has polled.
    #[serde(rename = "ask")]
    Poll,
}

/// The service that publishes the endpoint list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// How the list reaches the gateways.
    pub mode: DiscoveryMode,
    /// Time that a change takes to reach a gateway, drawn for each gateway.
    #[serde(rename = "lateness")]
    pub propagation_delay: Range<Seconds>,
    /// Polls that the service answers in a second, one after another.
    pub calls_per_second: f64,
    /// A poll that would wait longer in the queue fails after this time.
    #[serde(rename = "give_up_after")]
    pub poll_timeout: Seconds,
    /// How long the service holds a watch without news before it responds.
    #[serde(rename = "watch_seconds")]
    pub watch_hold: Seconds,
}

/// The counter service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counter {
    /// How many shards there are, over which the entries are spread.
    #[serde(rename = "parts")]
    pub shards: u32,
    /// Calls that a shard serves in a second.
    pub calls_per_second: f64,
    /// Calls that may be queued at a shard; others are rejected.
    pub queue: u32,
    /// Delay between a gateway and the counter.
    pub delay: Seconds,
}

/// The tenants.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenants {
    /// How many there are.
    pub count: u32,
    /// How many gateways serve a tenant, drawn for each tenant.
    #[serde(rename = "spread")]
    pub gateways_per_tenant: Range<u32>,
    /// How unevenly a tenant uses its gateways: the weight of the n-th is n to the power of minus this number.
    pub skew: Range<f64>,
    /// Most units of a request; the least is one.
    pub max_units: u32,
}

/// The clients and the load balancer in front of the gateways.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Most retries of a rejected demand.
    pub max_retries: u32,
    /// Share of the rejections that are retried.
    pub retry_share: f64,
    /// Backoff before a retry if the rejection has no Retry-After.
    #[serde(rename = "retry_seconds")]
    pub default_backoff: Seconds,
    /// How long the load balancer continues to send to a gateway that is down.
    #[serde(rename = "front_notices_after")]
    pub failure_detection_delay: Seconds,
    /// Bytes of a request's body, if its class has one.
    #[serde(rename = "request_body")]
    pub request_body_bytes: u64,
    /// Bytes of a response's body.
    #[serde(rename = "answer_body")]
    pub response_body_bytes: u64,
}

/// What happens when a request runs more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatEffect {
    /// Nothing beyond what one run does.
    #[serde(rename = "safe")]
    Idempotent,
    /// The endpoints of a zone recognise its idempotency key and discard repeats.
    #[serde(rename = "keyed")]
    IdempotencyKey,
    /// Harm: it may run once at most.
    #[serde(rename = "unsafe")]
    AtMostOnce,
}

/// One class of requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, the first part of the path.
    pub name: String,
    /// Its share of the requests, as a weight.
    pub share: f64,
    /// A response within this time earns the full weight.
    #[serde(rename = "aim")]
    pub latency_objective: Seconds,
    /// Share of the weight that a later response earns.
    #[serde(rename = "late_worth")]
    pub late_weight_share: f64,
    /// The client abandons the request after this time.
    pub deadline: Seconds,
    /// Weight of one unit.
    #[serde(rename = "worth")]
    pub unit_weight: f64,
    /// What happens when a request runs more than once.
    #[serde(rename = "repeat")]
    pub repeat_effect: RepeatEffect,
    /// How long the endpoints remember an idempotency key.
    #[serde(rename = "window", default)]
    pub idempotency_window: Seconds,
}

/// One plan.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Its share of the tenants, as a weight.
    pub share: f64,
    /// Rate of the quota, in units a second.
    pub rate: f64,
    /// Burst of the quota, in units.
    pub burst: f64,
    /// Attempts that may be in flight at once for a tenant; 0 for no limit.
    #[serde(rename = "open", default)]
    pub max_concurrent_attempts: u32,
    /// Weight of a unit, relative to other plans.
    #[serde(rename = "pays")]
    pub priority_weight: f64,
    /// Share of its weight that a request over quota earns.
    #[serde(rename = "excess_worth", default)]
    pub over_quota_weight_share: f64,
    /// Share of its weight that a request over quota costs.
    #[serde(rename = "overrun_cost", default)]
    pub over_quota_cost_share: f64,
    /// Rate of the hard ceiling, in units a second; 0 for no ceiling.
    #[serde(default)]
    pub ceiling_rate: f64,
    /// Burst of the ceiling, in units.
    #[serde(default)]
    pub ceiling_burst: f64,
}

/// How much of their quota some of the tenants use.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageProfile {
    /// Its name.
    pub name: String,
    /// Its share of the tenants, as a weight.
    pub share: f64,
    /// Units submitted, as a multiple of the plan's rate; drawn for each tenant.
    #[serde(rename = "of_rate")]
    pub load_factor: Range<f64>,
    /// Factor by which a tenant submits more during a spike.
    #[serde(default = "default_spike_factor")]
    pub spike_factor: f64,
    /// How long a spike lasts.
    #[serde(default)]
    pub spike_seconds: Seconds,
    /// Time from one spike to the next; 0 for no spikes.
    #[serde(default)]
    pub spike_every: Seconds,
}

fn default_spike_factor() -> f64 {
    1.0
}

/// A fault. Which gateways or endpoints make up a share is drawn at random.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// A share of the gateways restarts at one instant.
    RestartAtOnce {
        /// When it begins.
        at: Seconds,
        /// The share.
        share: f64,
    },
    /// Gateways restart one by one.
    RestartOneByOne {
        /// First time.
        from: Seconds,
        /// Last time.
        until: Seconds,
        /// How many restarts.
        count: u32,
    },
    /// A zone is lost: its gateways stop, its endpoints become unreachable, and all of them start again at the end.
    LoseZone {
        /// When it begins.
        at: Seconds,
        /// When it is back.
        until: Seconds,
        /// The zone's number.
        zone: u32,
    },
    /// Calls between the gateways of a zone and the counter are lost.
    CutCounter {
        /// When it begins.
        at: Seconds,
        /// When it ends.
        until: Seconds,
        /// The zone's number.
        zone: u32,
    },
    /// The counter takes longer for each call.
    SlowCounter {
        /// When it begins.
        at: Seconds,
        /// When it ends.
        until: Seconds,
        /// Factor by which it takes longer.
        factor: f64,
    },
    /// The counter accepts no calls and sends no responses.
    SilenceCounter {
        /// When it begins.
        at: Seconds,
        /// When it ends.
        until: Seconds,
    },
    /// The counter loses a share of its entries.
    #[serde(rename = "forget-counts")]
    LoseCounterEntries {
        /// When it begins.
        at: Seconds,
        /// The share.
        share: f64,
    },
    /// Endpoints crash: their connections are reset, and new ones are refused until they start again.
    #[serde(rename = "crash-workers")]
    CrashEndpoints {
        /// When it begins.
        at: Seconds,
        /// When they start again.
        until: Seconds,
        /// The share.
        share: f64,
    },
    /// Endpoints hang: they accept requests and never respond.
    #[serde(rename = "hang-workers")]
    HangEndpoints {
        /// When it begins.
        at: Seconds,
        /// When it ends.
        until: Seconds,
        /// The share.
        share: f64,
    },
    /// Endpoints drain, and shut down at the end.
    #[serde(rename = "drain-workers")]
    DrainEndpoints {
        /// When it begins.
        at: Seconds,
        /// When they shut down.
        until: Seconds,
        /// The share.
        share: f64,
    },
    /// Endpoints are replaced one by one. Each replacement is three changes of the list: one endpoint drains, shuts
    /// down, and another is added.
    #[serde(rename = "replace-workers")]
    ReplaceEndpoints {
        /// First time.
        from: Seconds,
        /// Last time.
        until: Seconds,
        /// How many replacements.
        count: u32,
    },
}
