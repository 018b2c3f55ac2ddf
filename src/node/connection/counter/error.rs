//! Errors of connections to the counter.

use std::io;
use thiserror::Error;

/// Reason why a connection to the counter ended or could not be opened.
#[derive(Debug, Error)]
pub enum CounterError {
    /// Opening the connection took longer than the connect timeout.
    #[error("timed out while connecting")]
    ConnectTimeout,
    /// The oldest call has had no reply for longer than the reply timeout, so the connection is dead.
    #[error("timed out waiting for a reply")]
    ReplyOverdue,
    /// A call could not be written.
    #[error("can't write a call")]
    WriteFailed,
    /// The counter closed the connection.
    #[error("the counter closed the connection")]
    Closed,
    /// The counter sent a line that is not a reply, or not one to the oldest call.
    #[error("the reply is invalid or does not match the oldest call")]
    UnexpectedReply,
    /// The counter sent a line that is longer than any reply.
    #[error("the reply is longer than any valid one")]
    ReplyTooLong,
    /// The client was retired, and either no call is awaited on the connection or the client was closed.
    #[error("the client was retired")]
    Retired,
    /// The socket failed.
    #[error(transparent)]
    Socket(#[from] io::Error),
}

impl CounterError {
    /// Returns whether the counter didn't respond in time.
    pub fn is_timeout(&self) -> bool {
        match self {
            Self::ConnectTimeout | Self::ReplyOverdue => true,
            Self::Socket(error) => error.kind() == io::ErrorKind::TimedOut,
            _ => false,
        }
    }

    /// Returns whether the counter sent something other than a reply to the oldest call.
    pub fn is_invalid_reply(&self) -> bool {
        matches!(self, Self::UnexpectedReply | Self::ReplyTooLong)
    }
}
