//! Checks a configuration before it is used: what is wrong with it, and which of its keys nobody knows.

use crate::node::config::{Config, ConfigDocument, ConfigError};
use oliverack::{Gateway, SettingsError};
use serde_ignored::Path;
use std::{collections::BTreeSet, fmt};

/// Keys that the protocol has and the gateway has no use for. `[]` stands for any place of a list.
const UNUSED: [&str; 24] = [
    "known.servers[].kind",
    "known.servers[].weight",
    "limits.cores",
    "settings.Classes[].AimStretch",
    "settings.Classes[].Worth",
    "settings.Clients",
    "settings.Domain.CallPrice",
    "settings.Domain.MailPerS",
    "settings.Domain.MeterPeriod",
    "settings.DomainType",
    "settings.Goal",
    "settings.Kinds",
    "settings.Layer",
    "settings.Limits.CpuUsPerRequest",
    "settings.Limits.CpuUsPerS",
    "settings.Limits.Peers",
    "settings.Limits.StreamsPerConn",
    "settings.Plans[].HardSlack",
    "settings.Prices",
    "settings.Report",
    "settings.Rules.AnswerSlack",
    "settings.Rules.StopSendingWithin",
    "settings.Tiers",
    "settings.Weights",
];

/// Why a configuration does not pass.
#[derive(Debug)]
pub enum CheckError {
    /// It can't be used.
    Config(ConfigError),
    /// No gateway can work with its settings.
    Settings(SettingsError),
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config(error) => error.fmt(f),
            Self::Settings(error) => write!(f, "the configuration's {}: {error}", key(error)),
        }
    }
}

impl std::error::Error for CheckError {}

/// The key that a settings error is about.
fn key(error: &SettingsError) -> &'static str {
    match error {
        SettingsError::NoGateways => "settings.PeersTotal",
        SettingsError::GatewayIndexOutOfRange => "settings.Me",
        SettingsError::BadNumber("counter_timeout") => "settings.Domain.CountLimit",
        SettingsError::BadNumber("max_retry_after") => "settings.Limits.MaxRetryAfter",
        SettingsError::BadNumber("slow_start_initial_share") => "settings.Rules.ColdFrom",
        SettingsError::BadNumber("slow_start_window") => "settings.Rules.Cold",
        SettingsError::BadNumber("overload_window") => "settings.Rules.Fall",
        SettingsError::BadNumber("overload_multiple") => "settings.Rules.FallMultiple",
        SettingsError::BadNumber("max_poll_interval") => "settings.Rules.MustAskIn",
        SettingsError::BadNumber("event_interval") => "settings.Step",
        SettingsError::BadNumber("latency_objective") => "settings.Classes[].Slo",
        SettingsError::BadNumber("late_weight_share") => "settings.Classes[].LateWorth",
        SettingsError::BadNumber("rate") => "settings.Plans[].QuotaRate",
        SettingsError::BadNumber("burst") => "settings.Plans[].Depth",
        SettingsError::BadNumber("over_quota_weight_share") => "settings.Plans[].ExcessWorth",
        SettingsError::BadNumber("over_quota_cost_share") => "settings.Plans[].OverrunCost",
        SettingsError::BadNumber("ceiling_rate") => "settings.Plans[].CeilingRate",
        SettingsError::BadNumber("ceiling_burst") => "settings.Plans[].CeilingBurst",
        SettingsError::BadNumber("priority_weight") => "settings.Plans[].Pays",
        _ => "settings",
    }
}

/// Checks a configuration; the paths of its keys that nobody knows.
///
/// # Errors
/// The gateway would not start with it.
pub fn check(text: &[u8]) -> Result<BTreeSet<String>, CheckError> {
    let mut unknown = BTreeSet::new();
    let note = |path: Path| {
        let path = name(&path);
        if !UNUSED.contains(&path.as_str()) {
            unknown.insert(path);
        }
    };
    let config = Config::read_noting(text, note).map_err(CheckError::Config)?;
    Gateway::new(config.options.settings, config.seed).map_err(CheckError::Settings)?;
    Ok(unknown)
}

/// The JSON schema of the configuration's file.
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(ConfigDocument)
}

/// A key's path, such as `settings.Classes[].Worth`.
fn name(path: &Path) -> String {
    match path {
        Path::Root => String::new(),
        Path::Seq { parent, .. } => name(parent) + "[]",
        Path::Map { parent, key } => {
            let parent = name(parent);
            if parent.is_empty() { key.clone() } else { format!("{parent}.{key}") }
        }
        Path::Some { parent } | Path::NewtypeStruct { parent } | Path::NewtypeVariant { parent } => {
            name(parent)
        }
    }
}
