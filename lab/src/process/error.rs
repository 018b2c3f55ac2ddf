//! The errors of the benchmarks.

use super::bounds::CheckFailure;
use oliverack::SettingsError;
use std::{io, path::PathBuf, time::Duration};

const BYTES_PER_KIBIBYTE: u64 = 1024;

/// Why a measurement could not be made.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// An argument is invalid; the text says why.
    #[error("{0}")]
    InvalidArgument(&'static str),
    /// There is no file at this path of the program.
    #[error("there is no program at {}", .0.display())]
    ProgramMissing(PathBuf),
    /// An operation of the system failed.
    #[error("{operation}: {source}")]
    System {
        /// What was attempted.
        operation: &'static str,
        /// How it failed.
        source: io::Error,
    },
    /// The policy rejects the settings.
    #[error("the settings: {0}")]
    Settings(#[from] SettingsError),
    /// A file in `/proc` lacks this field.
    #[error("/proc holds no readable {0}")]
    ProcField(&'static str),
    /// An event did not come within its time limit.
    #[error("{event} did not come within {limit:?}")]
    TimedOut {
        /// What was waited for.
        event: &'static str,
        /// For how long.
        limit: Duration,
    },
    /// The program ended before it listened; the text is the last line of its log.
    #[error("the program ended before it listened; last log line: {0}")]
    ProgramEnded(String),
    /// The program did not accept an endpoint list; the text is the last line of its log.
    #[error("the list was not taken in; last log line: {0}")]
    ListNotApplied(String),
    /// The program used more memory than its limit.
    #[error(
        "peak memory of {} KiB is over the limit of {} KiB",
        .peak_bytes / BYTES_PER_KIBIBYTE,
        .limit_bytes / BYTES_PER_KIBIBYTE
    )]
    MemoryLimitExceeded {
        /// The most that it used.
        peak_bytes: u64,
        /// What its configuration allows.
        limit_bytes: u64,
    },
    /// Too few requests were served for their cost to mean anything.
    #[error("only {served} of {sent} requests were served")]
    TooFewServed {
        /// Requests answered 200.
        served: u64,
        /// Requests sent.
        sent: u64,
    },
    /// Too few requests led to a counter call for a row of tenants to show its cost.
    #[error(
        "the counter was called {calls} times in {sent} requests, fewer than {min_calls_per_request} a request"
    )]
    TooFewCounterCalls {
        /// Calls of the counter.
        calls: u64,
        /// Requests sent.
        sent: u64,
        /// Calls a request that are needed at least.
        min_calls_per_request: f64,
    },
    /// A request costs too much of the baseline's processor time.
    #[error("the ratio of {ratio:.4} is over {bound}")]
    RatioExceeded {
        /// Processor time over that of the baseline.
        ratio: f64,
        /// The highest ratio allowed.
        bound: f64,
    },
    /// A checked run has violated bounds, or rows of it have failed.
    #[error("the check failed: {}", join(.0))]
    CheckFailed(Vec<CheckFailure>),
}

impl Error {
    /// Converts the failure of an operation of the system, for `map_err`.
    pub fn system(operation: &'static str) -> impl Fn(io::Error) -> Self {
        move |source| Self::System { operation, source }
    }
}

fn join(failures: &[CheckFailure]) -> String {
    let failures: Vec<String> = failures.iter().map(CheckFailure::to_string).collect();
    failures.join("; ")
}
