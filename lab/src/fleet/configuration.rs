//! Types of the experiment file (TOML) that describes a run: sizes, rates, quotas and faults.
//!
//! Some keys of the file differ from the field names, and `serde(rename)` maps them: for example, `gatekeepers` are
//! gateways, `workers` are endpoints, `aim` is the latency objective, `worth` is the weight of a unit and `pays` the
//! priority weight of a plan.

use oliverack::Seconds;
use serde::Deserialize;

/// Inclusive range of values; an array of two in the file.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(from = "[T; 2]")]
pub struct Range<T> {
    /// Lower bound.
    pub min: T,
    /// Upper bound.
    pub max: T,
}

impl<T> From<[T; 2]> for Range<T> {
    fn from([min, max]: [T; 2]) -> Self {
        Self { min, max }
    }
}

/// Configuration of a run. Times are in seconds from its start, network delays are one way.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Duration for which requests arrive.
    pub seconds: Seconds,
    /// Zones, regions and network delays.
    pub topology: Topology,
    /// Number of gateways, and their restarts.
    #[serde(rename = "gatekeepers")]
    pub gateways: Gateways,
    /// Policy settings that do not follow from other sections.
    pub policy: Policy,
    /// Number, capacity and slow start of the endpoints.
    #[serde(rename = "workers")]
    pub endpoints: Endpoints,
    /// Service that publishes the endpoint list.
    pub discovery: Discovery,
    /// Counter service; `None` for a fleet without a counter.
    pub counter: Option<Counter>,
    /// Number of tenants, and their spread over the gateways.
    pub tenants: Tenants,
    /// Clients and the load balancer in front of the gateways.
    pub clients: Clients,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Plans; each tenant is assigned one at random, by share.
    pub plans: Vec<Plan>,
    /// Usage profiles; each tenant is assigned one at random, by share.
    pub usage: Vec<UsageProfile>,
    /// Faults to inject.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// File that holds only faults, to be added to those of a configuration.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultFile {
    /// Faults to inject.
    pub faults: Vec<Fault>,
}

/// Zones, regions and the network delays between them.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Number of regions; zones are split evenly over them.
    pub regions: u32,
    /// Number of zones; gateways and endpoints are assigned to them round robin.
    pub zones: u32,
    /// Delay within a zone.
    pub delay_in_zone: Seconds,
    /// Delay between two zones of one region.
    pub delay_in_region: Seconds,
    /// Delay between regions.
    pub delay_between_regions: Seconds,
}

/// Number of gateways, and their restarts.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    /// Number of gateways.
    pub count: u32,
    /// Duration for which a restarting gateway is down.
    pub restart_seconds: Seconds,
}

/// Policy settings that do not follow from other sections.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Timeout of a counter call.
    #[serde(rename = "count_limit")]
    pub counter_timeout: Seconds,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Allows the policy to hedge: to start a second attempt while the first is in flight.
    #[serde(rename = "second_copies")]
    pub hedging_enabled: bool,
    /// Tells the policy that attempts can be cancelled.
    #[serde(rename = "may_cancel")]
    pub cancellation_enabled: bool,
    /// Longest `Retry-After` that clients obey.
    pub max_retry_after: Seconds,
}

/// Number, capacity and slow start of the endpoints.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoints {
    /// Number of endpoints at the start of the run.
    pub count: u32,
    /// Number of cells; endpoints are assigned to them round robin.
    pub cells: u32,
    /// Requests that an endpoint serves concurrently.
    pub slots: u32,
    /// Requests that an endpoint queues while all slots are in use; it rejects further ones.
    pub queue: u32,
    /// Mean service time of a request, in addition to the time for its units.
    pub service_seconds: Seconds,
    /// Mean additional service time for each unit of a request.
    pub service_seconds_per_unit: Seconds,
    /// Share of the service time that is exponentially distributed; the rest is constant.
    pub service_variation: f64,
    /// Share of its full capacity at which an endpoint starts.
    #[serde(rename = "cold_from")]
    pub slow_start_initial_share: f64,
    /// Time from an endpoint's start until it has its full capacity.
    #[serde(rename = "cold_seconds")]
    pub slow_start_window: Seconds,
    /// Load that overloads an endpoint during slow start, as a multiple of its present capacity; passed to the
    /// policy, not modelled.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Duration of a load above `overload_multiple` after which an endpoint in slow start fails; passed to the
    /// policy, not modelled.
    #[serde(rename = "fall_seconds")]
    pub overload_window: Seconds,
}

/// Transport of the endpoint list to the gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryMode {
    /// Each gateway gets the complete list at its start, and changes as they occur.
    Push,
    /// A gateway gets the complete list when it polls, and changes from then on.
    #[serde(rename = "ask")]
    Poll,
}

/// Service that publishes the endpoint list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Transport of the list to the gateways.
    pub mode: DiscoveryMode,
    /// Time that a change takes to reach a gateway; drawn once for each gateway.
    #[serde(rename = "lateness")]
    pub propagation_delay: Range<Seconds>,
    /// Polls a second that the service answers, one after another.
    pub calls_per_second: f64,
    /// Longest wait of a poll in the queue; a poll that would wait longer fails after this time.
    #[serde(rename = "give_up_after")]
    pub poll_timeout: Seconds,
    /// Time after which the service ends a watch with an empty response if the list has not changed.
    #[serde(rename = "watch_seconds")]
    pub watch_hold: Seconds,
}

/// Counter service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counter {
    /// Number of shards over which the entries are spread.
    #[serde(rename = "parts")]
    pub shards: u32,
    /// Calls a second that a shard serves, one after another.
    pub calls_per_second: f64,
    /// Calls that a shard queues; it rejects further ones.
    pub queue: u32,
    /// Network delay between a gateway and the counter.
    pub delay: Seconds,
}

/// Number of tenants, and their spread over the gateways.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenants {
    /// Number of tenants.
    pub count: u32,
    /// Number of gateways that serve a tenant; drawn for each tenant.
    #[serde(rename = "spread")]
    pub gateways_per_tenant: Range<u32>,
    /// Exponent of the uneven spread over a tenant's gateways, drawn for each tenant: the n-th gateway, counted from a
    /// random one, has the weight `n.powf(-skew)`, so that 0 is an even spread.
    pub skew: Range<f64>,
    /// Maximum units of a request; the minimum is 1.
    pub max_units: u32,
}

/// Clients and the load balancer in front of the gateways.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Maximum number of retries of a rejected demand.
    pub max_retries: u32,
    /// Probability that a client retries a rejected demand while retries remain.
    pub retry_share: f64,
    /// Backoff before a retry if the rejection has no `Retry-After`.
    #[serde(rename = "retry_seconds")]
    pub default_backoff: Seconds,
    /// Time for which the load balancer still sends requests to a gateway that is down.
    #[serde(rename = "front_notices_after")]
    pub failure_detection_delay: Seconds,
    /// Size of a request body, for classes that have one.
    #[serde(rename = "request_body")]
    pub request_body_bytes: u64,
    /// Size of a response body.
    #[serde(rename = "answer_body")]
    pub response_body_bytes: u64,
}

/// Effect of executing a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatEffect {
    /// The same effect as executing it once.
    #[serde(rename = "safe")]
    Idempotent,
    /// Endpoints of the same zone recognise the idempotency key and discard duplicates.
    #[serde(rename = "keyed")]
    IdempotencyKey,
    /// A harmful effect, so that the request may be executed at most once.
    #[serde(rename = "unsafe")]
    AtMostOnce,
}

/// Class of requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class, the first segment of the request path.
    pub name: String,
    /// Relative share of the requests.
    pub share: f64,
    /// Latency up to which a response earns the full weight of its request.
    #[serde(rename = "aim")]
    pub latency_objective: Seconds,
    /// Share of the weight that a response after the latency objective earns.
    #[serde(rename = "late_worth")]
    pub late_weight_share: f64,
    /// Time after which the client abandons the request.
    pub deadline: Seconds,
    /// Weight of one unit, before the factor of the plan.
    #[serde(rename = "worth")]
    pub unit_weight: f64,
    /// Effect of executing a request more than once.
    #[serde(rename = "repeat")]
    pub repeat_effect: RepeatEffect,
    /// Time for which endpoints remember an idempotency key.
    #[serde(rename = "window", default)]
    pub idempotency_window: Seconds,
}

/// Plan of a share of the tenants.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name of the plan.
    pub name: String,
    /// Relative share of the tenants.
    pub share: f64,
    /// Rate of the quota, in units a second.
    pub rate: f64,
    /// Burst of the quota, in units.
    pub burst: f64,
    /// Maximum number of attempts in flight for a tenant; 0 for no limit.
    #[serde(rename = "open", default)]
    pub max_concurrent_attempts: u32,
    /// Factor by which the weight of a unit is multiplied.
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
    /// Burst of the hard ceiling, in units.
    #[serde(default)]
    pub ceiling_burst: f64,
}

/// Usage profile of a share of the tenants: the units that they submit, relative to their quota.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageProfile {
    /// Name of the profile.
    pub name: String,
    /// Relative share of the tenants.
    pub share: f64,
    /// Units submitted a second outside spikes, as a multiple of the plan's rate; drawn for each tenant.
    #[serde(rename = "of_rate")]
    pub load_factor: Range<f64>,
    /// Factor by which the load is multiplied during a spike.
    #[serde(default = "default_spike_factor")]
    pub spike_factor: f64,
    /// Duration of a spike.
    #[serde(default)]
    pub spike_seconds: Seconds,
    /// Time from the start of one spike to the start of the next; 0 for no spikes.
    #[serde(default)]
    pub spike_every: Seconds,
}

fn default_spike_factor() -> f64 {
    1.0
}

/// Fault to inject. Faults that affect a share of the gateways or endpoints choose them at random.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// A share of the gateways restarts at the same time.
    RestartAtOnce {
        /// Start of the fault.
        at: Seconds,
        /// Share of the gateways that are affected.
        share: f64,
    },
    /// Gateways restart one by one, each at a random time.
    RestartOneByOne {
        /// Earliest time.
        from: Seconds,
        /// Latest time.
        until: Seconds,
        /// Number of restarts.
        count: u32,
    },
    /// A zone fails: its gateways stop, its endpoints become unreachable, and all of them start again at the end.
    LoseZone {
        /// Start of the fault.
        at: Seconds,
        /// Time at which the zone is restored.
        until: Seconds,
        /// Number of the zone.
        zone: u32,
    },
    /// Calls between the gateways of a zone and the counter are lost.
    CutCounter {
        /// Start of the fault.
        at: Seconds,
        /// End of the fault.
        until: Seconds,
        /// Number of the zone.
        zone: u32,
    },
    /// The counter takes longer to serve each call.
    SlowCounter {
        /// Start of the fault.
        at: Seconds,
        /// End of the fault.
        until: Seconds,
        /// Factor by which the service time of a call is multiplied.
        factor: f64,
    },
    /// The counter accepts no calls and sends no responses.
    SilenceCounter {
        /// Start of the fault.
        at: Seconds,
        /// End of the fault.
        until: Seconds,
    },
    /// The counter loses a share of its entries.
    #[serde(rename = "forget-counts")]
    LoseCounterEntries {
        /// Start of the fault.
        at: Seconds,
        /// Share of the entries that are affected.
        share: f64,
    },
    /// Endpoints crash: their connections are reset, and new ones are refused until they start again.
    #[serde(rename = "crash-workers")]
    CrashEndpoints {
        /// Start of the fault.
        at: Seconds,
        /// Time at which they start again.
        until: Seconds,
        /// Share of the endpoints that are affected.
        share: f64,
    },
    /// Endpoints hang: they accept requests and never respond.
    #[serde(rename = "hang-workers")]
    HangEndpoints {
        /// Start of the fault.
        at: Seconds,
        /// End of the fault.
        until: Seconds,
        /// Share of the endpoints that are affected.
        share: f64,
    },
    /// Endpoints drain, then shut down at the end.
    #[serde(rename = "drain-workers")]
    DrainEndpoints {
        /// Start of the fault.
        at: Seconds,
        /// Time at which they shut down.
        until: Seconds,
        /// Share of the endpoints that are affected.
        share: f64,
    },
    /// Endpoints are replaced one by one, each at a random time. A replacement changes the endpoint list three times:
    /// the endpoint drains, it shuts down, and another one is added.
    #[serde(rename = "replace-workers")]
    ReplaceEndpoints {
        /// Earliest time.
        from: Seconds,
        /// Latest time.
        until: Seconds,
        /// Number of replacements.
        count: u32,
    },
}
