//! The settings object as the operators write it, typed. Keys that are missing or null have their defaults;
//! unknown keys are passed over. All times are in seconds.

use schemars::JsonSchema;
use serde::Deserialize;

/// The settings object.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase", default)]
pub struct SettingsDocument {
    /// Request classes; requests name them by their names.
    pub classes: Option<Vec<ClassDocument>>,
    /// Plans of customers; requests name them by their names.
    pub plans: Option<Vec<PlanDocument>>,
    /// Names of the zones.
    pub dcs: Option<Vec<String>>,
    /// How the list of endpoints is learned; by default it is pushed.
    pub discovery: Option<DiscoveryMode>,
    /// The number of the zone that this gateway is in, from 0.
    pub locality: Option<Count>,
    /// This gateway's number, from 0.
    pub me: Option<Count>,
    /// How many gateways there are; 1 by default.
    pub peers_total: Option<Count>,
    /// Least time between two batches of events.
    pub step: Option<f64>,
    /// The counter, and what requests may take.
    pub domain: Option<DomainDocument>,
    /// What the site permits.
    pub limits: Option<LimitsDocument>,
    /// Figures of the rules.
    pub rules: Option<RulesDocument>,
}

/// A number that counts; a fraction is cut off, and below 0 it counts as 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(from = "f64")]
pub struct Count(pub u32);

impl From<f64> for Count {
    fn from(number: f64) -> Self {
        Self(number as u32)
    }
}

/// How the list of endpoints is learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum DiscoveryMode {
    /// It has to be asked for.
    Ask,
    /// Changes come by themselves.
    #[serde(other)]
    Push,
}

/// What repeating a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EffectName {
    /// It may run any number of times.
    Idempotent,
    /// Repeats are discarded by the endpoints of the group within the window.
    Deduplicated,
    /// It may run once at most.
    AtMostOnce,
}

/// Which endpoints discard repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum GroupName {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell: what a group of no known name is taken for, as it promises least.
    #[serde(other)]
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase")]
pub struct ClassDocument {
    /// Its name.
    pub name: Option<String>,
    /// An answer within this time earns its full worth.
    pub slo: Option<f64>,
    /// How long a client waits.
    pub deadline: Option<f64>,
    /// What a repeat may do.
    pub effect: EffectName,
    /// For deduplicated requests: which endpoints discard repeats.
    pub group: Option<GroupName>,
    /// For deduplicated requests: for how long, from the first attempt that may have run.
    pub window: Option<f64>,
    /// The share of the worth that a late answer earns.
    pub late_worth: Option<f64>,
    /// The answer is a stream.
    pub streamed: Option<bool>,
}

/// A plan; its figures hold for each customer over all gateways together.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase", default)]
pub struct PlanDocument {
    /// Its name.
    pub name: Option<String>,
    /// Units a second of the quota; 0: there is none.
    pub quota_rate: Option<f64>,
    /// Units of the quota that may be used at once.
    pub depth: Option<f64>,
    /// Attempts that may be out at once; 0: any number.
    pub open: Option<Count>,
    /// Worth of a unit, relative to other plans.
    pub pays: Option<f64>,
    /// Share of its worth that a request beyond the quota earns.
    pub excess_worth: Option<f64>,
    /// Share of its worth that such a request costs.
    pub overrun_cost: Option<f64>,
    /// Units a second of the hard ceiling; 0: there is none.
    pub ceiling_rate: Option<f64>,
    /// Units that the ceiling holds.
    pub ceiling_burst: Option<f64>,
}

/// The counter, and what requests may take.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase", default)]
pub struct DomainDocument {
    /// The counter may be called.
    pub has_counter: Option<bool>,
    /// A call with no answer by then has failed.
    pub count_limit: Option<f64>,
    /// Most units that one request takes.
    pub max_units: Option<f64>,
    /// True units come with the answer.
    pub post_paid: Option<bool>,
}

/// What the site permits.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase", default)]
pub struct LimitsDocument {
    /// Attempts may be called off.
    pub cancelling: Option<bool>,
    /// An endpoint closes a connection that has stood idle for so long.
    pub conn_idle: Option<f64>,
    /// A connection that is not up after this time has failed.
    pub connect_timeout: Option<f64>,
    /// The longest advice to stay away that clients honour.
    pub max_retry_after: Option<f64>,
    /// Endpoints may be probed.
    pub may_probe: Option<bool>,
    /// Requests that a gateway may have open.
    pub open_cap: Option<Count>,
    /// Clients are told when to come back.
    pub retry_after: Option<bool>,
    /// Two attempts of one request may be out at once.
    pub second_copies: Option<bool>,
    /// Most attempts for one request.
    pub send_cap: Option<Count>,
}

/// Figures of the rules.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(rename_all = "PascalCase", default)]
pub struct RulesDocument {
    /// An endpoint is warm after this time at most.
    pub cold: Option<f64>,
    /// The least share of its capacity that it starts with.
    pub cold_from: Option<f64>,
    /// A cold endpoint falls when sent too much for so long.
    pub fall: Option<f64>,
    /// Too much is this multiple of its present capacity.
    pub fall_multiple: Option<f64>,
    /// A gateway that has not asked for the list for so long counts as told.
    pub must_ask_in: Option<f64>,
}
