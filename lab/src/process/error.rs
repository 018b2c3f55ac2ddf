//! Errors of the benchmarks.

use super::bounds::CheckFailure;
use oliverack::SettingsError;
use std::{io, path::PathBuf, time::Duration};

const BYTES_PER_KIBIBYTE: u64 = 1024;

/// Reason why a measurement or a whole run failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// An argument is invalid; the text says what was expected.
    #[error("{0}")]
    InvalidArgument(&'static str),
    /// The path of the program does not lead to a file.
    #[error("there is no program at {}", .0.display())]
    ProgramMissing(PathBuf),
    /// An I/O operation failed.
    #[error("{operation}: {source}")]
    Io {
        /// Operation, as a phrase such as "reading /proc".
        operation: &'static str,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The policy rejects the settings.
    #[error("invalid settings: {0}")]
    Settings(#[from] SettingsError),
    /// A field of the process in `/proc` is missing or malformed, or the stream of this name is not piped.
    #[error("cannot read {0} of the process")]
    ProcessFieldUnreadable(&'static str),
    /// An event did not occur within its time limit.
    #[error("timed out after {limit:?} while waiting for {event}")]
    TimedOut {
        /// Awaited event, as a noun phrase.
        event: &'static str,
        /// Longest wait.
        limit: Duration,
    },
    /// The program ended before it listened for clients; the text is the last line of its log.
    #[error("the program ended before it listened; last log line: {0}")]
    ProgramEnded(String),
    /// The program did not apply an endpoint list; the text is the last line of its log.
    #[error("the program did not apply the endpoint list; last log line: {0}")]
    ListNotApplied(String),
    /// The program used more memory than its configuration allows.
    #[error(
        "peak memory of {} KiB is over the limit of {} KiB",
        .peak_bytes / BYTES_PER_KIBIBYTE,
        .limit_bytes / BYTES_PER_KIBIBYTE
    )]
    MemoryLimitExceeded {
        /// Peak of the resident memory.
        peak_bytes: u64,
        /// Memory limit in the configuration.
        limit_bytes: u64,
    },
    /// Too few requests were served for their processor time to be meaningful.
    #[error("only {served} of {sent} requests were served")]
    TooFewServed {
        /// Requests that received status 200.
        served: u64,
        /// Requests sent.
        sent: u64,
    },
    /// Too few requests led to a counter call, so that a row of tenants would not show the cost of counter calls.
    #[error(
        "the counter was called {calls} times in {sent} requests, fewer than {min_calls_per_request} a request"
    )]
    TooFewCounterCalls {
        /// Counter calls.
        calls: u64,
        /// Requests sent.
        sent: u64,
        /// Lowest accepted number of counter calls per request.
        min_calls_per_request: f64,
    },
    /// A request takes too much processor time in comparison with the baseline.
    #[error("processor time per request is {ratio:.4} times that of the baseline, more than {bound}")]
    RatioExceeded {
        /// Processor time per request, divided by that of the baseline.
        ratio: f64,
        /// Highest accepted ratio.
        bound: f64,
    },
    /// A checked run violated bounds, or rows of it failed.
    #[error("the check failed: {}", join(.0))]
    CheckFailed(Vec<CheckFailure>),
}

impl Error {
    /// Returns a function for `map_err` that adds the name of the failed operation to an I/O error.
    pub fn io(operation: &'static str) -> impl Fn(io::Error) -> Self {
        move |source| Self::Io { operation, source }
    }
}

fn join(failures: &[CheckFailure]) -> String {
    let failures: Vec<String> = failures.iter().map(CheckFailure::to_string).collect();
    failures.join("; ")
}
