//! Client connections of the built program: framing, limits and disconnects.

mod fakes;
use fakes::{
    Client, EndpointBehaviour, EndpointEvent, FakeEndpoint, Gate, LaunchOptions, NodeBuilder, TestRequest,
    wait_until_connection_is_reusable,
};
use serde_json::json;
use std::{
    io::{Read, Write},
    net::Shutdown,
    sync::Arc,
};

#[test]
fn request_is_forwarded_unchanged_and_connections_are_reused() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("marked: 7"));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    let mut client = node.connect();
    let mut health_check = TestRequest::new("up");
    health_check.request_line = "GET /up HTTP/1.1".into();
    assert_eq!(client.send_request(&health_check).status(), 200, "the gateway itself answers /up");
    let mut request = TestRequest::new("9b1f03aa5c7e2d41");
    request.request_line = "GET /check-answer/5?pupil=3 HTTP/1.1".into();
    let response = client.send_request(&request);
    assert_eq!((response.status(), response.body.as_slice()), (200, b"marked: 7".as_slice()));
    let (first_connection, forwarded) = endpoint.next_request();
    assert_eq!(forwarded.start_line, request.request_line);
    assert_eq!(forwarded.header("x-txn"), "9b1f03aa5c7e2d41");
    let remaining: f64 = forwarded.header("x-remaining").parse().expect("a number of seconds");
    assert!(remaining > 0.0 && remaining <= 25.0, "{remaining}");
    wait_until_connection_is_reusable();
    assert_eq!(client.send_request(&TestRequest::at_most_once("b")).status(), 200);
    let (second_connection, forwarded) = endpoint.next_request();
    assert_eq!(
        (forwarded.start_line.as_str(), forwarded.body.as_slice()),
        ("POST /submit HTTP/1.1", b"answer".as_slice())
    );
    assert_eq!(first_connection, second_connection, "on the pooled connection");
    assert!(!forwarded.headers.contains_key("idempotency-key"), "no key is added");
}

#[test]
fn idempotency_key_is_forwarded_unchanged() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    assert_eq!(
        builder
            .start()
            .send_request(&TestRequest::at_most_once("k").with_header("Idempotency-Key", key))
            .status(),
        200
    );
    assert_eq!(endpoint.next_request().1.header("idempotency-key"), key);
}

#[test]
fn client_disconnect_prevents_retry() {
    let gate = Arc::new(Gate::default());
    let first_endpoint = FakeEndpoint::start(EndpointBehaviour::CloseAfter(gate.clone()));
    let second_endpoint = FakeEndpoint::start(EndpointBehaviour::CloseAfter(gate.clone()));
    let (builder, _discovery) = NodeBuilder::new(&[&first_endpoint, &second_endpoint]);
    let node = builder.start();
    let mut client = node.connect();
    client.send(&TestRequest::new("gone"));
    let attempted = loop {
        match [&first_endpoint, &second_endpoint]
            .into_iter()
            .find(|endpoint| !endpoint.drain_requests().is_empty())
        {
            Some(endpoint) => break endpoint,
            None => std::thread::yield_now(),
        }
    };
    client.reader.get_ref().shutdown(Shutdown::Write).expect("a socket");
    assert!(client.read_response().is_none(), "the gateway closes without a response");
    // An idempotent request whose attempt fails would be retried if the client were still connected.
    gate.open();
    attempted.wait_for_event(|event| matches!(event, EndpointEvent::ConnectionEnded(_)));
    for endpoint in [&first_endpoint, &second_endpoint] {
        endpoint.set_behaviour(EndpointBehaviour::Respond("ok"));
    }
    assert_eq!(node.send_request(&TestRequest::new("next")).status(), 200);
    let txns: Vec<String> = [first_endpoint.drain_requests(), second_endpoint.drain_requests()]
        .concat()
        .iter()
        .map(|request| request.header("x-txn").to_owned())
        .collect();
    assert_eq!(txns, ["next"]);
}

#[test]
fn invalid_request_is_rejected_and_not_forwarded() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    let valid_request = || TestRequest::new("x");
    let with_request_line = |line: &str| TestRequest { request_line: line.into(), ..valid_request() };
    let mut invalid_requests = vec![
        valid_request().with_header("X-Lane", "nonesuch"),
        with_request_line("GET /submit HTTP/1.1"),
        with_request_line("DELETE /check-answer HTTP/1.1"),
        valid_request().with_header("X-Plan", "nonesuch"),
        valid_request().with_header("X-Customer", "b4d65521"),
        valid_request().with_header("X-Customer", "zzzzzzzzzzzzzzzz"),
        valid_request().with_header("X-Customer", "ffffffffffffffff"),
        valid_request().with_header("X-Customer", "+0000000b4d65521"),
        valid_request().with_header("X-Quota", "units=NaN,spread=2,first=0"),
        valid_request().with_header("X-Quota", "units=-1,spread=2,first=0"),
        valid_request().with_header("X-Quota", "units=1,spread=0,first=0"),
        valid_request().with_header("X-Quota", "units=1,spread=3,first=0"),
        valid_request().with_header("X-Quota", "units=1,spread=2,first=2"),
        valid_request().with_header("X-Quota", "units=1,spread=2"),
        valid_request().with_header("X-Quota", "nonsense"),
        valid_request().with_header("X-Quota", "units=0,spread=2,first=0"),
        valid_request().with_header("X-Quota", "units=2,spread=2,first=0"),
        valid_request().with_header("X-Quota", "units=1,units=1,spread=2,first=0"),
        valid_request().with_header("X-Quota", "units=1,spread=1.5,first=0"),
        valid_request().with_header("X-Quota", "units=1,spread=99999999999999999999,first=0"),
        valid_request().with_header("X-Resent", "maybe"),
        valid_request().with_header("X-Txn", "two words"),
    ];
    invalid_requests.extend(
        ["soon", "-1", "inf", "NaN", "", "1e300", "99999999", "+1", "0x1"]
            .map(|value| valid_request().with_header("X-Remaining", value)),
    );
    invalid_requests.extend(
        ["X-Txn", "X-Lane", "X-Plan", "X-Customer", "X-Remaining", "X-Quota"]
            .map(|name| valid_request().without_header(name)),
    );
    for request in &invalid_requests {
        assert_eq!(
            node.send_request(request).status(),
            400,
            "{} {:?}",
            request.request_line,
            request.headers
        );
    }
    let mut client = node.connect();
    client.reader.get_mut().write_all(b"\x16\x03 nonsense\r\n\r\n").expect("a socket");
    assert_eq!(client.read_response().map(|response| response.status()), Some(400));
    let mut oversized = TestRequest::at_most_once("long").with_header("Content-Length", "41943041");
    assert_eq!(node.send_request(&oversized).status(), 413, "too long by Content-Length");
    oversized = TestRequest::at_most_once("long").with_header("Transfer-Encoding", "chunked");
    oversized.body = b"2800001\r\n".to_vec();
    assert_eq!(node.send_request(&oversized).status(), 413, "too long by its chunk size");
    assert_eq!(node.send_request(&valid_request().with_header("X-Lane", &"x".repeat(40_000))).status(), 431);
    assert!(endpoint.drain_requests().is_empty());
    let mut large = TestRequest::at_most_once("most");
    large.body = vec![b'x'; 65537];
    assert_eq!(node.send_request(&large).status(), 200, "longer than the body buffer, and allowed");
}

#[test]
fn idle_connections_are_closed_at_descriptor_limit() {
    let gate = Arc::new(Gate::default());
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (mut builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    builder.max_sockets(64);
    let node = builder.start();
    let mut idle = Vec::new();
    for i in 0..60 {
        let mut client = node.connect();
        assert_eq!(client.send_request(&TestRequest::new(&format!("i{i}"))).status(), 200);
        idle.push(client);
        let descriptors =
            std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).expect("a process").count();
        assert!(descriptors <= 64, "{descriptors} descriptors");
    }
    assert!(idle[0].reader.read(&mut [0]).is_ok_and(|n| n == 0), "the oldest idle connection is closed");
    // With all connections busy, clients beyond the limit wait, and no request is lost.
    endpoint.set_behaviour(EndpointBehaviour::RespondAfter(gate.clone()));
    let request = |i: usize| TestRequest::new(&format!("b{i}"));
    let mut busy: Vec<Client> = (0..30).map(|_| node.connect()).collect();
    for (i, client) in busy.iter_mut().enumerate() {
        client.send(&request(i));
    }
    endpoint.next_request();
    gate.open();
    for (i, client) in busy.iter_mut().enumerate() {
        // The gateway may close a connection as idle just before the request arrives; the client then sends it again.
        let response = client.read_response().unwrap_or_else(|| node.send_request(&request(i)));
        assert!(matches!(response.status(), 200 | 429));
    }
    assert_eq!(node.send_request(&TestRequest::new("after")).status(), 200);
}

#[test]
fn request_with_conflicting_lengths_is_rejected_and_not_forwarded() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    // By its Content-Length, the body includes the second request; by its chunks, the body ends before that request.
    let hidden = String::from_utf8(TestRequest::new("hidden").to_bytes()).expect("text");
    let body = format!("0\r\n\r\n{hidden}");
    for order in [["Content-Length", "Transfer-Encoding"], ["Transfer-Encoding", "Content-Length"]] {
        let mut request = TestRequest::at_most_once("outer");
        for name in order {
            let value = if name == "Content-Length" { body.len().to_string() } else { "chunked".into() };
            request = request.with_header(name, &value);
        }
        request.body = body.clone().into_bytes();
        let mut client = node.connect();
        client.send(&request);
        let received = client.read_until_closed();
        assert!(received.starts_with("HTTP/1.1 400 "), "{received}");
        assert_eq!(
            received.matches("HTTP/1.1").count(),
            1,
            "one response, then the connection is closed: {received}"
        );
    }
    assert!(endpoint.drain_requests().is_empty());
}

#[test]
fn duplicate_id_is_rejected_while_first_request_is_in_flight() {
    let gate = Arc::new(Gate::default());
    let endpoint = FakeEndpoint::start(EndpointBehaviour::RespondAfter(gate.clone()));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    let mut client = node.connect();
    client.send(&TestRequest::new("mine"));
    endpoint.next_request();
    assert_eq!(node.send_request(&TestRequest::new("mine")).status(), 409);
    gate.open();
    assert_eq!(client.read_response().map(|response| response.status()), Some(200));
    assert_eq!(endpoint.drain_requests().len(), 0, "one attempt");
    assert_eq!(node.send_request(&TestRequest::new("mine")).status(), 200, "the id is free again");
}

#[test]
fn silent_and_incomplete_clients_are_closed_and_others_are_served() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (mut builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    builder.max_sockets(64);
    let node = builder.start();
    let mut earlier_client = node.connect();
    assert_eq!(earlier_client.send_request(&TestRequest::new("first")).status(), 200);
    let upload = String::from_utf8(TestRequest::at_most_once("half").to_bytes()).expect("text");
    // Far more connections than the limit of 64 sockets.
    let mut stalled_clients: Vec<Client> = (0..120)
        .map(|i| {
            let mut client = node.connect();
            let part = [0, 20, upload.len() - 3][i % 3];
            let _ = client.reader.get_mut().write_all(&upload.as_bytes()[..part]);
            client
        })
        .collect();
    assert_eq!(node.send_request(&TestRequest::new("new")).status(), 200, "a new client is served");
    for client in &mut stalled_clients {
        let received = client.read_until_closed();
        assert!(received.is_empty() || received.starts_with("HTTP/1.1 408 "), "{received}");
    }
    assert_eq!(
        earlier_client.send_request(&TestRequest::new("second")).status(),
        200,
        "the earlier client keeps its connection"
    );
}

#[test]
fn oversized_body_is_rejected_without_being_read() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    let mut request = TestRequest::at_most_once("huge").with_header("Content-Length", "60000000");
    request.body.clear();
    let mut client = node.connect();
    client.send(&request);
    // The client keeps sending before it reads, so the response must survive the close of the connection.
    let chunk = vec![b'x'; 1 << 16];
    for _ in 0..2 {
        let _ = client.reader.get_mut().write_all(&chunk);
    }
    assert_eq!(client.read_response().map(|response| response.status()), Some(413));
    while client.reader.get_mut().write_all(&chunk).is_ok() {}
    assert_eq!(node.send_request(&TestRequest::new("next")).status(), 200);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    let mut client = node.connect();
    let requests = [
        TestRequest::at_most_once("a"),
        TestRequest::new("b").with_header("X-Plan", "nonesuch"),
        TestRequest::new("c"),
    ];
    let bytes: Vec<u8> = requests.iter().flat_map(TestRequest::to_bytes).collect();
    client.reader.get_mut().write_all(&bytes).expect("a socket");
    let responses: Vec<u16> =
        (0..3).filter_map(|_| client.read_response()).map(|response| response.status()).collect();
    assert_eq!(responses, [200, 400, 200]);
}

#[test]
fn chunked_body_is_forwarded_complete() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    let mut request = TestRequest::at_most_once("chunks").with_header("Transfer-Encoding", "chunked");
    request.body = b"3\r\nans\r\n3\r\nwer\r\n0\r\n\r\n".to_vec();
    assert_eq!(node.send_request(&request).status(), 200);
    let forwarded = endpoint.next_request().1;
    assert_eq!(
        (forwarded.body.as_slice(), forwarded.header("transfer-encoding")),
        (b"answer".as_slice(), "")
    );
}

#[test]
fn announced_bodies_do_not_reserve_memory() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (mut builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    builder.max_sockets(1024);
    let mut config = builder.config();
    // A quarter of the memory is for bodies: 64 bodies of 64 KiB.
    config["limits"]["memory_mb"] = json!(16);
    let node = builder.start_with_config(&config.to_string(), &LaunchOptions::default());
    let mut incomplete = TestRequest::at_most_once("half").with_header("Content-Length", "65000");
    incomplete.body = b"some".to_vec();
    let mut stalled_clients: Vec<Client> = (0..200).map(|_| node.connect()).collect();
    for (i, client) in stalled_clients.iter_mut().enumerate() {
        client.send(&incomplete.clone().with_header("X-Txn", &format!("h{i}")));
    }
    let mut complete = TestRequest::at_most_once("whole");
    complete.body = vec![b'x'; 65_000];
    assert_eq!(node.send_request(&complete).status(), 200);
}
