//! Reads and writes messages on a socket: one line of JSON for each message.

use crate::node::hot_restart::message::Message;
use std::io;
use thiserror::Error;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{
        UnixStream,
        unix::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Error of reading or writing a message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The socket failed, or the peer closed the connection between two messages.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// A line is not a valid message.
    #[error("malformed message: {0}")]
    Malformed(serde_json::Error),
    /// A line is longer than the limit.
    #[error("message longer than {max_bytes} bytes")]
    TooLong {
        /// Maximum length of a message, with its line end.
        max_bytes: u64,
    },
    /// The peer closed the connection within a line.
    #[error("message truncated after {bytes} bytes")]
    Truncated {
        /// Length of the part that was received.
        bytes: usize,
    },
}

/// Splits a connection into its two directions. Reading a message of more than `max_bytes` fails.
pub fn split(socket: UnixStream, max_bytes: u64) -> (MessageReader, MessageWriter) {
    let (read_half, write_half) = socket.into_split();
    let reader = MessageReader { reader: BufReader::new(read_half), max_bytes };
    (reader, MessageWriter { writer: write_half })
}

/// Receiving direction of a connection.
pub struct MessageReader {
    reader: BufReader<OwnedReadHalf>,
    max_bytes: u64,
}

impl MessageReader {
    /// Waits for the next message.
    ///
    /// # Errors
    /// The connection has ended, or the next line is not a valid message.
    pub async fn read(&mut self) -> Result<Message, MessageError> {
        let mut line = Vec::new();
        (&mut self.reader).take(self.max_bytes).read_until(b'\n', &mut line).await?;
        match line.last() {
            Some(b'\n') => serde_json::from_slice(&line).map_err(MessageError::Malformed),
            None => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
            Some(_) if line.len() as u64 >= self.max_bytes => {
                Err(MessageError::TooLong { max_bytes: self.max_bytes })
            }
            Some(_) => Err(MessageError::Truncated { bytes: line.len() }),
        }
    }
}

/// Sending direction of a connection.
pub struct MessageWriter {
    writer: OwnedWriteHalf,
}

impl MessageWriter {
    /// Writes a message.
    ///
    /// # Errors
    /// The connection has ended.
    pub async fn write(&mut self, message: &Message) -> Result<(), MessageError> {
        let mut line = serde_json::to_vec(message).map_err(MessageError::Malformed)?;
        line.push(b'\n');
        self.writer.write_all(&line).await?;
        Ok(())
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/hot_restart_framing.rs"]
mod tests;
