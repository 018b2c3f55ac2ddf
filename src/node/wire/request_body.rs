//! Decodes the bodies of HTTP/1.1 requests from a buffer, with a known length or in chunks.

use crate::node::wire::limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use bytes::{Buf, BytesMut};
use hyper::StatusCode;
use thiserror::Error;

/// Longest line with a chunk's size, and longest line of a trailer.
const MAX_CHUNK_LINE_BYTES: usize = 4096;

/// Reason to reject a request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyError {
    #[error("malformed chunk size line: a hexadecimal number is expected")]
    MalformedChunkSize,
    #[error("a chunk size line is longer than {MAX_CHUNK_LINE_BYTES} bytes")]
    ChunkSizeLineTooLong,
    #[error("a CRLF is expected after a chunk's data")]
    MissingChunkEnd,
    #[error("the request body is larger than {MAX_BODY_BYTES} bytes")]
    TooLarge,
    #[error("a trailer line is longer than {MAX_CHUNK_LINE_BYTES} bytes")]
    TrailerLineTooLong,
    #[error("the trailers are larger than {MAX_HEAD_BYTES} bytes")]
    TrailersTooLarge,
}

impl BodyError {
    /// Returns the status of the error response.
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

/// Framing of a request body, as the head announces it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Length in bytes from `Content-Length`; 0 without a body.
    Length(usize),
    Chunked,
}

impl Framing {
    /// Returns the length of the body in bytes; `None` if the head does not announce it.
    pub fn length(self) -> Option<usize> {
        match self {
            Self::Length(length) => Some(length),
            Self::Chunked => None,
        }
    }
}

/// Incremental decoder of one request body.
#[derive(Debug)]
pub enum BodyDecoder {
    Length { remaining: usize },
    Chunked(ChunkedDecoder),
}

impl BodyDecoder {
    /// Creates a decoder for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(length) => Self::Length { remaining: length },
            Framing::Chunked => Self::Chunked(ChunkedDecoder {
                position: ChunkPosition::Size,
                remaining_allowance: MAX_BODY_BYTES,
            }),
        }
    }

    /// Moves decoded bytes from `buffer` to `output` until `output` holds `max_output` bytes or the buffer has no more.
    /// Returns whether the body is complete.
    ///
    /// # Errors
    /// Returns an error if the body is malformed or too large.
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

/// Splits off as much data as the buffer holds, at most `remaining` bytes of the body and `free` bytes of output.
fn split_data(buffer: &mut BytesMut, remaining: usize, free: usize) -> BytesMut {
    buffer.split_to(buffer.len().min(remaining).min(free))
}

/// Incremental decoder of a chunked body.
#[derive(Debug)]
pub struct ChunkedDecoder {
    position: ChunkPosition,
    /// Number of bytes that further chunks may hold in total.
    remaining_allowance: usize,
}

/// Part of a chunked body that the decoder expects next.
#[derive(Debug)]
enum ChunkPosition {
    /// Line with a chunk's size.
    Size,
    Data {
        remaining: usize,
    },
    /// Line end after a chunk's data.
    DataEnd,
    /// Trailer lines after the last chunk.
    Trailers {
        /// Total bytes of the trailer lines so far.
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
        let mut input = &buffer[..];
        let is_complete = self.decode_input(&mut input, output, max_output)?;
        let consumed_bytes = buffer.len() - input.len();
        buffer.advance(consumed_bytes);
        Ok(is_complete)
    }

    /// Removes what it decodes from the beginning of `input`.
    fn decode_input(
        &mut self,
        input: &mut &[u8],
        output: &mut BytesMut,
        max_output: usize,
    ) -> Result<bool, BodyError> {
        loop {
            match &mut self.position {
                ChunkPosition::Size => {
                    let Some(size) = take_chunk_size(input)? else { return Ok(false) };
                    self.remaining_allowance =
                        self.remaining_allowance.checked_sub(size).ok_or(BodyError::TooLarge)?;
                    self.position = match size {
                        0 => ChunkPosition::Trailers { length: 0 },
                        size => ChunkPosition::Data { remaining: size },
                    };
                }
                ChunkPosition::Data { remaining } => {
                    let free = max_output.saturating_sub(output.len());
                    let (data, rest) = input.split_at(input.len().min(*remaining).min(free));
                    output.extend_from_slice(data);
                    *input = rest;
                    *remaining -= data.len();
                    if *remaining > 0 {
                        return Ok(false);
                    }
                    self.position = ChunkPosition::DataEnd;
                }
                ChunkPosition::DataEnd => {
                    let Some((end, rest)) = input.split_at_checked(2) else { return Ok(false) };
                    if end != b"\r\n" {
                        return Err(BodyError::MissingChunkEnd);
                    }
                    *input = rest;
                    self.position = ChunkPosition::Size;
                }
                ChunkPosition::Trailers { length } => {
                    let Some(line) = take_trailer_line(input)? else { return Ok(false) };
                    if line == b"\r\n" {
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

/// Removes the line with a chunk's size and returns the size; returns `None` while the line is incomplete.
fn take_chunk_size(input: &mut &[u8]) -> Result<Option<usize>, BodyError> {
    match httparse::parse_chunk_size(input).map_err(|_| BodyError::MalformedChunkSize)? {
        httparse::Status::Complete((line_length, size)) => {
            *input = &input[line_length..];
            Ok(Some(usize::try_from(size).unwrap_or(usize::MAX)))
        }
        httparse::Status::Partial if input.len() > MAX_CHUNK_LINE_BYTES => {
            Err(BodyError::ChunkSizeLineTooLong)
        }
        httparse::Status::Partial => Ok(None),
    }
}

/// Removes one line of the trailers and returns it; returns `None` while the line is incomplete.
fn take_trailer_line<'i>(input: &mut &'i [u8]) -> Result<Option<&'i [u8]>, BodyError> {
    match input.iter().position(|byte| *byte == b'\n') {
        Some(position) => {
            let (line, rest) = input.split_at(position + 1);
            *input = rest;
            Ok(Some(line))
        }
        None if input.len() > MAX_CHUNK_LINE_BYTES => Err(BodyError::TrailerLineTooLong),
        None => Ok(None),
    }
}
