//! The command line.

use crate::{
    logging::{self, LogError},
    node::{NodeError, config_check, run_configured},
};
use clap::{Parser, Subcommand};
use std::{fmt, fs, io, path::PathBuf};

/// A gatekeeper that holds customers to shared quotas in front of a common back end.
///
/// Without a command it serves clients by the configuration that the variable NODE_CONFIG names, until SIGTERM. The
/// variable OLIVERACK_LOG sets the log: a level (error, warn, info, debug, trace) and a form (text, json), parted by a
/// comma; by default "info,text".
#[derive(Debug, Parser)]
#[command(name = "oliverack", version)]
pub struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Reads a configuration and says what is wrong with it, with the path of the key; keys that nobody knows are named.
    Check {
        /// The configuration's file.
        file: PathBuf,
    },
    /// Prints the JSON schema of the configuration's file.
    Schema,
}

/// Why a command has failed.
#[derive(Debug)]
pub enum CommandError {
    /// The gateway has failed.
    Run(NodeError),
    /// The log can't be started.
    Log(LogError),
    /// This file can't be read.
    Unreadable(PathBuf, io::Error),
    /// This file holds a configuration that can't be used.
    Check(PathBuf, config_check::CheckError),
    /// Nobody takes what is printed.
    Output(io::Error),
    /// The schema can't be written down.
    Schema(serde_json::Error),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Run(error) => error.fmt(f),
            Self::Log(error) => error.fmt(f),
            Self::Unreadable(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Check(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Output(error) => write!(f, "output: {error}"),
            Self::Schema(error) => write!(f, "the schema: {error}"),
        }
    }
}

impl std::error::Error for CommandError {}

impl CommandLine {
    /// Carries out the command; what it prints goes to `output`.
    ///
    /// # Errors
    /// It has failed.
    pub fn run(self, output: &mut dyn io::Write) -> Result<(), CommandError> {
        match self.command {
            None => {
                logging::start().map_err(CommandError::Log)?;
                run_configured().map_err(CommandError::Run)
            }
            Some(Command::Check { file }) => check(file, output),
            Some(Command::Schema) => schema(output),
        }
    }
}

fn check(file: PathBuf, output: &mut dyn io::Write) -> Result<(), CommandError> {
    let text = match fs::read(&file) {
        Ok(text) => text,
        Err(error) => return Err(CommandError::Unreadable(file, error)),
    };
    let unknown = match config_check::check(&text) {
        Ok(unknown) => unknown,
        Err(error) => return Err(CommandError::Check(file, error)),
    };
    let name = file.display();
    for path in unknown {
        writeln!(output, "{name}: unknown key {path}").map_err(CommandError::Output)?;
    }
    writeln!(output, "{name}: usable").map_err(CommandError::Output)
}

fn schema(output: &mut dyn io::Write) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(&config_check::schema()).map_err(CommandError::Schema)?;
    writeln!(output, "{text}").map_err(CommandError::Output)
}
