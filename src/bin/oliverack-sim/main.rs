//! The simulator's adapter: translates its wire to the policy's events and the policy's actions back. It decides
//! nothing.
#![forbid(unsafe_code)]

mod host;
mod wire;

use host::Host;
use std::{
    io::{self, BufRead, Write},
    process::ExitCode,
};
use thiserror::Error;
use wire::{Batch, MessageError};

/// Why the adapter ends before its input does.
#[derive(Debug, Error)]
enum AdapterError {
    /// The input can't be read.
    #[error("input: {0}")]
    Input(io::Error),
    /// The output can't be written.
    #[error("output: {0}")]
    Output(io::Error),
    /// A line is not a batch.
    #[error("a batch is malformed: {0}")]
    MalformedBatch(serde_json::Error),
    /// A message of a batch can't be carried out.
    #[error("batch {batch}: {error}")]
    Message {
        /// The batch's number.
        batch: u64,
        /// What is wrong with the message.
        error: MessageError,
    },
}

/// Replies to the batches on standard input, a line each, until it ends.
fn serve() -> Result<(), AdapterError> {
    let stdin = io::stdin().lock();
    let mut stdout = io::stdout().lock();
    let mut host = Host::default();
    for line in stdin.lines() {
        let line = line.map_err(AdapterError::Input)?;
        if line.trim().is_empty() {
            continue;
        }
        let batch: Batch = serde_json::from_str(&line).map_err(AdapterError::MalformedBatch)?;
        let reply = host
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
