//! Parses the heads of HTTP/1.1 requests from a buffer. The parser is strict, so that no server behind the gateway can
//! interpret a head differently.

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

/// Highest number of headers in a request.
const MAX_HEADERS: usize = 64;

/// Reason to reject a request head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HeadError {
    #[error("malformed request head: {0}")]
    Malformed(httparse::Error),
    #[error("malformed method or target in the request line")]
    MalformedRequestLine,
    #[error("malformed header name or value")]
    MalformedHeader,
    #[error("the request head is larger than {MAX_HEAD_BYTES} bytes")]
    TooLarge,
    #[error("the request has more than {MAX_HEADERS} headers")]
    TooManyHeaders,
    #[error("Content-Length is malformed, duplicated or combined with Transfer-Encoding")]
    AmbiguousLength,
    #[error("unsupported transfer encoding: only `chunked` in HTTP/1.1 is accepted")]
    UnsupportedTransferEncoding,
    #[error("the request body is larger than {MAX_BODY_BYTES} bytes")]
    BodyTooLarge,
}

impl HeadError {
    /// Returns the status of the error response.
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

/// A request without the body.
#[derive(Debug)]
pub struct RequestHead {
    pub method: Method,
    pub uri: Uri,
    /// All headers, including duplicates.
    pub headers: HeaderMap,
    /// The part of the head that is needed to the end of the exchange.
    pub options: ExchangeOptions,
}

/// What an exchange needs of the request's head after the request was parsed.
#[derive(Debug, Clone, Copy)]
pub struct ExchangeOptions {
    /// Framing of the request's body.
    pub framing: Framing,
    /// Minor version of HTTP/1.
    pub minor_version: u8,
    /// True if the client allows the connection to stay open after the response.
    pub allows_keep_alive: bool,
    /// True if the client may wait for `100 Continue` before it sends the body. HTTP/1.0 has no interim responses.
    pub expects_continue: bool,
}

/// Removes a complete head from the buffer and returns it; returns `None` while it is incomplete. `scanned_bytes` keeps
/// the number of bytes that earlier calls for the same request have searched; the caller starts a request with 0.
///
/// # Errors
/// Returns an error if the head is malformed or too large.
pub fn take_head(buffer: &mut BytesMut, scanned_bytes: &mut usize) -> Result<Option<RequestHead>, HeadError> {
    let is_first_scan = *scanned_bytes == 0;
    let may_be_complete = may_contain_head_end(buffer, scanned_bytes.saturating_sub(3));
    *scanned_bytes = buffer.len();
    // The first bytes are parsed to reject at once what is not HTTP. After that the head is parsed only when it may be
    // complete, not for each byte of a head that arrives byte by byte.
    if may_be_complete || is_first_scan {
        if let Some(parsed) = parse(buffer)? {
            let _ = buffer.split_to(parsed.length);
            *scanned_bytes = 0;
            return Ok(Some(parsed.head));
        }
    }
    if buffer.len() >= MAX_HEAD_BYTES { Err(HeadError::TooLarge) } else { Ok(None) }
}

/// Returns whether the buffer may contain the end of a head at or after `from`: an empty line, or the start of one at
/// the end of the buffer.
fn may_contain_head_end(buffer: &[u8], from: usize) -> bool {
    buffer[from..].windows(2).enumerate().any(|(index, pair)| {
        let next = buffer.get(from + index + 2);
        pair == b"\n\n" || (pair == b"\n\r" && next.is_none_or(|byte| *byte == b'\n'))
    })
}

/// A head and the number of bytes that it takes in the buffer.
struct ParsedHead {
    head: RequestHead,
    length: usize,
}

/// Parses the head at the start of the buffer; returns `None` if it is incomplete.
fn parse(buffer: &[u8]) -> Result<Option<ParsedHead>, HeadError> {
    let mut header_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut header_buffer);
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
    let headers = to_header_map(request.headers)?;
    let allows_keep_alive = !has_connection_option(&headers, "close")
        && (minor_version == 1 || has_connection_option(&headers, "keep-alive"));
    let options = ExchangeOptions {
        framing: parse_framing(&headers, minor_version)?,
        minor_version,
        allows_keep_alive,
        expects_continue: minor_version > 0 && has_continue_expectation(&headers),
    };
    let head = RequestHead {
        method: Method::from_bytes(method.as_bytes()).map_err(|_| HeadError::MalformedRequestLine)?,
        uri: Uri::try_from(path).map_err(|_| HeadError::MalformedRequestLine)?,
        headers,
        options,
    };
    Ok(Some(ParsedHead { head, length }))
}

fn to_header_map(parsed: &[httparse::Header<'_>]) -> Result<HeaderMap, HeadError> {
    let mut headers = HeaderMap::with_capacity(parsed.len());
    for header in parsed {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| HeadError::MalformedHeader)?;
        let value = HeaderValue::from_bytes(header.value).map_err(|_| HeadError::MalformedHeader)?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// Returns whether a `Connection` header names the option.
fn has_connection_option(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|name| name.trim().eq_ignore_ascii_case(option))
}

fn has_continue_expectation(headers: &HeaderMap) -> bool {
    let expect = headers.get(header::EXPECT);
    expect.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Determines the framing of the body: one plain length, chunks, or no body. Rejects two lengths, and a length with an
/// encoding, because they may hide a second request inside the body of the first (request smuggling).
fn parse_framing(headers: &HeaderMap, minor_version: u8) -> Result<Framing, HeadError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (lengths.next(), encodings.next()) {
        (None, None) => Ok(Framing::Length(0)),
        (Some(length), None) if lengths.next().is_none() => parse_content_length(length),
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

/// Parses a length that consists of digits only; the standard library's parser would also accept a sign.
fn parse_content_length(value: &HeaderValue) -> Result<Framing, HeadError> {
    let digits = value.to_str().map_err(|_| HeadError::AmbiguousLength)?;
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HeadError::AmbiguousLength);
    }
    // A number that overflows `usize` exceeds the limit as well.
    let length = digits.parse().unwrap_or(usize::MAX);
    if length > MAX_BODY_BYTES { Err(HeadError::BodyTooLarge) } else { Ok(Framing::Length(length)) }
}

#[cfg(test)]
#[path = "../../../tests/unit/request_head.rs"]
mod tests;
