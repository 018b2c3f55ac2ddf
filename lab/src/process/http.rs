//! Reads and writes the subset of HTTP/1.1 that the stand-ins and the load need: messages with a `Content-Length` on
//! persistent connections.

use std::io::{self, BufRead};

/// Longest accepted body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Request or response, without its headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Message {
    /// Request line or status line, without the line break.
    pub start_line: String,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the status code; `None` if the start line is not a status line.
    pub fn status(&self) -> Option<u16> {
        self.start_line.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
    }

    /// Returns the value of a query parameter of a request; `None` if the parameter is absent.
    pub fn query(&self, name: &str) -> Option<&str> {
        let target = self.start_line.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Reads one message. Returns `None` at the end of the stream.
///
/// # Errors
/// The stream fails or ends within the message, or the message is malformed.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.start_line)? == 0 {
        return Ok(None);
    }
    message.start_line.truncate(message.start_line.trim_end().len());
    let length = read_headers(reader)?;
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Reads the headers. Returns the length of the body, 0 without a `Content-Length`.
fn read_headers(reader: &mut impl BufRead) -> io::Result<usize> {
    let malformed = |text| io::Error::new(io::ErrorKind::InvalidData, text);
    let mut length = 0;
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(length);
        }
        let (name, value) = text.split_once(':').ok_or_else(|| malformed("a header has no colon"))?;
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().map_err(|_| malformed("the Content-Length is not a number"))?;
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(malformed("Transfer-Encoding is not supported"));
        }
        if length > MAX_BODY_BYTES {
            return Err(malformed("the Content-Length is above 16 MiB"));
        }
    }
}

/// Returns a response with status 200 and this body.
pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
