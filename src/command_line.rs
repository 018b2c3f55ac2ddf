//! The command line.

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

/// A gateway that holds customers to shared quotas in front of a common back end.
///
/// Without a command it serves clients until SIGTERM, with the configuration file that the environment variable
/// NODE_CONFIG names. The variable OLIVERACK_LOG sets the log: a level (error, warn, info, debug, trace) and a format
/// (text, json), separated by a comma; "info,text" by default.
#[derive(Debug, Parser)]
#[command(name = "oliverack", version)]
pub struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks a configuration file: says what is wrong with it, with the path of the key, and names unknown keys.
    Check {
        /// The configuration file.
        file: PathBuf,
    },
    /// Prints the JSON schema of the configuration file.
    Schema,
}

/// Why a command has failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The gateway has failed.
    #[error(transparent)]
    Run(NodeError),
    /// The log can't be started.
    #[error(transparent)]
    Log(LogError),
    /// A file can't be read.
    #[error("{}: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        error: io::Error,
    },
    /// A file contains a configuration that can't be used.
    #[error("{}: {error}", path.display())]
    Check {
        /// The file.
        path: PathBuf,
        /// What is wrong with the configuration.
        error: CheckError,
    },
    /// Output can't be written.
    #[error("output: {0}")]
    Output(io::Error),
    /// The schema can't be serialized.
    #[error("the schema: {0}")]
    Schema(serde_json::Error),
}

impl CommandLine {
    /// Runs the command, which prints to `output`.
    ///
    /// # Errors
    /// The command has failed.
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
