//! Reads requests from a client's connection: the head, and the body as far as it is buffered.

use crate::node::{
    connection::clients::{
        memory::{BodyMemory, MAX_AMPLE_BUFFER_BYTES, MemoryPermit},
        socket::ClientSocket,
        state::{ConnectionEnd, Stage},
    },
    wire::{
        limits::MAX_BUFFERED_BODY_BYTES,
        request_body::{BodyDecoder, Framing},
        request_head::{self, RequestHead},
        stream::{MAX_PIECE_BYTES, STREAM_MEMORY_BYTES},
    },
};
use bytes::{Bytes, BytesMut};
use hyper::StatusCode;

/// Bytes that are read at once of a head or a short body.
const HEAD_READ_BYTES: usize = 4096;
/// Ends a connection whose request finds no memory for its body.
const NO_MEMORY: ConnectionEnd = ConnectionEnd::WithStatus(StatusCode::SERVICE_UNAVAILABLE);

/// A request body, with the memory that is reserved for it.
pub struct ReceivedBody<'c> {
    pub content: ReceivedContent,
    pub memory: MemoryPermit<'c>,
}

/// A request body as far as it was read.
pub enum ReceivedContent {
    Complete(Bytes),
    /// Too large to be buffered.
    Partial {
        received: BytesMut,
        /// Decodes the bytes to come.
        decoder: BodyDecoder,
        /// The length of the complete body in bytes, if it is known.
        length: Option<usize>,
    },
}

impl ReceivedContent {
    /// The decoder of the bytes to come, if there are any.
    pub fn into_unread(self) -> Option<BodyDecoder> {
        match self {
            Self::Complete(_) => None,
            Self::Partial { decoder, .. } => Some(decoder),
        }
    }
}

/// Reads a request's head.
pub async fn read_head(socket: &mut ClientSocket<'_>) -> Result<RequestHead, ConnectionEnd> {
    let mut scanned = 0;
    loop {
        if !socket.buffer.is_empty() {
            if socket.state.stage.get() == Stage::Idle {
                socket.state.enter(Stage::ReadingRequest);
            }
            if let Some(head) = request_head::take_head(&mut socket.buffer, &mut scanned)? {
                return Ok(head);
            }
        }
        socket.read(HEAD_READ_BYTES).await?;
    }
}

/// Reads a complete body, or as much as shows that it is too large to be buffered.
pub async fn read_body<'c>(
    socket: &mut ClientSocket<'c>,
    head: &RequestHead,
) -> Result<ReceivedBody<'c>, ConnectionEnd> {
    let body_memory = &socket.context.memory;
    let length = head.framing.length();
    if length.is_some_and(|length| must_stream(length, body_memory)) {
        let memory = body_memory.reserve(STREAM_MEMORY_BYTES).ok_or(NO_MEMORY)?;
        let decoder = BodyDecoder::new(head.framing);
        let content = ReceivedContent::Partial { received: BytesMut::new(), decoder, length };
        return Ok(ReceivedBody { content, memory });
    }
    // More is reserved as bytes arrive: an announced body may never come.
    let memory = body_memory.reserve(0).ok_or(NO_MEMORY)?;
    if head.expects_continue && length != Some(0) && socket.buffer.is_empty() {
        socket.send_continue().await;
    }
    buffer_body(socket, head.framing, memory).await
}

/// Whether a body of this length is streamed without an attempt to buffer it.
fn must_stream(length: usize, memory: &BodyMemory) -> bool {
    length > MAX_AMPLE_BUFFER_BYTES || length > MAX_BUFFERED_BODY_BYTES && !memory.is_ample_for(length)
}

/// Buffers a body. The limit of one without a known length grows while memory is ample.
async fn buffer_body<'c>(
    socket: &mut ClientSocket<'c>,
    framing: Framing,
    mut memory: MemoryPermit<'c>,
) -> Result<ReceivedBody<'c>, ConnectionEnd> {
    let body_memory = &socket.context.memory;
    let length = framing.length();
    let mut decoder = BodyDecoder::new(framing);
    let mut body = BytesMut::new();
    let mut limit = MAX_BUFFERED_BODY_BYTES;
    loop {
        // One byte beyond the limit shows that the body exceeds it.
        let wanted = length.unwrap_or(limit + 1);
        if decoder.decode(&mut socket.buffer, &mut body, wanted)? {
            return Ok(ReceivedBody { content: ReceivedContent::Complete(body.freeze()), memory });
        }
        let needed = body.len().next_multiple_of(MAX_PIECE_BYTES);
        body_memory.extend(&mut memory, needed).ok_or(NO_MEMORY)?;
        if length.is_none() && body.len() > limit {
            if limit < MAX_AMPLE_BUFFER_BYTES && body_memory.is_ample_for(MAX_BUFFERED_BODY_BYTES) {
                limit += MAX_BUFFERED_BODY_BYTES;
                // The socket's buffer may hold more of it already.
                continue;
            }
            let content = ReceivedContent::Partial { received: body, decoder, length };
            return Ok(ReceivedBody { content, memory });
        }
        let is_short = length.is_some_and(|length| length <= HEAD_READ_BYTES);
        socket.read(if is_short { HEAD_READ_BYTES } else { MAX_PIECE_BYTES }).await?;
    }
}
