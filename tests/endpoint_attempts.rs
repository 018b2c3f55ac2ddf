//! Attempts of the built program at failing endpoints: retries, and responses to the client.

mod fakes;
use fakes::{
    EndpointBehaviour, EndpointEvent, FakeEndpoint, Gate, NodeBuilder, ReservedPort, TestRequest,
    endpoint_entry,
};
use serde_json::json;
use std::sync::Arc;

const REJECTED_RESPONSE: &str = "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

const ERROR_RESPONSE: &str = "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n";

const UNAVAILABLE_RESPONSE: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

#[test]
fn at_most_once_request_that_may_have_run_is_not_retried() {
    for behaviour in [
        EndpointBehaviour::Close,
        EndpointBehaviour::WriteRaw(ERROR_RESPONSE),
        EndpointBehaviour::WriteRaw(UNAVAILABLE_RESPONSE),
        EndpointBehaviour::WriteRaw("nonsense\r\n\r\n"),
    ] {
        let (first_endpoint, second_endpoint) =
            (FakeEndpoint::start(behaviour.clone()), FakeEndpoint::start(behaviour));
        let (builder, _discovery) = NodeBuilder::new(&[&first_endpoint, &second_endpoint]);
        let node = builder.start();
        // The status says failed, not rejected: a rejection would mean that the request has not run.
        assert_eq!(node.send_request(&TestRequest::at_most_once("once")).status(), 502);
        assert_eq!(
            first_endpoint.drain_requests().len() + second_endpoint.drain_requests().len(),
            1,
            "one attempt"
        );
    }
}

#[test]
fn retry_with_zone_scoped_idempotency_key_stays_in_unlisted_zone() {
    for (second_zone, expected_status, expected_requests) in [("hall-y", 502, 0), ("hall-x", 200, 1)] {
        let (first, second) = (
            FakeEndpoint::start(EndpointBehaviour::Close),
            FakeEndpoint::start(EndpointBehaviour::Respond("second")),
        );
        let (mut builder, discovery) = NodeBuilder::new(&[]);
        let class = &mut builder.settings["Classes"][0];
        class["Effect"] = json!("deduplicated");
        class["Group"] = json!("zone");
        class["Window"] = json!(30.0);
        for (id, endpoint, zone) in [("w0", &first, "hall-x"), ("w1", &second, second_zone)] {
            let mut entry =
                endpoint_entry(id, endpoint.addr, if id == "w0" { "SERVING" } else { "DRAINING" });
            entry["zone"] = json!(zone);
            builder.known_endpoints.push(entry.clone());
            discovery.update_entry(entry);
        }
        let gate = Arc::new(Gate::default());
        first.set_behaviour(EndpointBehaviour::CloseAfter(gate.clone()));
        let node = builder.start();
        let mut client = node.connect();
        client.send(&TestRequest::new("z"));
        first.next_request();
        builder.known_endpoints[1]["state"] = json!("SERVING");
        discovery.wait_until_applied(discovery.update_entry(builder.known_endpoints[1].clone()));
        gate.open();
        assert_eq!(
            client.read_response().expect("a complete response").status(),
            expected_status,
            "{second_zone}"
        );
        assert_eq!(second.drain_requests().len(), expected_requests, "{second_zone}");
    }
}

#[test]
fn at_most_once_request_that_never_ran_is_retried() {
    let (overloaded, healthy) = (
        FakeEndpoint::start(EndpointBehaviour::WriteRaw(REJECTED_RESPONSE)),
        FakeEndpoint::start(EndpointBehaviour::Respond("ok")),
    );
    let (mut builder, discovery) = NodeBuilder::new(&[&overloaded, &healthy]);
    let closed_port = ReservedPort::new();
    let unreachable = endpoint_entry("w2", closed_port.addr, "SERVING");
    discovery.update_entry(unreachable.clone());
    builder.known_endpoints.push(unreachable);
    let node = builder.start();
    // The order is random and the retry budget limited, so the test repeats until the overloaded endpoint was tried.
    for i in 0.. {
        assert_eq!(node.send_request(&TestRequest::at_most_once(&format!("r{i}"))).status(), 200);
        assert_eq!(healthy.drain_requests().len(), 1);
        if !overloaded.drain_requests().is_empty() {
            break;
        }
    }
}

#[test]
fn idempotent_request_is_retried_after_reset() {
    let (failing, healthy) = (
        FakeEndpoint::start(EndpointBehaviour::Close),
        FakeEndpoint::start(EndpointBehaviour::Respond("ok")),
    );
    let (builder, _discovery) = NodeBuilder::new(&[&failing, &healthy]);
    let node = builder.start();
    for i in 0.. {
        assert_eq!(node.send_request(&TestRequest::new(&format!("s{i}"))).status(), 200);
        if !failing.drain_requests().is_empty() {
            break;
        }
    }
}

#[test]
fn idempotent_request_with_only_failed_attempts_is_rejected() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::WriteRaw(ERROR_RESPONSE));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    assert_eq!(builder.start().send_request(&TestRequest::new("e")).status(), 429);
}

#[test]
fn silent_endpoint_times_out_and_connection_is_closed() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::HoldUntilClosed);
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    assert_eq!(node.send_request(&TestRequest::new("t").with_header("X-Remaining", "0.3")).status(), 429);
    endpoint.wait_for_event(|event| matches!(event, EndpointEvent::ConnectionEnded(_)));
    assert_eq!(
        node.send_request(&TestRequest::at_most_once("u").with_header("X-Remaining", "0.3")).status(),
        502,
        "the request may have run"
    );
}

/// Malformed responses, after which the endpoint keeps the connection open.
const MALFORMED_RESPONSES: [&str; 9] = [
    "\u{1}\u{2} noise \u{3}\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Half",
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
    "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 7\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand it keeps coming",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\nno length",
    "HTTP/1.1 two hundred\r\nContent-Length: 2\r\n\r\nok",
];

#[test]
fn malformed_response_is_not_delivered_and_at_most_once_request_fails() {
    for response in MALFORMED_RESPONSES {
        let endpoint = FakeEndpoint::start(EndpointBehaviour::WriteRaw(response));
        let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
        let node = builder.start();
        // A response that stops half way may still go on, so it is awaited until the deadline.
        let request = TestRequest::at_most_once("once").with_header("X-Remaining", "2.000");
        assert_eq!(node.send_request(&request).status(), 502, "{response}");
        endpoint.next_request();
        // The connection is closed, and the request is not sent again.
        endpoint.wait_for_event(|event| matches!(event, EndpointEvent::ConnectionEnded(_)));
        assert!(endpoint.drain_requests().is_empty(), "{response}");
    }
}

#[test]
fn endless_head_or_body_is_cut_off() {
    let endless: [&'static str; 2] = [
        format!("HTTP/1.1 200 OK\r\n{}", "X-More: of the same\r\n".repeat(4000)).leak(),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", "5\r\nagain\r\n".repeat(20_000))
            .leak(),
    ];
    for response in endless {
        let endpoint = FakeEndpoint::start(EndpointBehaviour::WriteRaw(response));
        let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
        let node = builder.start();
        let mut client = node.connect();
        client.send(&TestRequest::at_most_once("once").with_header("Connection", "close"));
        endpoint.next_request();
        endpoint.set_behaviour(EndpointBehaviour::Respond("ok"));
        // An endless body is streamed until it is cut off, so that the client sees an incomplete response.
        let response = client.read_until_closed();
        assert!(
            response.starts_with("HTTP/1.1 502 ")
                || (response.starts_with("HTTP/1.1 200 ") && !response.ends_with("0\r\n\r\n"))
        );
        endpoint.wait_for_event(|event| matches!(event, EndpointEvent::ConnectionEnded(_)));
    }
}

#[test]
fn idempotent_request_is_retried_after_malformed_response() {
    let (malformed, healthy) = (
        FakeEndpoint::start(EndpointBehaviour::WriteRaw(MALFORMED_RESPONSES[2])),
        FakeEndpoint::start(EndpointBehaviour::Respond("ok")),
    );
    let (builder, _discovery) = NodeBuilder::new(&[&malformed, &healthy]);
    let node = builder.start();
    for i in 0.. {
        assert_eq!(node.send_request(&TestRequest::new(&format!("s{i}"))).body, b"ok");
        if !malformed.drain_requests().is_empty() {
            break;
        }
    }
}

#[test]
fn bytes_around_valid_response_are_not_delivered() {
    for response in [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok noise",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nX-Pressure: util=-9e999, nonsense\r\nContent-Length: 2\r\n\r\nok",
    ] {
        let endpoint = FakeEndpoint::start(EndpointBehaviour::WriteRaw(response));
        let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
        let node = builder.start();
        for i in 0..3 {
            assert_eq!(
                node.send_request(&TestRequest::at_most_once(&format!("b{i}"))).body,
                b"ok",
                "{response}"
            );
        }
        assert_eq!(endpoint.drain_requests().len(), 3);
    }
}
