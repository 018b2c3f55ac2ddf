//! Errors in the simulator's messages. Their texts use the names of the simulator's format.

use crate::wire::positional_values::FieldError;
use oliverack::{OptionsError, SettingsError};
use thiserror::Error;

/// Reason to reject a message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message does not begin with a name.
    #[error("a message has no name")]
    Nameless,
    /// A value of the message is missing or invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// No message has this name.
    #[error("event {0} is unknown")]
    UnknownMessage(String),
    /// The settings object is malformed.
    #[error(transparent)]
    Options(OptionsError),
    /// The settings are inconsistent or out of range.
    #[error("NEW_INSTANCE.Options: {0}")]
    Settings(SettingsError),
    /// The message is addressed to a gateway that does not exist.
    #[error("{message} for unknown instance {gateway}")]
    UnknownGateway {
        /// Name of the message.
        message: String,
        /// Number of the gateway.
        gateway: u64,
    },
}
