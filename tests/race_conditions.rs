//! Race conditions: each test holds a peer at a chosen point, causes a second event, and continues once the gateway has
//! visibly reacted to that event.

mod fakes;
use fakes::{
    Client, EndpointBehaviour, FakeDiscovery, FakeEndpoint, Gate, Node, NodeBuilder, SaturatedListener,
    TestRequest, count_pending_sockets, endpoint_entry, read_message,
};
use serde_json::json;
use socket2::SockRef;
use std::{
    io::{BufReader, Write},
    net::{Shutdown, TcpListener},
    sync::{Arc, mpsc::channel},
    time::{Duration, Instant},
};

/// Sets timeouts of connections and requests that are longer than any test.
fn with_long_timeouts(mut builder: NodeBuilder) -> NodeBuilder {
    builder.settings["Limits"]["ConnectTimeout"] = json!(100.0);
    for class in 0..2 {
        builder.settings["Classes"][class]["Slo"] = json!(100.0);
        builder.settings["Classes"][class]["Deadline"] = json!(100.0);
    }
    builder
}

fn request_with_long_timeout(txn: &str) -> TestRequest {
    TestRequest::new(txn).with_header("X-Remaining", "100.0")
}

/// Returns a builder whose only endpoint is `saturated`.
fn builder_with_saturated_endpoint(saturated: &SaturatedListener) -> (NodeBuilder, FakeDiscovery) {
    let (mut builder, discovery) = NodeBuilder::new(&[]);
    builder.known_endpoints.push(endpoint_entry("w0", saturated.addr, "SERVING"));
    discovery.update_entry(builder.known_endpoints[0].clone());
    (with_long_timeouts(builder), discovery)
}

/// Gateway whose only endpoint accepts no connections, with a connected client.
struct SaturatedGateway {
    saturated: SaturatedListener,
    node: Node,
    client: Client,
    _discovery: FakeDiscovery,
}

impl SaturatedGateway {
    fn new() -> Self {
        let saturated = SaturatedListener::start();
        let (builder, discovery) = builder_with_saturated_endpoint(&saturated);
        let node = builder.start();
        let client = node.connect();
        Self { saturated, node, client, _discovery: discovery }
    }
}

#[test]
fn client_disconnect_cancels_attempt_that_awaits_connection() {
    let SaturatedGateway { saturated, node: _node, mut client, .. } = SaturatedGateway::new();
    client.send(&request_with_long_timeout("gone"));
    saturated.wait_for_pending_connections(1);
    drop(client);
    saturated.wait_until_abandoned();
}

#[test]
fn disconnect_behind_pipelined_requests_beyond_read_buffer_is_detected() {
    let SaturatedGateway { saturated, node: _node, mut client, .. } = SaturatedGateway::new();
    // More requests than the gateway reads ahead while one is in flight.
    for i in 0..100 {
        client.send(&request_with_long_timeout(&format!("p{i}")).with_header("X-Other", &"x".repeat(500)));
    }
    saturated.wait_for_pending_connections(1);
    drop(client);
    saturated.wait_until_abandoned();
}

#[test]
fn disconnect_behind_pipelined_requests_beyond_socket_buffers_is_detected() {
    let SaturatedGateway { saturated, node: _node, mut client, .. } = SaturatedGateway::new();
    let socket = client.reader.get_ref().try_clone().expect("a socket");
    // The close follows unsent data in the send buffer of the client's socket.
    SockRef::from(&socket).set_send_buffer_size(1 << 20).expect("a socket");
    drop(socket);
    client.send(&request_with_long_timeout("first"));
    saturated.wait_for_pending_connections(1);
    for i in 0..40 {
        client.send(&request_with_long_timeout(&format!("p{i}")).with_header("X-Other", &"x".repeat(10_000)));
    }
    drop(client);
    saturated.wait_until_abandoned();
}

#[test]
fn pipelined_requests_read_ahead_are_answered_in_order() {
    let SaturatedGateway { saturated, node: _node, mut client, .. } = SaturatedGateway::new();
    client.send(&request_with_long_timeout("first"));
    saturated.wait_for_pending_connections(1);
    for i in 0..40 {
        client.send(&request_with_long_timeout(&format!("p{i}")).with_header("X-Other", &"x".repeat(10_000)));
    }
    let endpoint = saturated.into_endpoint(EndpointBehaviour::Respond("ok"));
    for i in 0..41 {
        assert_eq!(client.read_response().expect("a complete response").status(), 200, "{i}");
    }
    assert_eq!(endpoint.drain_requests().len(), 41);
}

#[test]
fn disconnect_during_upload_that_awaits_connection_is_detected() {
    let SaturatedGateway { saturated, node: _node, mut client, .. } = SaturatedGateway::new();
    // The body is too large to be buffered: the gateway has read a part, a part waits in the socket, and the end never
    // arrives.
    let mut upload = TestRequest::at_most_once("body")
        .with_header("X-Remaining", "100.0")
        .with_header("Content-Length", "4000000");
    upload.body = vec![b'x'; 60_000];
    client.send(&upload);
    saturated.wait_for_pending_connections(1);
    drop(client);
    saturated.wait_until_abandoned();
}

#[test]
fn disconnect_behind_upload_beyond_socket_buffers_is_detected() {
    let SaturatedGateway { saturated, node: _node, mut client, .. } = SaturatedGateway::new();
    let socket = client.reader.get_ref().try_clone().expect("a socket");
    SockRef::from(&socket).set_send_buffer_size(1 << 20).expect("a socket");
    drop(socket);
    let mut upload = TestRequest::at_most_once("body")
        .with_header("X-Remaining", "100.0")
        .with_header("Content-Length", "4000000");
    upload.body = vec![b'x'; 400_000];
    client.send(&upload);
    saturated.wait_for_pending_connections(1);
    drop(client);
    saturated.wait_until_abandoned();
}

#[test]
fn body_read_before_endpoint_connects_is_forwarded_complete() {
    let SaturatedGateway { saturated, node: _node, mut client, .. } = SaturatedGateway::new();
    let mut upload = TestRequest::at_most_once("body").with_header("X-Remaining", "100.0");
    upload.body = (0..900_000u32).map(|i| (i % 251) as u8).collect();
    client.send(&upload);
    saturated.wait_for_pending_connections(1);
    let endpoint = saturated.into_endpoint(EndpointBehaviour::Respond("ok"));
    assert_eq!(client.read_response().expect("a complete response").status(), 200);
    assert!(endpoint.next_request().1.body == upload.body, "unchanged");
}

/// Guards against an attempt that tells its endpoint more time than the client has left, because the connection took some.
#[test]
fn endpoint_is_told_the_time_that_is_left_when_connection_opens() {
    const CONNECTION_TIME: Duration = Duration::from_millis(400);
    const SLACK_SECONDS: f64 = 0.15;
    let SaturatedGateway { saturated, node: _node, mut client, .. } = SaturatedGateway::new();
    client.send(&TestRequest::new("late").with_header("X-Remaining", "3.000"));
    let sent_at = Instant::now();
    saturated.wait_for_pending_connections(1);
    std::thread::sleep(CONNECTION_TIME);
    let endpoint = saturated.into_endpoint(EndpointBehaviour::Respond("ok"));
    assert_eq!(client.read_response().expect("a complete response").status(), 200);
    let told: f64 = endpoint.next_request().1.header("x-remaining").parse().expect("a number of seconds");
    // The connection opens some time after the backlog is free, so the client has even less left.
    let left = 3.0 - CONNECTION_TIME.as_secs_f64();
    assert!(told <= left + SLACK_SECONDS, "{told} s told, {left} s left after {:?}", sent_at.elapsed());
}

#[test]
fn request_followed_by_close_is_not_forwarded() {
    let saturated = SaturatedListener::start();
    let (builder, _discovery) = builder_with_saturated_endpoint(&saturated);
    let node = builder.start();
    let mut held = node.connect();
    held.send(&request_with_long_timeout("held"));
    saturated.wait_for_pending_connections(1);
    for i in 0..20 {
        let mut client = node.connect();
        client.send(&request_with_long_timeout(&format!("c{i}")));
        client.reader.get_ref().shutdown(Shutdown::Write).expect("a connection");
        // The gateway has detected the close when it closes its side.
        assert!(client.read_response().is_none());
    }
    saturated.wait_for_pending_connections(1);
    let endpoint = saturated.into_endpoint(EndpointBehaviour::Respond("ok"));
    assert_eq!(held.read_response().expect("a complete response").status(), 200);
    assert_eq!(endpoint.drain_requests().len(), 1);
}

#[test]
fn response_cancels_hedged_request_that_awaits_connection() {
    let saturated = SaturatedListener::start();
    let gate = Arc::new(Gate::default());
    let healthy = FakeEndpoint::start(EndpointBehaviour::RespondAfter(gate.clone()));
    let (mut builder, discovery) = NodeBuilder::new(&[&healthy]);
    builder.known_endpoints.push(endpoint_entry("w1", saturated.addr, "SERVING"));
    discovery.update_entry(builder.known_endpoints[1].clone());
    let mut builder = with_long_timeouts(builder);
    // The hedged request is sent after a part of the latency objective (`Slo`). A response after the objective still
    // has a value (`LateWorth`).
    builder.settings["Classes"][0]["Slo"] = json!(1.0);
    builder.settings["Classes"][0]["LateWorth"] = json!(0.1);
    let node = builder.start();
    let mut client = node.connect();
    client.send(&request_with_long_timeout("twice"));
    // One attempt awaits its connection and the other runs, whichever endpoint was selected first.
    saturated.wait_for_pending_connections(1);
    healthy.next_request();
    gate.open();
    assert_eq!(client.read_response().expect("a complete response").status(), 200);
    saturated.wait_until_abandoned();
}

/// Gateway with a request in flight, one of whose attempts awaits its connection.
struct HedgedRequest {
    builder: NodeBuilder,
    node: Node,
    client: Client,
    _discovery: FakeDiscovery,
}

/// Sends a request with an idempotency key and an idempotency window of four seconds. One attempt runs at `healthy` and
/// one awaits its connection to `saturated`, whichever of the two was selected first.
fn send_hedged_request(saturated: &SaturatedListener, healthy: &FakeEndpoint) -> HedgedRequest {
    let (mut builder, discovery) = NodeBuilder::new(&[healthy]);
    builder.known_endpoints.push(endpoint_entry("w1", saturated.addr, "SERVING"));
    discovery.update_entry(builder.known_endpoints[1].clone());
    let mut builder = with_long_timeouts(builder);
    let class = &mut builder.settings["Classes"][0];
    class["Effect"] = json!("deduplicated");
    class["Group"] = json!("zone");
    class["Window"] = json!(4.0);
    // The hedged request is sent after a part of the latency objective (`Slo`). A response after the objective still
    // has a value (`LateWorth`).
    class["Slo"] = json!(1.0);
    class["LateWorth"] = json!(0.1);
    let node = builder.start();
    let mut client = node.connect();
    client.send(&request_with_long_timeout("keyed").with_header("Idempotency-Key", "k"));
    saturated.wait_for_pending_connections(1);
    healthy.next_request();
    HedgedRequest { builder, node, client, _discovery: discovery }
}

#[test]
fn hedged_request_awaiting_connection_past_idempotency_window_is_cancelled() {
    let (saturated, healthy) =
        (SaturatedListener::start(), FakeEndpoint::start(EndpointBehaviour::HoldUntilClosed));
    let _hedged_request = send_hedged_request(&saturated, &healthy);
    saturated.wait_until_abandoned();
    assert_eq!(healthy.drain_requests().len(), 0);
}

#[test]
fn connection_opened_at_end_of_idempotency_window_carries_no_hedged_request() {
    let (saturated, gate) = (SaturatedListener::start(), Arc::new(Gate::default()));
    let healthy = FakeEndpoint::start(EndpointBehaviour::RespondAfter(gate.clone()));
    let sent_at = Instant::now();
    let hedged_request = send_hedged_request(&saturated, &healthy);
    let HedgedRequest { builder, node, mut client, _discovery } = hedged_request;
    let mut opened_endpoint = None;
    node.reload_while(&builder.config().to_string(), || {
        opened_endpoint =
            Some(saturated.into_endpoint_for_pending_connection(EndpointBehaviour::Respond("late")));
        // Until the idempotency window of four seconds has passed.
        std::thread::sleep(Duration::from_secs(5).saturating_sub(sent_at.elapsed()));
    });
    // When the reload ends, the process finds both the open connection and the end of the window.
    node.wait_for_log("configuration reloaded");
    gate.open();
    assert_eq!(client.read_response().expect("a complete response").body, b"waited");
    assert_eq!(opened_endpoint.expect("set above").drain_requests().len(), 0);
}

#[test]
fn attempt_that_awaits_connection_moves_when_endpoint_becomes_unavailable() {
    for change in ["DRAINING", "DELETED", "restarted", "maintenance"] {
        let (saturated, healthy) =
            (SaturatedListener::start(), FakeEndpoint::start(EndpointBehaviour::Respond("elsewhere")));
        let (mut builder, discovery) = builder_with_saturated_endpoint(&saturated);
        builder.operator_address();
        let node = builder.start();
        let mut client = node.connect();
        // An at-most-once request is retried elsewhere only if it has certainly not run.
        client.send(&TestRequest::at_most_once("moved").with_header("X-Remaining", "100.0"));
        saturated.wait_for_pending_connections(1);
        discovery.update_entry(endpoint_entry("w1", healthy.addr, "SERVING"));
        let mut changed_entry =
            endpoint_entry("w0", saturated.addr, if change.starts_with('D') { change } else { "SERVING" });
        match change {
            "restarted" => changed_entry["started_ms"] = json!(1),
            "maintenance" => assert_eq!(node.operator_call("PUT /workers/w0/maint").status(), 200),
            _ => {}
        }
        discovery.wait_until_applied(discovery.update_entry(changed_entry));
        let opened_endpoint = saturated.into_endpoint(EndpointBehaviour::Respond("late"));
        let response = client.read_response().expect("a complete response");
        assert_eq!((response.status(), response.body.as_slice()), (200, b"elsewhere".as_slice()), "{change}");
        assert_eq!(opened_endpoint.drain_requests().len(), 0, "{change}");
    }
}

#[test]
fn connection_that_may_repeat_its_response_is_not_reused_immediately() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (mut builder, discovery) = NodeBuilder::new(&[]);
    builder.known_endpoints.push(endpoint_entry("w0", listener.local_addr().expect("bound"), "SERVING"));
    discovery.update_entry(builder.known_endpoints[0].clone());
    let (gap_sender, gaps) = channel();
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let gap_sender = gap_sender.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
                let mut responded_at: Option<Instant> = None;
                while read_message(&mut reader).is_some() {
                    // Measured from before the response, so never shorter than the gateway's wait.
                    let _ = gap_sender.send(responded_at.map(|instant| instant.elapsed()));
                    responded_at = Some(Instant::now());
                    let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
            });
        }
    });
    let node = builder.start();
    let mut client = node.connect();
    // All requests are sent at once, so that each has arrived before the previous one is answered.
    let pipelined: Vec<u8> = (0..20).flat_map(|i| TestRequest::new(&format!("r{i}")).to_bytes()).collect();
    client.reader.get_mut().write_all(&pipelined).expect("the gateway reads");
    for i in 0..20 {
        assert_eq!(client.read_response().expect("a complete response").status(), 200, "{i}");
    }
    for gap in gaps.try_iter().flatten() {
        assert!(gap >= Duration::from_millis(10), "reused after {gap:?}");
    }
}

#[test]
fn socket_listed_twice_counts_as_one_pending_connection() {
    // One connecting socket that the system lists twice, a second connecting socket, and an established one.
    let socket_table = "  sl  local_address rem_address   st tx_queue rx_queue\n\
        28266: 0100007F:E7FC 0100007F:A4D3 02 00000001:00000000 01:00000049 00000000     0        0 1264468 2\n\
        32159: 0100007F:E7FC 0100007F:A4D3 02 00000001:00000000 01:00000048 00000000     0        0 1264468 2\n\
        32160: 0100007F:E7FE 0100007F:A4D3 02 00000001:00000000 01:00000048 00000000     0        0 1264469 2\n\
        32161: 0100007F:E800 0100007F:A4D3 01 00000000:00000000 00:00000000 00000000     0        0 1264470 1\n";
    assert_eq!(count_pending_sockets(socket_table, 0xA4D3), 2);
    assert_eq!(count_pending_sockets(socket_table, 0xA4D4), 0);
}
