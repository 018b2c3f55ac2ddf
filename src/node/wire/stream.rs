//! Streamed request and response bodies, passed on in pieces with backpressure: a slow reader holds up the writer.

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

/// Largest piece that is read at once.
pub const MAX_PIECE_BYTES: usize = 16 * 1024;
/// Memory that a stream takes: a piece just read, one in the channel, one being written, and hyper's own buffer.
pub const STREAM_MEMORY_BYTES: usize = 4 * MAX_PIECE_BYTES;

/// A message on the channel of a streamed body.
#[derive(Debug)]
pub enum Piece {
    Data(Bytes),
    /// The body is complete. A channel that closes without it was truncated.
    End,
}

/// The receiving end of a streamed body.
pub type PieceReceiver = mpsc::Receiver<Piece>;

/// A channel that holds one piece.
pub fn channel() -> (mpsc::Sender<Piece>, PieceReceiver) {
    mpsc::channel(1)
}

/// The sender of a body was dropped before the body's end.
#[derive(Debug, Error)]
#[error("the body was truncated")]
pub struct TruncatedBody;

/// A request's body.
#[derive(Debug)]
pub enum RequestBody {
    Buffered(Bytes),
    /// Too large to be buffered. It can be sent only once: the upload is `None` after an attempt has taken it.
    Streamed(RefCell<Option<Upload>>),
}

impl RequestBody {
    /// A streamed body and the sender of its pieces; `length` is in bytes, if it is known.
    pub fn streamed(length: Option<usize>) -> (mpsc::Sender<Piece>, Self) {
        let (sender, pieces) = channel();
        let remaining = length.map(|length| length as u64);
        let upload = Upload { pieces, remaining, is_finished: Rc::default() };
        (sender, Self::Streamed(RefCell::new(Some(upload))))
    }

    /// The body for one attempt; `None` if it is streamed and an earlier attempt has taken it.
    pub fn take(&self) -> Option<OutgoingBody> {
        match self {
            Self::Buffered(bytes) => {
                Some(OutgoingBody::Buffered(Some(bytes.clone()).filter(|b| !b.is_empty())))
            }
            Self::Streamed(upload) => upload.take().map(OutgoingBody::Streamed),
        }
    }

    /// Whether an attempt can still send it.
    pub fn is_available(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(upload) => upload.borrow().is_some(),
        }
    }
}

/// A streamed body as one attempt sends it.
#[derive(Debug)]
pub struct Upload {
    pieces: PieceReceiver,
    /// Bytes to come, if the length is known.
    remaining: Option<u64>,
    is_finished: Rc<Cell<bool>>,
}

/// A request body in the form that hyper sends.
#[derive(Debug)]
pub enum OutgoingBody {
    /// `None` if it is empty or was sent.
    Buffered(Option<Bytes>),
    Streamed(Upload),
}

impl OutgoingBody {
    /// Set once the last byte of a streamed body was handed over; `None` for a buffered one.
    pub fn finished_flag(&self) -> Option<Rc<Cell<bool>>> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed(upload) => Some(upload.is_finished.clone()),
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
        let upload = match &mut *self {
            Self::Buffered(bytes) => return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Streamed(upload) => upload,
        };
        if upload.is_finished.get() {
            return Poll::Ready(None);
        }
        Poll::Ready(match ready!(upload.pieces.poll_recv(cx)) {
            Some(Piece::Data(bytes)) => {
                upload.remaining =
                    upload.remaining.map(|remaining| remaining.saturating_sub(bytes.len() as u64));
                upload.is_finished.set(upload.remaining == Some(0));
                Some(Ok(Frame::data(bytes)))
            }
            Some(Piece::End) if upload.remaining.is_none_or(|remaining| remaining == 0) => {
                upload.is_finished.set(true);
                None
            }
            Some(Piece::End) | None => Some(Err(TruncatedBody)),
        })
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Streamed(upload) => upload.is_finished.get(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Streamed(upload) => upload.remaining.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
