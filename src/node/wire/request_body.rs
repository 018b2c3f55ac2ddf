//! Decodes the bodies of HTTP/1.1 requests from a buffer, framed by `Content-Length` or chunked.

use crate::node::wire::limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use bytes::BytesMut;
use hyper::StatusCode;
use thiserror::Error;

/// Longest line that gives a chunk's size, and longest line of a trailer.
const MAX_CHUNK_LINE_BYTES: usize = 4096;

/// Why a request body was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyError {
    #[error("malformed chunk size")]
    MalformedChunkSize,
    #[error("a chunk size line is longer than {MAX_CHUNK_LINE_BYTES} bytes")]
    ChunkSizeLineTooLong,
    #[error("no line end after a chunk's data")]
    MissingChunkEnd,
    #[error("the body is larger than {MAX_BODY_BYTES} bytes")]
    TooLarge,
    #[error("a trailer line is longer than {MAX_CHUNK_LINE_BYTES} bytes")]
    TrailerLineTooLong,
    #[error("the trailers are larger than {MAX_HEAD_BYTES} bytes")]
    TrailersTooLarge,
}

impl BodyError {
    /// The status that tells the client.
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TrailersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::MalformedChunkSize
            | Self::ChunkSizeLineTooLong
            | Self::MissingChunkEnd
            | Self::TrailerLineTooLong => StatusCode::BAD_REQUEST,
        }
    }
}

/// How a request head announces the end of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes; 0 without a body.
    Length(usize),
    Chunked,
}

impl Framing {
    /// The body's length in bytes, if the head tells it.
    pub fn length(self) -> Option<usize> {
        match self {
            Self::Length(length) => Some(length),
            Self::Chunked => None,
        }
    }
}

/// Decodes one request body as its bytes arrive.
#[derive(Debug)]
pub enum BodyDecoder {
    Length { remaining: usize },
    Chunked(ChunkedDecoder),
}

impl BodyDecoder {
    /// A decoder for the body that follows a head with this framing.
    pub fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(length) => Self::Length { remaining: length },
            Framing::Chunked => {
                Self::Chunked(ChunkedDecoder { position: ChunkPosition::Size, allowance: MAX_BODY_BYTES })
            }
        }
    }

    /// Moves decoded bytes from `buffer` to `output` until `output` holds `max_output` bytes or the buffer has no more.
    /// Returns true once the body is complete.
    ///
    /// # Errors
    /// The body is malformed or too large.
    pub fn decode(
        &mut self,
        buffer: &mut BytesMut,
        output: &mut BytesMut,
        max_output: usize,
    ) -> Result<bool, BodyError> {
        match self {
            Self::Length { remaining } => {
                let part = split_data(buffer, *remaining, max_output.saturating_sub(output.len()));
                *remaining -= part.len();
                output.unsplit(part);
                Ok(*remaining == 0)
            }
            Self::Chunked(decoder) => decoder.decode(buffer, output, max_output),
        }
    }
}

/// Takes up to `remaining` bytes of data that fit into `free` bytes of output.
fn split_data(buffer: &mut BytesMut, remaining: usize, free: usize) -> BytesMut {
    buffer.split_to(buffer.len().min(remaining).min(free))
}

/// Decodes a chunked body.
#[derive(Debug)]
pub struct ChunkedDecoder {
    position: ChunkPosition,
    /// Bytes that further chunks may add.
    allowance: usize,
}

/// The part of a chunked body that comes next.
#[derive(Debug)]
enum ChunkPosition {
    /// The line with a chunk's size.
    Size,
    Data {
        remaining: usize,
    },
    /// The line end after a chunk's data.
    DataEnd,
    /// The trailer lines after the last chunk.
    Trailers {
        /// Bytes of the trailer lines so far.
        length: usize,
    },
}

impl ChunkedDecoder {
    fn decode(
        &mut self,
        buffer: &mut BytesMut,
        output: &mut BytesMut,
        max_output: usize,
    ) -> Result<bool, BodyError> {
        loop {
            match &mut self.position {
                ChunkPosition::Size => {
                    let Some(size) = take_chunk_size(buffer)? else { return Ok(false) };
                    self.allowance = self.allowance.checked_sub(size).ok_or(BodyError::TooLarge)?;
                    self.position = match size {
                        0 => ChunkPosition::Trailers { length: 0 },
                        size => ChunkPosition::Data { remaining: size },
                    };
                }
                ChunkPosition::Data { remaining } => {
                    let part = split_data(buffer, *remaining, max_output.saturating_sub(output.len()));
                    output.extend_from_slice(&part);
                    *remaining -= part.len();
                    if *remaining > 0 {
                        return Ok(false);
                    }
                    self.position = ChunkPosition::DataEnd;
                }
                ChunkPosition::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(false);
                    }
                    if buffer.split_to(2) != b"\r\n"[..] {
                        return Err(BodyError::MissingChunkEnd);
                    }
                    self.position = ChunkPosition::Size;
                }
                ChunkPosition::Trailers { length } => {
                    let Some(line) = take_trailer_line(buffer)? else { return Ok(false) };
                    if line == b"\r\n"[..] {
                        return Ok(true);
                    }
                    *length += line.len();
                    if *length > MAX_HEAD_BYTES {
                        return Err(BodyError::TrailersTooLarge);
                    }
                }
            }
        }
    }
}

/// Takes the line with a chunk's size; `None` until it is complete.
fn take_chunk_size(buffer: &mut BytesMut) -> Result<Option<usize>, BodyError> {
    match httparse::parse_chunk_size(buffer).map_err(|_| BodyError::MalformedChunkSize)? {
        httparse::Status::Complete((line_length, size)) => {
            let _ = buffer.split_to(line_length);
            Ok(Some(usize::try_from(size).unwrap_or(usize::MAX)))
        }
        httparse::Status::Partial if buffer.len() > MAX_CHUNK_LINE_BYTES => {
            Err(BodyError::ChunkSizeLineTooLong)
        }
        httparse::Status::Partial => Ok(None),
    }
}

/// Takes one line of the trailers; `None` until it is complete.
fn take_trailer_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, BodyError> {
    match buffer.iter().position(|byte| *byte == b'\n') {
        Some(end) => Ok(Some(buffer.split_to(end + 1))),
        None if buffer.len() > MAX_CHUNK_LINE_BYTES => Err(BodyError::TrailerLineTooLong),
        None => Ok(None),
    }
}
