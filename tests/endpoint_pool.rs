//! Pooled connections of the built program to endpoints: reuse, idle limits, replacement.

mod fakes;
use fakes::{
    EndpointBehaviour, EndpointEvent, FakeEndpoint, Gate, NodeBuilder, TestRequest, endpoint_entry,
    wait_until_connection_is_reusable,
};
use serde_json::json;
use std::sync::Arc;

#[test]
fn dead_pooled_connection_is_replaced_without_error() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::RespondThenShutDown);
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    let mut client = node.connect();
    // At-most-once requests are not retried, so an attempt on a dead connection would be visible as a failure.
    for i in 0..4 {
        assert_eq!(client.send_request(&TestRequest::at_most_once(&format!("d{i}"))).status(), 200);
        endpoint.wait_for_event(|event| matches!(event, EndpointEvent::WriteFinished));
        wait_until_connection_is_reusable();
    }
}

#[test]
fn connection_idle_as_long_as_one_that_was_reset_is_not_reused() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::RespondOnce);
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    let idle = || std::thread::sleep(std::time::Duration::from_millis(150));
    let send = |txn: &str| node.send_request(&TestRequest::at_most_once(txn)).status();
    assert_eq!(send("a"), 200);
    idle();
    assert_eq!(send("b"), 502, "the request may have run");
    for txn in ["c", "d", "e"] {
        assert_eq!(send(txn), 200, "a new connection, as the pooled one was idle for too long");
        idle();
    }
}

#[test]
fn idle_connection_is_closed_before_endpoint_idle_limit() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (mut builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    builder.settings["Limits"]["ConnIdle"] = json!(2.0);
    let node = builder.start();
    let mut client = node.connect();
    assert_eq!(client.send_request(&TestRequest::at_most_once("i")).status(), 200);
    endpoint.wait_for_event(|event| matches!(event, EndpointEvent::ConnectionEnded(0)));
    assert_eq!(
        client.send_request(&TestRequest::at_most_once("j")).status(),
        200,
        "the next request has a new connection"
    );
}

#[test]
fn unsolicited_bytes_on_idle_connection_do_not_answer_next_request() {
    let gate = Arc::new(Gate::default());
    let unsolicited = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    let endpoint = FakeEndpoint::start(EndpointBehaviour::RespondThenWriteRaw(gate.clone(), unsolicited));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    for i in 0..4 {
        assert_eq!(node.send_request(&TestRequest::at_most_once(&format!("l{i}"))).body, b"asked");
        gate.open();
        endpoint.wait_for_event(|event| matches!(event, EndpointEvent::WriteFinished));
        wait_until_connection_is_reusable();
    }
}

#[test]
fn endpoint_reusing_address_of_deleted_one_gets_new_connections() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    assert_eq!(node.send_request(&TestRequest::new("a")).status(), 200);
    let (first_connection, _) = endpoint.next_request();
    wait_until_connection_is_reusable();
    discovery.update_entry(endpoint_entry("w0", endpoint.addr, "DELETED"));
    discovery.wait_until_applied(discovery.update_entry(endpoint_entry("w1", endpoint.addr, "SERVING")));
    assert_eq!(node.send_request(&TestRequest::new("b")).status(), 200);
    let (second_connection, _) = endpoint.next_request();
    assert_ne!(first_connection, second_connection);
    wait_until_connection_is_reusable();
    // A restart of the same endpoint has the same effect.
    let mut restarted_entry = endpoint_entry("w1", endpoint.addr, "SERVING");
    restarted_entry["started_ms"] = json!(1000);
    discovery.wait_until_applied(discovery.update_entry(restarted_entry));
    assert_eq!(node.send_request(&TestRequest::new("c")).status(), 200);
    assert_ne!(endpoint.next_request().0, second_connection);
}
