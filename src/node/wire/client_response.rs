//! Answers to clients as they go out.

use crate::node::{metrics, wire::stream::Pieces};
use bytes::Bytes;
use hyper::StatusCode;
use std::io::Write;

/// Seconds to stay away, said where no room was left.
const NO_ROOM_ADVICE: f64 = 1.0;

/// An answer's body.
pub enum ResponseBody {
    /// All of it.
    Whole(Bytes),
    /// Of this length, if it is known.
    Pieces {
        /// In bytes.
        length: Option<u64>,
        /// In order.
        pieces: Pieces,
    },
}

/// An answer to a request.
pub struct ClientResponse {
    /// Its status.
    pub status: StatusCode,
    /// Seconds to stay away; 0: no advice.
    pub retry_after: f64,
    /// Its body.
    pub body: ResponseBody,
}

impl ClientResponse {
    /// How the request ended for the client, if it gets all of this.
    pub fn outcome(&self) -> metrics::Outcome {
        match self.status {
            StatusCode::OK => metrics::Outcome::Served,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => metrics::Outcome::Refused,
            _ => metrics::Outcome::Failed,
        }
    }

    /// One with a whole body.
    pub fn whole(status: StatusCode, body: Bytes) -> Self {
        let retry_after = if status == StatusCode::SERVICE_UNAVAILABLE { NO_ROOM_ADVICE } else { 0.0 };
        Self { status, retry_after, body: ResponseBody::Whole(body) }
    }

    /// One without a body.
    pub fn plain(status: StatusCode) -> Self {
        Self::whole(status, Bytes::new())
    }
}

/// The answer as it goes out, in one piece; its head only, where the body comes in pieces.
pub fn render(response: &ClientResponse, keep: bool, minor: u8) -> Vec<u8> {
    let (code, reason) = (response.status.as_str(), response.status.canonical_reason().unwrap_or_default());
    let (length, body) = match &response.body {
        ResponseBody::Whole(body) => (Some(body.len() as u64), &body[..]),
        ResponseBody::Pieces { length, .. } => (*length, &[][..]),
    };
    let mut text = Vec::with_capacity(128 + body.len());
    // Writing to memory does not fail.
    let _ = write!(text, "HTTP/1.1 {code} {reason}\r\n");
    if let Some(length) = length {
        let _ = write!(text, "Content-Length: {length}\r\n");
    } else if minor > 0 {
        text.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
    }
    if response.retry_after > 0.0 {
        let _ = write!(text, "Retry-After: {:.3}\r\n", response.retry_after);
    }
    text.extend_from_slice(if keep { b"\r\n" } else { b"Connection: close\r\n\r\n" });
    text.extend_from_slice(body);
    text
}
