//! Why a measurement could not be made.

use super::bounds::CheckFailure;
use oliverack::SettingsError;
use std::{fmt, io, path::PathBuf, time::Duration};

/// Why a measurement could not be made.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// An argument cannot be used; the text says why.
    Argument(&'static str),
    /// No program stands at this path.
    ProgramMissing(PathBuf),
    /// The named operation of the system failed.
    System(&'static str, io::Error),
    /// The policy rejects the settings.
    Settings(SettingsError),
    /// A reading of `/proc` holds no such field.
    ProcField(&'static str),
    /// The named event did not come within the limit.
    TimedOut(&'static str, Duration),
    /// The program ended before it listened; the text is the last line of its log.
    ProgramEnded(String),
    /// The program did not take in a list of endpoints; the text is the last line of its log.
    ListNotTaken(String),
    /// The program holds more memory than its limit, both in bytes.
    MemoryLimitExceeded {
        /// The most that it history.
        peak: u64,
        /// What its configuration allows.
        limit: u64,
    },
    /// Too few requests were served for their cost to mean anything.
    TooFewServed {
        /// Requests answered 200.
        served: u64,
        /// Requests sent.
        sent: u64,
    },
    /// Too few requests led to a call of the counter, so a row of tenants says nothing of its cost.
    TooFewCounterCalls {
        /// Calls of the counter.
        calls: u64,
        /// Requests sent.
        sent: u64,
        /// Calls a request that are needed at least.
        least: f64,
    },
    /// A request costs more of the baseline's processor time than the bound.
    RatioExceeded {
        /// Over the baseline's.
        ratio: f64,
        /// The most.
        bound: f64,
    },
    /// A checked run has violated bounds, or rows of it have failed.
    CheckFailed(Vec<CheckFailure>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Argument(reason) => f.write_str(reason),
            Self::ProgramMissing(path) => write!(f, "there is no program at {}", path.display()),
            Self::System(operation, error) => write!(f, "{operation}: {error}"),
            Self::Settings(error) => write!(f, "the settings: {error}"),
            Self::ProcField(field) => write!(f, "/proc holds no readable {field}"),
            Self::TimedOut(event, limit) => write!(f, "{event} did not come within {limit:?}"),
            Self::ProgramEnded(line) => {
                write!(f, "the program ended before it listened; last log line: {line}")
            }
            Self::ListNotTaken(line) => write!(f, "the list was not taken in; last log line: {line}"),
            Self::MemoryLimitExceeded { peak, limit } => {
                write!(f, "peak memory of {} KiB is over the limit of {} KiB", peak / 1024, limit / 1024)
            }
            Self::TooFewServed { served, sent } => write!(f, "only {served} of {sent} requests were served"),
            Self::TooFewCounterCalls { calls, sent, least } => {
                write!(
                    f,
                    "the counter was called {calls} times in {sent} requests, fewer than {least} a request"
                )
            }
            Self::RatioExceeded { ratio, bound } => write!(f, "the ratio of {ratio:.4} is over {bound}"),
            Self::CheckFailed(failures) => {
                let failures: Vec<String> = failures.iter().map(CheckFailure::to_string).collect();
                write!(f, "the check failed: {}", failures.join("; "))
            }
        }
    }
}

impl std::error::Error for Error {}
