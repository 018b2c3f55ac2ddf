//! oliverack: the gateway on real sockets, as a program.
#![deny(unsafe_code)]

mod node;

use std::process::ExitCode;

fn main() -> ExitCode {
    match node::run_configured() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oliverack: {error}");
            ExitCode::FAILURE
        }
    }
}
