//! The `process program` benchmark: measures the built program, with stand-ins for its services on loopback.

use super::{
    Error,
    bounds::{self, BOUND_MEMORY_MB},
    program_row::{self, ProgramRow},
    report::{Axis, Report, RowKey},
    rounds::{CHECK_POSITION, RoundArguments},
};
use std::path::{Path, PathBuf};

/// Arguments of `process program`.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// Path of the built program; by default target/release/oliverack in the workspace.
    #[arg(long)]
    program: Option<PathBuf>,
    #[command(flatten)]
    round_arguments: RoundArguments,
    /// Number of gateways in the program's settings, in the rows of endpoints.
    #[arg(long, default_value_t = 680)]
    gateways: u32,
    /// Number of gateways in the program's settings, in the rows of tenants. Low, because all gateways share
    /// the counter calls, which leaves few calls to each of many gateways.
    #[arg(long, default_value_t = 4)]
    tenant_gateways: u32,
    /// Number of rounds. Each round measures every row once, with a new process.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Number of requests per row over which the processor time is averaged.
    #[arg(long, default_value_t = 6000)]
    requests: u64,
    /// Number of connections on which the requests are sent.
    #[arg(long, default_value_t = 4)]
    connections: u64,
    /// Number of one-entry changes of the list per row.
    #[arg(long, default_value_t = 50)]
    changes: usize,
    /// Memory limit of the program in the rows of endpoints, in MiB.
    #[arg(long, default_value_t = 32)]
    memory_mb: usize,
    /// Memory limit of the program in the rows of tenants, in MiB.
    #[arg(long, default_value_t = 192)]
    tenant_memory_mb: usize,
    /// Fails if a row fails or if, at 9,200 endpoints, a request takes more than 1.25 times the processor time that it
    /// takes at 100 endpoints, a change takes more than 0.2 ms of processor time, or the program needs more than 32 MiB
    /// to apply the indented list. Requires 100 and 9200 among `--workers`.
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
        if self.check { self.check_covers_bounds() } else { Ok(()) }
    }

    /// Checks that the run measures everything that has a bound, within the bounded memory.
    fn check_covers_bounds(&self) -> Result<(), Error> {
        self.round_arguments.check_includes_bounded_rows()?;
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

/// Returns the path of the release build in the workspace.
fn default_program() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../target/release/oliverack")
}

/// Measures the program and publishes the report.
///
/// # Errors
/// An argument is invalid, the program does not exist, the report cannot be written, or a checked run violates a bound
/// or has a failed row.
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

fn row<'a>(arguments: &Arguments, program: &'a Path, row_key: RowKey) -> ProgramRow<'a> {
    let memory_mb = match row_key.axis {
        Axis::Endpoints => arguments.memory_mb,
        Axis::Tenants => arguments.tenant_memory_mb,
    };
    ProgramRow {
        program,
        row_key,
        requests: arguments.requests,
        connections: arguments.connections,
        changes: arguments.changes,
        memory_mb,
    }
}
