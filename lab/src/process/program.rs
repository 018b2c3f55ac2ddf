//! The benchmark `process program`: the built program against stand-ins on loopback.

use super::{
    Error,
    bounds::{self, BOUND_MEMORY_MB},
    program_row::{self, Row},
    report::{Axis, Report, RowKey},
    rounds::{CHECK_POSITION, RoundArguments},
};
use std::path::{Path, PathBuf};

/// Arguments of `process program`.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// The built program; by default target/release/oliverack in the workspace.
    #[arg(long)]
    program: Option<PathBuf>,
    #[command(flatten)]
    round_arguments: RoundArguments,
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
    /// Fails where a row has failed, or, at 9,200 workers, a request takes more than 1.25 times the processor time of
    /// 100 workers, a change takes more than 0.2 ms of it, or the indented list is not taken in with 32 MB. Sizes 100
    /// and 9200 have to be among the workers.
    #[arg(long, display_order = CHECK_POSITION)]
    check: bool,
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
            return Err(Error::InvalidArgument(
                "both counts of gateways, rounds, requests, connections and changes must be above 0",
            ));
        }
        self.round_arguments.check_sizes()?;
        if self.check { self.check_bounded() } else { Ok(()) }
    }

    /// Checks that the run measures what the bounds are for.
    fn check_bounded(&self) -> Result<(), Error> {
        self.round_arguments.check_has_bounded_rows()?;
        if self.memory_mb > BOUND_MEMORY_MB {
            return Err(Error::InvalidArgument("a checked run needs a memory limit of 32 MB at most"));
        }
        Ok(())
    }

    fn program(&self) -> Result<PathBuf, Error> {
        let path = self.program.clone().unwrap_or_else(default_program);
        if path.is_file() { Ok(path) } else { Err(Error::ProgramMissing(path)) }
    }

    fn row_keys(&self) -> Vec<RowKey> {
        let row_key = |axis, gateways, size: &usize| RowKey { axis, gateways, size: *size };
        let endpoints =
            self.round_arguments.endpoints.iter().map(|size| row_key(Axis::Endpoints, self.gateways, size));
        let tenants = self
            .round_arguments
            .tenants
            .iter()
            .map(|size| row_key(Axis::Tenants, self.tenant_gateways, size));
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
/// Invalid arguments, a report that cannot be written, and, in a checked run, bounds that were violated and
/// rows that failed.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    arguments.check_values()?;
    let program = arguments.program()?;
    let measure_row = |_round, row_key, report: &mut Report| {
        program_row::measure(&row(arguments, &program, row_key), report)
    };
    let report = arguments.round_arguments.measure(arguments.rounds, &arguments.row_keys(), measure_row);
    let row_key = bounds::bounded_row_key(arguments.gateways);
    let bounds = arguments.check.then(|| bounds::PROGRAM.map(|bound| (row_key, bound)).to_vec());
    arguments.round_arguments.publish("program", &report, bounds)
}

fn row<'a>(arguments: &Arguments, program: &'a Path, row_key: RowKey) -> Row<'a> {
    let memory_mb = match row_key.axis {
        Axis::Endpoints => arguments.memory_mb,
        Axis::Tenants => arguments.tenant_memory_mb,
    };
    Row {
        program,
        row_key,
        requests: arguments.requests,
        connections: arguments.connections,
        changes: arguments.changes,
        memory_mb,
    }
}
