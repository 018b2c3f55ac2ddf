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
    /// The gatekeepers.
    pub gatekeepers: Gatekeepers,
    /// What the policy is told beside the sizes.
    pub policy: Policy,
    /// The workers.
    pub workers: Workers,
    /// The service that tells the list of workers.
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
    /// How much of their quota tenants ask for; each tenant has one of these.
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
    /// Count of zones; gatekeepers and workers are dealt out over them in turn.
    pub zones: u32,
    /// Delay within a zone.
    pub delay_in_zone: f64,
    /// Delay between two zones of one region.
    pub delay_in_region: f64,
    /// Delay between regions.
    pub delay_between_regions: f64,
}

/// The gatekeepers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gatekeepers {
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
    pub count_limit: f64,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be out at once.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// The longest Retry-After that clients honour.
    pub max_retry_after: f64,
}

/// The workers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    /// How many there are at the start.
    pub count: u32,
    /// Count of cells; workers are dealt out over them in turn.
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
    /// Share of its capacity that a worker starts with.
    pub cold_from: f64,
    /// Seconds until it has climbed to the full.
    pub cold_seconds: f64,
    /// It falls over when sent more than this multiple of its capacity (told to the policy, not modelled) ...
    pub fall_multiple: f64,
    /// ... for this time.
    pub fall_seconds: f64,
}

/// How the list of workers comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryMode {
    /// Changes come by themselves.
    Push,
    /// Changes come once the list has been asked for.
    Ask,
}

/// The service that tells the list of workers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// How the list comes.
    pub mode: DiscoveryMode,
    /// How late news arrives: least and most, drawn for each gatekeeper.
    pub lateness: [f64; 2],
    /// Asked lists that the service works off in a second, one after another.
    pub calls_per_second: f64,
    /// A call that would wait longer fails after this time.
    pub give_up_after: f64,
    /// How long the service holds a watch without news before it answers and is called again.
    pub watch_seconds: f64,
}

/// The counter service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counter {
    /// Parts, over which names are spread.
    pub parts: u32,
    /// Calls that each part serves in a second.
    pub calls_per_second: f64,
    /// Calls that may wait at a part; one beyond them is turned away.
    pub queue: u32,
    /// Delay between a gatekeeper and the counter.
    pub delay: f64,
}

/// The tenants.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenants {
    /// How many there are.
    pub count: u32,
    /// Gatekeepers that carry one tenant: least and most.
    pub spread: [u32; 2],
    /// How unevenly a tenant uses these: the weight of the n-th is n to the power of minus this number.
    pub skew: [f64; 2],
    /// Most units of a request; each takes one unit at least.
    pub max_units: u32,
}

/// Clients and the front that deals out their requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Most retries of a refused request.
    pub max_retries: u32,
    /// Share of the refusals that are retried.
    pub retry_share: f64,
    /// Wait before a retry where the refusal gave no advice.
    pub retry_seconds: f64,
    /// How long the front goes on sending to a gatekeeper that is down.
    pub front_notices_after: f64,
    /// Bytes of a request's body, where its class has one.
    pub request_body: u64,
    /// Bytes of an answer's body.
    pub answer_body: u64,
}

/// What repeating a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// It may run any number of times.
    Safe,
    /// The workers of a zone discard repeats.
    Keyed,
    /// It may run once at most.
    Unsafe,
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
    pub aim: f64,
    /// Share of the worth that a later answer earns.
    pub late_worth: f64,
    /// The client abandons the request after this time.
    pub deadline: f64,
    /// Worth of one unit.
    pub worth: f64,
    /// What a repeat may do.
    pub repeat: Repeat,
    /// For how long the workers discard repeats of a keyed request.
    #[serde(default)]
    pub window: f64,
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
    #[serde(default)]
    pub open: u32,
    /// Worth of a unit, relative to other plans.
    pub pays: f64,
    /// Share of its worth that a request beyond the quota earns.
    #[serde(default)]
    pub excess_worth: f64,
    /// Share of its worth that such a request costs.
    #[serde(default)]
    pub overrun_cost: f64,
    /// Units a second that refill the hard ceiling; 0: none.
    #[serde(default)]
    pub ceiling_rate: f64,
    /// Units that the ceiling holds.
    #[serde(default)]
    pub ceiling_burst: f64,
}

/// How much of their quota some of the tenants ask for.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// Its name.
    pub name: String,
    /// Its share of the tenants, as a weight.
    pub share: f64,
    /// Units asked for, as a multiple of the plan's rate: least and most.
    pub of_rate: [f64; 2],
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
    /// A share of the gatekeepers restarts at one instant.
    RestartAtOnce {
        /// When.
        at: f64,
        /// The share.
        share: f64,
    },
    /// Gatekeepers restart one by one.
    RestartOneByOne {
        /// First time.
        from: f64,
        /// Last time.
        until: f64,
        /// How many restarts.
        count: u32,
    },
    /// The gatekeepers and workers of a zone fall silent, and start anew at the end.
    LoseZone {
        /// When.
        at: f64,
        /// When it is back.
        until: f64,
        /// The zone's number.
        zone: u32,
    },
    /// Calls between the gatekeepers of a zone and the counter are lost.
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
    /// Workers crash: connections to them break, and new ones fail until they start anew.
    CrashWorkers {
        /// When.
        at: f64,
        /// When they start anew.
        until: f64,
        /// The share.
        share: f64,
    },
    /// Workers take requests and answer none.
    HangWorkers {
        /// When.
        at: f64,
        /// Until when.
        until: f64,
        /// The share.
        share: f64,
    },
    /// Workers drain and are gone at the end.
    DrainWorkers {
        /// When.
        at: f64,
        /// When they are gone.
        until: f64,
        /// The share.
        share: f64,
    },
    /// Workers are replaced one by one; each replacement is three changes of the list: one drains, one is gone,
    /// one is added.
    ReplaceWorkers {
        /// First time.
        from: f64,
        /// Last time.
        until: f64,
        /// How many replacements.
        count: u32,
    },
}
