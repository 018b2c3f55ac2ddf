//! A stand-in for discovery, which serves the complete list, compact or indented, and holds each watch until the list
//! changes.

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

/// Longest hold of a watch. The protocol allows a shorter hold than the watch requests.
const MAX_HOLD: Duration = Duration::from_millis(1000);

/// Line break of an indented list, with additional indentation of the next line.
const INDENTED_LINE_BREAK: &str = "\r\n        ";

/// State of an endpoint in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EntryState {
    /// The endpoint accepts requests.
    Serving,
    /// The endpoint finishes its open requests and accepts no new ones.
    Draining,
}

/// Entry of the list, with its fields in the order of the protocol.
#[derive(Debug, Clone, Serialize)]
pub struct ListEntry {
    id: String,
    addr: SocketAddr,
    zone: &'static str,
    kind: &'static str,
    cell: u32,
    state: EntryState,
    weight: f64,
    started_ms: u64,
}

impl ListEntry {
    /// Creates the entry of the endpoint with this number.
    pub fn new(number: usize, addr: SocketAddr, state: EntryState) -> Self {
        let id = format!("s-{number:08x}");
        Self { id, addr, zone: "zone-a", kind: "m2", cell: 0, state, weight: 1.0, started_ms: 0 }
    }
}

/// Body of a response with the complete list or with changes.
#[derive(Debug, Serialize)]
pub struct ListResponse<'a> {
    /// Version of the list that the receiver has after applying the response.
    pub version: u64,
    /// True for the complete list, false for changes.
    pub full: bool,
    /// All entries of the list, or the changed ones.
    #[serde(rename = "servers")]
    pub endpoints: &'a [ListEntry],
}

/// Layout of the JSON text of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListFormat {
    /// No white space.
    Compact,
    /// Each field of an entry on a separate line, deeply indented and ended by CRLF.
    Indented,
}

impl ListFormat {
    fn to_json(self, list: &ListResponse<'_>) -> String {
        let text = match self {
            Self::Compact => serde_json::to_string(list),
            Self::Indented => {
                serde_json::to_string_pretty(list).map(|text| text.replace('\n', INDENTED_LINE_BREAK))
            }
        };
        text.expect("a list has no maps and no numbers that JSON lacks")
    }
}

/// Call to the stand-in, or response of the stand-in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DiscoveryEvent {
    /// A call was received.
    Call {
        /// Version whose successors are watched for; `None` for a call for the complete list.
        from: Option<u64>,
        /// Time at which the call was received.
        at: Instant,
    },
    /// A response is about to be written.
    Response {
        /// Version of the list after the response.
        version: u64,
        /// Time just before the write.
        at: Instant,
    },
}

/// Change of one entry.
#[derive(Debug)]
struct EntryChange {
    /// Version of the list after the change.
    version: u64,
    /// New value of the entry.
    entry: ListEntry,
}

/// Current list and its latest changes.
#[derive(Debug)]
struct ListHistory {
    version: u64,
    /// Oldest version whose later changes are known. A watch from an earlier version receives the complete list.
    oldest_watchable_version: u64,
    format: ListFormat,
    entries: Vec<ListEntry>,
    changes: Vec<EntryChange>,
}

impl ListHistory {
    /// Returns the body of the response to a watch from a version, or with `None` to a call for the complete list.
    fn response_body(&self, from: Option<u64>) -> String {
        match from.filter(|from| *from >= self.oldest_watchable_version) {
            Some(from) => {
                let newer = self.changes.iter().filter(|change| change.version > from);
                let endpoints: Vec<ListEntry> = newer.map(|change| change.entry.clone()).collect();
                self.format.to_json(&ListResponse {
                    version: self.version,
                    full: false,
                    endpoints: &endpoints,
                })
            }
            None => self.format.to_json(&ListResponse {
                version: self.version,
                full: true,
                endpoints: &self.entries,
            }),
        }
    }
}

#[derive(Debug)]
struct SharedList {
    history: Mutex<ListHistory>,
    changed: Condvar,
}

impl SharedList {
    fn lock(&self) -> MutexGuard<'_, ListHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Discovery service that listens on loopback.
#[derive(Debug)]
pub struct StandInDiscovery {
    /// Address on which discovery listens.
    pub address: SocketAddr,
    /// Calls and responses, in the order in which they occur.
    pub events: Receiver<DiscoveryEvent>,
    shared: Arc<SharedList>,
}

impl StandInDiscovery {
    /// Listens on a free port, with these entries as version 1 of the list. The threads run until the process ends.
    ///
    /// # Errors
    /// No socket can be opened.
    pub fn start(entries: Vec<ListEntry>) -> Result<Self, Error> {
        let listen_error = Error::io("listening as discovery");
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(&listen_error)?;
        let address = listener.local_addr().map_err(&listen_error)?;
        let history = ListHistory {
            version: 1,
            oldest_watchable_version: 1,
            format: ListFormat::Compact,
            entries,
            changes: Vec::new(),
        };
        let shared = Arc::new(SharedList { history: Mutex::new(history), changed: Condvar::new() });
        let (event_sender, events) = channel();
        let thread_shared = shared.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (shared, event_sender) = (thread_shared.clone(), event_sender.clone());
                thread::spawn(move || serve(&socket, &shared, &event_sender));
            }
        });
        Ok(Self { address, events, shared })
    }

    /// Replaces the list and sends the complete new list to each watch. Returns the new version.
    pub fn replace(&self, entries: Vec<ListEntry>, format: ListFormat) -> u64 {
        let mut history = self.shared.lock();
        history.version += 1;
        history.oldest_watchable_version = history.version;
        history.format = format;
        history.entries = entries;
        history.changes.clear();
        let version = history.version;
        drop(history);
        self.shared.changed.notify_all();
        version
    }

    /// Changes the state of the entry with this number and sends only this entry to each watch. Returns the new
    /// version.
    pub fn change(&self, number: usize, state: EntryState) -> u64 {
        let mut history = self.shared.lock();
        history.version += 1;
        let version = history.version;
        history.entries[number].state = state;
        let entry = history.entries[number].clone();
        history.changes.push(EntryChange { version, entry });
        drop(history);
        self.shared.changed.notify_all();
        version
    }
}

fn serve(mut socket: &TcpStream, shared: &SharedList, event_sender: &Sender<DiscoveryEvent>) {
    // Without this option, a response is held back until the client has acknowledged the previous one.
    if socket.set_nodelay(true).is_err() {
        return;
    }
    let mut reader = BufReader::new(socket);
    while let Ok(Some(call)) = http::read_message(&mut reader) {
        let from = call.query("from").and_then(|version| version.parse().ok());
        if event_sender.send(DiscoveryEvent::Call { from, at: Instant::now() }).is_err() {
            return;
        }
        let hold = call
            .query("hold_ms")
            .and_then(|hold| hold.parse().ok())
            .map_or(Duration::ZERO, Duration::from_millis);
        let response = wait_for_response(shared, from, hold.min(MAX_HOLD));
        let _ = event_sender.send(DiscoveryEvent::Response { version: response.version, at: Instant::now() });
        if socket.write_all(http::ok_response(&response.body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Response to a call.
struct Response {
    /// Version of the list after the response.
    version: u64,
    body: String,
}

/// Waits until the list has another version than `from`, or `hold` has passed. Returns the response.
fn wait_for_response(shared: &SharedList, from: Option<u64>, hold: Duration) -> Response {
    let history = shared.lock();
    let is_unchanged = |history: &mut ListHistory| from == Some(history.version);
    let waited = shared.changed.wait_timeout_while(history, hold, is_unchanged);
    let (history, _) = waited.unwrap_or_else(PoisonError::into_inner);
    Response { version: history.version, body: history.response_body(from) }
}
