//! Parses the heads of HTTP/1.1 requests from a buffer. It is strict, so that no server behind the gateway can read
//! a head in another way.

use crate::node::wire::{
    limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES},
    request_body::Framing,
};
use bytes::BytesMut;
use hyper::{
    HeaderMap, Method, StatusCode, Uri, header,
    header::{HeaderName, HeaderValue},
};
use thiserror::Error;

/// Most headers of a request.
const MAX_HEADERS: usize = 64;

/// Why a request head was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HeadError {
    #[error("malformed head: {0}")]
    Malformed(httparse::Error),
    #[error("malformed request line")]
    MalformedRequestLine,
    #[error("malformed header")]
    MalformedHeader,
    #[error("the head is larger than {MAX_HEAD_BYTES} bytes")]
    TooLarge,
    #[error("more than {MAX_HEADERS} headers")]
    TooManyHeaders,
    #[error("the body's length is ambiguous or malformed")]
    AmbiguousLength,
    #[error("unsupported transfer encoding")]
    UnsupportedTransferEncoding,
    #[error("the body is larger than {MAX_BODY_BYTES} bytes")]
    BodyTooLarge,
}

impl HeadError {
    /// The status that tells the client.
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLarge | Self::TooManyHeaders => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Malformed(_)
            | Self::MalformedRequestLine
            | Self::MalformedHeader
            | Self::AmbiguousLength
            | Self::UnsupportedTransferEncoding => StatusCode::BAD_REQUEST,
        }
    }
}

/// A request without its body.
#[derive(Debug)]
pub struct RequestHead {
    pub method: Method,
    pub uri: Uri,
    /// All headers, duplicates included.
    pub headers: HeaderMap,
    /// How the end of the body is announced.
    pub framing: Framing,
    /// The minor version of HTTP/1.
    pub minor_version: u8,
    /// The client allows the connection to stay open after the response.
    pub allows_keep_alive: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Takes a head from the buffer; `None` until it is complete. `scanned` is how much of the buffer earlier calls for
/// this request have seen; pass 0 for a new request.
///
/// # Errors
/// The head is malformed or too large.
pub fn take_head(buffer: &mut BytesMut, scanned: &mut usize) -> Result<Option<RequestHead>, HeadError> {
    let is_first_look = *scanned == 0;
    let may_be_complete = contains_empty_line(buffer, scanned.saturating_sub(3));
    *scanned = buffer.len();
    // Parsed at its start, to reject what is not HTTP at once, and when it may be complete. A head that arrives byte
    // by byte is not parsed for each byte.
    if may_be_complete || is_first_look {
        if let Some(parsed) = parse(buffer)? {
            let _ = buffer.split_to(parsed.length);
            *scanned = 0;
            return Ok(Some(parsed.head));
        }
    }
    if buffer.len() >= MAX_HEAD_BYTES { Err(HeadError::TooLarge) } else { Ok(None) }
}

/// Whether an empty line, or the start of one at the buffer's end, follows `from`.
fn contains_empty_line(buffer: &[u8], from: usize) -> bool {
    buffer[from..].windows(2).enumerate().any(|(index, pair)| {
        let next = buffer.get(from + index + 2);
        pair == b"\n\n" || (pair == b"\n\r" && next.is_none_or(|byte| *byte == b'\n'))
    })
}

/// A head and its length in the buffer.
struct ParsedHead {
    head: RequestHead,
    length: usize,
}

/// Parses a head; `None` if it is not complete.
fn parse(buffer: &[u8]) -> Result<Option<ParsedHead>, HeadError> {
    let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut header_slots);
    let length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Complete(_)) => return Err(HeadError::TooLarge),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooManyHeaders),
        Err(error) => return Err(HeadError::Malformed(error)),
    };
    let (Some(method), Some(path), Some(minor_version)) = (request.method, request.path, request.version)
    else {
        return Err(HeadError::MalformedRequestLine);
    };
    let headers = header_map(request.headers)?;
    let allows_keep_alive = !has_connection_option(&headers, "close")
        && (minor_version == 1 || has_connection_option(&headers, "keep-alive"));
    let expect = headers.get(header::EXPECT);
    let head = RequestHead {
        method: Method::from_bytes(method.as_bytes()).map_err(|_| HeadError::MalformedRequestLine)?,
        uri: Uri::try_from(path).map_err(|_| HeadError::MalformedRequestLine)?,
        framing: framing(&headers, minor_version)?,
        minor_version,
        allows_keep_alive,
        expects_continue: expect.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue")),
        headers,
    };
    Ok(Some(ParsedHead { head, length }))
}

fn header_map(parsed: &[httparse::Header<'_>]) -> Result<HeaderMap, HeadError> {
    let mut headers = HeaderMap::with_capacity(parsed.len());
    for header in parsed {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| HeadError::MalformedHeader)?;
        let value = HeaderValue::from_bytes(header.value).map_err(|_| HeadError::MalformedHeader)?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// Whether the `Connection` headers name an option.
fn has_connection_option(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|name| name.trim().eq_ignore_ascii_case(option))
}

/// One plain length, or chunks, or no body. Two lengths, or a length with an encoding, may hide a second request
/// inside the first one's body (request smuggling).
fn framing(headers: &HeaderMap, minor_version: u8) -> Result<Framing, HeadError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (lengths.next(), encodings.next()) {
        (None, None) => Ok(Framing::Length(0)),
        (Some(length), None) if lengths.next().is_none() => content_length(length),
        (None, Some(encoding)) => {
            let is_chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
            if is_chunked && encodings.next().is_none() && minor_version == 1 {
                Ok(Framing::Chunked)
            } else {
                Err(HeadError::UnsupportedTransferEncoding)
            }
        }
        (Some(_), _) => Err(HeadError::AmbiguousLength),
    }
}

/// A length of digits only: parsing in the standard library would also accept a sign.
fn content_length(value: &HeaderValue) -> Result<Framing, HeadError> {
    let digits = value.to_str().map_err(|_| HeadError::AmbiguousLength)?;
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HeadError::AmbiguousLength);
    }
    // A number with more digits than fit is too large as well.
    let length = digits.parse().unwrap_or(usize::MAX);
    if length > MAX_BODY_BYTES { Err(HeadError::BodyTooLarge) } else { Ok(Framing::Length(length)) }
}

#[cfg(test)]
#[path = "../../../tests/unit/request_head.rs"]
mod tests;
