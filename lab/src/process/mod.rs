//! To be written.

use std::fmt;

/// Arguments of the `process` command.
#[derive(Debug, clap::Args)]
pub struct Arguments {}

/// Why a measurement could not be made.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {}

impl fmt::Display for Error {
    fn fmt(&self, _f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {}
    }
}

impl std::error::Error for Error {}

/// Runs the command.
///
/// # Errors
/// None yet.
pub fn run(_arguments: &Arguments) -> Result<(), Error> {
    Ok(())
}
