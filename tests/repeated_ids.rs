//! Requests whose transaction id comes again: one that may have run is not sent a second time, unless its class is
//! idempotent.

mod fakes;
use fakes::{
    Client, EndpointBehaviour, FakeEndpoint, Gate, LaunchOptions, Node, NodeBuilder, TempDir, TestRequest,
};
use serde_json::json;
use std::{net::TcpListener, sync::Arc, thread, time::Duration};

/// Time for which a test looks whether an endpoint gets a request that it must not get.
const LOOK_TIME: Duration = Duration::from_millis(200);

/// Returns a request of a class whose endpoints drop repeats by an idempotency key.
fn keyed(txn: &str) -> TestRequest {
    let mut request = TestRequest::at_most_once(txn)
        .with_header("X-Lane", "change")
        .with_header("Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
    request.request_line = "POST /change HTTP/1.1".into();
    request
}

fn builder_with_keyed_class(endpoint: &FakeEndpoint) -> NodeBuilder {
    let mut builder = NodeBuilder::with_lasting_discovery(&[endpoint.addr]);
    builder.operator_address();
    let class = json!({"Name": "change", "Effect": "deduplicated", "Group": "zone", "Window": 1.5, "Slo": 20.0,
        "Deadline": 30.0});
    builder.settings["Classes"].as_array_mut().expect("classes").push(class);
    builder
}

/// Sends a request whose client leaves once the endpoint has it.
fn send_and_leave(node: &Node, endpoint: &FakeEndpoint, request: &TestRequest) {
    let mut client = node.connect();
    client.send(request);
    endpoint.next_request();
    drop(client);
}

/// Asserts that a request is answered, but not with 200, and that no endpoint gets it.
fn assert_not_run_again(node: &Node, endpoint: &FakeEndpoint, request: &TestRequest) {
    let status = node.send_request(request).status();
    thread::sleep(LOOK_TIME);
    let runs = endpoint.drain_requests().len();
    assert_eq!((status, runs), (409, 0), "status and further runs of {}", request.request_line);
}

/// Guards against a request that runs twice because its client left and sent it again while the first was running.
#[test]
fn request_of_client_that_left_is_not_run_again_while_it_runs() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::HoldUntilClosed);
    let node = builder_with_keyed_class(&endpoint).start();
    for request in [TestRequest::at_most_once("unsafe"), keyed("keyed")] {
        send_and_leave(&node, &endpoint, &request);
        assert_not_run_again(&node, &endpoint, &request);
    }
}

/// Guards against a request that runs twice because its id is forgotten as soon as the first run has ended.
#[test]
fn request_that_has_run_is_not_run_again() {
    let gate = Arc::new(Gate::default());
    let endpoint = FakeEndpoint::start(EndpointBehaviour::RespondAfter(gate.clone()));
    let node = builder_with_keyed_class(&endpoint).start();
    let requests = [TestRequest::at_most_once("unsafe"), keyed("keyed")];
    for request in &requests {
        send_and_leave(&node, &endpoint, request);
    }
    gate.open();
    thread::sleep(LOOK_TIME);
    for request in &requests {
        assert_not_run_again(&node, &endpoint, request);
    }
    endpoint.set_behaviour(EndpointBehaviour::Respond("ok"));
    let served = TestRequest::at_most_once("served");
    assert_eq!(node.send_request(&served).status(), 200);
    endpoint.drain_requests();
    assert_not_run_again(&node, &endpoint, &served);
    // Of a broken connection nobody knows whether the request has run.
    endpoint.set_behaviour(EndpointBehaviour::Close);
    let broken = TestRequest::at_most_once("broken");
    assert_eq!(node.send_request(&broken).status(), 502);
    endpoint.set_behaviour(EndpointBehaviour::Respond("ok"));
    endpoint.drain_requests();
    assert_not_run_again(&node, &endpoint, &broken);
}

/// Guards against the refusal of an id that can't have run or whose class may run any number of times.
#[test]
fn request_that_may_run_again_is_served() {
    let rejection = "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
    let endpoint = FakeEndpoint::start(EndpointBehaviour::WriteRaw(rejection));
    let node = builder_with_keyed_class(&endpoint).start();
    let rejected = TestRequest::at_most_once("rejected");
    assert_eq!(node.send_request(&rejected).status(), 429);
    endpoint.set_behaviour(EndpointBehaviour::Respond("ok"));
    let idempotent = TestRequest::new("idempotent");
    assert_eq!(node.send_request(&idempotent).status(), 200);
    for request in [&rejected, &idempotent] {
        assert_eq!(node.send_request(request).status(), 200, "{}", request.request_line);
    }
}

/// Starts a process of the gateway that shares its listening socket and folder with the others.
fn start_process(builder: &NodeBuilder, socket: &TcpListener, folder: &TempDir) -> Node {
    let options =
        LaunchOptions { listener: Some(socket), temp_dir: Some(&folder.path), ..LaunchOptions::default() };
    let node = builder.start_with(&options);
    while node.operator_call("GET /healthcheck").status() != 200 {}
    node
}

/// Guards against a request that runs twice because it comes again at the other process of an upgrade, in which its id
/// is not known.
#[test]
fn request_is_not_run_again_by_other_process_of_upgrade() {
    let gate = Arc::new(Gate::default());
    let endpoint = FakeEndpoint::start(EndpointBehaviour::RespondAfter(gate.clone()));
    let builder = builder_with_keyed_class(&endpoint);
    let (socket, folder) = (TcpListener::bind("127.0.0.1:0").expect("a free port"), TempDir::new("ids"));
    let predecessor = start_process(&builder, &socket, &folder);
    let mut old_connections: Vec<Client> = (0..2).map(|_| predecessor.connect()).collect();
    for connection in &mut old_connections {
        assert_eq!(
            connection.send_request(&TestRequest::new("")).status(),
            400,
            "the process has accepted it"
        );
    }
    let requests =
        |name: &str| [TestRequest::at_most_once(&format!("{name}-unsafe")), keyed(&format!("{name}-keyed"))];
    // Of the first pair one has run before the successor starts, and the other is running.
    let early = requests("early");
    send_and_leave(&predecessor, &endpoint, &early[0]);
    gate.open();
    thread::sleep(LOOK_TIME);
    let closed_gate = Arc::new(Gate::default());
    endpoint.set_behaviour(EndpointBehaviour::RespondAfter(closed_gate.clone()));
    send_and_leave(&predecessor, &endpoint, &early[1]);
    let successor = start_process(&builder, &socket, &folder);
    predecessor.wait_for_log("processes=2");
    // The second pair reaches the predecessor while both processes run.
    let late = requests("late");
    for (request, mut connection) in late.iter().zip(old_connections) {
        connection.send(request);
        endpoint.next_request();
    }
    predecessor.terminate();
    predecessor.wait_for_log("stopping gateway=n0");
    for request in early.iter().chain(&late) {
        assert_not_run_again(&successor, &endpoint, request);
    }
    closed_gate.open();
}
