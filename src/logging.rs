//! The structured log: one line an event, with fields, on standard error.

use std::{
    env::{self, VarError},
    fmt, io,
    str::FromStr,
};
use tracing::level_filters::LevelFilter;

/// The variable of the environment that sets the log.
const VARIABLE: &str = "OLIVERACK_LOG";

/// The form of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Form {
    Text,
    Json,
}

/// What is logged, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LogSettings {
    level: LevelFilter,
    form: Form,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: LevelFilter::INFO, form: Form::Text }
    }
}

/// The variable says something that is neither a level nor a form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogError(String);

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{VARIABLE}: {:?} is neither a level (error, warn, info, debug, trace) nor a form (text, json)",
            self.0
        )
    }
}

impl std::error::Error for LogError {}

impl FromStr for LogSettings {
    type Err = LogError;

    /// A level and a form, each of which may be missing, parted by a comma.
    fn from_str(text: &str) -> Result<Self, LogError> {
        let mut settings = Self::default();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match part {
                "error" => settings.level = LevelFilter::ERROR,
                "warn" => settings.level = LevelFilter::WARN,
                "info" => settings.level = LevelFilter::INFO,
                "debug" => settings.level = LevelFilter::DEBUG,
                "trace" => settings.level = LevelFilter::TRACE,
                "text" => settings.form = Form::Text,
                "json" => settings.form = Form::Json,
                other => return Err(LogError(other.to_owned())),
            }
        }
        Ok(settings)
    }
}

/// Starts the log as the environment sets it.
///
/// # Errors
/// The variable can't be understood.
pub fn start() -> Result<(), LogError> {
    let settings = match env::var(VARIABLE) {
        Ok(text) => text.parse()?,
        Err(VarError::NotPresent) => LogSettings::default(),
        Err(VarError::NotUnicode(text)) => return Err(LogError(text.to_string_lossy().into_owned())),
    };
    // A log that nobody takes is no reason to complain, on the same way, of just that.
    let log = tracing_subscriber::fmt()
        .with_max_level(settings.level)
        .with_writer(io::stderr)
        .with_ansi(false)
        .with_target(false)
        .log_internal_errors(false);
    match settings.form {
        Form::Text => log.init(),
        Form::Json => log.json().flatten_event(true).init(),
    }
    Ok(())
}

#[cfg(test)]
#[path = "../tests/unit/logging.rs"]
mod tests;
