//! Reads the bodies of endpoints' answers: small ones whole, large ones in pieces.

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
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};

/// Longest time without a byte of an answer that is gathered: one that stops half way is spoilt, and the request's
/// time is better spent elsewhere.
const STALL: Duration = Duration::from_millis(400);
/// Longest time without a byte of an answer that has begun to pass on: nothing better can be done with it.
const BEGUN_STALL: Duration = Duration::from_secs(5);

/// What of an answer is gathered whole.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Most bytes.
    pub most: usize,
    /// Longest time for one whose length is not told: until then it may turn out to be small, and a break can be made
    /// good elsewhere.
    pub patience: Duration,
}

/// Takes a large answer, of this length if that is known: its pieces go to what is returned, or nowhere.
pub type Begin<'a> = dyn Fn(&Parts, Option<u64>) -> Option<mpsc::Sender<Piece>> + 'a;

/// Reads an answer's body to its end; `None`: it is spoilt, too long, or nobody wants it any more.
pub async fn gather(parts: &Parts, mut body: Incoming, bounds: Bounds, begin: &Begin<'_>) -> Option<Bytes> {
    let Bounds { most, patience } = bounds;
    let length = body.size_hint().exact();
    // One whose end only a close tells might be cut off unseen, unless its head announces that close.
    let closes = parts.version == Version::HTTP_10
        || parts.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    if length.is_none() && !parts.headers.contains_key(TRANSFER_ENCODING) && !closes {
        return None;
    }
    let told = length.filter(|length| *length <= most as u64);
    let mut whole = BytesMut::with_capacity(told.unwrap_or(0) as usize);
    let patience = sleep(patience);
    tokio::pin!(patience);
    while length.is_none_or(|l| l <= most as u64) && whole.len() <= most {
        let frame = tokio::select! {
            biased;
            frame = timeout(STALL, body.frame()) => frame.ok()?,
            () = patience.as_mut(), if length.is_none() => break,
        };
        match frame {
            None => return Some(whole.freeze()),
            // Trailers are read over.
            Some(frame) => whole.extend_from_slice(&frame.ok()?.into_data().unwrap_or_default()),
        }
    }
    let pieces = begin(parts, length)?;
    if !whole.is_empty() {
        pieces.send(Piece::Data(whole.freeze())).await.ok()?;
    }
    while let Some(frame) = timeout(BEGUN_STALL, body.frame()).await.ok()? {
        if let Ok(bytes) = frame.ok()?.into_data() {
            pieces.send(Piece::Data(bytes)).await.ok()?;
        }
    }
    pieces.send(Piece::End).await.ok()?;
    Some(Bytes::new())
}
