//! Clients of the gateway, and the requests that they send.

use super::{Message, WAIT_LIMIT, message::read_message};
use socket2::{Domain, Socket, Type};
use std::{
    io::{BufReader, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// Request of a client; valid unless a test changes it.
#[derive(Clone)]
pub struct TestRequest {
    pub request_line: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl TestRequest {
    /// Returns a request of the idempotent class with the transaction id `txn`.
    pub fn new(txn: &str) -> Self {
        let headers = vec![
            ("Host", "backend.local".to_owned()),
            ("X-Txn", txn.to_owned()),
            ("X-Lane", "check-answer".to_owned()),
            ("X-Plan", "free".to_owned()),
            ("X-Customer", "00000000b4d65521".to_owned()),
            ("X-Remaining", "25.0".to_owned()),
            ("X-Quota", "units=1,spread=2,first=0".to_owned()),
        ];
        Self { request_line: "GET /check-answer HTTP/1.1".into(), headers, body: Vec::new() }
    }

    /// Returns a request of the at-most-once class, with a body.
    pub fn at_most_once(txn: &str) -> Self {
        let mut request = Self::new(txn).with_header("X-Lane", "submit");
        request.request_line = "POST /submit HTTP/1.1".into();
        request.body = b"answer".to_vec();
        request
    }

    /// Adds or replaces a header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(header, _)| *header != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Removes a header.
    pub fn without_header(mut self, name: &str) -> Self {
        self.headers.retain(|(header, _)| *header != name);
        self
    }

    /// Returns the bytes to send; adds `Content-Length` for a body whose framing no header gives.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.request_line);
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        let is_framed =
            self.headers.iter().any(|(name, _)| *name == "Transfer-Encoding" || *name == "Content-Length");
        if !self.body.is_empty() && !is_framed {
            text += &format!("Content-Length: {}\r\n", self.body.len());
        }
        let mut bytes = (text + "\r\n").into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// A client's connection to the gateway.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> Self {
        let socket = TcpStream::connect(addr).expect("the gateway listens");
        socket.set_read_timeout(Some(WAIT_LIMIT)).expect("an open socket");
        Self { reader: BufReader::new(socket) }
    }

    /// Sends a request without waiting for the response.
    pub fn send(&mut self, request: &TestRequest) {
        // The gateway may respond to an oversized request and close before it has read all of it.
        let _ = self.reader.get_mut().write_all(&request.to_bytes());
    }

    /// Reads the next response; returns `None` if the connection ends first.
    pub fn read_response(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    /// Sends a request and returns its response.
    pub fn send_request(&mut self, request: &TestRequest) -> Message {
        self.send(request);
        self.read_response().expect("a complete response")
    }

    /// Returns everything that arrives until the gateway closes the connection; panics if the connection stays open.
    pub fn read_until_closed(&mut self) -> String {
        let mut received = Vec::new();
        // A reset is a close, too; the bytes that arrived before it are kept.
        let read_result = self.reader.read_to_end(&mut received);
        assert!(
            read_result.is_ok() || read_result.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset),
            "the connection stays open"
        );
        String::from_utf8_lossy(&received).into_owned()
    }
}

/// Opens a connection for which the system buffers little of a response, as for a client behind a slow link.
pub fn connect_with_small_buffer(gateway: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2048).expect("an open socket");
    socket.set_tcp_mss(536).expect("an open socket");
    socket.connect(&gateway.into()).expect("the gateway listens");
    TcpStream::from(socket)
}

/// Reads from a socket at a limited rate.
pub struct PacedReader {
    pub socket: TcpStream,
    pub bytes_per_second: f64,
}

impl Read for PacedReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let length = buffer.len().min(2048);
        let count = self.socket.read(&mut buffer[..length])?;
        thread::sleep(Duration::from_secs_f64(count as f64 / self.bytes_per_second));
        Ok(count)
    }
}
