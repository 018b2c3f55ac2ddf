//! Stand-ins for workers, discovery and the counter, written from the pages.

use crate::{
    http::{Message, read_message},
    record::Record,
};
use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    (listener, address)
}

fn accept(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let _ = socket.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(socket));
        }
    });
}

/// A request that a worker has read to its last byte.
pub struct WorkerCall<'a> {
    pub worker: usize,
    pub request: &'a Message,
    pub socket: &'a mut TcpStream,
}

/// Starts a worker. `answer` writes the answer and returns whether the connection stays open.
pub fn start_worker(
    worker: usize,
    record: Arc<Record>,
    answer: impl Fn(WorkerCall) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let (listener, address) = listen();
    accept(listener, move |mut socket| {
        let Ok(copy) = socket.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(request) = read_message(&mut reader) {
            record.line(format!(
                "worker {worker} runs {} ({}), told {} s",
                request.header("x-txn"),
                request.path(),
                request.header("x-remaining")
            ));
            if !answer(WorkerCall { worker, request: &request, socket: &mut socket }) {
                return;
            }
        }
    });
    address
}

/// Writes an answer whose body names the request that it was made for.
pub fn answer_with_id(call: WorkerCall) -> bool {
    let body = body_for(call.request);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    call.socket.write_all((head + &body).as_bytes()).is_ok()
}

/// Returns the body of the answer to a request.
pub fn body_for(request: &Message) -> String {
    format!("made for {}", request.header("x-txn"))
}

struct List {
    version: u64,
    /// Entries with the version of their last change.
    entries: Vec<(u64, String)>,
}

/// Discovery with one list, which answers watches.
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
}

/// Returns an entry of the list.
pub fn entry(id: &str, address: SocketAddr, zone: &str, cell: usize, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"{zone}","kind":"std","cell":{cell},"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

impl Discovery {
    pub fn start(entries: &[String]) -> Self {
        let (listener, address) = listen();
        let entries = entries.iter().map(|text| (1, text.clone())).collect();
        let list = Arc::new((Mutex::new(List { version: 1, entries }), Condvar::new()));
        let served = list.clone();
        accept(listener, move |socket| serve_discovery(socket, &served));
        Self { address, list }
    }

    /// Returns the whole list, as the configuration has it under `known`.
    pub fn whole(&self) -> String {
        body(&self.list.0.lock().expect("the lock is not poisoned"), None)
    }
}

fn body(list: &List, from: Option<u64>) -> String {
    let newer = list.entries.iter().filter(|(version, _)| from.is_none_or(|from| *version > from));
    let entries: Vec<&str> = newer.map(|(_, text)| text.as_str()).collect();
    format!(r#"{{"version":{},"full":{},"servers":[{}]}}"#, list.version, from.is_none(), entries.join(","))
}

fn query(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

fn serve_discovery(mut socket: TcpStream, list: &(Mutex<List>, Condvar)) {
    let Ok(copy) = socket.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(request) = read_message(&mut reader) {
        let from = query(request.path(), "from");
        let hold = Duration::from_millis(query(request.path(), "hold_ms").unwrap_or(0).min(60_000));
        let until = Instant::now() + hold;
        let mut current = list.0.lock().expect("the lock is not poisoned");
        while from.is_some_and(|from| from >= current.version) && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            current = list.1.wait_timeout(current, left).expect("the lock is not poisoned").0;
        }
        let body = body(&current, from);
        drop(current);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        if socket.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Starts a counter that answers each call at once.
pub fn start_counter() -> SocketAddr {
    let (listener, address) = listen();
    let totals: Arc<Mutex<HashMap<String, (f64, Instant)>>> = Arc::default();
    accept(listener, move |mut socket| {
        let Ok(copy) = socket.try_clone() else { return };
        for line in BufReader::new(copy).lines().map_while(Result::ok) {
            let words: Vec<&str> = line.split_whitespace().collect();
            let reply = match words.as_slice() {
                ["ping"] => "pong\r\n".to_owned(),
                ["bump", name, amount, life] => match (amount.parse::<f64>(), life.parse::<u64>()) {
                    (Ok(amount), Ok(life)) => {
                        let now = Instant::now();
                        let mut totals = totals.lock().expect("the lock is not poisoned");
                        let end = now + Duration::from_millis(life.clamp(1, 60_000));
                        let total = totals.entry((*name).to_owned()).or_insert((0.0, end));
                        if total.1 <= now {
                            *total = (0.0, end);
                        }
                        total.0 += amount;
                        format!("ok {}\r\n", total.0)
                    }
                    _ => "error\r\n".to_owned(),
                },
                _ => "error\r\n".to_owned(),
            };
            if socket.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    });
    address
}
