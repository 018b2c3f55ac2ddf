//! Tests that the stand-ins follow the protocols of endpoints, counter and discovery.

use oliverack_lab::process::{
    http::{Message, read_message},
    stand_in_counter::StandInCounter,
    stand_in_discovery::{DiscoveryEvent, EntryState, ListEntry, ListFormat, StandInDiscovery},
    stand_in_endpoints::StandInEndpoints,
};
use serde_json::Value;
use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest wait for a response or an event.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Connection to a stand-in.
struct Client(BufReader<TcpStream>);

impl Client {
    fn connect(address: SocketAddr) -> Self {
        let socket = TcpStream::connect(address).expect("the stand-in should listen");
        socket.set_read_timeout(Some(READ_TIMEOUT)).expect("the socket should accept a timeout");
        Self(BufReader::new(socket))
    }

    fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("the stand-in should read");
    }

    fn get(&mut self, target: &str) -> Message {
        self.send(&format!("GET {target} HTTP/1.1\r\nHost: backend.local\r\n\r\n"));
        read_message(&mut self.0).expect("a readable response").expect("a complete response")
    }

    fn get_list(&mut self, target: &str) -> Value {
        let response = self.get(target);
        assert_eq!(response.status(), Some(200));
        serde_json::from_slice(&response.body).expect("the body should be JSON")
    }

    fn call(&mut self, call: &str) -> String {
        self.send(&format!("{call}\r\n"));
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a readable response");
        line
    }
}

fn entries(count: usize) -> Vec<ListEntry> {
    let address = "127.1.0.1:9000".parse().expect("a valid address");
    (0..count).map(|number| ListEntry::new(number, address, EntryState::Serving)).collect()
}

#[test]
fn endpoints_respond_on_persistent_connections_to_unique_addresses() {
    let endpoints = StandInEndpoints::start().expect("a free port");
    let addresses = [0, 1, 249, 250, 9199, 62_500].map(|number| endpoints.address(number));
    for (index, address) in addresses.into_iter().enumerate() {
        assert!(address.ip().is_loopback());
        assert!(!addresses[..index].contains(&address), "{address} is not unique");
        let mut client = Client::connect(address);
        for _ in 0..3 {
            let response = client.get("/lookup");
            assert_eq!((response.status(), response.body.as_slice()), (Some(200), &b"ok"[..]));
        }
    }
}

#[test]
fn counter_responds_with_shared_totals() {
    let counter = StandInCounter::start().expect("a free port");
    let (mut first, mut second) = (Client::connect(counter.address), Client::connect(counter.address));
    assert_eq!(first.call("ping"), "pong\r\n");
    assert_eq!(first.call("bump a 2.5 4000"), "ok 2.5\r\n");
    assert_eq!(second.call("bump a -1 4000"), "ok 1.5\r\n");
    assert_eq!(second.call("bump b 1 4000"), "ok 1\r\n");
    assert_eq!(second.call("bump b inf 4000"), "error\r\n");
    assert_eq!(second.call("bump b"), "error\r\n");
    assert_eq!(counter.calls(), 5);
}

#[test]
fn discovery_sends_complete_list_then_changes() {
    let discovery = StandInDiscovery::start(entries(3)).expect("a free port");
    let mut client = Client::connect(discovery.address);
    let list = client.get_list("/discovery/hosts");
    assert_eq!((&list["version"], &list["full"]), (&1.into(), &true.into()));
    let ids: Vec<&Value> =
        list["servers"].as_array().expect("an array of entries").iter().map(|entry| &entry["id"]).collect();
    assert_eq!(ids, ["s-00000000", "s-00000001", "s-00000002"]);
    assert_eq!(discovery.change(1, EntryState::Draining), 2);
    let changes = client.get_list("/discovery/hosts?from=1&hold_ms=20000");
    assert_eq!((&changes["version"], &changes["full"]), (&2.into(), &false.into()));
    let changed = changes["servers"].as_array().expect("an array of entries");
    assert_eq!(changed.len(), 1);
    assert_eq!((&changed[0]["id"], &changed[0]["state"]), (&"s-00000001".into(), &"DRAINING".into()));
    let unchanged = client.get_list("/discovery/hosts?from=2&hold_ms=1");
    assert_eq!(unchanged["servers"], Value::Array(Vec::new()));
    let complete_list = Client::connect(discovery.address).get_list("/discovery/hosts");
    assert_eq!(complete_list["servers"][1]["state"], "DRAINING");
}

#[test]
fn held_watch_receives_replaced_list_in_new_format() {
    let discovery = StandInDiscovery::start(entries(1)).expect("a free port");
    let mut client = Client::connect(discovery.address);
    client.get_list("/discovery/hosts");
    client.send("GET /discovery/hosts?from=1&hold_ms=60000 HTTP/1.1\r\n\r\n");
    let is_watch = |event| matches!(event, DiscoveryEvent::Call { from: Some(1), .. });
    while !is_watch(discovery.events.recv_timeout(READ_TIMEOUT).expect("a reported watch")) {}
    assert_eq!(discovery.replace(entries(2), ListFormat::Indented), 2);
    let response = read_message(&mut client.0).expect("a readable response").expect("a complete response");
    let text = String::from_utf8(response.body).expect("UTF-8");
    assert!(text.starts_with("{\r\n          \"version\": 2,\r\n"), "{text}");
    let list: Value = serde_json::from_str(&text).expect("the body should be JSON");
    assert_eq!((&list["full"], list["servers"].as_array().map(Vec::len)), (&true.into(), Some(2)));
    let is_response = |event| matches!(event, DiscoveryEvent::Response { version: 2, .. });
    while !is_response(discovery.events.recv_timeout(READ_TIMEOUT).expect("a reported response")) {}
}
