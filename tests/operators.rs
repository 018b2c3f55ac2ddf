//! Operator calls to the built program: health check, maintenance, statistics.

mod fakes;
use fakes::{Client, EndpointBehaviour, FakeEndpoint, Gate, NodeBuilder, TestRequest, endpoint_entry};
use std::{
    io::{Read, Write},
    sync::Arc,
};

const ERROR_RESPONSE: &str = "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n";

#[test]
fn health_check_succeeds_while_accepting_and_invalid_calls_get_errors() {
    let (builder, _discovery) = NodeBuilder::with_operator_address(&[]);
    let node = builder.start();
    // The operator port is bound before the process accepts clients; until then the health check may fail.
    while node.operator_call("GET /healthcheck").status() != 200 {}
    assert_eq!(node.operator_call("GET /nonesuch").status(), 404);
    let response = node.operator_call("POST /healthcheck");
    assert_eq!((response.status(), response.header("allow")), (405, "GET"));
    let mut client = Client::connect(node.operator_addr);
    client.reader.get_mut().write_all(b"\x16\x03\x01 nonsense\r\n\r\n").expect("a socket");
    assert_eq!(client.read_response().expect("a response").status(), 400);
}

#[test]
fn operator_calls_succeed_at_connection_limits() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::HoldUntilClosed);
    let (mut builder, _discovery) = NodeBuilder::with_operator_address(&[&endpoint]);
    builder.max_sockets(96);
    let node = builder.start();
    let mut clients: Vec<Client> = (0..60).map(|_| node.connect()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&TestRequest::new(&format!("h{i}")));
    }
    endpoint.next_request();
    let start_incomplete_call = |_| {
        let mut caller = Client::connect(node.operator_addr);
        let _ = caller.reader.get_mut().write_all(b"GET /healthcheck HTT");
        caller
    };
    let mut incomplete_callers: Vec<Client> = (0..60).map(start_incomplete_call).collect();
    while node.operator_call("GET /healthcheck").status() != 200 {}
    assert!(
        incomplete_callers[0].reader.read(&mut [0]).is_ok_and(|n| n == 0),
        "the oldest operator connection is closed"
    );
}

#[test]
fn health_check_fails_during_shutdown() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::HoldUntilClosed);
    let (builder, _discovery) = NodeBuilder::with_operator_address(&[&endpoint]);
    let node = builder.start();
    let mut client = node.connect();
    client.send(&TestRequest::new("held"));
    endpoint.next_request();
    node.terminate();
    node.wait_for_log("stopping gateway=n0 waiting=1");
    while node.operator_call("GET /healthcheck").status() != 503 {}
}

#[test]
fn endpoint_in_maintenance_gets_no_requests_until_ready() {
    let (first_endpoint, second_endpoint) = (
        FakeEndpoint::start(EndpointBehaviour::Respond("one")),
        FakeEndpoint::start(EndpointBehaviour::Respond("two")),
    );
    let (builder, discovery) = NodeBuilder::with_operator_address(&[&first_endpoint, &second_endpoint]);
    let node = builder.start();
    assert_eq!(node.operator_call("PUT /workers/w0/maint").status(), 200);
    assert_eq!(node.operator_call("PUT /workers/w%30/maint").status(), 200, "idempotent");
    // The endpoint list says that the endpoint is running.
    discovery.wait_until_applied(discovery.update_entry(endpoint_entry(
        "w0",
        first_endpoint.addr,
        "SERVING",
    )));
    for i in 0..20 {
        assert_eq!(node.send_request(&TestRequest::at_most_once(&format!("a{i}"))).body, b"two");
    }
    for (call, status) in [
        ("PUT /workers/nobody/maint", 404),
        ("PUT /workers/nobody/ready", 404),
        ("PUT /workers//maint", 404),
        ("PUT /workers/w0", 404),
        ("PUT /workers/%ff/maint", 400),
        ("GET /workers/w0/maint", 405),
    ] {
        assert_eq!(node.operator_call(call).status(), status, "{call}");
    }
    assert_eq!(node.operator_call("PUT /workers/w0/ready").status(), 200);
    assert_eq!(node.operator_call("PUT /workers/w1/maint").status(), 200);
    for i in 0.. {
        // Requests beyond the allowance of the slow start are rejected.
        match node.send_request(&TestRequest::at_most_once(&format!("b{i}"))) {
            served if served.status() == 200 => return assert_eq!(served.body, b"one"),
            rejected => assert_eq!(rejected.status(), 429),
        }
    }
}

#[test]
fn stats_match_client_and_endpoint_observations() {
    let (first_endpoint, second_endpoint) = (
        FakeEndpoint::start(EndpointBehaviour::Respond("ok")),
        FakeEndpoint::start(EndpointBehaviour::Respond("ok")),
    );
    let (builder, _discovery) = NodeBuilder::with_operator_address(&[&first_endpoint, &second_endpoint]);
    let node = builder.start();
    let metric = |name: &str| -> u64 {
        let response = node.operator_call("GET /stats");
        assert!(response.status() == 200 && response.header("content-type").starts_with("text/plain"));
        let text = String::from_utf8(response.body).expect("text");
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
        line.unwrap_or_else(|| panic!("{name} in {text}"))
    };
    let classes = ["check-answer", "submit"];
    for (kind, class) in
        ["success", "overload", "error"].iter().flat_map(|kind| classes.map(|class| (kind, class)))
    {
        assert_eq!(metric(&format!("svc_{kind}{{type=\"{class}\"}}")), 0, "reported from the start");
    }
    for i in 0..3 {
        assert_eq!(node.send_request(&TestRequest::new(&format!("a{i}"))).status(), 200);
    }
    for endpoint in [&first_endpoint, &second_endpoint] {
        endpoint.set_behaviour(EndpointBehaviour::WriteRaw(ERROR_RESPONSE));
    }
    assert_eq!(node.send_request(&TestRequest::at_most_once("b")).status(), 502);
    assert_eq!(node.send_request(&TestRequest::new("c")).status(), 429);
    // An invalid request is not counted.
    assert_eq!(node.send_request(&TestRequest::new("d").without_header("X-Plan")).status(), 400);
    assert_eq!(metric("svc_success{type=\"check-answer\"}"), 3);
    assert_eq!(metric("svc_success{type=\"submit\"}"), 0);
    assert_eq!(metric("svc_overload{type=\"check-answer\"}"), 1);
    assert_eq!(metric("svc_error{type=\"submit\"}"), 1);
    let attempts = first_endpoint.drain_requests().len() + second_endpoint.drain_requests().len();
    assert_eq!(metric("svc_dispatches"), attempts as u64);
    // A request is in flight until its client has the response or has disconnected.
    let gate = Arc::new(Gate::default());
    for endpoint in [&first_endpoint, &second_endpoint] {
        endpoint.set_behaviour(EndpointBehaviour::RespondAfter(gate.clone()));
    }
    let mut clients: Vec<Client> = (0..3).map(|_| node.connect()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&TestRequest::at_most_once(&format!("w{i}")));
    }
    while metric("svc_concurrent") != 3 {}
    drop(clients.pop());
    while metric("svc_concurrent") != 2 {}
    gate.open();
    for client in &mut clients {
        assert_eq!(client.read_response().map(|response| response.status()), Some(200));
    }
    while metric("svc_concurrent") != 0 {}
    assert_eq!(metric("svc_success{type=\"submit\"}"), 2);
    assert_eq!((metric("svc_targets"), metric("svc_targets_disabled")), (2, 0));
    assert_eq!(node.operator_call("PUT /workers/w1/maint").status(), 200);
    assert_eq!((metric("svc_targets"), metric("svc_targets_disabled")), (2, 1));
}
