//! The TOML file that describes a run: sizes, rates, quotas and faults.

use serde::Deserialize;

/// A whole run. Times are seconds from its start, delays are one way.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// For how long requests arrive.
    pub seconds: f64,
    /// Zones, regions and the delays between them.
    pub topology: Topology,
    /// The gateways.
    #[serde(rename = "gatekeepers")]
    pub gateways: Gateways,
    /// What the policy is told beside the sizes.
    pub policy: Policy,
    /// The endpoints.
    #[serde(rename = "workers")]
    pub endpoints: Endpoints,
    /// The service that tells the list of endpoints.
    pub discovery: Discovery,
    /// The counter service; without it there is none.
    pub counter: Option<Counter>,
    /// The tenants.
    pub tenants: Tenants,
    /// Clients and the front that deals out their requests.
    pub clients: Clients,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans, of which each tenant has one.
    pub plans: Vec<Plan>,
    /// How much of their quota tenants poll for; each tenant has one of these.
    pub usage: Vec<Usage>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// A file that holds faults alone.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultFile {
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

/// Zones, regions and the delays between them.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Count of regions; zones are split evenly over them.
    pub regions: u32,
    /// Count of zones; gateways and endpoints are dealt out over them in turn.
    pub zones: u32,
    /// Delay within a zone.
    pub delay_in_zone: f64,
    /// Delay between two zones of one region.
    pub delay_in_region: f64,
    /// Delay between regions.
    pub delay_between_regions: f64,
}

/// The gateways.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    /// How many there are.
    pub count: u32,
    /// How long a restart keeps one down.
    pub restart_seconds: f64,
}

/// What the policy is told beside the sizes.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// A counter call is given up after this time.
    #[serde(rename = "count_limit")]
    pub counter_timeout: f64,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be out at once.
    #[serde(rename = "second_copies")]
    pub hedging_enabled: bool,
    /// Attempts may be cancelled.
    #[serde(rename = "may_cancel")]
    pub cancellation_enabled: bool,
    /// The longest Retry-After that clients honour.
    pub max_retry_after: f64,
}

/// The endpoints.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoints {
    /// How many there are at the start.
    pub count: u32,
    /// Count of cells; endpoints are dealt out over them in turn.
    pub cells: u32,
    /// Requests that one works on at the same time.
    pub slots: u32,
    /// Requests that may wait; one beyond them is turned away.
    pub queue: u32,
    /// Mean time that a request takes beside its units.
    pub service_seconds: f64,
    /// Mean time that each unit of a request takes.
    pub service_seconds_per_unit: f64,
    /// Share of the service time that is exponentially distributed; the rest is constant.
    pub service_variation: f64,
    /// Share of its capacity that a endpoint starts with.
    #[serde(rename = "cold_from")]
    pub slow_start_initial_share: f64,
    /// Seconds until it has climbed to the full.
    #[serde(rename = "cold_seconds")]
    pub slow_start_window: f64,
    /// It falls over when sent more than this multiple of its capacity (told to the policy, not modelled) ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... for this time.
    #[serde(rename = "fall_seconds")]
    pub overload_window: f64,
}

/// How the list of endpoints comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryMode {
    /// Changes come by themselves.
    Push,
    /// Changes come once the list has been asked for.
    #[serde(rename = "ask")]
    Poll,
}

/// The service that tells the list of endpoints.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// How the list comes.
    pub mode: DiscoveryMode,
    /// How late news arrives: least and most, drawn for each gateway.
    #[serde(rename = "lateness")]
    pub propagation_delay: [f64; 2],
    /// Asked lists that the service works off in a second, one after another.
    pub calls_per_second: f64,
    /// A call that would wait longer fails after this time.
    #[serde(rename = "give_up_after")]
    pub poll_timeout: f64,
    /// How long the service holds a watch without news before it answers and is called again.
    #[serde(rename = "watch_seconds")]
    pub watch_hold: f64,
}

/// The counter service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counter {
    /// Parts, over which names are spread.
    #[serde(rename = "parts")]
    pub shards: u32,
    /// Calls that each part serves in a second.
    pub calls_per_second: f64,
    /// Calls that may wait at a part; one beyond them is turned away.
    pub queue: u32,
    /// Delay between a gateway and the counter.
    pub delay: f64,
}

/// The tenants.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenants {
    /// How many there are.
    pub count: u32,
    /// Gateways that carry one tenant: least and most.
    #[serde(rename = "spread")]
    pub gateways_per_tenant: [u32; 2],
    /// How unevenly a tenant uses these: the weight of the n-th is n to the power of minus this number.
    pub skew: [f64; 2],
    /// Most units of a request; each takes one unit at least.
    pub max_units: u32,
}

/// Clients and the front that deals out their requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Most retries of a rejected request.
    pub max_retries: u32,
    /// Share of the refusals that are retried.
    pub retry_share: f64,
    /// Wait before a retry where the refusal gave no advice.
    pub retry_seconds: f64,
    /// How long the front goes on sending to a gateway that is down.
    #[serde(rename = "front_notices_after")]
    pub failure_detection_delay: f64,
    /// Bytes of a request's body, where its class has one.
    pub request_body: u64,
    /// Bytes of an answer's body.
    pub answer_body: u64,
}

/// What repeating a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatEffect {
    /// It may run any number of times.
    #[serde(rename = "safe")]
    Idempotent,
    /// The endpoints of a zone discard repeats.
    #[serde(rename = "keyed")]
    IdempotencyKey,
    /// It may run once at most.
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
    /// An answer earns its full worth within this time.
    #[serde(rename = "aim")]
    pub latency_objective: f64,
    /// Share of the worth that a later answer earns.
    #[serde(rename = "late_worth")]
    pub late_weight_share: f64,
    /// The client abandons the request after this time.
    pub deadline: f64,
    /// Worth of one unit.
    #[serde(rename = "worth")]
    pub unit_weight: f64,
    /// What a repeat may do.
    #[serde(rename = "repeat")]
    pub repeat_effect: RepeatEffect,
    /// For how long the endpoints discard repeats of a keyed request.
    #[serde(rename = "window", default)]
    pub idempotency_window: f64,
}

/// One plan.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Its share of the tenants, as a weight.
    pub share: f64,
    /// Units a second.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Attempts that may be out at once; 0: no such limit.
    #[serde(rename = "open", default)]
    pub max_concurrent_attempts: u32,
    /// Worth of a unit, relative to other plans.
    #[serde(rename = "pays")]
    pub priority_weight: f64,
    /// Share of its worth that a request beyond the quota earns.
    #[serde(rename = "excess_worth", default)]
    pub over_quota_weight_share: f64,
    /// Share of its worth that such a request costs.
    #[serde(rename = "overrun_cost", default)]
    pub over_quota_cost_share: f64,
    /// Units a second that refill the hard ceiling; 0: none.
    #[serde(default)]
    pub ceiling_rate: f64,
    /// Units that the ceiling holds.
    #[serde(default)]
    pub ceiling_burst: f64,
}

/// How much of their quota some of the tenants poll for.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// Its name.
    pub name: String,
    /// Its share of the tenants, as a weight.
    pub share: f64,
    /// Units asked for, as a multiple of the plan's rate: least and most.
    #[serde(rename = "of_rate")]
    pub load_factor: [f64; 2],
    /// A spike multiplies that by so much.
    #[serde(default = "one")]
    pub spike_factor: f64,
    /// How long a spike lasts.
    #[serde(default)]
    pub spike_seconds: f64,
    /// Time from one spike to the next; 0: there are none.
    #[serde(default)]
    pub spike_every: f64,
}

fn one() -> f64 {
    1.0
}

/// What goes wrong. Shares are drawn at random.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// A share of the gateways restarts at one instant.
    RestartAtOnce {
        /// When.
        at: f64,
        /// The share.
        share: f64,
    },
    /// Gateways restart one by one.
    RestartOneByOne {
        /// First time.
        from: f64,
        /// Last time.
        until: f64,
        /// How many restarts.
        count: u32,
    },
    /// The gateways and endpoints of a zone fall silent, and start anew at the end.
    LoseZone {
        /// When.
        at: f64,
        /// When it is back.
        until: f64,
        /// The zone's number.
        zone: u32,
    },
    /// Calls between the gateways of a zone and the counter are lost.
    CutCounter {
        /// When.
        at: f64,
        /// Until when.
        until: f64,
        /// The zone's number.
        zone: u32,
    },
    /// The counter is slower.
    SlowCounter {
        /// When.
        at: f64,
        /// Until when.
        until: f64,
        /// How many times.
        factor: f64,
    },
    /// The counter takes no calls and gives no answers.
    SilenceCounter {
        /// When.
        at: f64,
        /// Until when.
        until: f64,
    },
    /// The counter forgets a share of its names.
    ForgetCounts {
        /// When.
        at: f64,
        /// The share.
        share: f64,
    },
    /// Endpoints crash: connections to them break, and new ones fail until they start anew.
    #[serde(rename = "crash-workers")]
    CrashEndpoints {
        /// When.
        at: f64,
        /// When they start anew.
        until: f64,
        /// The share.
        share: f64,
    },
    /// Endpoints take requests and answer none.
    #[serde(rename = "hang-workers")]
    HangEndpoints {
        /// When.
        at: f64,
        /// Until when.
        until: f64,
        /// The share.
        share: f64,
    },
    /// Endpoints drain and are gone at the end.
    #[serde(rename = "drain-workers")]
    DrainEndpoints {
        /// When.
        at: f64,
        /// When they are gone.
        until: f64,
        /// The share.
        share: f64,
    },
    /// Endpoints are replaced one by one; each replacement is three changes of the list: one drains, one is gone,
    /// one is added.
    #[serde(rename = "replace-workers")]
    ReplaceEndpoints {
        /// First time.
        from: f64,
        /// Last time.
        until: f64,
        /// How many replacements.
        count: u32,
    },
}
