//! Reader of HTTP messages for the fakes and the test clients.

use std::{collections::HashMap, io::BufRead};

/// HTTP request or response; header names are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("a status line")
    }

    /// Returns the value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one message; returns `None` at the end of the stream or if reading fails.
pub fn read_message(stream: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(stream)?;
    if message.header("transfer-encoding") == "chunked" {
        message.body = read_chunks(stream)?;
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        stream.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

fn read_head(stream: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if message.start_line.is_empty() {
            message.start_line = line.to_owned();
        } else if line.is_empty() {
            return Some(message);
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.to_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_chunks(stream: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        stream.read_exact(&mut chunk).ok()?;
        assert!(chunk.ends_with(b"\r\n"), "a chunk ends with CRLF");
        if length == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}
