//! A stand-in for discovery: the whole list, compact or indented, and watches that wait for changes.

use super::{Error, http};
use serde::Serialize;
use std::{
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

/// A watch is held for so long at most, whatever it asks for; a shorter hold is allowed.
const MOST_HOLD: Duration = Duration::from_millis(1000);

/// What ends a line of an indented list, and begins the next.
const INDENTED_LINE_END: &str = "\r\n        ";

/// A worker's state in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum State {
    /// Takes work.
    Serving,
    /// Finishes what it has.
    Draining,
}

/// One entry of the list, in the order of the protocol's fields.
#[derive(Debug, Clone, Serialize)]
pub struct Entry {
    id: String,
    addr: SocketAddr,
    zone: &'static str,
    kind: &'static str,
    cell: u32,
    state: State,
    weight: f64,
    started_ms: u64,
}

impl Entry {
    /// The entry of a worker by its number.
    pub fn new(number: usize, addr: SocketAddr, state: State) -> Self {
        let id = format!("s-{number:08x}");
        Self { id, addr, zone: "zone-a", kind: "m2", cell: 0, state, weight: 1.0, started_ms: 0 }
    }
}

/// An answer's body.
#[derive(Debug, Serialize)]
pub struct List<'a> {
    /// The version that it leads to.
    pub version: u64,
    /// It is the whole list.
    pub full: bool,
    /// The entries.
    #[serde(rename = "servers")]
    pub endpoints: &'a [Entry],
}

/// How a list is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Without white space.
    Compact,
    /// An entry's fields on a line each, each line far indented and ended by CRLF.
    Indented,
}

impl Form {
    fn write(self, list: &List<'_>) -> String {
        let text = match self {
            Self::Compact => serde_json::to_string(list),
            Self::Indented => {
                serde_json::to_string_pretty(list).map(|text| text.replace('\n', INDENTED_LINE_END))
            }
        };
        text.expect("a list has no maps and no numbers that JSON lacks")
    }
}

/// What the stand-in has seen or done.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Seen {
    /// A call came; `None` asks for the whole list.
    Call {
        /// The version from which it watches.
        from: Option<u64>,
        /// When it was read.
        at: Instant,
    },
    /// An answer is about to be written.
    Answer {
        /// The version that it leads to.
        version: u64,
        /// When the write began.
        at: Instant,
    },
}

/// What is kept back for the calls to come.
#[derive(Debug)]
struct Held {
    version: u64,
    /// The version from which on changes are known one by one; earlier watches get the whole list.
    whole_until: u64,
    form: Form,
    entries: Vec<Entry>,
    /// Changed entries, with the version of each.
    changes: Vec<(u64, Entry)>,
}

impl Held {
    fn answer(&self, from: Option<u64>) -> String {
        match from.filter(|from| *from >= self.whole_until) {
            Some(from) => {
                let newer = self.changes.iter().filter(|(version, _)| *version > from);
                let endpoints: Vec<Entry> = newer.map(|(_, entry)| entry.clone()).collect();
                self.form.write(&List { version: self.version, full: false, endpoints: &endpoints })
            }
            None => self.form.write(&List { version: self.version, full: true, endpoints: &self.entries }),
        }
    }
}

#[derive(Debug)]
struct Shared {
    held: Mutex<Held>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A discovery service that listens on loopback.
#[derive(Debug)]
pub struct StandInDiscovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// Calls and answers in the order in which they came.
    pub seen: Receiver<Seen>,
    shared: Arc<Shared>,
}

impl StandInDiscovery {
    /// Starts to listen on a free port, with this list as version 1. The threads end with the process.
    ///
    /// # Errors
    /// No socket can be had.
    pub fn start(entries: Vec<Entry>) -> Result<Self, Error> {
        let system = |error| Error::System("listening as discovery", error);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(system)?;
        let address = listener.local_addr().map_err(system)?;
        let held = Held { version: 1, whole_until: 1, form: Form::Compact, entries, changes: Vec::new() };
        let shared = Arc::new(Shared { held: Mutex::new(held), changed: Condvar::new() });
        let (report, seen) = channel();
        let served = shared.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (shared, report) = (served.clone(), report.clone());
                thread::spawn(move || serve(&socket, &shared, &report));
            }
        });
        Ok(Self { address, seen, shared })
    }

    /// Replaces the list; each watch is told the whole of it. Returns its version.
    pub fn replace(&self, entries: Vec<Entry>, form: Form) -> u64 {
        let mut held = self.shared.lock();
        held.version += 1;
        held.whole_until = held.version;
        held.form = form;
        held.entries = entries;
        held.changes.clear();
        let version = held.version;
        drop(held);
        self.shared.changed.notify_all();
        version
    }

    /// Changes the entry with this number in the list; watches are told of it alone. Returns the new version.
    pub fn change(&self, number: usize, state: State) -> u64 {
        let mut held = self.shared.lock();
        held.version += 1;
        let version = held.version;
        held.entries[number].state = state;
        let entry = held.entries[number].clone();
        held.changes.push((version, entry));
        drop(held);
        self.shared.changed.notify_all();
        version
    }
}

fn serve(mut socket: &TcpStream, shared: &Shared, report: &Sender<Seen>) {
    // Answers leave at once, also behind others that are not yet acknowledged.
    if socket.set_nodelay(true).is_err() {
        return;
    }
    let mut reader = BufReader::new(socket);
    while let Ok(Some(call)) = http::read_message(&mut reader) {
        let from = call.query("from").and_then(|version| version.parse().ok());
        if report.send(Seen::Call { from, at: Instant::now() }).is_err() {
            return;
        }
        let hold = call
            .query("hold_ms")
            .and_then(|hold| hold.parse().ok())
            .map_or(Duration::ZERO, Duration::from_millis);
        let (version, body) = wait_for_answer(shared, from, hold.min(MOST_HOLD));
        let _ = report.send(Seen::Answer { version, at: Instant::now() });
        if socket.write_all(http::ok_response(&body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Waits until there is something newer than `from`, or the hold is over; the answer's version and body.
fn wait_for_answer(shared: &Shared, from: Option<u64>, hold: Duration) -> (u64, String) {
    let held = shared.lock();
    let wait = |held: &mut Held| from == Some(held.version);
    let (held, _) =
        shared.changed.wait_timeout_while(held, hold, wait).unwrap_or_else(PoisonError::into_inner);
    (held.version, held.answer(from))
}
