//! Endpoints with seeded faults.

use crate::{
    fakes::{RawEndpoint, read_at_rate},
    record::{Attempt, Record},
};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time for which an endpoint holds a connection that it does not serve.
const HOLD_TIME: Duration = Duration::from_secs(8);

/// What an endpoint does with a request. The names stand in messages.
const BEHAVIOURS: [&str; 16] = [
    "served",
    "served",
    "served",
    "served",
    "served",
    "served",
    "served slowly",
    "served long",
    "written slowly",
    "head, then silence",
    "half a body, then silence",
    "silent",
    "reads slowly",
    "stops reading",
    "closes",
    "turned away",
];

/// First seed of the runs in which endpoints also pause within their responses.
pub const FIRST_PAUSING_SEED: u64 = 1000;
/// What an endpoint does besides in these runs: it pauses once within a complete response.
pub const PAUSING_BEHAVIOURS: [&str; 4] =
    ["late body", "pause in head", "pause in short body", "early response"];
/// Length of such a pause: longer than the latency objective of these runs, shorter than any client's wait.
pub const PAUSE: Duration = Duration::from_millis(250);

/// First seed of the runs in which endpoints also begin short responses that they never end.
pub const FIRST_ENDLESS_SEED: u64 = 2000;
/// What an endpoint does besides in these runs.
pub const ENDLESS_BEHAVIOURS: [&str; 3] =
    ["short body without end", "short body without last chunk", "trailers without end"];
/// Pause between two pieces of such a response.
const ENDLESS_PAUSE: Duration = Duration::from_millis(100);

/// Endpoint that decides by the seed and the request's id what it does.
pub struct SoakEndpoint {
    pub addr: SocketAddr,
    _endpoint: RawEndpoint,
}

impl SoakEndpoint {
    pub fn start(seed: u64, record: Arc<Record>) -> Self {
        let endpoint = RawEndpoint::start(
            move |mut socket| {
                while serve_request(&mut socket, seed, &record).is_some() {}
            },
        );
        Self { addr: endpoint.addr, _endpoint: endpoint }
    }
}

/// Serves one request; returns `None` if the connection must end.
fn serve_request(socket: &mut TcpStream, seed: u64, record: &Record) -> Option<()> {
    let mut head = vec![0];
    socket.read_exact(&mut head).ok()?;
    let begun_at = Instant::now();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        socket.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let header = |name: &str| {
        let line = head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        line.map(str::to_owned)
    };
    let id = header("x-txn")?;
    let behaviour = behaviour(seed, &id, begun_at);
    let mut attempt = Attempt { begun_at, run_at: None, behaviour };
    if behaviour == "early response" {
        // Half of the response is written before the request is read.
        socket.write_all(&[response_head(200_000).as_bytes(), &[b'd'; 100_000]].concat()).ok()?;
    }
    let body = match behaviour {
        "stops reading" => {
            thread::sleep(HOLD_TIME);
            None
        }
        "reads slowly" => read_body_slowly(socket, &header),
        _ => read_body(socket, &header),
    };
    // A request that is turned away never runs.
    attempt.run_at = (body.is_some() && behaviour != "turned away").then(Instant::now);
    record.add_attempt(&id, attempt);
    body?;
    respond(socket, behaviour)
}

/// Chooses the behaviour for an attempt. Retries of a request may meet another one.
fn behaviour(seed: u64, id: &str, begun_at: Instant) -> &'static str {
    let mut hasher = DefaultHasher::new();
    (seed, id).hash(&mut hasher);
    // A retry comes later and must not always meet the same fault.
    let retry_salt = begun_at.elapsed().subsec_nanos() % 2;
    let number = hasher.finish() + u64::from(retry_salt);
    if seed < FIRST_PAUSING_SEED {
        return BEHAVIOURS[(number % BEHAVIOURS.len() as u64) as usize];
    }
    let endless_behaviours = ENDLESS_BEHAVIOURS.into_iter().filter(|_| seed >= FIRST_ENDLESS_SEED);
    let behaviours: Vec<&str> =
        BEHAVIOURS.into_iter().chain(PAUSING_BEHAVIOURS).chain(endless_behaviours).collect();
    behaviours[(number % behaviours.len() as u64) as usize]
}

/// Writes the beginning of a response in chunks, and then a piece again and again.
fn write_without_end(socket: &mut TcpStream, beginning: &[u8], piece: &[u8]) -> Option<()> {
    socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
    socket.write_all(beginning).ok()?;
    let started_at = Instant::now();
    while started_at.elapsed() < HOLD_TIME {
        thread::sleep(ENDLESS_PAUSE);
        socket.write_all(piece).ok()?;
    }
    None
}

fn response_head(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n")
}

fn read_body(socket: &mut TcpStream, header: &impl Fn(&str) -> Option<String>) -> Option<()> {
    if let Some(length) = header("content-length") {
        let mut body = vec![0; length.parse().ok()?];
        return socket.read_exact(&mut body).ok();
    }
    if header("transfer-encoding").is_none() {
        return Some(());
    }
    let mut tail = [0; 5];
    while tail != *b"0\r\n\r\n" {
        let mut byte = [0];
        socket.read_exact(&mut byte).ok()?;
        tail.rotate_left(1);
        tail[4] = byte[0];
    }
    Some(())
}

fn read_body_slowly(socket: &mut TcpStream, header: &impl Fn(&str) -> Option<String>) -> Option<()> {
    let is_long = header("transfer-encoding").is_some()
        || header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0) > 60_000;
    if !is_long {
        return read_body(socket, header);
    }
    // Such a body is never read to its end in time.
    read_at_rate(socket, 100_000);
    None
}

/// Responds with a fault or without; returns `None` if the connection must end.
fn respond(socket: &mut TcpStream, behaviour: &'static str) -> Option<()> {
    let sized = response_head;
    match behaviour {
        "served slowly" => thread::sleep(Duration::from_millis(150)),
        "served long" => {
            socket.write_all(sized(400_000).as_bytes()).ok()?;
            return socket.write_all(&vec![b'd'; 400_000]).ok();
        }
        "written slowly" => {
            socket.write_all(sized(200_000).as_bytes()).ok()?;
            for _ in 0..10 {
                socket.write_all(&[b'd'; 20_000]).ok()?;
                thread::sleep(Duration::from_millis(100));
            }
            return Some(());
        }
        "head, then silence" => {
            socket.write_all(sized(300_000).as_bytes()).ok()?;
            thread::sleep(HOLD_TIME);
            return None;
        }
        "half a body, then silence" => {
            socket.write_all(sized(300_000).as_bytes()).ok()?;
            socket.write_all(&[b'd'; 100_000]).ok()?;
            thread::sleep(HOLD_TIME);
            return None;
        }
        "silent" => {
            thread::sleep(HOLD_TIME);
            return None;
        }
        "late body" => {
            socket.write_all(sized(200_000).as_bytes()).ok()?;
            thread::sleep(PAUSE);
            return socket.write_all(&vec![b'd'; 200_000]).ok();
        }
        "pause in head" => {
            socket.write_all(b"HTTP/1.1 200 OK\r\nContent-").ok()?;
            thread::sleep(PAUSE);
            return socket.write_all(b"Length: 2\r\n\r\nok").ok();
        }
        "pause in short body" => {
            socket.write_all((sized(4) + "ok").as_bytes()).ok()?;
            thread::sleep(PAUSE);
            return socket.write_all(b"ok").ok();
        }
        "early response" => {
            thread::sleep(PAUSE);
            return socket.write_all(&[b'd'; 100_000]).ok();
        }
        "short body without end" => return write_without_end(socket, b"2\r\nok\r\n", b"1\r\nk\r\n"),
        "short body without last chunk" => {
            let body = [b"c350\r\n", vec![b'd'; 50_000].as_slice(), b"\r\n"].concat();
            return write_without_end(socket, &body, b"");
        }
        "trailers without end" => return write_without_end(socket, b"2\r\nok\r\n0\r\nX-Other: ", b"x"),
        "closes" => return None,
        "turned away" => {
            let rejection = b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
            return socket.write_all(rejection).ok();
        }
        _ => thread::sleep(Duration::from_millis(5)),
    }
    socket.write_all((sized(2) + "ok").as_bytes()).ok()
}
