//! Errors that keep the gateway from starting or from going on.

use crate::node::config::ConfigError;
use oliverack::SettingsError;
use std::{fmt, io};
use thiserror::Error;

/// A task that runs until the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EssentialTask {
    /// Receives updates of the endpoint list from discovery.
    Discovery,
    /// Fires the timers of requests, attempts, counter calls and the policy.
    Timers,
    /// Enforces the time limits of client connections.
    ClientTimeLimits,
    /// Reloads the configuration on SIGHUP.
    Reload,
    /// Closes idle connections to endpoints.
    IdleConnections,
    /// Serves operator calls and accepts replica processes.
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

/// Error that ends the process.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The configuration can't be read or is invalid.
    #[error(transparent)]
    Config(ConfigError),
    /// The settings object of the configuration has an invalid value.
    #[error("the configuration's settings: {0}")]
    Settings(SettingsError),
    /// The listener for clients can't be opened.
    #[error("can't listen for clients: {0}")]
    Listen(io::Error),
    /// The listener for operators can't be opened.
    #[error("can't listen for operators: {0}")]
    OperatorListen(io::Error),
    /// The operating system refuses a resource of the runtime or a signal handler.
    #[error("can't set up the runtime or the signal handlers: {0}")]
    System(io::Error),
    /// An essential task has ended. Only a panic ends one.
    #[error("the task for {0} ended unexpectedly")]
    TaskEnded(EssentialTask),
}
