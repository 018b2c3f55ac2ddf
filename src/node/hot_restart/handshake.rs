//! Timeout and errors of the handshake between a predecessor and a successor.

use crate::node::hot_restart::{framing::MessageError, message::Message};
use std::{io, time::Duration};
use thiserror::Error;

/// Maximum wait for the peer's first message. Limits how long a stuck process delays the start of a new one.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// Error of a handshake, after which the process is not a peer.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The peer's first message could not be read, or this process's own could not be written.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The peer's first message was not received within [`HANDSHAKE_TIMEOUT`].
    #[error("no message within {HANDSHAKE_TIMEOUT:?}")]
    Timeout,
    /// The peer's first message is not the one that the handshake expects.
    #[error("unexpected message {0}")]
    UnexpectedMessage(&'static str),
    /// The peer uses another version of the message format.
    #[error("unsupported format version {0}")]
    UnsupportedFormat(u32),
    /// The peer serves another gateway.
    #[error("the process belongs to another gateway: {0}")]
    OtherGateway(String),
}

impl HandshakeError {
    /// Returns the error for a first message that the handshake does not expect.
    pub fn unexpected(message: &Message) -> Self {
        Self::UnexpectedMessage(message.kind())
    }

    /// Returns whether no process listens on the socket, because the one that created it has ended.
    pub fn is_connection_refused(&self) -> bool {
        matches!(
            self,
            Self::Message(MessageError::Socket(e)) if e.kind() == io::ErrorKind::ConnectionRefused
        )
    }
}

impl From<io::Error> for HandshakeError {
    fn from(error: io::Error) -> Self {
        Self::Message(error.into())
    }
}
