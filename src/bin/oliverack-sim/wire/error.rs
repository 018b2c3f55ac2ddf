//! Why a message can't be carried out. The texts name messages and values as the wire does.

use crate::wire::row::FieldError;
use oliverack::{OptionsError, SettingsError};
use thiserror::Error;

/// A message that can't be carried out.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message does not begin with its name.
    #[error("a message has no name")]
    Nameless,
    /// A value of the message can't be read.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The wire has no message of this name.
    #[error("event {0} is unknown")]
    UnknownMessage(String),
    /// The settings object can't be read.
    #[error(transparent)]
    Options(OptionsError),
    /// No gateway can work with the settings.
    #[error("NEW_INSTANCE.Options: {0}")]
    Settings(SettingsError),
    /// The message is for a gateway that does not exist.
    #[error("{message} for unknown instance {gateway}")]
    UnknownGateway {
        /// The name of the message.
        message: String,
        /// The gateway that it is for.
        gateway: u64,
    },
}
