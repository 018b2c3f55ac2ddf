//! The `process` command: benchmarks of the policy alone and of the built program, at growing counts of endpoints and
//! tenants.

pub mod bounds;
pub mod child;
pub mod compare;
pub mod error;
pub mod http;
pub mod kill_on_drop;
pub mod load;
pub mod policy;
pub mod policy_driver;
pub mod policy_memory;
pub mod proc_fs;
pub mod program;
pub mod program_row;
pub mod report;
pub mod rounds;
pub mod stand_in_counter;
pub mod stand_in_discovery;
pub mod stand_in_endpoints;
pub mod steady_state;

pub use error::Error;

/// Arguments of the `process` command.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    #[command(subcommand)]
    benchmark: Benchmark,
}

/// What is measured.
#[derive(Debug, clap::Subcommand)]
enum Benchmark {
    /// Measures the built program, as a child process against stand-ins on loopback.
    Program(program::Arguments),
    /// Measures the policy alone, inside this process: processor time and bytes of state.
    Policy(policy::Arguments),
    /// Compares what a request costs two builds of the program, in one run.
    Compare(compare::Arguments),
}

/// Runs the command: measures, prints the table, and writes the JSON lines where a file is named.
///
/// # Errors
/// Arguments that cannot be used, a report that cannot be written, and bounds that a checked run has violated. Rows
/// that could not be measured are part of the report, and no errors.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    match &arguments.benchmark {
        Benchmark::Program(arguments) => program::run(arguments),
        Benchmark::Policy(arguments) => policy::run(arguments),
        Benchmark::Compare(arguments) => compare::run(arguments),
    }
}
