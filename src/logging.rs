//! The structured log on standard error: one line for each event, with fields.

use std::{
    env::{self, VarError},
    io,
    str::FromStr,
};
use thiserror::Error;
use tracing::level_filters::LevelFilter;

/// The environment variable that sets the log.
const LOG_VARIABLE: &str = "OLIVERACK_LOG";

/// The format of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Format {
    Text,
    Json,
}

/// What is logged, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LogSettings {
    level: LevelFilter,
    format: Format,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: LevelFilter::INFO, format: Format::Text }
    }
}

/// The variable has a part that is neither a level nor a format.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{LOG_VARIABLE}: {0:?} is neither a level (error, warn, info, debug, trace) nor a form (text, json)")]
pub struct LogError(String);

impl FromStr for LogSettings {
    type Err = LogError;

    /// Parses a level and a format, separated by a comma. Each may be missing.
    fn from_str(text: &str) -> Result<Self, LogError> {
        let mut settings = Self::default();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match part {
                "error" => settings.level = LevelFilter::ERROR,
                "warn" => settings.level = LevelFilter::WARN,
                "info" => settings.level = LevelFilter::INFO,
                "debug" => settings.level = LevelFilter::DEBUG,
                "trace" => settings.level = LevelFilter::TRACE,
                "text" => settings.format = Format::Text,
                "json" => settings.format = Format::Json,
                other => return Err(LogError(other.to_owned())),
            }
        }
        Ok(settings)
    }
}

/// Starts the log as the environment sets it.
///
/// # Errors
/// The variable has a part that is neither a level nor a format.
pub fn start() -> Result<(), LogError> {
    let settings = match env::var(LOG_VARIABLE) {
        Ok(text) => text.parse()?,
        Err(VarError::NotPresent) => LogSettings::default(),
        Err(VarError::NotUnicode(text)) => return Err(LogError(text.to_string_lossy().into_owned())),
    };
    // Errors of the log itself would go to the same standard error that can't be written.
    let log = tracing_subscriber::fmt()
        .with_max_level(settings.level)
        .with_writer(io::stderr)
        .with_ansi(false)
        .with_target(false)
        .log_internal_errors(false);
    match settings.format {
        Format::Text => log.init(),
        Format::Json => log.json().flatten_event(true).init(),
    }
    Ok(())
}

#[cfg(test)]
#[path = "../tests/unit/logging.rs"]
mod tests;
