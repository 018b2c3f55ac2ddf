//! Parses the command line and runs its commands.

use crate::{
    logging::{self, LogError},
    node::{
        NodeError,
        config_check::{self, CheckError},
        run_configured,
    },
};
use clap::{Parser, Subcommand};
use std::{fs, io, path::PathBuf};
use thiserror::Error;

/// A gateway that enforces shared quotas per customer in front of a common back end.
///
/// Without a command, serves clients until SIGTERM or SIGINT. The environment variable NODE_CONFIG names the
/// configuration file. The environment variable OLIVERACK_LOG sets the log's level (error, warn, info, debug, trace)
/// and format (text, json), separated by a comma; the default is "info,text".
#[derive(Debug, Parser)]
#[command(name = "oliverack", version)]
pub struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks a configuration file: prints the first error with the path of its key, or the unknown keys.
    Check {
        /// Path of the configuration file.
        file: PathBuf,
    },
    /// Prints the JSON schema of the configuration file.
    Schema,
}

/// Error of a command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The gateway can't start, or can't go on.
    #[error(transparent)]
    Run(NodeError),
    /// The log settings are invalid.
    #[error(transparent)]
    Log(LogError),
    /// The configuration file to check can't be read.
    #[error("{}: {error}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of reading the file.
        error: io::Error,
    },
    /// The configuration file to check is invalid.
    #[error("{}: {error}", path.display())]
    Check {
        /// Path of the file.
        path: PathBuf,
        /// Error found in the configuration.
        error: CheckError,
    },
    /// The output can't be written.
    #[error("can't write the output: {0}")]
    Output(io::Error),
    /// The schema can't be serialized.
    #[error("can't serialize the schema: {0}")]
    Schema(serde_json::Error),
}

impl CommandLine {
    /// Runs the command, or the gateway if there is none. Commands print to `output`.
    ///
    /// # Errors
    /// The command has failed, or the gateway can't start or go on.
    pub fn run(self, output: &mut dyn io::Write) -> Result<(), CommandError> {
        match self.command {
            None => {
                logging::start().map_err(CommandError::Log)?;
                run_configured().map_err(CommandError::Run)
            }
            Some(Command::Check { file }) => check(file, output),
            Some(Command::Schema) => print_schema(output),
        }
    }
}

fn check(path: PathBuf, output: &mut dyn io::Write) -> Result<(), CommandError> {
    let text = match fs::read(&path) {
        Ok(text) => text,
        Err(error) => return Err(CommandError::Unreadable { path, error }),
    };
    let unknown_keys = match config_check::check(&text) {
        Ok(unknown_keys) => unknown_keys,
        Err(error) => return Err(CommandError::Check { path, error }),
    };
    let file = path.display();
    for key in unknown_keys {
        writeln!(output, "{file}: unknown key {key}").map_err(CommandError::Output)?;
    }
    writeln!(output, "{file}: usable").map_err(CommandError::Output)
}

fn print_schema(output: &mut dyn io::Write) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(&config_check::schema()).map_err(CommandError::Schema)?;
    writeln!(output, "{text}").map_err(CommandError::Output)
}
