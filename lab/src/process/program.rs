//! The first part: the built program against stand-ins on loopback.

use super::{
    Error,
    program_row::{self, Row},
    report::{Axis, Report, Subject, check_sizes},
};
use std::{
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

/// Arguments of `process program`.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// The built program; by default target/release/yardspur in the workspace.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Counts of listed workers.
    #[arg(long, value_delimiter = ',', default_value = "10,100,1000,3000,9200")]
    workers: Vec<usize>,
    /// Counts of tenants with a quota, served by 100 workers and a counter.
    #[arg(long, value_delimiter = ',', default_value = "100,1000,10000,32000")]
    tenants: Vec<usize>,
    /// Gateways in the program's settings.
    #[arg(long, default_value_t = 680)]
    gateways: u32,
    /// Rounds; each measures every row once, on a new process.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Requests that a row's processor time is taken over.
    #[arg(long, default_value_t = 6000)]
    requests: u64,
    /// Connections that they come on.
    #[arg(long, default_value_t = 4)]
    connections: u64,
    /// One-entry changes of the list in a row.
    #[arg(long, default_value_t = 50)]
    changes: usize,
    /// The program's limit on memory in the rows of workers, in MB.
    #[arg(long, default_value_t = 32)]
    memory_mb: usize,
    /// The program's limit on memory in the rows of tenants, in MB.
    #[arg(long, default_value_t = 192)]
    tenant_memory_mb: usize,
    /// No row begins after so many seconds; those left out are reported as failed.
    #[arg(long, default_value_t = 600)]
    time_limit: u64,
    /// Writes the report to this file, too, as JSON lines.
    #[arg(long)]
    json: Option<PathBuf>,
}

impl Arguments {
    fn check(&self) -> Result<(), Error> {
        if self.gateways == 0
            || self.rounds == 0
            || self.requests == 0
            || self.connections == 0
            || self.changes == 0
        {
            return Err(Error::Argument(
                "gateways, rounds, requests, connections and changes must be above 0",
            ));
        }
        check_sizes(self.workers.iter().chain(&self.tenants))?;
        Ok(())
    }

    fn program(&self) -> Result<PathBuf, Error> {
        let path = self.program.clone().unwrap_or_else(default_program);
        if path.is_file() { Ok(path) } else { Err(Error::NoProgram(path)) }
    }

    fn subjects(&self) -> Vec<Subject> {
        let subject = |axis, size: &usize| Subject { axis, gateways: self.gateways, size: *size };
        let workers = self.workers.iter().map(|size| subject(Axis::Workers, size));
        workers.chain(self.tenants.iter().map(|size| subject(Axis::Tenants, size))).collect()
    }
}

/// The release build in the workspace's target folder.
fn default_program() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../target/release/yardspur")
}

/// Measures the program and publishes the report.
///
/// # Errors
/// Arguments that cannot be used, and a report that cannot be written.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    arguments.check()?;
    let program = arguments.program()?;
    let limit = Duration::from_secs(arguments.time_limit);
    let begun = Instant::now();
    let mut report = Report::default();
    for _ in 0..arguments.rounds {
        for subject in arguments.subjects() {
            if begun.elapsed() >= limit {
                report.fail(subject, &Error::Late("the row's turn", limit));
                continue;
            }
            let memory_mb = match subject.axis {
                Axis::Workers => arguments.memory_mb,
                Axis::Tenants => arguments.tenant_memory_mb,
            };
            let row = Row {
                program: &program,
                subject,
                requests: arguments.requests,
                connections: arguments.connections,
                changes: arguments.changes,
                memory_mb,
            };
            if let Err(error) = program_row::measure(&row, &mut report) {
                report.fail(subject, &error);
            }
        }
    }
    report.publish("program", arguments.json.as_deref())
}
