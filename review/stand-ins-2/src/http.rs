//! Reads HTTP/1.1 messages from blocking sockets.

use std::io::{self, BufRead, BufReader};
use std::net::TcpStream;

/// A request or response that was read completely.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header; an empty text if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
}

/// Reads the start line and the headers.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message { start_line: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that the head announces, by length or in chunks, piece by piece into `body`. `on_data` is called with
/// the length so far. An error means that the message is not whole.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &Message,
    body: &mut Vec<u8>,
    mut on_data: impl FnMut(usize),
) -> io::Result<()> {
    if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let line = read_line(reader)?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size =
                usize::from_str_radix(size, 16).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !read_line(reader)?.is_empty() {}
                return Ok(());
            }
            read_exactly(reader, size, body, &mut on_data)?;
            read_line(reader)?;
        }
    }
    let length = head.header("content-length").parse().unwrap_or(0);
    read_exactly(reader, length, body, &mut on_data)
}

fn read_exactly(
    reader: &mut impl BufRead,
    length: usize,
    body: &mut Vec<u8>,
    on_data: &mut impl FnMut(usize),
) -> io::Result<()> {
    let mut missing = length;
    let mut buffer = [0; 16 * 1024];
    while missing > 0 {
        let wanted = missing.min(buffer.len());
        let count = reader.read(&mut buffer[..wanted])?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&buffer[..count]);
        missing -= count;
        on_data(body.len());
    }
    Ok(())
}

/// Reads a complete message.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    let mut body = Vec::new();
    read_body(reader, &message, &mut body, |_| {})?;
    message.body = body;
    Ok(message)
}
