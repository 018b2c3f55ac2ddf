//! Errors of the configuration.

use std::io;
use thiserror::Error;

/// Path that `serde_path_to_error` reports for an error of the whole document.
const DOCUMENT_PATH: &str = ".";

/// Error of reading or validating a configuration.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// The environment variable that names the file is not set.
    #[error("NODE_CONFIG is not set: it must name the configuration file")]
    NoPath,
    /// The file can't be read.
    #[error("the configuration file can't be read: {0}")]
    Unreadable(io::Error),
    /// The file is not JSON, or not an object.
    #[error("the configuration is malformed: {0}")]
    Malformed(serde_json::Error),
    /// A key is missing or has a value of the wrong type.
    #[error("the configuration's {path}: {reason}")]
    InvalidKey {
        /// Path of the key, such as `settings.Classes[0].Effect`.
        path: String,
        /// Error that the parser reported at that key.
        reason: serde_json::Error,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("the configuration's seed: expected up to 16 hexadecimal digits")]
    InvalidSeed,
    /// The key at this path is not a time in the accepted range.
    #[error("the configuration's {0}: expected a time of more than 0 and at most 3600 seconds")]
    InvalidTime(&'static str),
    /// The limit of file descriptors is too low.
    #[error(
        "the configuration's limits.sockets: {descriptors} is too low, expected at least {min_descriptors}"
    )]
    TooFewDescriptors {
        /// The configured limit.
        descriptors: usize,
        /// The lowest limit that is accepted.
        min_descriptors: usize,
    },
    /// The memory limit is too low.
    #[error(
        "the configuration's limits.memory_mb: {memory_mb} is too low, expected at least {min_memory_mb}"
    )]
    TooLittleMemory {
        /// The configured limit, in MB.
        memory_mb: usize,
        /// The lowest limit that is accepted, in MB.
        min_memory_mb: usize,
    },
    /// The value of the environment variable of this name can't be parsed.
    #[error("the environment variable {0} has an invalid value")]
    InvalidVariable(&'static str),
}

impl ConfigError {
    /// Converts a parser's error at `path`. Errors of syntax and of the whole document are
    /// [`Malformed`](Self::Malformed).
    pub fn at_path(path: String, reason: serde_json::Error) -> Self {
        if path == DOCUMENT_PATH || !reason.is_data() {
            Self::Malformed(reason)
        } else {
            Self::InvalidKey { path, reason }
        }
    }
}
