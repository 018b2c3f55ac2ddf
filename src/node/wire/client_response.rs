//! Responses to clients, and how they are written.

use crate::node::{metrics, wire::stream::PieceReceiver};
use bytes::Bytes;
use hyper::StatusCode;
use std::io::Write;

/// Retry-After of a response for which the gateway had no capacity.
const OVERLOAD_RETRY_AFTER_SECONDS: f64 = 1.0;
/// Room for the head of a typical response.
const TYPICAL_HEAD_BYTES: usize = 128;

/// A response's body.
pub enum ResponseBody {
    Buffered(Bytes),
    /// Streamed as it arrives from the endpoint.
    Streamed {
        /// In bytes, if it is known.
        length: Option<u64>,
        pieces: PieceReceiver,
    },
}

/// A response to a client.
pub struct ClientResponse {
    pub status: StatusCode,
    /// Retry-After in seconds; 0 leaves the header out.
    pub retry_after: f64,
    pub body: ResponseBody,
}

impl ClientResponse {
    /// How the request ended for the client, provided that the response is delivered completely.
    pub fn outcome(&self) -> metrics::RequestOutcome {
        match self.status {
            StatusCode::OK => metrics::RequestOutcome::Served,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                metrics::RequestOutcome::Rejected
            }
            _ => metrics::RequestOutcome::Failed,
        }
    }

    /// A response with a buffered body.
    pub fn with_body(status: StatusCode, body: Bytes) -> Self {
        let is_overload = status == StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = if is_overload { OVERLOAD_RETRY_AFTER_SECONDS } else { 0.0 };
        Self { status, retry_after, body: ResponseBody::Buffered(body) }
    }

    /// A response without a body.
    pub fn without_body(status: StatusCode) -> Self {
        Self::with_body(status, Bytes::new())
    }

    /// Whether a client of this minor version of HTTP/1 can tell the end of the body without a close. HTTP/1.0 has no
    /// chunked encoding.
    pub fn is_self_delimiting(&self, minor_version: u8) -> bool {
        minor_version > 0 || !matches!(self.body, ResponseBody::Streamed { length: None, .. })
    }

    /// The bytes of the head, with the body behind it unless that is streamed.
    pub fn render(&self, keep_alive: bool, minor_version: u8) -> Vec<u8> {
        let code = self.status.as_str();
        let reason = self.status.canonical_reason().unwrap_or_default();
        let (length, body) = match &self.body {
            ResponseBody::Buffered(body) => (Some(body.len() as u64), &body[..]),
            ResponseBody::Streamed { length, .. } => (*length, &[][..]),
        };
        let mut text = Vec::with_capacity(TYPICAL_HEAD_BYTES + body.len());
        // Writing to memory does not fail.
        let _ = write!(text, "HTTP/1.1 {code} {reason}\r\n");
        if let Some(length) = length {
            let _ = write!(text, "Content-Length: {length}\r\n");
        } else if minor_version > 0 {
            text.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
        }
        if self.retry_after > 0.0 {
            let _ = write!(text, "Retry-After: {:.3}\r\n", self.retry_after);
        }
        text.extend_from_slice(if keep_alive { b"\r\n" } else { b"Connection: close\r\n\r\n" });
        text.extend_from_slice(body);
        text
    }
}
