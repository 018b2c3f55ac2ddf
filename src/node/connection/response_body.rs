//! Reads the bodies of endpoints' responses: small ones into a buffer, large or slow ones as a stream.

use crate::node::wire::stream::Piece;
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

/// Longest time without a byte of a buffered body. One that stalls is given up: the request's time is better spent on
/// another attempt.
const BUFFER_STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time without a byte of a streamed body. It is longer because no other attempt can replace it.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a response body was not read to its end.
#[derive(Debug, Error)]
pub enum ResponseBodyError {
    #[error("only the connection's close marks the body's end, and the head does not announce it")]
    UnmarkedEnd,
    #[error("no byte of the body for {0:?}")]
    Stalled(Duration),
    #[error("the body broke: {0}")]
    Broken(#[from] hyper::Error),
    #[error("the body does not fit into the buffer, and nobody takes a stream of it")]
    NotStreamed,
    #[error("the receiver of the stream is gone")]
    ReceiverGone,
}

/// What of a response body is buffered; anything beyond is streamed.
#[derive(Debug, Clone, Copy)]
pub struct BufferLimits {
    pub max_bytes: usize,
    /// Longest time for a body of unknown length. Within it the body may turn out to be small, and a break can be
    /// repaired by another attempt.
    pub max_time: Duration,
}

impl BufferLimits {
    /// Whether a body of this length may be buffered; of an unknown one that is not known yet.
    fn allow(&self, length: Option<u64>) -> bool {
        length.is_none_or(|length| length <= self.max_bytes as u64)
    }
}

/// Opens the stream for a body that exceeds the limits, given the response's head and the body's length if that is
/// known. `None` if nobody takes it.
pub type OpenStream<'a> = dyn Fn(&Parts, Option<u64>) -> Option<mpsc::Sender<Piece>> + 'a;

/// Reads a body to its end: buffered, or empty if it was streamed.
///
/// # Errors
/// The body broke or stalled, or nobody wants it.
pub async fn read_body(
    parts: &Parts,
    mut body: Incoming,
    limits: BufferLimits,
    open_stream: &OpenStream<'_>,
) -> Result<Bytes, ResponseBodyError> {
    let length = body.size_hint().exact();
    if length.is_none() && !is_end_marked(parts) {
        return Err(ResponseBodyError::UnmarkedEnd);
    }
    let buffered = match buffer_body(&mut body, length, limits).await? {
        Buffered::Complete(bytes) => return Ok(bytes),
        Buffered::Partial(bytes) => bytes,
    };
    let sender = open_stream(parts, length).ok_or(ResponseBodyError::NotStreamed)?;
    stream_body(&mut body, buffered, &sender).await?;
    Ok(Bytes::new())
}

/// Whether a body without a length shows its end. A close that the head does not announce may as well be a break.
fn is_end_marked(parts: &Parts) -> bool {
    let connection = parts.headers.get(CONNECTION);
    parts.headers.contains_key(TRANSFER_ENCODING)
        || parts.version == Version::HTTP_10
        || connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// A body as far as it was buffered.
enum Buffered {
    Complete(Bytes),
    /// It exceeds the limits.
    Partial(Bytes),
}

async fn buffer_body(
    body: &mut Incoming,
    length: Option<u64>,
    limits: BufferLimits,
) -> Result<Buffered, ResponseBodyError> {
    let capacity = length.filter(|_| limits.allow(length)).unwrap_or(0);
    let mut bytes = BytesMut::with_capacity(capacity as usize);
    let time_limit = sleep(limits.max_time);
    tokio::pin!(time_limit);
    while limits.allow(length) && bytes.len() <= limits.max_bytes {
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

/// Sends what is buffered and the rest of the body, then the end mark.
async fn stream_body(
    body: &mut Incoming,
    buffered: Bytes,
    sender: &mpsc::Sender<Piece>,
) -> Result<(), ResponseBodyError> {
    if !buffered.is_empty() {
        send(sender, Piece::Data(buffered)).await?;
    }
    loop {
        let frame = timeout(STREAM_STALL_TIMEOUT, body.frame()).await;
        let Some(frame) = frame.map_err(|_| ResponseBodyError::Stalled(STREAM_STALL_TIMEOUT))? else {
            return send(sender, Piece::End).await;
        };
        if let Ok(data) = frame?.into_data() {
            send(sender, Piece::Data(data)).await?;
        }
    }
}

async fn send(sender: &mpsc::Sender<Piece>, piece: Piece) -> Result<(), ResponseBodyError> {
    sender.send(piece).await.map_err(|_| ResponseBodyError::ReceiverGone)
}
