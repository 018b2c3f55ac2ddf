//! oliverack: the gateway on real sockets, as a program.
#![deny(unsafe_code)]

mod logging;
mod node;

use std::{fmt::Display, process::ExitCode};

fn fail(error: &dyn Display) -> ExitCode {
    eprintln!("oliverack: {error}");
    ExitCode::FAILURE
}

fn main() -> ExitCode {
    if let Err(error) = logging::start() {
        return fail(&error);
    }
    match node::run_configured() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}
