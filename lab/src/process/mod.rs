//! The `process` command: benchmarks the policy alone and the built program, at growing numbers of endpoints and
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

/// Available benchmarks.
#[derive(Debug, clap::Subcommand)]
enum Benchmark {
    /// Measures the built program as a child process, with stand-ins for its services on loopback.
    Program(program::Arguments),
    /// Measures the processor time and the bytes of state of the policy alone, inside this process.
    Policy(policy::Arguments),
    /// Compares the processor time per request of two builds of the program.
    Compare(compare::Arguments),
}

/// Runs the benchmark, prints the results, and writes them as JSON lines if a file is given.
///
/// # Errors
/// An argument is invalid, the report cannot be written, or a checked run violates a bound. A row that cannot be
/// measured is listed in the report and is an error only in a checked run.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    match &arguments.benchmark {
        Benchmark::Program(arguments) => program::run(arguments),
        Benchmark::Policy(arguments) => policy::run(arguments),
        Benchmark::Compare(arguments) => compare::run(arguments),
    }
}
