//! Sets up the structured log: one line with fields for each event, on standard error.

use std::{
    env::{self, VarError},
    io,
    str::FromStr,
};
use thiserror::Error;
use tracing::level_filters::LevelFilter;

/// Environment variable with the level and the format of the log.
const LOG_VARIABLE: &str = "OLIVERACK_LOG";

/// Format of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Format {
    Text,
    Json,
}

/// Level and format of the log.
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

/// Error for a part of the environment variable that is neither a level nor a format.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "{LOG_VARIABLE}: {0:?} is neither a level (error, warn, info, debug, trace) nor a format (text, json)"
)]
pub struct LogError(String);

impl FromStr for LogSettings {
    type Err = LogError;

    /// Parses a level and a format, in any order and separated by a comma. A missing one has its default.
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
                unknown_part => return Err(LogError(unknown_part.to_owned())),
            }
        }
        Ok(settings)
    }
}

/// Starts the log with the settings from the environment.
///
/// # Errors
/// The environment variable has a part that is neither a level nor a format.
pub fn start() -> Result<(), LogError> {
    let settings = match env::var(LOG_VARIABLE) {
        Ok(text) => text.parse()?,
        Err(VarError::NotPresent) => LogSettings::default(),
        Err(VarError::NotUnicode(text)) => return Err(LogError(text.to_string_lossy().into_owned())),
    };
    // Errors of writing to standard error can't be reported: they would be written to standard error, too.
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
