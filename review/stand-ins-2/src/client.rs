//! Clients of the gateway.

use crate::{
    http::{read_body, read_head},
    record::Record,
};
use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Time after a request's own time up to which an answer only earns nothing: half a second, and the 50 ms by which every
/// limit is longer on sockets.
pub const LOST_AFTER: Duration = Duration::from_millis(550);

/// A client's request.
#[derive(Clone)]
pub struct ClientRequest {
    pub id: String,
    pub class: &'static str,
    pub plan: &'static str,
    pub customer: u64,
    pub wait: Duration,
    pub key: Option<String>,
    pub is_post: bool,
}

impl ClientRequest {
    pub fn to_bytes(&self) -> Vec<u8> {
        let method = if self.is_post { "POST" } else { "GET" };
        let key = self.key.as_ref().map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let length = if self.is_post { "Content-Length: 0\r\n" } else { "" };
        format!(
            "{method} /{} HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {}\r\nX-Lane: {}\r\nX-Plan: {}\r\n\
             X-Customer: {:016x}\r\nX-Remaining: {:.3}\r\n{key}{length}X-Quota: units=1,spread=1,first=0\r\n\r\n",
            self.class,
            self.id,
            self.class,
            self.plan,
            self.customer,
            self.wait.as_secs_f64()
        )
        .into_bytes()
    }
}

/// How a request ended, as its client saw it.
#[derive(Debug, Clone)]
pub enum End {
    /// A whole answer.
    Answer { status: u16, body: Vec<u8> },
    /// The connection was closed or reset before any byte of an answer.
    Closed,
    /// The connection was closed or reset within an answer, which the client could tell.
    Broken { bytes: usize },
    /// Nothing of this kind until the client stopped looking.
    Nothing { bytes: usize },
}

/// What a client saw of a request.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Time at which the last byte of the request was written.
    pub written_at: Instant,
    /// Time of the end.
    pub ended_at: Instant,
    pub end: End,
}

impl Seen {
    /// Returns the time from the request's last byte to its end.
    pub fn took(&self) -> Duration {
        self.ended_at.saturating_duration_since(self.written_at)
    }

    /// Returns the end in words.
    pub fn words(&self) -> String {
        match &self.end {
            End::Answer { status, body } => format!("answered {status} with {} bytes", body.len()),
            End::Closed => "closed without an answer".to_owned(),
            End::Broken { bytes } => format!("broken off after {bytes} bytes of the body"),
            End::Nothing { bytes } => {
                format!("neither ended nor broken off, {bytes} bytes of the body so far")
            }
        }
    }
}

/// Reads one answer. `look_until` is the time at which the client stops looking.
pub fn read_answer(reader: &mut BufReader<TcpStream>, written_at: Instant, look_until: Instant) -> Seen {
    read_answer_at_rate(reader, written_at, look_until, None)
}

/// Like [`read_answer`], at no more than this many bytes a second.
pub fn read_answer_at_rate(
    reader: &mut BufReader<TcpStream>,
    written_at: Instant,
    look_until: Instant,
    bytes_per_second: Option<f64>,
) -> Seen {
    let left = look_until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    // Each read is bounded; a stream of small pieces is bounded by the check below.
    let _ = reader.get_ref().set_read_timeout(Some(left.min(Duration::from_millis(200))));
    let mut patient = PatientReader { reader, look_until };
    let seen = |end| Seen { written_at, ended_at: Instant::now(), end };
    let head = match read_head(&mut patient) {
        Ok(head) => head,
        Err(error) if error.kind() == io::ErrorKind::TimedOut => return seen(End::Nothing { bytes: 0 }),
        Err(_) => return seen(End::Closed),
    };
    let mut body = Vec::new();
    let started_at = Instant::now();
    let result = read_body(&mut patient, &head, &mut body, |length| {
        if let Some(rate) = bytes_per_second {
            let due = started_at + Duration::from_secs_f64(length as f64 / rate);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    });
    match result {
        Ok(()) => seen(End::Answer { status: head.status(), body }),
        Err(error) if error.kind() == io::ErrorKind::TimedOut => seen(End::Nothing { bytes: body.len() }),
        Err(_) => seen(End::Broken { bytes: body.len() }),
    }
}

/// A reader that waits for input until a given time.
struct PatientReader<'a> {
    reader: &'a mut BufReader<TcpStream>,
    look_until: Instant,
}

impl io::Read for PatientReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = io::BufRead::fill_buf(self)?.len().min(buffer.len());
        let available = self.reader.buffer();
        buffer[..count].copy_from_slice(&available[..count]);
        io::BufRead::consume(self.reader, count);
        Ok(count)
    }
}

impl io::BufRead for PatientReader<'_> {
    fn fill_buf(&mut self) -> io::Result<&[u8]> {
        loop {
            if Instant::now() >= self.look_until {
                return Err(io::ErrorKind::TimedOut.into());
            }
            match io::BufRead::fill_buf(self.reader) {
                Ok(_) => break,
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(self.reader.buffer())
    }

    fn consume(&mut self, count: usize) {
        io::BufRead::consume(self.reader, count);
    }
}

/// Opens a connection to the gateway.
pub fn connect(gateway: SocketAddr) -> io::Result<BufReader<TcpStream>> {
    let socket = TcpStream::connect(gateway)?;
    socket.set_nodelay(true)?;
    Ok(BufReader::new(socket))
}

/// Sends one request on a connection and reads its answer. A client looks as long as it takes to tell a late answer from
/// a lost request, and `further` more for the record.
pub fn exchange(
    reader: &mut BufReader<TcpStream>,
    request: &ClientRequest,
    further: Duration,
    record: &Record,
) -> Seen {
    if let Err(error) = reader.get_mut().write_all(&request.to_bytes()) {
        record.line(format!("client could not write {}: {error}", request.id));
        let now = Instant::now();
        return Seen { written_at: now, ended_at: now, end: End::Closed };
    }
    let written_at = Instant::now();
    record.line(format!(
        "client sent {} ({}), waits {:.3} s",
        request.id,
        request.class,
        request.wait.as_secs_f64()
    ));
    let seen = read_answer(reader, written_at, written_at + request.wait + LOST_AFTER + further);
    record.line(format!("client: {} {} after {:.3} s", request.id, seen.words(), seen.took().as_secs_f64()));
    seen
}
