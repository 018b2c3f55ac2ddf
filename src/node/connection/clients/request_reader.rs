//! Reads requests from a client's connection: the head, and the body unless it is too large to be buffered.

use crate::node::{
    connection::{
        body_memory::{BodyMemory, MAX_BUFFER_BYTES_WITH_HEADROOM, MemoryPermit},
        clients::{
            socket::{ClientSocket, UNRESERVED_BUFFER_BYTES},
            state::{ConnectionEnd, Stage},
        },
    },
    wire::{
        limits::MAX_BUFFERED_BODY_BYTES,
        request_body::{BodyDecoder, Framing},
        request_head::{self, ExchangeOptions, RequestHead},
        stream::{MAX_FRAME_BYTES, REQUEST_STREAM_MEMORY_BYTES},
    },
};
use bytes::{Bytes, BytesMut};
use hyper::StatusCode;
use tokio::task::yield_now;

/// End of a connection when there is no memory for a request.
pub const NO_MEMORY: ConnectionEnd = ConnectionEnd::WithStatus(StatusCode::SERVICE_UNAVAILABLE);

/// A request body and the memory reserved for it.
pub struct ReceivedBody {
    pub content: ReceivedContent,
    pub memory: MemoryPermit,
}

/// The part of a request body that was read.
pub enum ReceivedContent {
    Complete(Bytes),
    /// The body is too large to be buffered.
    Partial {
        received: BytesMut,
        /// Decoder for the rest of the body.
        decoder: BodyDecoder,
        /// Length of the complete body in bytes; `None` if unknown.
        length: Option<usize>,
    },
}

impl ReceivedContent {
    /// Returns the decoder for the rest of the body; `None` if the body is complete.
    pub fn into_decoder(self) -> Option<BodyDecoder> {
        match self {
            Self::Complete(_) => None,
            Self::Partial { decoder, .. } => Some(decoder),
        }
    }
}

/// Reads the head of the next request.
pub async fn read_head(socket: &mut ClientSocket<'_>) -> Result<RequestHead, ConnectionEnd> {
    let mut scanned_bytes = 0;
    loop {
        if !socket.buffer.is_empty() {
            if socket.state.stage.get() == Stage::Idle {
                socket.state.enter(Stage::ReadingRequest);
            }
            if let Some(head) = request_head::take_head(&mut socket.buffer, &mut scanned_bytes)? {
                return Ok(head);
            }
        }
        socket.reserve_buffer().ok_or(NO_MEMORY)?;
        socket.read(UNRESERVED_BUFFER_BYTES).await?;
    }
}

/// Reads the complete body. If the body is too large to be buffered, reads only as much as shows that.
pub async fn read_body(
    socket: &mut ClientSocket<'_>,
    options: ExchangeOptions,
) -> Result<ReceivedBody, ConnectionEnd> {
    let body_memory = &socket.context.memory;
    let length = options.framing.length();
    if length.is_some_and(|length| must_stream(length, body_memory)) {
        let memory = body_memory.reserve(REQUEST_STREAM_MEMORY_BYTES).ok_or(NO_MEMORY)?;
        let decoder = BodyDecoder::new(options.framing);
        let content = ReceivedContent::Partial { received: BytesMut::new(), decoder, length };
        return Ok(ReceivedBody { content, memory });
    }
    // Memory is reserved as bytes arrive, because an announced body may never come.
    let memory = body_memory.empty_permit();
    if options.expects_continue && length != Some(0) && socket.buffer.is_empty() {
        socket.send_continue().await;
    }
    buffer_body(socket, options.framing, memory).await
}

/// Returns whether a body of this length is streamed from the start.
fn must_stream(length: usize, memory: &BodyMemory) -> bool {
    length > MAX_BUFFER_BYTES_WITH_HEADROOM
        || length > MAX_BUFFERED_BODY_BYTES && !memory.has_headroom_for(length)
}

/// Buffers a body. The limit for a body of unknown length grows while memory has headroom.
async fn buffer_body(
    socket: &mut ClientSocket<'_>,
    framing: Framing,
    mut memory: MemoryPermit,
) -> Result<ReceivedBody, ConnectionEnd> {
    let body_memory = &socket.context.memory;
    let length = framing.length();
    let mut decoder = BodyDecoder::new(framing);
    let mut body = BytesMut::new();
    let mut limit = MAX_BUFFERED_BODY_BYTES;
    loop {
        // One byte beyond the limit shows that the body exceeds the limit.
        let max_output = length.unwrap_or(limit + 1);
        if decoder.decode(&mut socket.buffer, &mut body, max_output)? {
            return Ok(ReceivedBody { content: ReceivedContent::Complete(body.freeze()), memory });
        }
        let needed = body.len().next_multiple_of(MAX_FRAME_BYTES);
        memory.extend_to(needed).ok_or(NO_MEMORY)?;
        if length.is_none() && body.len() > limit {
            if limit < MAX_BUFFER_BYTES_WITH_HEADROOM && body_memory.has_headroom_for(MAX_BUFFERED_BODY_BYTES)
            {
                limit += MAX_BUFFERED_BODY_BYTES;
                // The socket's buffer may already hold more of the body.
                continue;
            }
            let content = ReceivedContent::Partial { received: body, decoder, length };
            return Ok(ReceivedBody { content, memory });
        }
        let is_short = length.is_some_and(|length| length <= UNRESERVED_BUFFER_BYTES);
        socket.read(if is_short { UNRESERVED_BUFFER_BYTES } else { MAX_FRAME_BYTES }).await?;
        if !is_short {
            // Decoding a body of tiny chunks takes long, so other connections come between.
            yield_now().await;
        }
    }
}
