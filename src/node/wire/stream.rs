//! Bodies and answers on their way, piece by piece: whoever is slow holds up the other end.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    cell::{Cell, RefCell},
    fmt,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};
use tokio::sync::mpsc;

/// Bytes of a piece, at most.
pub const PIECE: usize = 16 * 1024;
/// Memory that a stream takes: a piece read, one in the channel, one being written, and the library's own.
pub const STREAM: usize = 4 * PIECE;

#[derive(Debug)]
pub enum Piece {
    Data(Bytes),
    /// All has come. A channel that closes without it was cut.
    End,
}

pub type Pieces = mpsc::Receiver<Piece>;

/// A channel for one piece at a time.
pub fn pipe() -> (mpsc::Sender<Piece>, Pieces) {
    mpsc::channel(1)
}

/// The sender of a body went before its end.
#[derive(Debug)]
pub struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body was cut")
    }
}

impl std::error::Error for Cut {}

/// A request's body.
#[derive(Debug)]
pub enum Content {
    Whole(Bytes),
    /// Too large to be held; it can be sent on once only.
    Stream {
        upload: RefCell<Option<Upload>>,
        /// Its last byte has been handed over.
        ended: Rc<Cell<bool>>,
    },
}

impl Content {
    pub fn stream(length: Option<usize>) -> (mpsc::Sender<Piece>, Self) {
        let (sender, pieces) = pipe();
        let ended = Rc::new(Cell::new(false));
        let upload = Upload { pieces, left: length.map(|l| l as u64), ended: ended.clone() };
        (sender, Self::Stream { upload: RefCell::new(Some(upload)), ended })
    }

    /// The body for one attempt; `None`: it has been sent on already.
    pub fn take(&self) -> Option<Outgoing> {
        match self {
            Self::Whole(bytes) => Some(Outgoing::Whole(Some(bytes.clone()).filter(|b| !b.is_empty()))),
            Self::Stream { upload, .. } => upload.take().map(Outgoing::Stream),
        }
    }

    /// It is there for an attempt.
    pub fn unsent(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Stream { upload, .. } => upload.borrow().is_some(),
        }
    }
}

#[derive(Debug)]
pub struct Upload {
    pieces: Pieces,
    /// Bytes to come, where that is known.
    left: Option<u64>,
    ended: Rc<Cell<bool>>,
}

/// A body as the library sends it.
#[derive(Debug)]
pub enum Outgoing {
    /// `None`: there is none, or it has gone.
    Whole(Option<Bytes>),
    Stream(Upload),
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let upload = match &mut *self {
            Self::Whole(bytes) => return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(upload) => upload,
        };
        if upload.ended.get() {
            return Poll::Ready(None);
        }
        Poll::Ready(match ready!(upload.pieces.poll_recv(cx)) {
            Some(Piece::Data(bytes)) => {
                upload.left = upload.left.map(|left| left.saturating_sub(bytes.len() as u64));
                upload.ended.set(upload.left == Some(0));
                Some(Ok(Frame::data(bytes)))
            }
            Some(Piece::End) if upload.left.is_none_or(|left| left == 0) => {
                upload.ended.set(true);
                None
            }
            Some(Piece::End) | None => Some(Err(Cut)),
        })
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Stream(upload) => upload.ended.get(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream(upload) => upload.left.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
