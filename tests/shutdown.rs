//! Graceful shutdown of the built program.

mod fakes;
use fakes::{EndpointBehaviour, FakeEndpoint, Gate, NodeBuilder, TestRequest};
use std::sync::Arc;

#[test]
fn sigterm_answers_requests_in_flight_and_exits_cleanly() {
    let gate = Arc::new(Gate::default());
    let endpoint = FakeEndpoint::start(EndpointBehaviour::RespondAfter(gate.clone()));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let mut node = builder.start();
    let mut idle = node.connect();
    let mut client = node.connect();
    client.send(&TestRequest::new("held"));
    endpoint.next_request();
    node.terminate();
    node.wait_for_log("stopping gateway=n0 waiting=1");
    gate.open();
    let response = client.read_response().expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, "close"));
    assert!(idle.read_response().is_none(), "idle connections are closed");
    assert!(node.wait_for_exit().success());
}

#[test]
fn sigterm_fails_unanswered_requests_before_forced_exit() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::HoldUntilClosed);
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let mut node = builder.start();
    let mut client = node.connect();
    client.send(&TestRequest::at_most_once("held"));
    endpoint.next_request();
    node.terminate();
    assert_eq!(
        client.read_response().map(|response| response.status()),
        Some(502),
        "within the client's deadline of 25 s"
    );
    assert!(node.wait_for_exit().success());
}
