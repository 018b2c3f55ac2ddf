//! Case 3: many clients take long answers slowly, at 64 kB a second. The gateways must stay within their memory. The
//! platform, which this program stands in for, kills a gateway that is over it.

use review_harness::{
    client::Request,
    counter, discovery,
    gateway::{self, Limits, World},
    http::Message,
    is_trouble_on,
    record::Record,
    settings, start_watchdog,
    worker::{self, Behaviour},
    BROKEN, HELD, NOT_RUN,
};
use std::{
    env, fs,
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Limits of the gateways: inside 32 to 192 MB, and 256 to 1,024 descriptors.
const LIMITS: Limits = Limits { memory_mb: 32, sockets: 1024 };
/// Clients at each gateway: at most a third of the descriptors.
const CLIENTS: usize = 320;
/// Time between the starts of two of them at a gateway.
const PAUSE: Duration = Duration::from_millis(12);
/// Length of an answer, in bytes.
const ANSWER_BYTES: usize = 1_000_000;
/// Rate at which a slow client takes an answer.
const SLOW_BYTES_PER_SECOND: usize = 65_536;
/// Time after the first request at which the clients leave, if they have not got their answers.
const END: Duration = Duration::from_secs(25);
/// Interval at which the platform looks at the gateways' memory.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Workers that answer with long bodies, in chunks.
struct LongAnswers;

impl Behaviour for LongAnswers {
    fn answer(&self, _: usize, request: &Message, socket: &mut &TcpStream) -> bool {
        let mut body = worker::sound_body(request);
        body.resize(ANSWER_BYTES, b'.');
        if socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return false;
        }
        let is_written = body.chunks(16_000).all(|chunk| {
            let size = format!("{:x}\r\n", chunk.len());
            socket.write_all(&[size.as_bytes(), chunk, b"\r\n"].concat()).is_ok()
        });
        is_written && socket.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn request(number: usize) -> Request {
    Request {
        txn: format!("c3{number:014x}"),
        class: "tide-feed",
        plan: "agente",
        customer: 10_000 + number as u64,
        remaining: 0.6,
        body: None,
        key: None,
        units: 1,
        spread: 2,
    }
}

/// Sends a request and takes its answer, slowly or at once. Returns the number of bytes that came.
fn take_answer(address: SocketAddr, request: &Request, is_slow: bool, until: Instant) -> usize {
    let Ok(mut socket) = TcpStream::connect(address) else { return 0 };
    let _ = socket.set_read_timeout(Some(Duration::from_secs(1)));
    if socket.write_all(request.head().as_bytes()).is_err() {
        return 0;
    }
    let start = Instant::now();
    let mut taken = 0;
    let mut buffer = [0; 6_400];
    while Instant::now() < until {
        match socket.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => taken += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
        // The end of the last chunk, or of an answer without a body.
        if buffer.windows(5).any(|window| window == b"0\r\n\r\n") {
            break;
        }
        if is_slow {
            let due = start + Duration::from_secs_f64(taken as f64 / SLOW_BYTES_PER_SECOND as f64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    }
    taken
}

/// Returns the memory that a process holds for itself, in kB, without files and shared libraries.
fn memory_kb(process: u32) -> Option<usize> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn main() {
    start_watchdog(Duration::from_secs(110));
    let record = Record::create(&PathBuf::from(env::args().nth(1).expect("the path of the record")));
    let is_on = is_trouble_on();
    let workers = worker::start(0..settings::WORKERS, Arc::new(LongAnswers), &record);
    let list = discovery::list(&workers, settings::ZONE, settings::CELL_SIZE);
    let world = World { discovery: discovery::start(list.clone()), counter: counter::start(), list };
    let mut gateways = match gateway::start_all(&world, LIMITS, &record) {
        Ok(gateways) => gateways,
        Err(error) => {
            record.summary(&error);
            process::exit(NOT_RUN);
        }
    };
    // The gateways' shares of the customers' ceilings begin empty.
    thread::sleep(Duration::from_secs(4));
    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS * gateways.len())
        .map(|number| {
            let (address, record) = (gateways[number % gateways.len()].address, record.clone());
            let play = move || {
                let due = start + PAUSE * (number / settings::GATEWAYS) as u32;
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let request = request(number);
                record.line(&format!("client sends {} to {address}", request.txn));
                let taken = take_answer(address, &request, is_on, start + END);
                record.line(&format!("client took {taken} bytes of the answer to {}", request.txn));
                taken
            };
            thread::Builder::new().stack_size(256 * 1024).spawn(play).expect("a thread")
        })
        .collect();
    let limit_kb = LIMITS.memory_mb * 1024;
    let mut peaks = vec![0; gateways.len()];
    let mut crashed = Vec::new();
    while start.elapsed() < END && clients.iter().any(|client| !client.is_finished()) {
        for (number, gateway) in gateways.iter_mut().enumerate() {
            if crashed.contains(&number) {
                continue;
            }
            let memory = memory_kb(gateway.child.id()).unwrap_or(0);
            peaks[number] = memory.max(peaks[number]);
            if memory > limit_kb {
                record.line(&format!(
                    "gateway {number} holds {memory} kB of {limit_kb}: the platform kills it"
                ));
                let _ = gateway.child.kill();
                crashed.push(number);
            } else if !gateway.is_running() {
                record.line(&format!("gateway {number} has exited"));
                crashed.push(number);
            }
        }
        thread::sleep(LOOK_INTERVAL);
    }
    let whole = clients
        .into_iter()
        .map(|client| client.join().expect("a client"))
        .filter(|taken| *taken > ANSWER_BYTES)
        .count();
    drop(gateways);
    record.summary(&format!(
        "TROUBLE={}: {CLIENTS} clients at each gateway, {whole} took a whole answer, most memory {peaks:?} kB of {limit_kb}, {} gateways crashed",
        u8::from(is_on),
        crashed.len()
    ));
    if crashed.is_empty() && whole * 4 < CLIENTS * settings::GATEWAYS {
        record.summary("the case could not run: fewer than a quarter of the clients took a whole answer");
        process::exit(NOT_RUN);
    }
    process::exit(if crashed.is_empty() { HELD } else { BROKEN });
}
