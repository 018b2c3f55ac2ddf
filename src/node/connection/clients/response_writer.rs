//! Writes a final response to a client's connection, buffered or streamed.

use crate::node::{
    connection::clients::{memory::MemoryPermit, socket::ClientSocket, state::Stage},
    metrics,
    wire::{
        client_response::{ClientResponse, ResponseBody},
        stream::{Piece, PieceReceiver, STREAM_MEMORY_BYTES},
    },
};
use hyper::StatusCode;
use socket2::SockRef;
use std::{
    io::{self, Write},
    time::Duration,
};
use tokio::{io::AsyncWriteExt, time::sleep};

/// Wait before another look for free memory.
const MEMORY_BACKOFF: Duration = Duration::from_millis(20);
/// The system's send buffer for a streamed response: what it holds for a slow client is memory, too.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// How much of a response the client got.
pub enum Delivery {
    /// A complete response, which ended the request in this way.
    Complete(metrics::RequestOutcome),
    /// Only a part; nothing more may be sent on the connection.
    Truncated,
}

impl Delivery {
    /// How the request ended for the client.
    pub fn outcome(&self) -> metrics::RequestOutcome {
        match self {
            Self::Complete(outcome) => *outcome,
            Self::Truncated => metrics::RequestOutcome::Failed,
        }
    }
}

/// How the stream of a response ended.
enum StreamEnd {
    Complete,
    /// It broke after its first bytes were written.
    Truncated,
    /// It broke before that, so the client has not seen a byte of the response.
    Unstarted,
}

/// Writes a response. `memory` is what the exchange holds for the request's body, and is counted for the stream.
///
/// # Errors
/// The client has disconnected.
pub async fn write_response(
    socket: &mut ClientSocket<'_>,
    memory: &MemoryPermit<'_>,
    response: ClientResponse,
    keep_alive: bool,
    minor_version: u8,
) -> io::Result<Delivery> {
    let outcome = response.outcome();
    socket.state.enter(Stage::WritingResponse);
    let head = response.render(keep_alive, minor_version);
    let (length, pieces) = match response.body {
        ResponseBody::Buffered(_) => {
            socket.tcp.write_all(&head).await?;
            return Ok(Delivery::Complete(outcome));
        }
        ResponseBody::Streamed { length, pieces } => (length, pieces),
    };
    // The bound on memory holds for responses, too: one that finds no memory waits at its endpoint.
    let stream_memory = reserve_stream_memory(socket, memory).await;
    // Without it the system's default holds, which is larger.
    let _ = SockRef::from(&socket.tcp).set_send_buffer_size(SEND_BUFFER_BYTES);
    let is_chunked = length.is_none() && minor_version > 0;
    let end = ResponseStream { socket, is_chunked, unsent: head }.forward(pieces).await?;
    drop(stream_memory);
    match end {
        StreamEnd::Complete => Ok(Delivery::Complete(outcome)),
        StreamEnd::Unstarted => {
            let failure = ClientResponse::without_body(StatusCode::BAD_GATEWAY);
            let text = failure.render(keep_alive, minor_version);
            socket.tcp.write_all(&text).await?;
            Ok(Delivery::Complete(failure.outcome()))
        }
        StreamEnd::Truncated => {
            // A reset, so that a client which takes a close for the body's end sees that the body is incomplete.
            let _ = SockRef::from(&socket.tcp).set_linger(Some(Duration::ZERO));
            Ok(Delivery::Truncated)
        }
    }
}

/// Reserves what a stream takes beyond the memory that the exchange holds already.
async fn reserve_stream_memory<'c>(socket: &ClientSocket<'c>, held: &MemoryPermit<'_>) -> MemoryPermit<'c> {
    loop {
        match socket.context.memory.reserve(STREAM_MEMORY_BYTES.saturating_sub(held.bytes())) {
            Some(permit) => return permit,
            None => sleep(MEMORY_BACKOFF).await,
        }
    }
}

/// A response that is forwarded as it arrives from the endpoint.
struct ResponseStream<'a, 'c> {
    socket: &'a mut ClientSocket<'c>,
    is_chunked: bool,
    /// Bytes to be written next: at first the head, which goes out with the first bytes of the body, so that the client
    /// can still get another response if the stream breaks before them.
    unsent: Vec<u8>,
}

impl ResponseStream<'_, '_> {
    async fn forward(mut self, mut pieces: PieceReceiver) -> io::Result<StreamEnd> {
        let mut has_started = false;
        loop {
            self.socket.state.enter(Stage::Processing);
            let piece = pieces.recv().await;
            self.socket.state.enter(Stage::StreamingResponse);
            match piece {
                Some(Piece::Data(data)) if data.is_empty() => {}
                Some(Piece::Data(data)) => {
                    has_started = true;
                    self.append(&data);
                    self.flush().await?;
                }
                Some(Piece::End) => {
                    if self.is_chunked {
                        self.unsent.extend_from_slice(b"0\r\n\r\n");
                    }
                    self.flush().await?;
                    return Ok(StreamEnd::Complete);
                }
                None if has_started => return Ok(StreamEnd::Truncated),
                None => return Ok(StreamEnd::Unstarted),
            }
        }
    }

    fn append(&mut self, data: &[u8]) {
        if self.is_chunked {
            // Writing to memory does not fail.
            let _ = write!(self.unsent, "{:x}\r\n", data.len());
        }
        self.unsent.extend_from_slice(data);
        if self.is_chunked {
            self.unsent.extend_from_slice(b"\r\n");
        }
    }

    /// Writes all unsent bytes. The stage's time restarts with each write that makes progress.
    async fn flush(&mut self) -> io::Result<()> {
        let mut rest = &self.unsent[..];
        while !rest.is_empty() {
            let count = self.socket.tcp.write(rest).await?;
            rest = &rest[count..];
            self.socket.state.enter(Stage::StreamingResponse);
        }
        self.unsent.clear();
        Ok(())
    }
}
