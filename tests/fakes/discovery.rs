//! Fake discovery service with one endpoint list.

use super::{
    WAIT_LIMIT,
    message::read_message,
    ports::{accept_connections, listen},
};
use serde_json::{Value, json};
use std::{
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    time::Duration,
};

/// Longest time that a watch is held, even if the gateway allows more; discovery may answer a watch early.
const MAX_WATCH_TIME: Duration = Duration::from_secs(1);

/// Endpoint list, and the way in which calls for it are answered.
#[derive(Default)]
struct ListState {
    /// Number of changes since the start.
    version: u64,
    /// Entries, each with the version of its last change.
    entries: Vec<(u64, Value)>,
    is_invalid: bool,
    is_silent: bool,
    /// Number of calls that are still to be answered with 503.
    calls_to_reject: usize,
}

/// Endpoint list shared between the test and the connections that serve it.
#[derive(Default)]
struct SharedList {
    state: Mutex<ListState>,
    changed: Condvar,
}

/// Discovery service on a loopback socket.
pub struct FakeDiscovery {
    pub addr: SocketAddr,
    /// Version that each call starts from; 0 for the complete list.
    calls: Receiver<u64>,
    call_sender: Sender<u64>,
    list: Arc<SharedList>,
}

/// Returns an entry of the endpoint list, in zone `hall-a`.
pub fn endpoint_entry(id: &str, addr: SocketAddr, state: &str) -> Value {
    json!({"id": id, "addr": addr.to_string(), "zone": "hall-a", "kind": "k", "cell": 1, "state": state,
        "weight": 1.0, "started_ms": 0})
}

impl FakeDiscovery {
    pub fn start(entries: &[Value]) -> Self {
        let (listener, addr) = listen();
        let list = Arc::new(SharedList::default());
        let (call_sender, calls) = channel();
        serve_list(listener, list.clone(), call_sender.clone());
        let discovery = Self { addr, calls, call_sender, list };
        for entry in entries {
            discovery.update_entry(entry.clone());
        }
        discovery
    }

    /// Serves the same list on another socket.
    pub fn also_serve_on(&self, listener: TcpListener) {
        serve_list(listener, self.list.clone(), self.call_sender.clone());
    }

    fn change_state(&self, change: impl FnOnce(&mut ListState)) {
        change(&mut self.list.state.lock().expect("the lock is not poisoned"));
        self.list.changed.notify_all();
    }

    /// Adds or replaces an entry and returns the list's new version.
    pub fn update_entry(&self, entry: Value) -> u64 {
        let mut version = 0;
        self.change_state(|list| {
            list.version += 1;
            version = list.version;
            list.entries.retain(|(_, listed)| listed["id"] != entry["id"]);
            list.entries.push((version, entry));
        });
        version
    }

    /// Sets whether calls are answered with a truncated list.
    pub fn set_invalid(&self, is_invalid: bool) {
        self.change_state(|list| list.is_invalid = is_invalid);
    }

    /// Sets whether calls get no response.
    pub fn set_silent(&self, is_silent: bool) {
        self.change_state(|list| list.is_silent = is_silent);
    }

    /// Answers the next `count` calls with 503.
    pub fn reject_calls(&self, count: usize) {
        self.change_state(|list| list.calls_to_reject = count);
    }

    /// Waits until the gateway calls from `version` or later, and so has applied all changes up to `version`.
    pub fn wait_until_applied(&self, version: u64) {
        while self.calls.recv_timeout(WAIT_LIMIT).expect("a call") < version {}
    }

    /// Waits for the next call and returns the version that it starts from, 0 for the complete list.
    pub fn next_call(&self) -> u64 {
        self.calls.recv_timeout(WAIT_LIMIT).expect("a call")
    }
}

/// Answers calls for the list, and sends the version that each starts from to `calls`.
fn serve_list(listener: TcpListener, list: Arc<SharedList>, calls: Sender<u64>) {
    accept_connections(listener, move |socket, _| serve_connection(&socket, &list, &calls));
}

fn serve_connection(mut socket: &TcpStream, list: &SharedList, calls: &Sender<u64>) {
    let mut reader = BufReader::new(socket);
    while let Some(message) = read_message(&mut reader) {
        let from = from_version(&message.start_line);
        let _ = calls.send(from.unwrap_or(0));
        let guard = list.state.lock().expect("the lock is not poisoned");
        let must_wait = |state: &mut ListState| {
            state.is_silent
                || (state.calls_to_reject == 0 && !state.is_invalid && from == Some(state.version))
        };
        let (mut state, _) = list
            .changed
            .wait_timeout_while(guard, MAX_WATCH_TIME, must_wait)
            .expect("the lock is not poisoned");
        if state.calls_to_reject > 0 {
            state.calls_to_reject -= 1;
            drop(state);
            let _ = socket.write_all(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if state.is_silent {
            drop(state);
            let _ = reader.read(&mut [0]);
            return;
        }
        let body = list_body(&state, from);
        drop(state);
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let _ = socket.write_all(response.as_bytes());
    }
}

/// Returns the version that a call starts from; `None` if the call is for the complete list.
fn from_version(request_line: &str) -> Option<u64> {
    let (_, rest) = request_line.split_once("from=")?;
    let version = rest.split(['&', ' ']).next().and_then(|text| text.parse::<u64>().ok());
    Some(version.expect("a version"))
}

fn list_body(list: &ListState, from: Option<u64>) -> String {
    if list.is_invalid {
        return "{\"version\":".to_owned();
    }
    let newer = list.entries.iter().filter(|(version, _)| from.is_none_or(|from| *version > from));
    let endpoints: Vec<&Value> = newer.map(|(_, entry)| entry).collect();
    json!({"version": list.version, "full": from.is_none(), "servers": endpoints}).to_string()
}
