//! Reads HTTP/1.1 messages from a socket.

use std::io::{self, BufRead, BufReader, ErrorKind, Read};

/// A received request or response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Returns the value of a parameter in the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let target = self.first_line.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
    }
}

/// Reads a head. Returns `None` if the peer closed the connection before its first byte.
pub fn read_head<R: Read>(reader: &mut BufReader<R>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        let length = reader.read_until(b'\n', &mut line)?;
        if length == 0 {
            let is_clean = message.first_line.is_empty();
            return if is_clean { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_owned();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if message.first_line.is_empty() {
            message.first_line = text;
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that a head announces, by length or in chunks.
pub fn read_body<R: Read>(reader: &mut BufReader<R>, message: &mut Message) -> io::Result<()> {
    let is_chunked = message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if !is_chunked {
        let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body.resize(length, 0);
        return reader.read_exact(&mut message.body);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
        let start = message.body.len();
        message.body.resize(start + size, 0);
        reader.read_exact(&mut message.body[start..])?;
        let mut end = [0; 2];
        reader.read_exact(&mut end)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads a message with its body. Returns `None` if the peer closed the connection before its first byte.
pub fn read_message<R: Read>(reader: &mut BufReader<R>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}
