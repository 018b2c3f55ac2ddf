//! The first part: the built program against stand-ins on loopback.

use super::{
    Error,
    bounds::{self, BOUND_MEMORY_MB, BOUND_SIZE},
    program_row::{self, Row},
    report::{Axis, BASE_SIZE, Report, Subject, check_sizes},
};
use std::{
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

/// Arguments of `process program`.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// The built program; by default target/release/oliverack in the workspace.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Counts of listed workers.
    #[arg(
        long = "workers",
        value_name = "WORKERS",
        value_delimiter = ',',
        default_value = "10,100,1000,3000,9200"
    )]
    endpoints: Vec<usize>,
    /// Counts of tenants with a quota, served by 100 workers and a counter.
    #[arg(long, value_delimiter = ',', default_value = "100,1000,10000,32000")]
    tenants: Vec<usize>,
    /// Gateways in the program's settings, in the rows of workers.
    #[arg(long, default_value_t = 680)]
    gateways: u32,
    /// The same in the rows of tenants: few, as all gateways share the calls of the counter.
    #[arg(long, default_value_t = 4)]
    tenant_gateways: u32,
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
    /// Fails where a row has failed, or, at 9,200 workers, a request takes more than 1.25 times the processor time of
    /// 100 workers, a change takes more than 0.2 ms of it, or the indented list is not taken in with 32 MB. Sizes 100
    /// and 9200 have to be among the workers.
    #[arg(long)]
    check: bool,
    /// Writes the report to this file, too, as JSON lines.
    #[arg(long)]
    json: Option<PathBuf>,
}

impl Arguments {
    fn check_values(&self) -> Result<(), Error> {
        if self.gateways == 0
            || self.tenant_gateways == 0
            || self.rounds == 0
            || self.requests == 0
            || self.connections == 0
            || self.changes == 0
        {
            return Err(Error::Argument(
                "both counts of gateways, rounds, requests, connections and changes must be above 0",
            ));
        }
        check_sizes(self.endpoints.iter().chain(&self.tenants))?;
        if self.check { self.check_bounded() } else { Ok(()) }
    }

    /// Whether the run measures what a check asks for.
    fn check_bounded(&self) -> Result<(), Error> {
        if ![BASE_SIZE, BOUND_SIZE].iter().all(|size| self.endpoints.contains(size)) {
            return Err(Error::Argument("a checked run needs 100 and 9200 among the workers"));
        }
        if self.memory_mb > BOUND_MEMORY_MB {
            return Err(Error::Argument("a checked run needs a memory limit of 32 MB at most"));
        }
        Ok(())
    }

    fn program(&self) -> Result<PathBuf, Error> {
        let path = self.program.clone().unwrap_or_else(default_program);
        if path.is_file() { Ok(path) } else { Err(Error::ProgramMissing(path)) }
    }

    fn subjects(&self) -> Vec<Subject> {
        let subject = |axis, gateways, size: &usize| Subject { axis, gateways, size: *size };
        let endpoints = self.endpoints.iter().map(|size| subject(Axis::Endpoints, self.gateways, size));
        let tenants = self.tenants.iter().map(|size| subject(Axis::Tenants, self.tenant_gateways, size));
        endpoints.chain(tenants).collect()
    }
}

/// The release build in the workspace's target folder.
fn default_program() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../target/release/oliverack")
}

/// Measures the program and publishes the report.
///
/// # Errors
/// Arguments that cannot be used, a report that cannot be written, and, in a checked run, bounds that were violated and
/// rows that failed.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    arguments.check_values()?;
    let program = arguments.program()?;
    let report = measure(arguments, &program);
    report.publish("program", arguments.json.as_deref())?;
    if !arguments.check {
        return Ok(());
    }
    let subject = bounds::bounded_subject(arguments.gateways);
    let failures = bounds::check(&report, bounds::PROGRAM.map(|bound| (subject, bound)));
    if failures.is_empty() { Ok(()) } else { Err(Error::CheckFailed(failures)) }
}

fn measure(arguments: &Arguments, program: &Path) -> Report {
    let limit = Duration::from_secs(arguments.time_limit);
    let started = Instant::now();
    let mut report = Report::default();
    for _ in 0..arguments.rounds {
        for subject in arguments.subjects() {
            if started.elapsed() >= limit {
                report.fail(subject, &Error::TimedOut("the row's turn", limit));
            } else if let Err(error) = program_row::measure(&row(arguments, program, subject), &mut report) {
                report.fail(subject, &error);
            }
        }
    }
    report
}

fn row<'a>(arguments: &Arguments, program: &'a Path, subject: Subject) -> Row<'a> {
    let memory_mb = match subject.axis {
        Axis::Endpoints => arguments.memory_mb,
        Axis::Tenants => arguments.tenant_memory_mb,
    };
    Row {
        program,
        subject,
        requests: arguments.requests,
        connections: arguments.connections,
        changes: arguments.changes,
        memory_mb,
    }
}
