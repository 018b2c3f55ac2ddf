//! The `oliverack` program: runs the gateway on real sockets.
#![deny(unsafe_code)]

mod command_line;
mod logging;
mod node;

use clap::Parser;
use command_line::CommandLine;
use std::{io, process::ExitCode};

fn main() -> ExitCode {
    match CommandLine::parse().run(&mut io::stdout()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oliverack: {error}");
            ExitCode::FAILURE
        }
    }
}
