//! Adapter between the simulator and the policy. It translates the simulator's messages to events and the policy's
//! actions to the simulator's decisions, and decides nothing itself.
#![forbid(unsafe_code)]

mod simulated_gateways;
mod wire;

use simulated_gateways::SimulatedGateways;
use std::{
    io::{self, BufRead, Write},
    process::ExitCode,
};
use thiserror::Error;
use wire::{Batch, MessageError};

/// Error that ends the adapter before the end of its input.
#[derive(Debug, Error)]
enum AdapterError {
    /// Reading from standard input failed.
    #[error("input: {0}")]
    Input(io::Error),
    /// Writing to standard output failed.
    #[error("output: {0}")]
    Output(io::Error),
    /// A line of the input is not a valid batch.
    #[error("a batch is malformed: {0}")]
    MalformedBatch(serde_json::Error),
    /// A message of a batch is invalid.
    #[error("batch {batch}: {error}")]
    Message {
        /// Number of the batch.
        batch: u64,
        /// Cause of the failure.
        error: MessageError,
    },
}

/// Reads batches from standard input, one a line, and replies to each on standard output until the input ends.
fn serve() -> Result<(), AdapterError> {
    let stdin = io::stdin().lock();
    let mut stdout = io::stdout().lock();
    let mut gateways = SimulatedGateways::default();
    for line in stdin.lines() {
        let line = line.map_err(AdapterError::Input)?;
        if line.trim().is_empty() {
            continue;
        }
        let batch: Batch = serde_json::from_str(&line).map_err(AdapterError::MalformedBatch)?;
        let reply = gateways
            .handle_batch(&batch)
            .map_err(|error| AdapterError::Message { batch: batch.number, error })?;
        writeln!(stdout, "{reply}").and_then(|()| stdout.flush()).map_err(AdapterError::Output)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oliverack-sim: {error}");
            ExitCode::FAILURE
        }
    }
}
