//! Why the gateway can't start or go on.

use crate::node::config::ConfigError;
use oliverack::SettingsError;
use std::{fmt, io};
use thiserror::Error;

/// A task that runs for the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EssentialTask {
    /// Follows the endpoint list.
    Discovery,
    /// Fires timers.
    Timers,
    /// Enforces the time limits of client connections.
    ClientTimeLimits,
    /// Reloads the configuration.
    Reload,
    /// Closes idle connections to endpoints.
    IdleConnections,
    /// Serves operator calls and replica processes.
    OperatorsAndReplicas,
}

impl fmt::Display for EssentialTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Discovery => "discovery",
            Self::Timers => "timers",
            Self::ClientTimeLimits => "client time limits",
            Self::Reload => "reload",
            Self::IdleConnections => "idle connections",
            Self::OperatorsAndReplicas => "operators and replicas",
        })
    }
}

/// Why the gateway could not start or go on.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(ConfigError),
    /// The settings in the configuration can't be used.
    #[error("the configuration's settings: {0}")]
    Settings(SettingsError),
    /// The listener for clients can't be opened.
    #[error("can't listen: {0}")]
    Listen(io::Error),
    /// The listener for operators can't be opened.
    #[error("can't listen for operators: {0}")]
    OperatorListen(io::Error),
    /// The system provides no runtime or no signal handlers.
    #[error("can't start: {0}")]
    System(io::Error),
    /// An essential task has ended.
    #[error("the task for {0} has failed")]
    TaskEnded(EssentialTask),
}
