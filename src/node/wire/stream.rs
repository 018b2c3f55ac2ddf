//! Streamed request and response bodies. The frames of a body pass through a bounded channel with backpressure: a slow
//! reader holds up the writer.

use crate::node::wire::{body_arrival::BodyArrival, limits::MAX_BUFFERED_BODY_BYTES};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    cell::{Cell, RefCell},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};
use thiserror::Error;
use tokio::sync::mpsc;

/// Maximum length of a data frame of a request body, and of one read from a client's socket.
pub const MAX_FRAME_BYTES: usize = 16 * 1024;
/// Memory of a streamed request body: a frame just read, one in the channel, and two frames that hyper writes.
pub const REQUEST_STREAM_MEMORY_BYTES: usize = 4 * MAX_FRAME_BYTES;
/// Smallest and largest limit on a data frame of a response body, which is read from an endpoint's socket at once. These
/// are the initial and the largest size of hyper's read buffer.
pub const MIN_RESPONSE_FRAME_BYTES: usize = 8 * 1024;
pub const MAX_RESPONSE_FRAME_BYTES: usize = 16 * 1024;
/// Frames of a streamed response body that are in memory: one that hyper has just read, one in the channel, and one
/// being written.
pub const RESPONSE_STREAM_FRAMES: usize = 3;

/// A frame of a streamed body, or the end of the body.
#[derive(Debug)]
pub enum BodyFrame {
    Data(Bytes),
    /// The body is complete. If the channel closes without an `End`, the body was truncated.
    End,
}

impl BodyFrame {
    /// Returns the number of bytes of the body in the frame.
    pub fn data_length(&self) -> usize {
        match self {
            Self::Data(data) => data.len(),
            Self::End => 0,
        }
    }
}

/// Receiving end of a streamed body.
pub type BodyFrameReceiver = mpsc::Receiver<BodyFrame>;

/// Creates the channel of a streamed body, which holds one frame.
pub fn channel() -> (mpsc::Sender<BodyFrame>, BodyFrameReceiver) {
    mpsc::channel(1)
}

/// Error of a streamed request body whose sender was dropped before the end of the body.
#[derive(Debug, Error)]
#[error("the request body was truncated")]
pub struct TruncatedBody;

/// The body of a client's request.
#[derive(Debug)]
pub enum RequestBody {
    Buffered(Bytes),
    /// A body too large to be buffered, which can be sent only once.
    Streamed {
        /// `None` after an attempt has taken it.
        body: RefCell<Option<StreamedBody>>,
        /// Arrival of the body from the client.
        arrival: Rc<BodyArrival>,
    },
}

impl RequestBody {
    /// Creates a streamed body and the sender of its frames. `length` is in bytes, `None` if unknown.
    pub fn streamed(length: Option<usize>, arrival: Rc<BodyArrival>) -> (mpsc::Sender<BodyFrame>, Self) {
        let (sender, frames) = channel();
        let remaining = length.map(|length| length as u64);
        let body = StreamedBody { frames, remaining, is_finished: Rc::default() };
        (sender, Self::Streamed { body: RefCell::new(Some(body)), arrival })
    }

    /// Returns the body for one attempt; `None` if the body is streamed and an earlier attempt has taken it.
    pub fn take(&self) -> Option<OutgoingBody> {
        match self {
            Self::Buffered(bytes) => {
                Some(OutgoingBody::Buffered(Some(bytes.clone()).filter(|b| !b.is_empty())))
            }
            Self::Streamed { body, arrival } => {
                arrival.mark_taken();
                body.take().map(OutgoingBody::Streamed)
            }
        }
    }

    /// Returns whether another attempt can send the body.
    pub fn is_available(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed { body, .. } => body.borrow().is_some(),
        }
    }

    /// Returns whether the body is so long that it may take the endpoint some time to read it.
    pub fn is_large(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.len() > MAX_BUFFERED_BODY_BYTES,
            Self::Streamed { .. } => true,
        }
    }

    /// Returns the arrival of a streamed body; `None` for a buffered body, which has arrived.
    pub fn arrival(&self) -> Option<&BodyArrival> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed { arrival, .. } => Some(arrival),
        }
    }
}

/// A streamed request body on its way to the endpoint of one attempt.
#[derive(Debug)]
pub struct StreamedBody {
    frames: BodyFrameReceiver,
    /// Number of bytes still to come; `None` if the length is unknown.
    remaining: Option<u64>,
    /// Set once the last byte was handed to hyper.
    is_finished: Rc<Cell<bool>>,
}

/// A request body that hyper sends to an endpoint.
#[derive(Debug)]
pub enum OutgoingBody {
    /// `None` if the body is empty or was handed to hyper.
    Buffered(Option<Bytes>),
    Streamed(StreamedBody),
}

impl OutgoingBody {
    /// Returns the flag that is set once the last byte of a streamed body was handed to hyper; `None` for a buffered
    /// body.
    pub fn finished_flag(&self) -> Option<Rc<Cell<bool>>> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed(body) => Some(body.is_finished.clone()),
        }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        let body = match &mut *self {
            Self::Buffered(bytes) => return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Streamed(body) => body,
        };
        if body.is_finished.get() {
            return Poll::Ready(None);
        }
        Poll::Ready(match ready!(body.frames.poll_recv(cx)) {
            Some(BodyFrame::Data(bytes)) => {
                body.remaining = body.remaining.map(|remaining| remaining.saturating_sub(bytes.len() as u64));
                body.is_finished.set(body.remaining == Some(0));
                Some(Ok(Frame::data(bytes)))
            }
            Some(BodyFrame::End) if body.remaining.is_none_or(|remaining| remaining == 0) => {
                body.is_finished.set(true);
                None
            }
            Some(BodyFrame::End) | None => Some(Err(TruncatedBody)),
        })
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Streamed(body) => body.is_finished.get(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Streamed(body) => body.remaining.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
