//! What `process policy` and `process program` share: their arguments, and the loop over rounds and rows.

use super::{
    Error,
    bounds::{self, BOUND_SIZE, Bound},
    report::{BASE_SIZE, Report, RowKey, check_sizes},
};
use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

/// Endpoints in the rows of tenants.
pub const TENANT_ROW_ENDPOINTS: usize = 100;

/// Position in the help of the arguments that come last.
const TIME_LIMIT_POSITION: usize = 100;
/// Position in the help of `--check`, which each command explains differently.
pub const CHECK_POSITION: usize = TIME_LIMIT_POSITION + 1;
const JSON_POSITION: usize = CHECK_POSITION + 1;

/// Arguments of both commands.
#[derive(Debug, clap::Args)]
pub struct RoundArguments {
    /// Counts of listed workers.
    #[arg(
        long = "workers",
        value_name = "WORKERS",
        value_delimiter = ',',
        default_value = "10,100,1000,3000,9200"
    )]
    pub endpoints: Vec<usize>,
    /// Counts of tenants with a quota, served by 100 workers and a counter.
    #[arg(long, value_delimiter = ',', default_value = "100,1000,10000,32000")]
    pub tenants: Vec<usize>,
    /// No row begins after so many seconds; those left out are reported as failed.
    #[arg(long, default_value_t = 600, display_order = TIME_LIMIT_POSITION)]
    time_limit: u64,
    /// Writes the report to this file, too, as JSON lines.
    #[arg(long, display_order = JSON_POSITION)]
    json: Option<PathBuf>,
}

impl RoundArguments {
    /// Checks the counts of endpoints and tenants.
    ///
    /// # Errors
    /// One cannot be measured.
    pub fn check_sizes(&self) -> Result<(), Error> {
        check_sizes(self.endpoints.iter().chain(&self.tenants))
    }

    /// Checks that a checked run measures the rows that the bounds are for.
    ///
    /// # Errors
    /// One of the rows is missing.
    pub fn check_has_bounded_rows(&self) -> Result<(), Error> {
        if [BASE_SIZE, BOUND_SIZE].iter().all(|size| self.endpoints.contains(size)) {
            Ok(())
        } else {
            Err(Error::InvalidArgument("a checked run needs 100 and 9200 among the workers"))
        }
    }

    /// Measures each row once in each round, until the time limit. Failed rows are part of the report.
    pub fn measure(
        &self,
        rounds: usize,
        row_keys: &[RowKey],
        mut measure_row: impl FnMut(usize, RowKey, &mut Report) -> Result<(), Error>,
    ) -> Report {
        let limit = Duration::from_secs(self.time_limit);
        let started = Instant::now();
        let mut report = Report::default();
        for round in 0..rounds {
            for row_key in row_keys {
                if started.elapsed() >= limit {
                    report.record_failure(*row_key, &Error::TimedOut { event: "the row's turn", limit });
                } else if let Err(error) = measure_row(round, *row_key, &mut report) {
                    report.record_failure(*row_key, &error);
                }
            }
        }
        report
    }

    /// Publishes the report of a command, and checks it if there are bounds.
    ///
    /// # Errors
    /// The report cannot be written, or violates a bound.
    pub fn publish(
        &self,
        part: &str,
        report: &Report,
        bounds: Option<Vec<(RowKey, Bound)>>,
    ) -> Result<(), Error> {
        report.publish(part, self.json.as_deref())?;
        let Some(bounds) = bounds else { return Ok(()) };
        let failures = bounds::check(report, bounds);
        if failures.is_empty() { Ok(()) } else { Err(Error::CheckFailed(failures)) }
    }
}
