//! Checks a configuration without starting a gateway: reports its errors and its unknown keys.

use crate::node::config::{Config, ConfigDocument, ConfigError};
use oliverack::{Gateway, SettingsError};
use serde_ignored::Path;
use std::collections::BTreeSet;
use thiserror::Error;

/// Known keys that the gateway does not use, so that they are not reported as unknown. `[]` stands for any index of a
/// list.
const UNUSED_KEYS: [&str; 24] = [
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

/// Error found by a check.
#[derive(Debug, Error)]
pub enum CheckError {
    /// The configuration can't be read or is invalid.
    #[error(transparent)]
    Config(ConfigError),
    /// The settings object has an invalid value.
    #[error("the configuration's {}: {}", settings_key(.0), .0)]
    Settings(SettingsError),
}

/// Returns the path of the key that a settings error is about.
fn settings_key(error: &SettingsError) -> &'static str {
    match error {
        SettingsError::NoGateways => "settings.PeersTotal",
        SettingsError::GatewayIndexOutOfRange => "settings.Me",
        SettingsError::InvalidNumber("counter_timeout") => "settings.Domain.CountLimit",
        SettingsError::InvalidNumber("max_retry_after") => "settings.Limits.MaxRetryAfter",
        SettingsError::InvalidNumber("slow_start_initial_share") => "settings.Rules.ColdFrom",
        SettingsError::InvalidNumber("slow_start_window") => "settings.Rules.Cold",
        SettingsError::InvalidNumber("overload_window") => "settings.Rules.Fall",
        SettingsError::InvalidNumber("overload_multiple") => "settings.Rules.FallMultiple",
        SettingsError::InvalidNumber("max_poll_interval") => "settings.Rules.MustAskIn",
        SettingsError::InvalidNumber("event_interval") => "settings.Step",
        SettingsError::InvalidNumber("latency_objective") => "settings.Classes[].Slo",
        SettingsError::InvalidNumber("late_weight_share") => "settings.Classes[].LateWorth",
        SettingsError::InvalidNumber("rate") => "settings.Plans[].QuotaRate",
        SettingsError::InvalidNumber("burst") => "settings.Plans[].Depth",
        SettingsError::InvalidNumber("over_quota_weight_share") => "settings.Plans[].ExcessWorth",
        SettingsError::InvalidNumber("over_quota_cost_share") => "settings.Plans[].OverrunCost",
        SettingsError::InvalidNumber("ceiling_rate") => "settings.Plans[].CeilingRate",
        SettingsError::InvalidNumber("ceiling_burst") => "settings.Plans[].CeilingBurst",
        SettingsError::InvalidNumber("priority_weight") => "settings.Plans[].Pays",
        _ => "settings",
    }
}

/// Checks a configuration and returns the paths of its unknown keys.
///
/// # Errors
/// The gateway would not start with this configuration.
pub fn check(text: &[u8]) -> Result<BTreeSet<String>, CheckError> {
    let mut unknown_keys = BTreeSet::new();
    let on_unknown_key = |path: Path| {
        let key = key_path(&path);
        if !UNUSED_KEYS.contains(&key.as_str()) {
            unknown_keys.insert(key);
        }
    };
    let config = Config::parse_reporting_unknown_keys(text, on_unknown_key).map_err(CheckError::Config)?;
    Gateway::new(config.options.settings, config.seed).map_err(CheckError::Settings)?;
    Ok(unknown_keys)
}

/// Returns the JSON schema of the configuration file.
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(ConfigDocument)
}

/// Formats the path of a key, such as `settings.Classes[].Worth`.
fn key_path(path: &Path) -> String {
    match path {
        Path::Root => String::new(),
        Path::Seq { parent, .. } => key_path(parent) + "[]",
        Path::Map { parent, key } => {
            let parent = key_path(parent);
            if parent.is_empty() { key.clone() } else { format!("{parent}.{key}") }
        }
        Path::Some { parent } | Path::NewtypeStruct { parent } | Path::NewtypeVariant { parent } => {
            key_path(parent)
        }
    }
}
