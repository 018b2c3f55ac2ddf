//! Limits of scale: descriptors used up by idle clients, simultaneous starts, long endpoint lists, large fleets.

mod fakes;
use fakes::{
    Client, CounterBehaviour, EndpointBehaviour, FakeCounter, FakeEndpoint, LaunchOptions, Node, NodeBuilder,
    ReservedPort, SaturatedListener, TestRequest, WAIT_LIMIT, endpoint_entry, read_message,
};
use serde_json::json;
use std::{
    io::{BufRead, BufReader, Write},
    net::{TcpListener, TcpStream},
    time::{Duration, Instant},
};

/// Returns the processor time that the process has used, in hundredths of a second.
fn processor_time(node: &Node) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.child.id())).expect("a process");
    let fields: Vec<&str> =
        stat.rsplit(')').next().expect("the fields after the name").split_whitespace().collect();
    fields[11..13].iter().map(|field| field.parse::<u64>().expect("a time")).sum()
}

#[test]
fn idle_clients_at_descriptor_limit_do_not_block_discovery_recovery() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (mut builder, discovery) = NodeBuilder::new(&[&endpoint]);
    let counter = FakeCounter::start(CounterBehaviour::Normal);
    builder.counter(counter.addr);
    builder.max_sockets(96);
    let closed_port = ReservedPort::new();
    builder.discovery(closed_port.addr);
    let node = builder.start_with(&LaunchOptions { max_descriptors: Some(96), ..LaunchOptions::default() });
    node.wait_for_log("discovery failed reason=no connection");
    let mut earlier_client = node.connect();
    assert_eq!(earlier_client.send_request(&TestRequest::new("old")).status(), 200);
    // Far more clients than descriptors: a third send a request and idle, a third send a part of one, a third nothing.
    let mut idle = Vec::new();
    for i in 0..300 {
        let mut client = node.connect();
        match i % 3 {
            0 => client.send(&TestRequest::new(&format!("i{i}"))),
            1 => drop(client.reader.get_mut().write_all(b"GET /check-answer HT")),
            _ => {}
        }
        idle.push(client);
    }
    // Every complete request is answered, on old and new connections.
    for client in idle.iter_mut().step_by(3) {
        let status = client.read_response().expect("a complete response").status();
        assert!(matches!(status, 200 | 429), "{status}, though excess requests may be rejected");
    }
    let time_before = processor_time(&node);
    std::thread::sleep(Duration::from_secs(1));
    assert!(processor_time(&node) - time_before < 50, "the process spins");
    // Discovery recovers, with a change.
    let serving = FakeEndpoint::start(EndpointBehaviour::Respond("well"));
    discovery.update_entry(endpoint_entry("w1", serving.addr, "SERVING"));
    let version = discovery.update_entry(endpoint_entry("w0", endpoint.addr, "DRAINING"));
    discovery.also_serve_on(closed_port.listen());
    discovery.wait_until_applied(version);
    let limited_request = |txn: &str| TestRequest::new(txn).with_header("X-Plan", "pieni");
    assert_eq!(node.send_request(&limited_request("new")).body, b"well", "the counter is reached, too");
    let mut kept_open = 0;
    for (i, client) in idle.iter_mut().enumerate().step_by(3) {
        // An idle connection may have been closed; its client would connect again.
        client.send(&TestRequest::new(&format!("again{i}")));
        let response = client.read_response();
        kept_open += usize::from(response.is_some());
        assert!(response.is_none_or(|response| response.body == b"well" || response.status() == 429));
    }
    assert!(kept_open > 0, "some idle connections stay open");
    assert_eq!(node.send_request(&TestRequest::new("last")).body, b"well");
    counter.calls.recv_timeout(WAIT_LIMIT).expect("a call");
}

#[test]
fn nine_tenths_of_fleet_start_in_time_without_discovery_and_counter() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (mut builder, _unused_discovery) = NodeBuilder::new(&[&endpoint]);
    let closed_port = ReservedPort::new();
    // Connections are accepted without a response, stay pending, or are refused.
    let silent_listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let saturated = SaturatedListener::start();
    let addresses = [silent_listener.local_addr().expect("bound"), saturated.addr, closed_port.addr];
    let process_count = 350;
    let mut nodes = Vec::new();
    for index in 0..process_count {
        builder.discovery(addresses[index % 3]);
        builder.counter(addresses[index / 3 % 3]);
        builder.settings["Discovery"] = json!(if index % 2 == 0 { "push" } else { "ask" });
        builder.settings["PeersTotal"] = json!(process_count);
        builder.settings["Me"] = json!(index);
        nodes.push((Instant::now(), builder.spawn()));
    }
    let mut late_count = 0;
    for (started_at, (mut child, path)) in nodes {
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        while !line.contains("listening gateway=") {
            line.clear();
            assert!(log.read_line(&mut line).expect("a line") > 0, "the process has ended");
        }
        let addr = line
            .trim()
            .rsplit_once("address=")
            .and_then(|(_, address)| address.parse().ok())
            .expect("the bound address");
        let mut health_check = TestRequest::new("");
        health_check.request_line = "GET /up HTTP/1.1".into();
        let response = Client::connect(addr).send_request(&health_check);
        late_count += usize::from(response.status() != 200 || started_at.elapsed() > Duration::from_secs(10));
        assert!(child.kill().is_ok() && child.wait().is_ok());
        let _ = std::fs::remove_file(path);
    }
    assert!(late_count * 10 <= process_count, "{late_count} of {process_count} were not ready in time");
}

#[test]
fn list_of_1024_endpoints_in_fleet_of_1024_is_applied() {
    let unused_listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = unused_listener.local_addr().expect("bound");
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (mut builder, _unused_discovery) = NodeBuilder::new(&[]);
    builder.known_endpoints = (0..1023).map(|i| endpoint_entry(&format!("w{i}"), addr, "DRAINING")).collect();
    builder.known_endpoints.push(endpoint_entry("w1023", endpoint.addr, "SERVING"));
    builder.settings["PeersTotal"] = json!(1024);
    builder.settings["Me"] = json!(1023);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    builder.discovery(listener.local_addr().expect("bound"));
    let mut config = builder.config();
    config["limits"]["memory_mb"] = json!(32);
    let node = builder.start_with_config(&config.to_string(), &LaunchOptions::default());
    let request = |txn: &str| TestRequest::new(txn).with_header("X-Quota", "units=1,spread=1024,first=1023");
    assert_eq!(node.send_request(&request("known")).status(), 200, "the configured list");
    // The same list from discovery, indented, with another running endpoint.
    let new_endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("other"));
    builder.known_endpoints[1023] = endpoint_entry("w1023", addr, "DRAINING");
    builder.known_endpoints[0] = endpoint_entry("w0", new_endpoint.addr, "SERVING");
    let list = json!({"version": 7, "full": true, "servers": builder.known_endpoints});
    let body = serde_json::to_string_pretty(&list).expect("JSON").replace("\n", "\r\n        ");
    assert!(body.len() > 250_000, "{} bytes", body.len());
    let (mut socket, _) = listener.accept().expect("a call");
    read_message(&mut BufReader::new(&socket)).expect("a call");
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    socket.write_all(response.as_bytes()).expect("the gateway reads");
    let watch = read_message(&mut BufReader::new(&socket)).expect("a watch");
    assert!(watch.start_line.contains("from=7"), "{}", watch.start_line);
    assert_eq!(node.send_request(&request("told")).body, b"other");
}

/// Returns an indented list of `count` endpoints, of which only `last` is running.
fn indented_list(count: usize, version: u64, last: &FakeEndpoint) -> String {
    let closed_addr =
        TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port");
    let id = |i: usize| format!("worker-hall-a-{i:05}");
    let mut endpoints: Vec<_> =
        (0..count - 1).map(|i| endpoint_entry(&id(i), closed_addr, "DRAINING")).collect();
    endpoints.push(endpoint_entry(&id(count - 1), last.addr, "SERVING"));
    let list = json!({"version": version, "full": true, "servers": endpoints});
    serde_json::to_string_pretty(&list).expect("JSON").replace('\n', "\r\n        ")
}

/// Accepts the next call to discovery, responds with `body` and returns the connection.
fn answer_next_call(listener: &TcpListener, body: &str) -> TcpStream {
    let (mut socket, _) = listener.accept().expect("a call");
    read_message(&mut BufReader::new(&socket)).expect("a call");
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    // The gateway may close before it has read all of a list that is too long.
    let _ = socket.write_all(response.as_bytes());
    socket
}

/// Starts one of 680 gateways with 32 MB of memory; returns it with the listener at its address of discovery.
fn start_small_gateway() -> (Node, TcpListener) {
    let (mut builder, _unused_discovery) = NodeBuilder::new(&[]);
    builder.settings["PeersTotal"] = json!(680);
    builder.settings["Me"] = json!(679);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    builder.discovery(listener.local_addr().expect("bound"));
    let mut config = builder.config();
    config["limits"]["memory_mb"] = json!(32);
    (builder.start_with_config(&config.to_string(), &LaunchOptions::default()), listener)
}

#[test]
fn indented_list_of_9200_endpoints_is_applied_within_32_mb() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    // Built before the gateway starts, because the gateway waits only seconds for a list.
    let body = indented_list(9200, 7, &endpoint);
    let (node, listener) = start_small_gateway();
    assert!(body.len() > 2 << 20, "{} bytes", body.len());
    let socket = answer_next_call(&listener, &body);
    let watch = read_message(&mut BufReader::new(&socket)).expect("a watch");
    assert!(watch.start_line.contains("from=7"), "{}", watch.start_line);
    assert_eq!(node.send_request(&TestRequest::new("told")).body, b"ok");
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).expect("a process");
    let peak =
        status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak of resident memory");
    let peak: usize = peak.trim().trim_end_matches(" kB").parse().expect("a size");
    assert!(peak < 32 << 10, "{peak} kB");
}

#[test]
fn too_long_list_is_logged_in_one_line_and_next_list_is_applied() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (long, short) = (indented_list(20_000, 7, &endpoint), indented_list(2, 8, &endpoint));
    let (node, listener) = start_small_gateway();
    answer_next_call(&listener, &long);
    answer_next_call(&listener, &long);
    answer_next_call(&listener, &short);
    assert!(
        node.wait_for_log("discovery failed").ends_with(
            "discovery failed reason=the list is longer than the 4194304 bytes that fit in memory"
        )
    );
    assert!(node.wait_for_log("discovery").ends_with("discovery has recovered"));
    assert_eq!(node.send_request(&TestRequest::new("told")).body, b"ok");
}

#[test]
fn long_list_in_slow_chunks_is_applied() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    // Built before the gateway starts, because the gateway waits only seconds for a list.
    let body = indented_list(9200, 7, &endpoint);
    let (node, listener) = start_small_gateway();
    let (mut socket, _) = listener.accept().expect("a call");
    read_message(&mut BufReader::new(&socket)).expect("a call");
    socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("the gateway reads");
    for chunk in body.as_bytes().chunks(body.len().div_ceil(5)) {
        std::thread::sleep(Duration::from_millis(30));
        socket.write_all(format!("{:x}\r\n", chunk.len()).as_bytes()).expect("the gateway reads");
        socket.write_all(chunk).expect("the gateway reads");
        socket.write_all(b"\r\n").expect("the gateway reads");
    }
    socket.write_all(b"0\r\n\r\n").expect("the gateway reads");
    let watch = read_message(&mut BufReader::new(&socket)).expect("a watch");
    assert!(watch.start_line.contains("from=7"), "{}", watch.start_line);
    assert_eq!(node.send_request(&TestRequest::new("told")).body, b"ok");
}
