//! Endpoints whose handling of each connection a test writes itself, byte by byte.

use super::{
    WAIT_LIMIT,
    ports::{accept_connections, listen},
};
use socket2::SockRef;
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Size of the system's receive buffer for a connection to such an endpoint.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Largest segment on such a connection, as on an Ethernet.
const SEGMENT_BYTES: u32 = 1448;

/// Endpoint that hands each connection to a function of the test, on a thread of its own.
pub struct RawEndpoint {
    pub addr: SocketAddr,
}

impl RawEndpoint {
    pub fn start(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> Self {
        let (listener, addr) = listen();
        // The connections take over both. With them the system buffers as little of a request on its way to the endpoint
        // as it does on a real network, so that the gateway soon feels how fast the endpoint reads.
        let socket = SockRef::from(&listener);
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("an open socket");
        socket.set_tcp_mss(SEGMENT_BYTES).expect("an open socket");
        accept_connections(listener, move |socket, _| serve(socket));
        Self { addr }
    }
}

/// Reads until the end of a request's head; returns false if the connection ends before.
pub fn read_past_head(socket: &mut TcpStream) -> bool {
    let mut tail = [0; 4];
    while tail != *b"\r\n\r\n" {
        let mut byte = [0];
        if socket.read_exact(&mut byte).is_err() {
            return false;
        }
        tail.rotate_left(1);
        tail[3] = byte[0];
    }
    true
}

/// Reads at this rate until the connection ends, at most for [`WAIT_LIMIT`]. Returns the number of bytes read.
pub fn read_at_rate(socket: &mut TcpStream, bytes_per_second: usize) -> usize {
    let started_at = Instant::now();
    let mut read_bytes = 0;
    let mut buffer = [0; 2048];
    while started_at.elapsed() < WAIT_LIMIT {
        match socket.read(&mut buffer) {
            Ok(count) if count > 0 => read_bytes += count,
            _ => break,
        }
        let due = Duration::from_secs_f64(read_bytes as f64 / bytes_per_second as f64);
        std::thread::sleep(due.saturating_sub(started_at.elapsed()));
    }
    read_bytes
}

/// Part of a response, and the pause before it.
#[derive(Debug, Clone)]
pub struct PacedPart {
    pub pause: Duration,
    pub bytes: Vec<u8>,
}

/// Framing of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseFraming {
    Length,
    Chunked,
    /// The end of the connection ends the body.
    Close,
}

impl ResponseFraming {
    pub const ALL: [Self; 3] = [Self::Length, Self::Chunked, Self::Close];

    /// Returns the head of a successful response with a body of this many bytes.
    pub fn head(self, body_bytes: usize) -> Vec<u8> {
        let header = match self {
            Self::Length => format!("Content-Length: {body_bytes}"),
            Self::Chunked => "Transfer-Encoding: chunked".to_owned(),
            Self::Close => "Connection: close".to_owned(),
        };
        format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n").into_bytes()
    }

    /// Returns the bytes that carry this data of a body.
    pub fn frame(self, data: &[u8]) -> Vec<u8> {
        match self {
            Self::Chunked => [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat(),
            Self::Length | Self::Close => data.to_vec(),
        }
    }

    /// Returns the bytes that end a body.
    pub fn end(self) -> Vec<u8> {
        if self == Self::Chunked { b"0\r\n\r\n".to_vec() } else { Vec::new() }
    }
}

/// Starts an endpoint that writes these parts to each request, then ends its sending and reads until the gateway closes.
/// If it closed with unread bytes of the request, the system would reset the connection and discard the response.
pub fn start_paced_writer(parts: Vec<PacedPart>) -> RawEndpoint {
    RawEndpoint::start(move |mut socket| {
        if !read_past_head(&mut socket) {
            return;
        }
        for part in &parts {
            std::thread::sleep(part.pause);
            if socket.write_all(&part.bytes).is_err() {
                return;
            }
        }
        let _ = socket.shutdown(Shutdown::Write);
        let _ = socket.read_to_end(&mut Vec::new());
    })
}
