//! Command line of the lab, which measures the gatekeeper at scale.

use clap::{Parser, Subcommand};
use oliverack_lab::{demo, fleet, process};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::{alloc::System, process::ExitCode};

/// Counts the bytes that are allocated: the measurements of state rest on it.
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
    let result = match Arguments::parse().command {
        Command::Fleet(arguments) => fleet::run(&arguments).map_err(|e| e.to_string()),
        Command::Demo(arguments) => demo::run(&arguments).map_err(|e| e.to_string()),
        Command::Process(arguments) => process::run(&arguments).map_err(|e| e.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("oliverack-lab: {message}");
            ExitCode::FAILURE
        }
    }
}
