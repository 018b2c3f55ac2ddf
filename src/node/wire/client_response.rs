//! Responses to clients and their HTTP/1.1 format.

use crate::node::{metrics, wire::stream::BodyFrameReceiver};
use bytes::Bytes;
use hyper::StatusCode;
use std::io::Write;

/// `Retry-After` of a 503 response, which the gateway sends when it has no capacity for a request.
const OVERLOAD_RETRY_AFTER_SECONDS: f64 = 1.0;
/// Initial capacity for a rendered head, enough for a typical response.
const HEAD_CAPACITY_BYTES: usize = 128;

/// The body of a response to a client.
pub enum ResponseBody {
    Buffered(Bytes),
    /// Forwarded frame by frame as it arrives from the endpoint.
    Streamed {
        /// Length of the body in bytes; `None` if unknown.
        length: Option<u64>,
        frames: BodyFrameReceiver,
    },
}

/// A response to a client, without its `Connection` and framing headers.
pub struct ClientResponse {
    pub status: StatusCode,
    /// `Retry-After` in seconds; 0 omits the header.
    pub retry_after: f64,
    pub body: ResponseBody,
}

impl ClientResponse {
    /// Returns the outcome of the request, provided that the response is delivered completely.
    pub fn outcome(&self) -> metrics::RequestOutcome {
        match self.status {
            StatusCode::OK => metrics::RequestOutcome::Served,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                metrics::RequestOutcome::Rejected
            }
            _ => metrics::RequestOutcome::Failed,
        }
    }

    /// Creates a response with a buffered body.
    pub fn with_body(status: StatusCode, body: Bytes) -> Self {
        let is_overload = status == StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = if is_overload { OVERLOAD_RETRY_AFTER_SECONDS } else { 0.0 };
        Self { status, retry_after, body: ResponseBody::Buffered(body) }
    }

    /// Creates a response with an empty body.
    pub fn without_body(status: StatusCode) -> Self {
        Self::with_body(status, Bytes::new())
    }

    /// Returns whether a client of this minor version of HTTP/1 can find the end of the body while the connection stays
    /// open. HTTP/1.0 has no chunked encoding, so a body of unknown length ends with the connection.
    pub fn is_self_delimiting(&self, minor_version: u8) -> bool {
        minor_version > 0 || !matches!(self.body, ResponseBody::Streamed { length: None, .. })
    }

    /// Returns the bytes of the head.
    pub fn render_head(&self, keep_alive: bool, minor_version: u8) -> Bytes {
        let code = self.status.as_str();
        let reason = self.status.canonical_reason().unwrap_or_default();
        let length = match &self.body {
            ResponseBody::Buffered(body) => Some(body.len() as u64),
            ResponseBody::Streamed { length, .. } => *length,
        };
        let mut output = Vec::with_capacity(HEAD_CAPACITY_BYTES);
        // Writing to a vector does not fail.
        let _ = write!(output, "HTTP/1.1 {code} {reason}\r\n");
        if let Some(length) = length {
            let _ = write!(output, "Content-Length: {length}\r\n");
        } else if minor_version > 0 {
            output.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
        }
        if self.retry_after > 0.0 {
            let _ = write!(output, "Retry-After: {:.3}\r\n", self.retry_after);
        }
        output.extend_from_slice(if keep_alive { b"\r\n" } else { b"Connection: close\r\n\r\n" });
        output.into()
    }
}
