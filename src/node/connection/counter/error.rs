//! Errors of connections to the counter.

use std::io;
use thiserror::Error;

/// Reason for which a connection to the counter ended or could not be opened.
#[derive(Debug, Error)]
pub enum CounterError {
    /// The connection was not open in time.
    #[error("timed out")]
    ConnectTimeout,
    /// The oldest call has had no reply for so long that the connection is taken for dead.
    #[error("timed out")]
    ReplyOverdue,
    /// A call could not be written.
    #[error("broken pipe")]
    WriteFailed,
    /// The counter closed the connection.
    #[error("unexpected end of file")]
    Closed,
    /// The counter sent a line that is not a reply, or not one to the oldest call.
    #[error("invalid data")]
    UnexpectedReply,
    /// The counter sent a line that is longer than any reply.
    #[error("invalid data")]
    ReplyTooLong,
    /// The client was retired, and either no call is awaited on the connection or the client was closed.
    #[error("connection aborted")]
    Retired,
    /// The socket failed.
    #[error(transparent)]
    Socket(#[from] io::Error),
}

impl CounterError {
    /// Checks whether the counter didn't respond in time.
    pub fn is_timeout(&self) -> bool {
        match self {
            Self::ConnectTimeout | Self::ReplyOverdue => true,
            Self::Socket(error) => error.kind() == io::ErrorKind::TimedOut,
            _ => false,
        }
    }

    /// Checks whether the counter sent something other than a reply to the oldest call.
    pub fn is_invalid_reply(&self) -> bool {
        matches!(self, Self::UnexpectedReply | Self::ReplyTooLong)
    }
}
