//! Hot restarts of the built program: the inherited listening socket, the handover and the maintenance file.

mod fakes;
use fakes::{
    Client, EndpointBehaviour, FakeEndpoint, LaunchOptions, Node, NodeBuilder, ReservedPort, TempDir,
    TestRequest, endpoint_entry,
};
use serde_json::json;
use std::{
    io::{Read, Write},
    net::TcpListener,
    os::unix::net::{UnixListener, UnixStream},
    process::{Command, Stdio},
};

/// Returns the launch options that the processes of one node share: the listening socket and the folder for temporary
/// files.
fn shared_launch_options<'a>(listener: &'a TcpListener, temp_dir: &'a TempDir) -> LaunchOptions<'a> {
    LaunchOptions { listener: Some(listener), temp_dir: Some(&temp_dir.path), ..LaunchOptions::default() }
}

#[test]
fn inherited_listening_descriptor_accepts_clients_and_outlives_process() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::with_operator_address(&[&endpoint]);
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let start = || builder.start_with(&LaunchOptions { listener: Some(&socket), ..LaunchOptions::default() });
    let mut first_process = start();
    assert_eq!(Some(first_process.addr), socket.local_addr().ok());
    assert_eq!(first_process.send_request(&TestRequest::new("a")).status(), 200);
    first_process.terminate();
    assert!(first_process.wait_for_exit().success());
    // This client connects while no process accepts, and the next process serves it.
    let mut waiting_client = first_process.connect();
    waiting_client.send(&TestRequest::new("b"));
    let _second_process = start();
    assert_eq!(waiting_client.read_response().map(|response| response.status()), Some(200));
}

#[test]
fn inherited_descriptor_that_is_not_listening_prints_one_line_and_fails() {
    let (builder, _discovery) = NodeBuilder::with_operator_address(&[]);
    for fd in ["2", "77", "x", "-1"] {
        let path = std::env::temp_dir().join(format!("oliverack-fd-{}{fd}.json", std::process::id()));
        std::fs::write(&path, builder.config().to_string()).expect("a writable folder for temporary files");
        let output = Command::new(env!("CARGO_BIN_EXE_oliverack"))
            .env("NODE_CONFIG", &path)
            .env("NODE_ACCEPT_FD", fd)
            .stdin(Stdio::null())
            .output();
        let output = output.expect("the process exits");
        let _ = std::fs::remove_file(&path);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && stderr.lines().count() == 1, "{fd}: {stderr}");
    }
}

#[test]
fn maintenance_survives_kill_and_corrupt_file_does_not_crash() {
    let (first_endpoint, second_endpoint) = (
        FakeEndpoint::start(EndpointBehaviour::Respond("one")),
        FakeEndpoint::start(EndpointBehaviour::Respond("two")),
    );
    let (builder, _discovery) = NodeBuilder::with_operator_address(&[&first_endpoint, &second_endpoint]);
    let temp_dir = TempDir::new("kept");
    let start =
        || builder.start_with(&LaunchOptions { temp_dir: Some(&temp_dir.path), ..LaunchOptions::default() });
    let mut node = start();
    assert_eq!(node.operator_call("PUT /workers/w0/maint").status(), 200);
    node.child.kill().expect("a child");
    node.wait_for_exit();
    let node = start();
    for i in 0..20 {
        assert_eq!(node.send_request(&TestRequest::at_most_once(&format!("a{i}"))).body, b"two");
    }
    drop(node);
    let file_path = temp_dir.path.join("oliverack-n0.out.json");
    let valid_text = std::fs::read_to_string(&file_path).expect("the maintenance file");
    for text in [
        &valid_text[..valid_text.len() / 2],
        "",
        "[]",
        &valid_text.replace("n0", "n1"),
        &valid_text.replace(":1", ":2"),
    ] {
        std::fs::write(&file_path, text).expect("a writable folder");
        let node = start();
        assert_eq!(node.send_request(&TestRequest::at_most_once("b")).status(), 200);
        assert_eq!(node.operator_call("PUT /workers/w1/maint").status(), 200, "the corrupt file is replaced");
    }
}

#[test]
fn hot_restart_from_renamed_program_keeps_maintenance_and_finds_predecessor() {
    let (first_endpoint, second_endpoint) = (
        FakeEndpoint::start(EndpointBehaviour::Respond("one")),
        FakeEndpoint::start(EndpointBehaviour::Respond("two")),
    );
    let (builder, _discovery) = NodeBuilder::with_operator_address(&[&first_endpoint, &second_endpoint]);
    let (socket, temp_dir) =
        (TcpListener::bind("127.0.0.1:0").expect("a free port"), TempDir::new("renamed"));
    let start = || builder.start_with(&shared_launch_options(&socket, &temp_dir));
    let rename = |from: &str, to: &str| std::fs::rename(temp_dir.path.join(from), temp_dir.path.join(to));
    // The files get the names that they had before the program was renamed.
    let predecessor = start();
    assert_eq!(predecessor.operator_call("PUT /workers/w0/maint").status(), 200);
    rename("oliverack-n0.out.json", "earlier-n0.out.json").expect("the maintenance file");
    let socket_name = format!("n0.{}.sock", predecessor.child.id());
    rename(&format!("oliverack-{socket_name}"), &format!("earlier-{socket_name}"))
        .expect("the socket of the predecessor");
    // Maintenance file of another node, whose name has the same end.
    let other_file = r#"{"form":1,"node":"a-n0","out":["w1"]}"#;
    std::fs::write(temp_dir.path.join("another-a-n0.out.json"), other_file).expect("a writable folder");
    let successor = start();
    predecessor.wait_for_log("processes=2");
    let assert_served_by_two = |node: &Node, tag: &str| {
        for i in 0..20 {
            assert_eq!(node.send_request(&TestRequest::at_most_once(&format!("{tag}{i}"))).body, b"two");
        }
    };
    assert_served_by_two(&successor, "both");
    drop((predecessor, successor));
    // Both processes are killed now, so only the file holds the maintenance state.
    assert_served_by_two(&start(), "alone");
}

/// Starts two processes of one node, the second while the first serves; returns the predecessor and the successor.
fn start_hot_restart<'a>(
    builder: &NodeBuilder,
    socket: &'a TcpListener,
    temp_dir: &'a TempDir,
) -> (Node, Node) {
    let start = || builder.start_with(&shared_launch_options(socket, temp_dir));
    let predecessor = start();
    while predecessor.operator_call("GET /healthcheck").status() != 200 {}
    let successor = start();
    predecessor.wait_for_log("processes=2");
    while successor.operator_call("GET /healthcheck").status() != 200 {}
    (predecessor, successor)
}

#[test]
fn hot_restart_hands_over_10000_endpoints_within_32_mb() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let closed_port = ReservedPort::new();
    let (mut builder, _discovery) = NodeBuilder::with_operator_address(&[]);
    let id = |i: usize| format!("worker-hall-a-{i:05}");
    builder.known_endpoints =
        (0..9_999).map(|i| endpoint_entry(&id(i), closed_port.addr, "DRAINING")).collect();
    builder.known_endpoints.push(endpoint_entry(&id(9_999), endpoint.addr, "SERVING"));
    for entry in &mut builder.known_endpoints {
        entry["started_ms"] = json!(1_700_000_000_123_u64);
    }
    // Discovery is unreachable, so that only the configured list applies.
    builder.discovery(closed_port.addr);
    let (socket, temp_dir) = (TcpListener::bind("127.0.0.1:0").expect("a free port"), TempDir::new("long"));
    let mut config = builder.config();
    config["limits"]["memory_mb"] = json!(32);
    let config = config.to_string();
    let options = shared_launch_options(&socket, &temp_dir);
    let predecessor = builder.start_with_config(&config, &options);
    let options = shared_launch_options(&socket, &temp_dir);
    let successor = builder.start_with_config(&config, &options);
    predecessor.wait_for_log("processes=2");
    drop(predecessor);
    successor.wait_for_log("processes=1");
    assert_eq!(successor.send_request(&TestRequest::at_most_once("after")).body, b"ok");
}

#[test]
fn maintenance_call_during_hot_restart_reaches_both_processes_despite_corrupt_file() {
    let (first_endpoint, second_endpoint) = (
        FakeEndpoint::start(EndpointBehaviour::Respond("one")),
        FakeEndpoint::start(EndpointBehaviour::Respond("two")),
    );
    let (builder, _discovery) = NodeBuilder::with_operator_address(&[&first_endpoint, &second_endpoint]);
    let (socket, temp_dir) = (TcpListener::bind("127.0.0.1:0").expect("a free port"), TempDir::new("both"));
    // A socket that no process serves any more, and a file that is not a socket.
    drop(UnixListener::bind(temp_dir.path.join("oliverack-n0.1.sock")).expect("a writable folder"));
    std::fs::write(temp_dir.path.join("oliverack-n0.2.sock"), "").expect("a writable folder");
    let (predecessor, successor) = start_hot_restart(&builder, &socket, &temp_dir);
    assert_eq!(predecessor.operator_call("PUT /workers/w0/maint").status(), 200);
    successor.wait_for_log("put into maintenance endpoint=w0");
    let response_bodies = |tag: &str| {
        (0..20)
            .map(|i| predecessor.send_request(&TestRequest::at_most_once(&format!("{tag}{i}"))).body)
            .collect::<Vec<_>>()
    };
    assert!(
        response_bodies("a").iter().all(|body| body == b"two"),
        "the same from whichever process accepts the client"
    );
    assert_eq!(successor.operator_call("PUT /workers/w0/ready").status(), 200);
    predecessor.wait_for_log("taken out of maintenance endpoint=w0");
    assert_eq!(successor.operator_call("PUT /workers/w1/maint").status(), 200);
    std::fs::write(temp_dir.path.join("oliverack-n0.out.json"), "{").expect("a writable folder");
    let third_process = builder.start_with(&shared_launch_options(&socket, &temp_dir));
    predecessor.wait_for_log("processes=3");
    assert_eq!(third_process.operator_call("GET /stats").status(), 200);
    drop((predecessor, successor));
    third_process.wait_for_log("processes=1");
    for i in 0..20 {
        let response = third_process.send_request(&TestRequest::at_most_once(&format!("c{i}")));
        assert!(
            response.status() == 429 || response.body == b"one",
            "w1 is in maintenance, w0 may be in slow start"
        );
    }
}

#[test]
fn sigterm_during_hot_restart_sends_new_clients_to_successor() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::with_operator_address(&[&endpoint]);
    let (socket, temp_dir) =
        (TcpListener::bind("127.0.0.1:0").expect("a free port"), TempDir::new("drained"));
    let start = || builder.start_with(&shared_launch_options(&socket, &temp_dir));
    let mut predecessor = start();
    let mut old_clients: Vec<Client> = (0..10).map(|_| predecessor.connect()).collect();
    for (i, client) in old_clients.iter_mut().enumerate() {
        assert_eq!(client.send_request(&TestRequest::new(&format!("a{i}"))).status(), 200);
    }
    let successor = start();
    predecessor.wait_for_log("processes=2");
    predecessor.terminate();
    predecessor.wait_for_log("stopping gateway=n0 waiting=0");
    assert_eq!(successor.send_request(&TestRequest::new("b")).status(), 200);
    for (i, client) in old_clients.iter_mut().enumerate() {
        let response = client.send_request(&TestRequest::new(&format!("c{i}")));
        assert_eq!((response.status(), response.header("connection")), (200, "close"));
    }
    assert!(predecessor.wait_for_exit().success(), "after its last response");
    successor.wait_for_log("processes=1");
}

#[test]
fn successor_death_returns_full_share_to_predecessor() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::with_operator_address(&[&endpoint]);
    let (socket, temp_dir) = (TcpListener::bind("127.0.0.1:0").expect("a free port"), TempDir::new("killed"));
    let (predecessor, mut successor) = start_hot_restart(&builder, &socket, &temp_dir);
    successor.child.kill().expect("a child");
    successor.wait_for_exit();
    predecessor.wait_for_log("processes=1");
    for i in 0..20 {
        assert_eq!(predecessor.send_request(&TestRequest::new(&format!("a{i}"))).status(), 200);
    }
    // The next process finds the predecessor again.
    let _next_successor = builder.start_with(&shared_launch_options(&socket, &temp_dir));
    predecessor.wait_for_log("processes=2");
}

#[test]
fn invalid_handover_message_is_ignored() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::with_operator_address(&[&endpoint]);
    let temp_dir = TempDir::new("foreign");
    let node =
        builder.start_with(&LaunchOptions { temp_dir: Some(&temp_dir.path), ..LaunchOptions::default() });
    while node.operator_call("GET /healthcheck").status() != 200 {}
    let socket_path = temp_dir.path.join(format!("oliverack-n0.{}.sock", node.child.id()));
    for message in [
        "nonsense\n",
        "{\"Hello\":{\"form\":2,\"node\":\"n0\"}}\n",
        "{\"Hello\":{\"form\":1,\"node\":\"n1\"}}\n",
        "{\"ByHand\":{\"server\":\"w0\",\"out\":true}}\n",
    ] {
        let mut peer = UnixStream::connect(&socket_path).expect("the process listens");
        peer.write_all(message.as_bytes()).expect("a socket");
        node.wait_for_log("handshake with successor failed");
        // The connection is reset instead of closed if the process has not read the whole message.
        let _ = peer.read(&mut [0]);
    }
    assert_eq!(node.send_request(&TestRequest::new("a")).status(), 200);
}
