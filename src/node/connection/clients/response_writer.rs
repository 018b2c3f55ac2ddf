//! Writes final responses, buffered or streamed, to a client's connection.

use crate::node::{
    connection::{
        body_memory::MemoryPermit,
        clients::{socket::ClientSocket, state::Stage},
    },
    metrics,
    wire::{
        client_response::{ClientResponse, ResponseBody},
        stream::{BodyFrame, BodyFrameReceiver},
    },
};
use bytes::{Buf, Bytes};
use hyper::StatusCode;
use socket2::SockRef;
use std::{
    io::{self, Write},
    time::Duration,
};
use tokio::{io::AsyncWriteExt, net::TcpStream};

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

/// Writes a response. `memory` is the reservation for its body.
///
/// # Errors
/// Returns an error if the client has disconnected.
pub async fn write_response(
    socket: &mut ClientSocket<'_>,
    memory: Option<MemoryPermit>,
    response: ClientResponse,
    keep_alive: bool,
    minor_version: u8,
) -> io::Result<Delivery> {
    let outcome = response.outcome();
    socket.state.enter(Stage::WritingResponse);
    let head = response.render_head(keep_alive, minor_version);
    let (length, frames) = match response.body {
        ResponseBody::Buffered(body) => {
            write_all(socket, head.chain(body), Stage::WritingResponse).await?;
            return Ok(Delivery::Complete(outcome));
        }
        ResponseBody::Streamed { length, frames } => (length, frames),
    };
    // A failure leaves the system's default, which is larger.
    let _ = SockRef::from(&socket.tcp).set_send_buffer_size(SEND_BUFFER_BYTES);
    let is_chunked = length.is_none() && minor_version > 0;
    reset_on_close(&socket.tcp, true);
    match (ResponseStream { socket, memory, is_chunked, head }).forward(frames).await? {
        StreamOutcome::Complete => {
            reset_on_close(&socket.tcp, false);
            Ok(Delivery::Complete(outcome))
        }
        StreamOutcome::Unstarted => {
            reset_on_close(&socket.tcp, false);
            let failure = ClientResponse::without_body(StatusCode::BAD_GATEWAY);
            socket.tcp.write_all(&failure.render_head(keep_alive, minor_version)).await?;
            Ok(Delivery::Complete(failure.outcome()))
        }
        StreamOutcome::Truncated => Ok(Delivery::Truncated),
    }
}

/// Sets whether a close of the connection resets it. While a streamed response is incomplete it must: a client that takes
/// a close for the end of the body sees by the reset that the body is incomplete, whatever closes the connection, also the
/// end of the process.
fn reset_on_close(tcp: &TcpStream, is_enabled: bool) {
    // A failure means that the connection has ended.
    let _ = SockRef::from(tcp).set_linger(is_enabled.then_some(Duration::ZERO));
}

/// A response that is forwarded to the client as it arrives from the endpoint.
struct ResponseStream<'a, 'c> {
    socket: &'a mut ClientSocket<'c>,
    /// Memory reserved for the stream and, until that is written, for its buffered beginning.
    memory: Option<MemoryPermit>,
    is_chunked: bool,
    /// The response's head; empty once it is written. It is written together with the first bytes of the body: if the
    /// stream breaks before these, the client can still get another response.
    head: Bytes,
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
                    self.write_data(data).await?;
                    if let Some(memory) = &mut self.memory {
                        memory.shrink_to(self.socket.context.memory.response_stream_bytes());
                    }
                }
                Some(BodyFrame::End) => {
                    let last_chunk: &[u8] = if self.is_chunked { b"0\r\n\r\n" } else { b"" };
                    let head = std::mem::take(&mut self.head);
                    self.write(head.chain(last_chunk)).await?;
                    return Ok(StreamOutcome::Complete);
                }
                None if has_started => return Ok(StreamOutcome::Truncated),
                None => return Ok(StreamOutcome::Unstarted),
            }
        }
    }

    /// Writes data of the body, as a chunk if the body is chunked, after the head if that is not written yet.
    async fn write_data(&mut self, data: Bytes) -> io::Result<()> {
        let head = std::mem::take(&mut self.head);
        if !self.is_chunked {
            return self.write(head.chain(data)).await;
        }
        let mut size_line = Vec::new();
        write!(size_line, "{:x}\r\n", data.len())?;
        self.write(head.chain(Bytes::from(size_line)).chain(data).chain(&b"\r\n"[..])).await
    }

    async fn write(&mut self, output: impl Buf) -> io::Result<()> {
        write_all(self.socket, output, Stage::StreamingResponse).await
    }
}

/// Writes all bytes and restarts the stage's time with each write that makes progress.
async fn write_all(socket: &mut ClientSocket<'_>, mut output: impl Buf, stage: Stage) -> io::Result<()> {
    while output.has_remaining() {
        socket.tcp.write_buf(&mut output).await?;
        socket.state.enter(stage);
    }
    Ok(())
}
