//! Writes final responses, buffered or streamed, to a client's connection.

use crate::node::{
    connection::clients::{memory::MemoryPermit, socket::ClientSocket, state::Stage},
    metrics,
    wire::{
        client_response::{ClientResponse, ResponseBody},
        stream::{BodyFrame, BodyFrameReceiver, STREAM_MEMORY_BYTES},
    },
};
use hyper::StatusCode;
use socket2::SockRef;
use std::{
    io::{self, Write},
    time::Duration,
};
use tokio::{io::AsyncWriteExt, time::sleep};

/// Pause between two attempts to reserve memory.
const MEMORY_BACKOFF: Duration = Duration::from_millis(20);
/// Size of the system's send buffer for a streamed response. It is limited because bytes that wait there for a slow
/// client take memory as well.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Result of writing a response to a client.
pub enum Delivery {
    /// The client was sent a complete response, which ends the request with this outcome.
    Complete(metrics::RequestOutcome),
    /// The client was sent only part of a response, so nothing more may be sent on the connection.
    Truncated,
}

impl Delivery {
    /// Returns the outcome of the request for the client.
    pub fn outcome(&self) -> metrics::RequestOutcome {
        match self {
            Self::Complete(outcome) => *outcome,
            Self::Truncated => metrics::RequestOutcome::Failed,
        }
    }
}

/// Outcome of forwarding a streamed response.
enum StreamOutcome {
    Complete,
    /// The stream broke after its first bytes were written.
    Truncated,
    /// The stream broke before any byte of the response was written to the client.
    Unstarted,
}

/// Writes a response. A streamed response uses `memory`, the reservation for the request's body, and reserves only what
/// it needs beyond that.
///
/// # Errors
/// Returns an error if the client has disconnected.
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
    let (length, frames) = match response.body {
        ResponseBody::Buffered(_) => {
            socket.tcp.write_all(&head).await?;
            return Ok(Delivery::Complete(outcome));
        }
        ResponseBody::Streamed { length, frames } => (length, frames),
    };
    // Responses count towards the memory limit as well. Without free memory the rest of the response waits at the
    // endpoint.
    let stream_memory = reserve_stream_memory(socket, memory).await;
    // A failure leaves the system's default, which is larger.
    let _ = SockRef::from(&socket.tcp).set_send_buffer_size(SEND_BUFFER_BYTES);
    let is_chunked = length.is_none() && minor_version > 0;
    let stream_outcome = ResponseStream { socket, is_chunked, unsent: head }.forward(frames).await?;
    drop(stream_memory);
    match stream_outcome {
        StreamOutcome::Complete => Ok(Delivery::Complete(outcome)),
        StreamOutcome::Unstarted => {
            let failure = ClientResponse::without_body(StatusCode::BAD_GATEWAY);
            let text = failure.render(keep_alive, minor_version);
            socket.tcp.write_all(&text).await?;
            Ok(Delivery::Complete(failure.outcome()))
        }
        StreamOutcome::Truncated => {
            // Turns the close into a reset, so that a client that takes a close for the end of the body sees that the
            // body is incomplete.
            let _ = SockRef::from(&socket.tcp).set_linger(Some(Duration::ZERO));
            Ok(Delivery::Truncated)
        }
    }
}

/// Reserves the memory that a stream needs beyond the bytes that the exchange already holds. Waits until it is free.
async fn reserve_stream_memory<'c>(
    socket: &ClientSocket<'c>,
    held_memory: &MemoryPermit<'_>,
) -> MemoryPermit<'c> {
    loop {
        match socket.context.memory.reserve(STREAM_MEMORY_BYTES.saturating_sub(held_memory.bytes())) {
            Some(permit) => return permit,
            None => sleep(MEMORY_BACKOFF).await,
        }
    }
}

/// A response that is forwarded to the client as it arrives from the endpoint.
struct ResponseStream<'a, 'c> {
    socket: &'a mut ClientSocket<'c>,
    is_chunked: bool,
    /// Bytes to be written next. They begin with the head, which is written together with the first bytes of the body:
    /// if the stream breaks before these, the client can still get another response.
    unsent: Vec<u8>,
}

impl ResponseStream<'_, '_> {
    async fn forward(mut self, mut frames: BodyFrameReceiver) -> io::Result<StreamOutcome> {
        let mut has_started = false;
        loop {
            self.socket.state.enter(Stage::Processing);
            let frame = frames.recv().await;
            self.socket.state.enter(Stage::StreamingResponse);
            match frame {
                Some(BodyFrame::Data(data)) if data.is_empty() => {}
                Some(BodyFrame::Data(data)) => {
                    has_started = true;
                    self.append(&data);
                    self.flush().await?;
                }
                Some(BodyFrame::End) => {
                    if self.is_chunked {
                        self.unsent.extend_from_slice(b"0\r\n\r\n");
                    }
                    self.flush().await?;
                    return Ok(StreamOutcome::Complete);
                }
                None if has_started => return Ok(StreamOutcome::Truncated),
                None => return Ok(StreamOutcome::Unstarted),
            }
        }
    }

    fn append(&mut self, data: &[u8]) {
        if self.is_chunked {
            // Writing to a vector does not fail.
            let _ = write!(self.unsent, "{:x}\r\n", data.len());
        }
        self.unsent.extend_from_slice(data);
        if self.is_chunked {
            self.unsent.extend_from_slice(b"\r\n");
        }
    }

    /// Writes all unsent bytes and restarts the stage's time with each write that makes progress.
    async fn flush(&mut self) -> io::Result<()> {
        let mut unwritten = &self.unsent[..];
        while !unwritten.is_empty() {
            let count = self.socket.tcp.write(unwritten).await?;
            unwritten = &unwritten[count..];
            self.socket.state.enter(Stage::StreamingResponse);
        }
        self.unsent.clear();
        Ok(())
    }
}
