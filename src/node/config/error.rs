//! Why a configuration can't be used.

use std::io;
use thiserror::Error;

/// The path of the whole document in an error of the reader.
const DOCUMENT_PATH: &str = ".";

/// Why a configuration can't be used.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// The environment names no file.
    #[error("NODE_CONFIG names no file")]
    NoPath,
    /// The file can't be read.
    #[error("the configuration can't be read: {0}")]
    Unreadable(io::Error),
    /// The file is not JSON, or not an object.
    #[error("the configuration is malformed: {0}")]
    Malformed(serde_json::Error),
    /// A key is missing or has a value of the wrong type.
    #[error("the configuration's {path}: {reason}")]
    InvalidKey {
        /// The path of the key, such as `settings.Classes[0].Effect`.
        path: String,
        /// What is wrong there.
        reason: serde_json::Error,
    },
    /// The seed is not a number.
    #[error("the configuration's seed: not a hexadecimal number")]
    InvalidSeed,
    /// The key of this path is not a time that can be used.
    #[error("the configuration's {0}: not a usable time")]
    InvalidTime(&'static str),
    /// The process would have too few descriptors.
    #[error("the configuration's limits.sockets: {sockets} are too few, {min_sockets} at least")]
    TooFewSockets {
        /// How many it would have.
        sockets: usize,
        /// How many it needs.
        min_sockets: usize,
    },
    /// The process would have too little memory.
    #[error("the configuration's limits.memory_mb: {memory_mb} are too few, {min_memory_mb} at least")]
    TooLittleMemory {
        /// How much it would have, in MB.
        memory_mb: usize,
        /// How much it needs, in MB.
        min_memory_mb: usize,
    },
    /// The environment variable of this name has a value that can't be parsed.
    #[error("{0} can't be understood")]
    InvalidVariable(&'static str),
}

impl ConfigError {
    /// The error for what a reader says is wrong at `path`.
    pub fn at_path(path: String, reason: serde_json::Error) -> Self {
        if path == DOCUMENT_PATH || !reason.is_data() {
            Self::Malformed(reason)
        } else {
            Self::InvalidKey { path, reason }
        }
    }
}
