//! Streaming by the built program: bodies that are too large to be buffered, in each framing.

mod fakes;
use fakes::{
    Client, EndpointBehaviour, EndpointEvent, FakeEndpoint, Gate, NodeBuilder, TestRequest, endpoint_entry,
};
use std::{
    io::{BufRead, Read, Write},
    net::Shutdown,
    sync::Arc,
};

/// Size of a body that is far larger than all buffers of the gateway and the sockets.
const LARGE_BODY_BYTES: usize = 24 << 20;

fn numbered_text(length: usize) -> String {
    // The parts are numbered, so that parts out of order are detected.
    (0..).map(|i| format!("{i:07} ")).take(length.div_ceil(8)).collect::<String>()[..length].to_owned()
}

fn leak(text: String) -> &'static str {
    text.leak()
}

fn sized_response(body: &str) -> &'static str {
    leak(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

fn chunked_response(body: &str, trailer: &str) -> &'static str {
    let chunks: String = body
        .as_bytes()
        .chunks(body.len().div_ceil(99))
        .map(|chunk| {
            format!("{:x};ext=\"a b\"\r\n{}\r\n", chunk.len(), std::str::from_utf8(chunk).expect("plain"))
        })
        .collect();
    leak(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n{trailer}\r\n"))
}

#[test]
fn response_of_any_length_and_framing_is_delivered_complete() {
    for length in [70_000, LARGE_BODY_BYTES] {
        let body = numbered_text(length);
        let unframed_response = leak(format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}"));
        let open_gate = Arc::new(Gate::default());
        open_gate.open();
        for behaviour in [
            EndpointBehaviour::WriteRaw(sized_response(&body)),
            EndpointBehaviour::WriteRaw(chunked_response(&body, "X-Sum: 1\r\n")),
            EndpointBehaviour::WriteRawInTwoParts(unframed_response, open_gate, ""),
        ] {
            let endpoint = FakeEndpoint::start(behaviour);
            let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
            let node = builder.start();
            let mut client = node.connect();
            for i in 0..2 {
                let response = client.send_request(&TestRequest::at_most_once(&format!("a{i}")));
                assert!(response.status() == 200 && response.body == body.as_bytes(), "{length}");
            }
        }
    }
}

#[test]
fn request_body_of_any_length_and_framing_is_forwarded_complete() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    let mut client = node.connect();
    for (i, length) in [65_536, 65_537, 400_000, 600_000, LARGE_BODY_BYTES].into_iter().enumerate() {
        let mut request = TestRequest::at_most_once(&format!("l{i}"));
        request.body = numbered_text(length).into_bytes();
        assert_eq!(client.send_request(&request).status(), 200);
        let forwarded = endpoint.next_request().1;
        assert!(
            forwarded.body == request.body && forwarded.header("content-length") == length.to_string(),
            "{length}"
        );
        let mut chunked =
            TestRequest::at_most_once(&format!("c{i}")).with_header("Transfer-Encoding", "chunked");
        chunked.body.clear();
        for part in request.body.chunks(70_001) {
            chunked.body.extend_from_slice(format!("{:X};a=b\r\n", part.len()).as_bytes());
            chunked.body.extend_from_slice(part);
            chunked.body.extend_from_slice(b"\r\n");
        }
        chunked.body.extend_from_slice(b"0\r\nX-Trailer: t\r\n\r\n");
        assert_eq!(client.send_request(&chunked).status(), 200);
        assert!(endpoint.next_request().1.body == request.body, "{length} in chunks");
    }
}

#[test]
fn first_response_bytes_are_delivered_before_last_arrive() {
    let body = numbered_text(200_000);
    let gate = Arc::new(Gate::default());
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let first_part = leak(head + &body[..1000]);
    let endpoint = FakeEndpoint::start(EndpointBehaviour::WriteRawInTwoParts(
        first_part,
        gate.clone(),
        leak(body[1000..].to_owned()),
    ));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    let mut client = node.connect();
    client.send(&TestRequest::at_most_once("a"));
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        client.reader.read_line(&mut line).expect("the head, before the end of the body is written");
    }
    let mut first_bytes = vec![0; 1000];
    client.reader.read_exact(&mut first_bytes).expect("the first bytes");
    gate.open();
    let mut remaining_bytes = vec![0; body.len() - 1000];
    client.reader.read_exact(&mut remaining_bytes).expect("the remaining bytes");
    assert!([first_bytes, remaining_bytes].concat() == body.as_bytes());
}

#[test]
fn response_broken_midway_is_visible_to_client_and_not_retried() {
    let gate = Arc::new(Gate::default());
    gate.open();
    let half = numbered_text(100_000);
    for head in ["Content-Length: 200000", "Transfer-Encoding: chunked"] {
        let chunk = if head.starts_with('T') { "186a0\r\n" } else { "" };
        let partial_response = leak(format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{chunk}{half}"));
        let behaviour = EndpointBehaviour::WriteRawInTwoParts(partial_response, gate.clone(), "");
        let (first_endpoint, second_endpoint) =
            (FakeEndpoint::start(behaviour.clone()), FakeEndpoint::start(behaviour));
        let (builder, _discovery) = NodeBuilder::new(&[&first_endpoint, &second_endpoint]);
        let node = builder.start();
        let mut client = node.connect();
        client.send(&TestRequest::new("a"));
        let mut received = Vec::new();
        // A reset shows the client a broken response as clearly as a missing end.
        let _ = client.reader.read_to_end(&mut received);
        assert!(
            received.starts_with(b"HTTP/1.1 200 OK") && received.len() < 100_000 + 500,
            "{}",
            received.len()
        );
        assert!(!received.ends_with(b"0\r\n\r\n"), "not marked as complete");
        assert_eq!(
            first_endpoint.drain_requests().len() + second_endpoint.drain_requests().len(),
            1,
            "one attempt"
        );
        first_endpoint.set_behaviour(EndpointBehaviour::Respond("ok"));
        second_endpoint.set_behaviour(EndpointBehaviour::Respond("ok"));
        assert_eq!(node.send_request(&TestRequest::new("b")).status(), 200);
    }
}

#[test]
fn response_broken_before_first_body_byte_fails_request() {
    let gate = Arc::new(Gate::default());
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let endpoint = FakeEndpoint::start(EndpointBehaviour::WriteRawInTwoParts(head, gate.clone(), ""));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    let mut client = node.connect();
    client.send(&TestRequest::at_most_once("a"));
    endpoint.next_request();
    // Long enough for the gateway to start streaming the response; the assertion also holds if it has not started.
    std::thread::sleep(std::time::Duration::from_millis(300));
    gate.open();
    let response = client.read_response().expect("a response, as nothing was delivered yet");
    assert!(response.status() >= 500, "{}", response.start_line);
}

#[test]
fn client_that_does_not_read_applies_backpressure_and_uses_little_memory() {
    let endpoint =
        FakeEndpoint::start(EndpointBehaviour::WriteRaw(sized_response(&numbered_text(LARGE_BODY_BYTES))));
    let (mut builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    builder.max_sockets(256);
    let node = builder.start();
    let mut clients: Vec<Client> = (0..20).map(|_| node.connect()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&TestRequest::new(&format!("h{i}")));
    }
    for client in &mut clients {
        assert!(!client.reader.fill_buf().expect("the first bytes").is_empty());
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).expect("a process");
    let peak =
        status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.split_whitespace().next()?.parse().ok());
    // Twenty buffered responses would take 480 MB.
    assert!(peak.is_some_and(|kb: usize| kb < 32 << 10), "{peak:?} kB");
    drop(clients);
    endpoint.set_behaviour(EndpointBehaviour::Respond("ok"));
    // The concurrency limit may reject until the gateway has detected all disconnects.
    while node.send_request(&TestRequest::new("after")).status() == 429 {}
}

#[test]
fn truncated_request_body_is_not_completed_at_endpoint() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    let mut request = TestRequest::at_most_once("cut").with_header("Content-Length", "1000000");
    request.body = numbered_text(800_000).into_bytes();
    let mut client = node.connect();
    client.send(&request);
    // Until the attempt has begun to send the body: the gateway sends nothing at all for a client that leaves before.
    std::thread::sleep(std::time::Duration::from_millis(300));
    client.reader.get_ref().shutdown(Shutdown::Write).expect("a socket");
    let mut received = Vec::new();
    let _ = client.reader.read_to_end(&mut received);
    assert!(received.is_empty(), "no response to a disconnected client");
    endpoint.wait_for_event(|event| matches!(event, EndpointEvent::ConnectionEnded(_)));
    assert!(endpoint.drain_requests().is_empty(), "no complete request arrived");
    let mut early_client = node.connect();
    early_client.send(&request.with_header("X-Txn", "cut-at-once"));
    early_client.reader.get_ref().shutdown(Shutdown::Write).expect("a socket");
    assert_eq!(early_client.read_until_closed(), "", "no response to a disconnected client");
    assert_eq!(node.send_request(&TestRequest::at_most_once("next")).status(), 200);
    assert_eq!(endpoint.drain_requests().len(), 1, "only the next request arrived");
}

#[test]
fn expect_100_continue_gets_interim_response_or_rejection() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    let body = numbered_text(1_000_000);
    let head = |txn: &str| {
        let request = TestRequest::at_most_once(txn)
            .with_header("Content-Length", "1000000")
            .with_header("Expect", "100-continue");
        TestRequest { body: Vec::new(), ..request }
    };
    let mut client = node.connect();
    client.send(&head("a"));
    assert_eq!(client.read_response().map(|response| response.status()), Some(100));
    client.reader.get_mut().write_all(body.as_bytes()).expect("a socket");
    assert_eq!(client.read_response().map(|response| response.status()), Some(200));
    assert!(endpoint.next_request().1.body == body.as_bytes());
    // The plan's burst of eight units is shared by two gateways and hardly refills.
    let is_rejected = (0..20).any(|i| {
        let mut client = node.connect();
        client.send(&head(&format!("b{i}")).with_header("X-Plan", "pieni"));
        let status = client.read_response().expect("a response").status();
        assert!(matches!(status, 100 | 429));
        status == 429
    });
    assert!(is_rejected, "rejected before the body is sent");
}

#[test]
fn request_rejected_during_upload_is_answered_while_client_sends_on() {
    let rejection = "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let (listener, addr) = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("bound");
        (listener, addr)
    };
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            // Reads the head only, then responds.
            let _ = socket.read(&mut [0; 2000]);
            let _ = socket.write_all(rejection.as_bytes());
            let _ = socket.read_to_end(&mut Vec::new());
        }
    });
    let (mut builder, discovery) = NodeBuilder::new(&[]);
    builder.known_endpoints = vec![endpoint_entry("w0", addr, "SERVING")];
    discovery.update_entry(builder.known_endpoints[0].clone());
    let node = builder.start();
    let mut request = TestRequest::at_most_once("t");
    request.body = numbered_text(4 << 20).into_bytes();
    let mut client = node.connect();
    client.reader.get_mut().write_all(&request.to_bytes()).expect("all of it is read");
    assert_eq!(client.read_response().map(|response| response.status()), Some(429), "the request never ran");
}
