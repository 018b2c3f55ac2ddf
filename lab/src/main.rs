//! Command line of the lab, which measures the gateway at scale.

use clap::{Parser, Subcommand};
use oliverack_lab::{demo, fleet, process};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::{alloc::System, error::Error, process::ExitCode};

/// Counts the bytes that are allocated; the measurements of state depend on it.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measures the gatekeeper at scale.
#[derive(Debug, Parser)]
#[command(name = "oliverack-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Simulates a fleet of gatekeepers on a discrete clock.
    Fleet(fleet::Arguments),
    /// Runs the built program before stand-ins on this machine, for a first look by hand.
    Demo(demo::Arguments),
    /// Measures the policy and the built program at growing sizes.
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
