//! Command line of the lab.

use clap::{Parser, Subcommand};
use oliverack_lab::{demo, fleet, process};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::{alloc::System, error::Error, process::ExitCode};

/// Global allocator that counts allocated bytes, so that `process policy` can measure the size of the policy's state.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measures the gateway at scale.
#[derive(Debug, Parser)]
#[command(name = "oliverack-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Simulates a fleet of gateways on a discrete clock.
    Fleet(fleet::Arguments),
    /// Runs the built program with stand-ins for its services on this machine, to try it by hand.
    Demo(demo::Arguments),
    /// Benchmarks the policy and the built program at growing numbers of endpoints and tenants.
    Process(process::Arguments),
}

fn main() -> ExitCode {
    match run(&Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oliverack-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: &Command) -> Result<(), Box<dyn Error>> {
    match command {
        Command::Fleet(arguments) => fleet::run(arguments)?,
        Command::Demo(arguments) => demo::run(arguments)?,
        Command::Process(arguments) => process::run(arguments)?,
    }
    Ok(())
}
