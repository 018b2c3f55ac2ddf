//! The connection of the built program to discovery: endpoint lists, failures, recovery.

mod fakes;
use fakes::{
    EndpointBehaviour, FakeEndpoint, LaunchOptions, NodeBuilder, PacedPart, ResponseFraming, TestRequest,
    endpoint_entry, read_message, start_paced_writer,
};
use serde_json::json;
use std::{
    io::{BufReader, Write},
    net::TcpListener,
    thread,
    time::{Duration, Instant},
};

#[test]
fn draining_or_deleted_endpoint_gets_no_requests() {
    for state in ["DRAINING", "DELETED"] {
        let (first_endpoint, second_endpoint) = (
            FakeEndpoint::start(EndpointBehaviour::Respond("ok")),
            FakeEndpoint::start(EndpointBehaviour::Respond("ok")),
        );
        let (builder, discovery) = NodeBuilder::new(&[&first_endpoint, &second_endpoint]);
        let node = builder.start();
        discovery.wait_until_applied(2);
        // Both endpoints are used before the change.
        let (mut first_count, mut second_count) = (0, 0);
        for i in 0.. {
            assert_eq!(node.send_request(&TestRequest::new(&format!("p{i}"))).status(), 200);
            first_count += first_endpoint.drain_requests().len();
            second_count += second_endpoint.drain_requests().len();
            if first_count > 0 && second_count > 0 {
                break;
            }
        }
        discovery.wait_until_applied(discovery.update_entry(endpoint_entry(
            "w0",
            first_endpoint.addr,
            state,
        )));
        for i in 0..8 {
            assert_eq!(node.send_request(&TestRequest::new(&format!("q{i}"))).status(), 200);
        }
        assert_eq!((first_endpoint.drain_requests().len(), second_endpoint.drain_requests().len()), (0, 8));
    }
}

#[test]
fn silent_or_invalid_discovery_is_followed_again_after_recovery() {
    let (old_endpoint, new_endpoint) = (
        FakeEndpoint::start(EndpointBehaviour::Respond("old")),
        FakeEndpoint::start(EndpointBehaviour::Respond("new")),
    );
    let (builder, discovery) = NodeBuilder::new(&[&old_endpoint]);
    discovery.set_silent(true);
    let node = builder.start();
    discovery.next_call();
    assert_eq!(node.send_request(&TestRequest::new("a")).body, b"old", "the configured list is used");
    node.wait_for_log("no complete response in time");
    discovery.set_silent(false);
    discovery.set_invalid(true);
    node.wait_for_log("not a valid endpoint list");
    discovery.set_invalid(false);
    discovery.update_entry(endpoint_entry("w1", new_endpoint.addr, "SERVING"));
    discovery.wait_until_applied(discovery.update_entry(endpoint_entry("w0", old_endpoint.addr, "DELETED")));
    assert_eq!(node.send_request(&TestRequest::new("b")).body, b"new");
}

#[test]
fn rejected_poll_is_retried_from_known_version() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (mut builder, discovery) = NodeBuilder::new(&[&endpoint]);
    builder.settings["Discovery"] = "ask".into();
    discovery.reject_calls(2);
    let mut config = builder.config();
    config["known"]["version"] = 1.into();
    let node = builder.start_with_config(&config.to_string(), &LaunchOptions::default());
    for _ in 0..3 {
        assert_eq!(discovery.next_call(), 1, "not the complete list");
    }
    assert_eq!(node.send_request(&TestRequest::new("a")).status(), 200);
    discovery.wait_until_applied(discovery.update_entry(endpoint_entry("w0", endpoint.addr, "DRAINING")));
    assert_eq!(node.send_request(&TestRequest::new("b")).status(), 429, "the watch delivers changes");
}

#[test]
fn endpoint_list_longer_than_body_limit_is_read() {
    let (mut builder, discovery) = NodeBuilder::new(&[]);
    let unused_listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = unused_listener.local_addr().expect("bound");
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let mut version = 0;
    // About 130 bytes each, 130 kB in total.
    for i in 0..1000 {
        version = discovery.update_entry(endpoint_entry(&format!("w{i}"), addr, "DRAINING"));
    }
    version = version.max(discovery.update_entry(endpoint_entry("w", endpoint.addr, "SERVING")));
    builder.known_endpoints.clear();
    let node = builder.start();
    discovery.wait_until_applied(version);
    assert_eq!(node.send_request(&TestRequest::new("a")).status(), 200);
}

#[test]
fn unavailable_discovery_is_polled_again_within_grace_period() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, discovery) = NodeBuilder::new(&[&endpoint]);
    discovery.set_invalid(true);
    let _node = builder.start();
    // By the last of these calls the backoff has reached its maximum.
    for _ in 0..8 {
        assert_eq!(discovery.next_call(), 0);
    }
    let time_to_next_call = || {
        let start = Instant::now();
        discovery.next_call();
        start.elapsed()
    };
    // A busy machine only makes the gaps longer.
    let shortest = (0..6).map(|_| time_to_next_call()).min().expect("six");
    assert!(shortest < Duration::from_millis(450), "{shortest:?} between calls");
}

#[test]
fn response_written_before_discovery_address_change_is_applied() {
    for is_split in [false, true] {
        let (draining, serving) = (
            FakeEndpoint::start(EndpointBehaviour::Respond("left")),
            FakeEndpoint::start(EndpointBehaviour::Respond("well")),
        );
        let (mut builder, _unused_discovery) = NodeBuilder::new(&[&draining, &serving]);
        let old_listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        // The new address accepts the connection and stays silent, as a failing discovery service may.
        let new_listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        builder.discovery(old_listener.local_addr().expect("bound"));
        let node = builder.start();
        let (mut socket, _) = old_listener.accept().expect("a call");
        let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
        read_message(&mut reader).expect("a call for the complete list");
        let entries =
            [endpoint_entry("w0", draining.addr, "DRAINING"), endpoint_entry("w1", serving.addr, "SERVING")];
        let body = json!({"version": 7, "full": true, "servers": entries}).to_string();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let (first, second) = response.split_at(if is_split { response.len() - 20 } else { response.len() });
        builder.discovery(new_listener.local_addr().expect("bound"));
        node.reload_while(&builder.config().to_string(), || {
            socket.write_all(first.as_bytes()).expect("the gateway reads");
        });
        node.wait_for_log("configuration reloaded");
        socket.write_all(second.as_bytes()).expect("the gateway reads on");
        let (new_socket, _) = new_listener.accept().expect("a call at the new address");
        let call = read_message(&mut BufReader::new(new_socket)).expect("a call");
        assert_eq!(
            call.start_line, "GET /discovery/hosts HTTP/1.1",
            "the complete list, as versions of another service are not comparable"
        );
        for i in 0..20 {
            assert_eq!(
                node.send_request(&TestRequest::new(&format!("m{i}"))).body,
                b"well",
                "split: {is_split}"
            );
        }
    }
}

/// Guards against an endpoint list that is cut off in each call, because discovery pauses within it or takes long to write
/// it.
#[test]
fn endpoint_list_written_with_pauses_is_read() {
    const PARTS: usize = 5;
    const PAUSE: Duration = Duration::from_millis(950);
    for framing in [ResponseFraming::Length, ResponseFraming::Chunked] {
        let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
        let (mut builder, _unused_discovery) = NodeBuilder::new(&[&endpoint]);
        let list = json!({"version": 3, "full": true, "servers": builder.known_endpoints}).to_string();
        builder.known_endpoints.clear();
        let response = [framing.head(list.len()), framing.frame(list.as_bytes()), framing.end()].concat();
        let parts = response.chunks(response.len().div_ceil(PARTS));
        let parts = parts.map(|bytes| PacedPart { pause: PAUSE, bytes: bytes.to_vec() }).collect();
        let discovery = start_paced_writer(parts);
        let node = builder.discovery(discovery.addr).start();
        let started_at = Instant::now();
        let limit = PAUSE * (PARTS as u32 + 2);
        while node.send_request(&TestRequest::new("listed")).status() != 200 {
            assert!(started_at.elapsed() < limit, "{framing:?}: the list was not read in {limit:?}");
            thread::sleep(Duration::from_millis(20));
        }
    }
}
