//! Arguments that `process policy` and `process program` have in common, and the loop over rounds and rows.

use super::{
    Error,
    bounds::{self, BOUND_SIZE, Bound},
    report::{BASE_SIZE, Report, RowKey, check_sizes},
};
use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

/// Number of endpoints in the rows of tenants.
pub const TENANT_ROW_ENDPOINTS: usize = 100;

/// Position of `--time-limit` in the help. Arguments without a position precede it.
const TIME_LIMIT_POSITION: usize = 100;
/// Position of `--check` in the help; each command defines the argument with its own description.
pub const CHECK_POSITION: usize = TIME_LIMIT_POSITION + 1;
const JSON_POSITION: usize = CHECK_POSITION + 1;

/// Arguments of `process policy` and `process program`.
#[derive(Debug, clap::Args)]
pub struct RoundArguments {
    /// Numbers of listed endpoints, one row each.
    #[arg(
        long = "workers",
        value_name = "WORKERS",
        value_delimiter = ',',
        default_value = "10,100,1000,3000,9200"
    )]
    pub endpoints: Vec<usize>,
    /// Numbers of tenants with a quota, one row each, with 100 endpoints and a counter.
    #[arg(long, value_delimiter = ',', default_value = "100,1000,10000,32000")]
    pub tenants: Vec<usize>,
    /// Seconds after which no further row starts. Rows that did not start are reported as failed.
    #[arg(long, default_value_t = 600, display_order = TIME_LIMIT_POSITION)]
    time_limit: u64,
    /// Also writes the report to this file, as JSON lines.
    #[arg(long, display_order = JSON_POSITION)]
    json: Option<PathBuf>,
}

impl RoundArguments {
    /// Checks that the numbers of endpoints and tenants can be measured.
    ///
    /// # Errors
    /// A number is 0 or too large.
    pub fn check_sizes(&self) -> Result<(), Error> {
        check_sizes(self.endpoints.iter().chain(&self.tenants))
    }

    /// Checks that the run includes the row that the bounds apply to and the base row of its ratios.
    ///
    /// # Errors
    /// One of the two rows is missing.
    pub fn check_includes_bounded_rows(&self) -> Result<(), Error> {
        if [BASE_SIZE, BOUND_SIZE].iter().all(|size| self.endpoints.contains(size)) {
            Ok(())
        } else {
            Err(Error::InvalidArgument("a checked run needs 100 and 9200 among --workers"))
        }
    }

    /// Measures each row once in each round, until the time limit. Rows that fail are listed in the report.
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
                    report
                        .record_failure(*row_key, &Error::TimedOut { event: "the start of the row", limit });
                } else if let Err(error) = measure_row(round, *row_key, &mut report) {
                    report.record_failure(*row_key, &error);
                }
            }
        }
        report
    }

    /// Prints the report, writes the JSON lines if a file is given, and checks the report if there are bounds.
    ///
    /// # Errors
    /// The report cannot be written, violates a bound or, with bounds, contains a failed row.
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
