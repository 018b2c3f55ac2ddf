//! Why a connection to the counter ended.

use std::io;
use thiserror::Error;

/// Why a connection to the counter ended or could not be made.
#[derive(Debug, Error)]
pub enum CounterError {
    /// The connection was not made in time.
    #[error("timed out")]
    ConnectTimeout,
    /// A reply is so late that the counter no longer reads from the connection.
    #[error("timed out")]
    ReplyOverdue,
    /// A call could not be written.
    #[error("broken pipe")]
    WriteFailed,
    /// The counter closed the connection.
    #[error("unexpected end of file")]
    Closed,
    /// A line that is no reply, or not one to the oldest call.
    #[error("invalid data")]
    UnexpectedReply,
    /// A line longer than any reply.
    #[error("invalid data")]
    ReplyTooLong,
    /// The client has been retired, and no call is awaited on the connection any more.
    #[error("connection aborted")]
    Retired,
    /// The socket failed.
    #[error(transparent)]
    Socket(#[from] io::Error),
}

impl CounterError {
    /// The counter was silent for too long.
    pub fn is_timeout(&self) -> bool {
        match self {
            Self::ConnectTimeout | Self::ReplyOverdue => true,
            Self::Socket(error) => error.kind() == io::ErrorKind::TimedOut,
            _ => false,
        }
    }

    /// The counter sent something else than the reply to the oldest call.
    pub fn is_invalid_reply(&self) -> bool {
        matches!(self, Self::UnexpectedReply | Self::ReplyTooLong)
    }
}
