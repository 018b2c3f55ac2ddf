//! What both sides of the handshake share.

use crate::node::hot_restart::{framing::MessageError, message::Message};
use std::{io, time::Duration};
use thiserror::Error;

/// Longest wait for the peer's first message, so that a stuck process can't delay a new one.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a process was not accepted as a peer.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The peer's first message could not be read, or this process's own could not be written.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The peer's first message has not come within [`HANDSHAKE_TIMEOUT`].
    #[error("no message in time")]
    Timeout,
    /// The peer sent another message than the one that opens a handshake.
    #[error("unexpected message {0}")]
    UnexpectedMessage(&'static str),
    /// The peer uses another version of the message format.
    #[error("unsupported format version {0}")]
    UnsupportedFormat(u32),
    /// The peer serves another gateway.
    #[error("a process of another gateway: {0}")]
    OtherGateway(String),
}

impl HandshakeError {
    /// The message does not open a handshake.
    pub fn unexpected(message: &Message) -> Self {
        Self::UnexpectedMessage(message.kind())
    }

    /// Nobody listens on the socket: the process that created it has ended.
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
