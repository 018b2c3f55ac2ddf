//! Stand-in for a client: sends one request on a connection and reads the answer.

use crate::http::{self, Message};
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request as a client sends it.
#[derive(Debug, Clone)]
pub struct Request {
    pub txn: String,
    pub class: &'static str,
    pub plan: &'static str,
    /// The customer's number, below 2^33.
    pub customer: u64,
    /// Seconds that the client waits for the answer.
    pub remaining: f64,
    /// `None` for a class that is safe to repeat, which is sent as GET.
    pub body: Option<Vec<u8>>,
    /// Key of a keyed class.
    pub key: Option<String>,
    pub units: u32,
    /// Number of gateways that the customer's requests come through, from gateway 0 on.
    pub spread: u32,
}

impl Request {
    /// Returns the bytes of the head.
    pub fn head(&self) -> String {
        let method = if self.body.is_some() { "POST" } else { "GET" };
        let mut head = format!(
            "{method} /{} HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {}\r\nX-Lane: {}\r\nX-Plan: {}\r\nX-Customer: {:016x}\r\nX-Remaining: {:.3}\r\nX-Quota: units={},spread={},first=0\r\n",
            self.class, self.txn, self.class, self.plan, self.customer, self.remaining, self.units, self.spread
        );
        if let Some(key) = &self.key {
            head.push_str(&format!("Idempotency-Key: {key}\r\n"));
        }
        if let Some(body) = &self.body {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        head
    }
}

/// What became of a request, as its client sees it.
#[derive(Debug)]
pub struct Outcome {
    /// Time at which the request's last byte was written; `None` if it could not be written.
    pub taken_at: Option<Instant>,
    /// The whole answer; `None` without one.
    pub answer: Option<Message>,
    /// Time of the answer's last byte, or at which the client stopped waiting or the connection ended.
    pub ended_at: Instant,
    /// True if the connection ended without a whole answer; false if the client stopped waiting.
    pub is_connection_ended: bool,
}

/// Sends a request on a new connection, and waits for its answer for `patience` after its last byte.
pub fn send(gateway: SocketAddr, request: &Request, patience: Duration) -> Outcome {
    let failed = |taken_at, is_connection_ended| Outcome {
        taken_at,
        answer: None,
        ended_at: Instant::now(),
        is_connection_ended,
    };
    let Ok(mut socket) = TcpStream::connect(gateway) else { return failed(None, true) };
    let _ = socket.set_nodelay(true);
    let _ = socket.set_write_timeout(Some(patience));
    let _ = socket.set_read_timeout(Some(patience));
    let mut bytes = request.head().into_bytes();
    bytes.extend_from_slice(request.body.as_deref().unwrap_or_default());
    if socket.write_all(&bytes).is_err() {
        return failed(None, true);
    }
    let taken_at = Some(Instant::now());
    match http::read_message(&mut BufReader::new(&socket)) {
        Ok(Some(answer)) => {
            Outcome { taken_at, answer: Some(answer), ended_at: Instant::now(), is_connection_ended: false }
        }
        Ok(None) => failed(taken_at, true),
        Err(error) => {
            let is_timeout =
                matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut);
            failed(taken_at, !is_timeout)
        }
    }
}
