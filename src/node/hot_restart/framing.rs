//! Messages as lines of JSON on a socket.

use crate::node::hot_restart::message::Message;
use std::{fmt, io};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::unix::{OwnedReadHalf, OwnedWriteHalf},
};

#[derive(Debug)]
pub enum Fault {
    Socket(io::Error),
    Silent,
    Malformed(serde_json::Error),
    /// A message that does not belong there, in another form, for another node, or too long.
    Foreign,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Socket(e) => e.fmt(f),
            Self::Silent => f.write_str("no message in time"),
            Self::Malformed(e) => write!(f, "a malformed message: {e}"),
            Self::Foreign => f.write_str("a message that does not belong here"),
        }
    }
}

pub async fn write(writer: &mut OwnedWriteHalf, message: &Message) -> Result<(), Fault> {
    let mut line = serde_json::to_vec(message).map_err(Fault::Malformed)?;
    line.push(b'\n');
    writer.write_all(&line).await.map_err(Fault::Socket)
}

pub struct Lines {
    reader: BufReader<OwnedReadHalf>,
    /// Longest message, in bytes.
    most: u64,
}

impl Lines {
    pub fn new(reader: OwnedReadHalf, most: u64) -> Self {
        Self { reader: BufReader::new(reader), most }
    }

    pub async fn next(&mut self) -> Result<Message, Fault> {
        let mut line = Vec::new();
        (&mut self.reader).take(self.most).read_until(b'\n', &mut line).await.map_err(Fault::Socket)?;
        match line.last() {
            Some(b'\n') => serde_json::from_slice(&line).map_err(Fault::Malformed),
            None => Err(Fault::Socket(io::ErrorKind::UnexpectedEof.into())),
            Some(_) => Err(Fault::Foreign),
        }
    }
}
