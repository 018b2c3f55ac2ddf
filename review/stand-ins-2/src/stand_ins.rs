//! Stand-ins for workers, discovery and the counter, written from the pages.

use crate::{
    http::{Message, read_message},
    record::Record,
};
use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
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
    /// Entries with their id and the version of their last change.
    entries: Vec<(u64, String, String)>,
}

type SharedList = Arc<(Mutex<List>, Condvar)>;

/// Discovery with one list, which answers watches. It may move to another address.
pub struct Discovery {
    list: SharedList,
    /// Time that a call takes.
    call_time: Duration,
    current: Mutex<Service>,
}

/// Discovery at one address.
struct Service {
    address: SocketAddr,
    is_retired: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// Time for which an address that discovery has left keeps its open connections.
const OLD_CONNECTIONS_STAY: Duration = Duration::from_millis(1500);

/// Returns an entry of the list.
pub fn entry(id: &str, address: SocketAddr, zone: &str, cell: usize, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"{zone}","kind":"std","cell":{cell},"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

impl Discovery {
    /// Starts discovery with these entries, each with its id. A call takes `call_time`.
    pub fn start(entries: &[(String, String)], call_time: Duration) -> Self {
        let entries = entries.iter().map(|(id, text)| (1, id.clone(), text.clone())).collect();
        let list: SharedList = Arc::new((Mutex::new(List { version: 1, entries }), Condvar::new()));
        let current = Mutex::new(Service::start(&list, call_time));
        Self { list, call_time, current }
    }

    /// Returns the present address.
    pub fn address(&self) -> SocketAddr {
        self.current.lock().expect("the lock is not poisoned").address
    }

    /// Serves the list at a new address, which it returns. The old address accepts no new connections and closes its
    /// open ones 1.5 s later.
    pub fn move_on(&self) -> SocketAddr {
        let next = Service::start(&self.list, self.call_time);
        let address = next.address;
        let previous = std::mem::replace(&mut *self.current.lock().expect("the lock is not poisoned"), next);
        previous.is_retired.store(true, Ordering::SeqCst);
        thread::spawn(move || {
            thread::sleep(OLD_CONNECTIONS_STAY);
            for socket in &*previous.connections.lock().expect("the lock is not poisoned") {
                let _ = socket.shutdown(Shutdown::Both);
            }
        });
        address
    }

    /// Changes the entry with this id.
    pub fn change(&self, id: &str, text: String) {
        let mut list = self.list.0.lock().expect("the lock is not poisoned");
        list.version += 1;
        let version = list.version;
        list.entries.retain(|(_, known, _)| known != id);
        list.entries.push((version, id.to_owned(), text));
        self.list.1.notify_all();
    }

    /// Returns the whole list, as the configuration has it under `known`.
    pub fn whole(&self) -> String {
        body(&self.list.0.lock().expect("the lock is not poisoned"), None)
    }
}

impl Service {
    fn start(list: &SharedList, call_time: Duration) -> Self {
        let (listener, address) = listen();
        let is_retired = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        listener.set_nonblocking(true).expect("an open socket");
        let service = Self { address, is_retired: is_retired.clone(), connections: connections.clone() };
        let list = list.clone();
        thread::spawn(move || {
            while !is_retired.load(Ordering::SeqCst) {
                let Ok((socket, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = socket.set_nonblocking(false);
                let _ = socket.set_nodelay(true);
                let Ok(copy) = socket.try_clone() else { continue };
                connections.lock().expect("the lock is not poisoned").push(copy);
                let list = list.clone();
                thread::spawn(move || serve_discovery(socket, &list, call_time));
            }
        });
        service
    }
}

fn body(list: &List, from: Option<u64>) -> String {
    let newer = list.entries.iter().filter(|(version, ..)| from.is_none_or(|from| *version > from));
    let entries: Vec<&str> = newer.map(|(_, _, text)| text.as_str()).collect();
    format!(r#"{{"version":{},"full":{},"servers":[{}]}}"#, list.version, from.is_none(), entries.join(","))
}

fn query(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

fn serve_discovery(mut socket: TcpStream, list: &SharedList, call_time: Duration) {
    let Ok(copy) = socket.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(request) = read_message(&mut reader) {
        let from = query(request.path(), "from");
        let hold = Duration::from_millis(query(request.path(), "hold_ms").unwrap_or(0).min(60_000));
        let (until, answer_from) = (Instant::now() + hold, Instant::now() + call_time);
        let mut current = list.0.lock().expect("the lock is not poisoned");
        while from.is_some_and(|from| from >= current.version) && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            current = list.1.wait_timeout(current, left).expect("the lock is not poisoned").0;
        }
        let body = body(&current, from);
        drop(current);
        thread::sleep(answer_from.saturating_duration_since(Instant::now()));
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
