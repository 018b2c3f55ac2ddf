//! Reads response bodies: short ones into a buffer, long or slow ones as a stream.

use crate::node::{
    connection::{
        body_memory::{BodyMemory, MemoryPermit},
        exchange_progress::ExchangeProgress,
    },
    wire::stream::{BodyFrame, MIN_RESPONSE_FRAME_BYTES},
};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    StatusCode, Version,
    body::{Body, Incoming},
    header::{CONNECTION, TRANSFER_ENCODING},
    http::response::Parts,
};
use std::{pin::pin, rc::Rc, time::Duration};
use thiserror::Error;
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};
use tracing::debug;

/// Wait for the next data of a body after which another response may be sought.
const STALL_TIME: Duration = Duration::from_millis(400);
/// Longest part of a body that needs no reservation, because the connection's read buffer holds it anyway.
const UNRESERVED_BYTES: usize = MIN_RESPONSE_FRAME_BYTES;

/// Failure to read a response body to its end.
#[derive(Debug, Error)]
pub enum ResponseBodyError {
    #[error(
        "the body has neither a length nor chunks, and the head does not announce that the connection closes"
    )]
    UnannouncedClose,
    #[error("the body could not be read: {0}")]
    Broken(#[from] hyper::Error),
    #[error("the body exceeds the buffer limits, and no stream was opened for it")]
    NotStreamed,
    #[error("the receiver of the streamed body was dropped")]
    ReceiverGone,
}

/// Limits up to which a response body is buffered. A body beyond either of them is streamed.
#[derive(Debug, Clone, Copy)]
pub struct BufferLimits {
    pub max_bytes: usize,
    /// Longest time for buffering a body of unknown length. Within it the body may turn out to be short, and after a
    /// failure another attempt can still replace it.
    pub max_time: Duration,
}

impl BufferLimits {
    /// Returns whether a body of this length may be buffered. A body of unknown length may be, up to the limits.
    fn can_buffer(&self, length: Option<u64>) -> bool {
        length.is_none_or(|length| length <= self.max_bytes as u64)
    }
}

/// A buffered body and the memory that is reserved for it.
#[derive(Debug, Default)]
pub struct BufferedBody {
    pub bytes: Bytes,
    /// `None` if the buffer needs no reservation.
    pub memory: Option<MemoryPermit>,
}

/// Receiver of a response body that is too long for the buffer.
pub trait BodySink {
    /// Returns the budget from which the body's buffers are reserved; `None` if the buffer limits alone bound them. A
    /// stream needs a budget.
    fn memory(&self) -> Option<&Rc<BodyMemory>>;
    /// Returns whether a body beyond the buffer limits is wanted, given the response's head and the body's length if it
    /// is known.
    fn accepts_stream(&self, parts: &Parts, length: Option<u64>) -> bool;
    /// Returns how long the response is still awaited.
    fn remaining_wait(&self) -> Duration;
    /// Handles a pause within a response that another one may still replace. The response is awaited further.
    fn response_stalled(&self);
    /// Takes over a reservation that the request no longer needs, to be used for the stream.
    fn take_request_memory(&self) -> Option<MemoryPermit>;
    /// Opens the stream. Its receiver holds `memory` until the end of the stream. Returns `None` if the body is no
    /// longer wanted.
    fn open_stream(&self, length: Option<u64>, memory: MemoryPermit) -> Option<mpsc::Sender<BodyFrame>>;
}

/// Reads the data of a body and records it as the connection's progress.
pub struct BodyReader {
    body: Incoming,
    progress: Rc<ExchangeProgress>,
}

impl BodyReader {
    /// Creates a reader of the body that arrives on the connection with this progress.
    pub fn new(body: Incoming, progress: Rc<ExchangeProgress>) -> Self {
        Self { body, progress }
    }

    /// Returns the length of the complete body in bytes; `None` if it is not known in advance.
    fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Waits for the next data of the body. Returns `None` at the end of the body.
    async fn next_data(&mut self) -> Result<Option<Bytes>, hyper::Error> {
        self.progress.await_body();
        while let Some(frame) = self.body.frame().await {
            // A frame without data holds trailers, which are ignored.
            let data = frame?.into_data().unwrap_or_default();
            if !data.is_empty() {
                self.progress.record_body(data.len());
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Waits until the stream has room for a frame, because its client has taken an earlier one.
    async fn reserve_slot<'a>(
        &self,
        sender: &'a mpsc::Sender<BodyFrame>,
    ) -> Result<mpsc::Permit<'a, BodyFrame>, ResponseBodyError> {
        self.progress.await_client();
        let slot = sender.reserve().await;
        self.progress.end_client_wait();
        slot.map_err(|_| ResponseBodyError::ReceiverGone)
    }

    /// Like [`next_data`](Self::next_data), for a response that another one may still replace: reports a pause to the
    /// sink.
    async fn next_replaceable_data(&mut self, sink: &impl BodySink) -> Result<Option<Bytes>, hyper::Error> {
        let mut next = pin!(self.next_data());
        if let Ok(data) = timeout(STALL_TIME, &mut next).await {
            return data;
        }
        sink.response_stalled();
        next.await
    }
}

/// Reads a body to its end. Returns the buffered body, or an empty one if it was streamed. A stream starts only when
/// memory is free for it and its first data has arrived. The caller limits the time.
///
/// # Errors
/// The body was cut off, or no stream was opened for it, or the stream's receiver was dropped.
pub async fn read_body(
    parts: &Parts,
    mut body: BodyReader,
    limits: BufferLimits,
    sink: &impl BodySink,
) -> Result<BufferedBody, ResponseBodyError> {
    let length = body.length();
    if length.is_none() && !is_end_detectable(parts) {
        return Err(ResponseBodyError::UnannouncedClose);
    }
    // The body of another response is read to its end, so that the connection can be reused, but it is not kept.
    let is_kept = parts.status == StatusCode::OK;
    let mut buffer = BodyBuffer::new(length, sink.memory(), is_kept);
    let excess = match buffer.fill(&mut body, limits, sink).await? {
        Filled::Complete => return Ok(buffer.into_body()),
        Filled::Partial { excess } => excess,
    };
    if !sink.accepts_stream(parts, length) {
        return Err(ResponseBodyError::NotStreamed);
    }
    let buffered = buffer.into_body();
    let memory = stream_memory(sink, buffered.memory).await.ok_or(ResponseBodyError::NotStreamed)?;
    let mut beginning = [buffered.bytes, excess];
    // Until the first data has arrived another response may still take the place of this one, so the stream is not opened
    // and the caller's time limits hold.
    if beginning.iter().all(Bytes::is_empty) {
        let Some(data) = body.next_replaceable_data(sink).await? else { return Ok(BufferedBody::default()) };
        beginning = [data, Bytes::new()];
    }
    let sender = sink.open_stream(length, memory).ok_or(ResponseBodyError::NotStreamed)?;
    stream_body(&mut body, beginning, &sender).await?;
    Ok(BufferedBody::default())
}

/// Returns whether the end of a body without a length can be told from a failure. A close of the connection marks the
/// end only in HTTP/1.0 or if the head announces it.
fn is_end_detectable(parts: &Parts) -> bool {
    let connection = parts.headers.get(CONNECTION);
    parts.headers.contains_key(TRANSFER_ENCODING)
        || parts.version == Version::HTTP_10
        || connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Result of filling a buffer.
enum Filled {
    Complete,
    /// The body exceeds the limits, or memory is short; the rest is still to be read.
    Partial {
        /// Data that was read, and for which the buffer has no memory.
        excess: Bytes,
    },
}

/// Buffer for the beginning of a body. Memory is reserved before data is added.
struct BodyBuffer {
    length: Option<u64>,
    /// False if the data is only counted.
    is_kept: bool,
    /// Number of bytes of the body that were read.
    received_bytes: usize,
    bytes: BytesMut,
    /// `None` if the buffer limits alone bound the memory.
    memory: Option<MemoryPermit>,
}

impl BodyBuffer {
    fn new(length: Option<u64>, memory: Option<&Rc<BodyMemory>>, is_kept: bool) -> Self {
        let memory = memory.map(BodyMemory::empty_permit);
        Self { length, is_kept, received_bytes: 0, bytes: BytesMut::new(), memory }
    }

    /// Reads the body until it is complete or exceeds the limits.
    async fn fill(
        &mut self,
        body: &mut BodyReader,
        limits: BufferLimits,
        sink: &impl BodySink,
    ) -> Result<Filled, ResponseBodyError> {
        // A response that begins shortly before the end of the wait must not be held back until then.
        let time_limit = sleep(limits.max_time.min(sink.remaining_wait() / 2));
        tokio::pin!(time_limit);
        while limits.can_buffer(self.length) && self.received_bytes <= limits.max_bytes {
            let data = tokio::select! {
                biased;
                data = body.next_replaceable_data(sink) => data?,
                () = time_limit.as_mut(), if self.length.is_none() => break,
            };
            let Some(data) = data else { return Ok(Filled::Complete) };
            self.received_bytes += data.len();
            if self.is_kept {
                if self.reserve(data.len()).is_none() {
                    return Ok(Filled::Partial { excess: data });
                }
                self.bytes.extend_from_slice(&data);
            }
        }
        Ok(Filled::Partial { excess: Bytes::new() })
    }

    /// Makes room for this much more data, or for the whole body if its length is known. Returns `None` if memory is
    /// short.
    fn reserve(&mut self, data_length: usize) -> Option<()> {
        let needed = self.bytes.len() + data_length;
        let total = self.length.map_or(needed, |length| needed.max(length as usize));
        if let Some(permit) = self.memory.as_mut().filter(|_| total > UNRESERVED_BYTES) {
            permit.extend_with_headroom(total.next_multiple_of(MIN_RESPONSE_FRAME_BYTES))?;
        }
        self.bytes.reserve(total - self.bytes.len());
        Some(())
    }

    fn into_body(self) -> BufferedBody {
        BufferedBody { bytes: self.bytes.freeze(), memory: self.memory }
    }
}

/// Reserves the memory of a stream in addition to that of its buffered beginning. Returns `None` if there is no budget.
async fn stream_memory(sink: &impl BodySink, buffer_memory: Option<MemoryPermit>) -> Option<MemoryPermit> {
    let mut memory = buffer_memory?;
    let buffer_bytes = memory.bytes();
    if let Some(request_memory) = sink.take_request_memory() {
        memory.merge(request_memory);
    }
    let needed = buffer_bytes + sink.memory()?.response_stream_bytes();
    memory.shrink_to(needed);
    if memory.extend_to(needed).is_none() {
        debug!(needed, "response waits for memory");
        memory.extend_when_free(needed).await;
    }
    Some(memory)
}

/// Sends the beginning and the rest of the body to the stream, then marks the stream's end. Reads a frame only when the
/// channel has room for it.
async fn stream_body(
    body: &mut BodyReader,
    beginning: [Bytes; 2],
    sender: &mpsc::Sender<BodyFrame>,
) -> Result<(), ResponseBodyError> {
    for data in beginning.into_iter().filter(|data| !data.is_empty()) {
        body.reserve_slot(sender).await?.send(BodyFrame::Data(data));
    }
    loop {
        let slot = body.reserve_slot(sender).await?;
        let Some(data) = body.next_data().await? else {
            slot.send(BodyFrame::End);
            return Ok(());
        };
        slot.send(BodyFrame::Data(data));
    }
}
