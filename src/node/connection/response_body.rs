//! Reads response bodies: short ones into a buffer, long or slow ones as a stream.

use crate::node::wire::stream::BodyFrame;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    Version,
    body::{Body, Incoming},
    header::{CONNECTION, TRANSFER_ENCODING},
    http::response::Parts,
};
use std::time::Duration;
use thiserror::Error;
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};

/// Longest wait for the next data of a buffered body. A body that stalls for longer is abandoned, because another
/// attempt makes better use of the request's remaining time.
const BUFFER_STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for the next data of a streamed body. Longer than for a buffered body, because no other attempt can
/// replace a stream that has begun.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Failure to read a response body to its end.
#[derive(Debug, Error)]
pub enum ResponseBodyError {
    #[error(
        "the body has neither a length nor chunks, and the head does not announce that the connection closes"
    )]
    UnannouncedClose,
    #[error("no data of the body arrived for {0:?}")]
    Stalled(Duration),
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

/// Opens the stream for a body that exceeds the limits, given the response's head and the body's length if it is
/// known. Returns `None` if the body is not wanted.
pub type OpenStream<'a> = dyn Fn(&Parts, Option<u64>) -> Option<mpsc::Sender<BodyFrame>> + 'a;

/// Reads a body to its end. Returns the buffered body, or an empty one if it was streamed.
///
/// # Errors
/// The body was cut off or stalled, or no stream was opened for it, or the stream's receiver was dropped.
pub async fn read_body(
    parts: &Parts,
    mut body: Incoming,
    limits: BufferLimits,
    open_stream: &OpenStream<'_>,
) -> Result<Bytes, ResponseBodyError> {
    let length = body.size_hint().exact();
    if length.is_none() && !is_end_detectable(parts) {
        return Err(ResponseBodyError::UnannouncedClose);
    }
    let buffered = match buffer_body(&mut body, length, limits).await? {
        Buffered::Complete(bytes) => return Ok(bytes),
        Buffered::Partial(bytes) => bytes,
    };
    let sender = open_stream(parts, length).ok_or(ResponseBodyError::NotStreamed)?;
    stream_body(&mut body, buffered, &sender).await?;
    Ok(Bytes::new())
}

/// Returns whether the end of a body without a length can be told from a failure. A close of the connection marks the
/// end only in HTTP/1.0 or if the head announces it.
fn is_end_detectable(parts: &Parts) -> bool {
    let connection = parts.headers.get(CONNECTION);
    parts.headers.contains_key(TRANSFER_ENCODING)
        || parts.version == Version::HTTP_10
        || connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Buffered part of a body.
enum Buffered {
    Complete(Bytes),
    /// The body exceeds the limits; the rest is still to be read.
    Partial(Bytes),
}

async fn buffer_body(
    body: &mut Incoming,
    length: Option<u64>,
    limits: BufferLimits,
) -> Result<Buffered, ResponseBodyError> {
    let capacity = length.filter(|_| limits.can_buffer(length)).unwrap_or(0);
    let mut bytes = BytesMut::with_capacity(capacity as usize);
    let time_limit = sleep(limits.max_time);
    tokio::pin!(time_limit);
    while limits.can_buffer(length) && bytes.len() <= limits.max_bytes {
        let frame = tokio::select! {
            biased;
            frame = timeout(BUFFER_STALL_TIMEOUT, body.frame()) => {
                frame.map_err(|_| ResponseBodyError::Stalled(BUFFER_STALL_TIMEOUT))?
            }
            () = time_limit.as_mut(), if length.is_none() => break,
        };
        match frame {
            None => return Ok(Buffered::Complete(bytes.freeze())),
            // A frame without data holds trailers, which are ignored.
            Some(frame) => bytes.extend_from_slice(&frame?.into_data().unwrap_or_default()),
        }
    }
    Ok(Buffered::Partial(bytes.freeze()))
}

/// Sends the buffered part and the rest of the body to the stream, then marks the stream's end.
async fn stream_body(
    body: &mut Incoming,
    buffered: Bytes,
    sender: &mpsc::Sender<BodyFrame>,
) -> Result<(), ResponseBodyError> {
    if !buffered.is_empty() {
        send(sender, BodyFrame::Data(buffered)).await?;
    }
    loop {
        let frame = timeout(STREAM_STALL_TIMEOUT, body.frame()).await;
        let Some(frame) = frame.map_err(|_| ResponseBodyError::Stalled(STREAM_STALL_TIMEOUT))? else {
            return send(sender, BodyFrame::End).await;
        };
        if let Ok(data) = frame?.into_data() {
            send(sender, BodyFrame::Data(data)).await?;
        }
    }
}

async fn send(sender: &mpsc::Sender<BodyFrame>, frame: BodyFrame) -> Result<(), ResponseBodyError> {
    sender.send(frame).await.map_err(|_| ResponseBodyError::ReceiverGone)
}
