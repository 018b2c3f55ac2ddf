//! Calls to discovery that fail at different stages: the next call must follow in time.

mod fakes;
use fakes::{
    EndpointBehaviour, FakeEndpoint, NodeBuilder, ReservedPort, SaturatedListener, read_message,
    wait_for_pending_connections,
};
use serde_json::json;
use std::{
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// Time after a change at which every gateway counts as notified, even if a call has failed.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);
/// Allowance for a slow connect of the next call.
const CONNECT_DELAY_ALLOWANCE: Duration = Duration::from_millis(1500);

/// Stage at which a call fails.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FailureStage {
    /// The connection stays pending.
    Connecting,
    /// The connection is refused.
    Refused,
    /// The response never begins.
    Head,
    /// The response body never ends.
    Body,
    /// The connection is closed without a response.
    Reset,
    /// The response has status 503.
    Status,
}

const ALL_STAGES: [FailureStage; 6] = [
    FailureStage::Connecting,
    FailureStage::Refused,
    FailureStage::Head,
    FailureStage::Body,
    FailureStage::Reset,
    FailureStage::Status,
];

fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Accepts the next connection and reads a call; returns the connection and the request line.
fn accept_call(listener: &TcpListener) -> (TcpStream, String) {
    let (socket, _) = listener.accept().expect("a connection");
    let message = read_message(&mut BufReader::new(&socket)).expect("a call");
    (socket, message.start_line)
}

/// Returns the time from a change at discovery to the next call of a gateway in a fleet of `gateway_count` if the watch
/// that would deliver the change fails at `stage`.
fn time_until_next_call(mode: &str, gateway_count: u32, stage: FailureStage) -> Duration {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (mut builder, _unused_discovery) = NodeBuilder::new(&[&endpoint]);
    builder.settings["Discovery"] = json!(mode);
    builder.settings["PeersTotal"] = json!(gateway_count);
    if stage == FailureStage::Refused {
        let closed_port = ReservedPort::new();
        builder.discovery(closed_port.addr);
        let node = builder.start();
        node.wait_for_log("discovery failed reason=no connection");
        let failed_at = Instant::now();
        accept_call(&closed_port.listen());
        return failed_at.elapsed();
    }
    let saturated = SaturatedListener::start();
    builder.discovery(saturated.addr);
    let (addr, listener) = (saturated.addr, saturated.into_listener());
    let _node = builder.start();
    let (mut socket, _) = accept_call(&listener);
    let body = json!({"version": 7, "full": true, "servers": builder.known_endpoints}).to_string();
    socket.write_all(ok_response(&body).as_bytes()).expect("the gateway reads");
    let watch = read_message(&mut BufReader::new(&socket)).expect("a watch on the same connection");
    assert!(watch.start_line.contains("from=7&hold_ms="), "{}", watch.start_line);
    // Discovery has the change from here on.
    let changed_at = Instant::now();
    match stage {
        FailureStage::Connecting => {
            // The backlog of one is full again, so that the next connection stays pending.
            let backlog_connection = TcpStream::connect(addr).expect("the connection that fills the backlog");
            drop(socket);
            wait_for_pending_connections(addr, 1);
            wait_for_pending_connections(addr, 0);
            drop(backlog_connection);
            listener.accept().expect("the connection that filled the backlog");
        }
        FailureStage::Refused | FailureStage::Head => drop(thread::spawn(move || hold_until_closed(socket))),
        FailureStage::Body => {
            let (first_half, _) = body.split_at(body.len() / 2);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{first_half}", body.len());
            socket.write_all(head.as_bytes()).expect("the gateway reads");
            thread::spawn(move || hold_until_closed(socket));
        }
        FailureStage::Reset => drop(socket),
        FailureStage::Status => {
            let unavailable_response = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            socket.write_all(unavailable_response).expect("the gateway reads");
        }
    }
    accept_call(&listener);
    changed_at.elapsed()
}

/// Keeps the connection open until the gateway closes it.
fn hold_until_closed(socket: TcpStream) {
    while read_message(&mut BufReader::new(&socket)).is_some() {}
}

fn assert_next_call_in_time(mode: &str, gateway_count: u32) {
    thread::scope(|scope| {
        let spawn_stage =
            |stage| (stage, scope.spawn(move || time_until_next_call(mode, gateway_count, stage)));
        for (stage, thread) in ALL_STAGES.map(spawn_stage) {
            let elapsed = thread.join().expect("the thread did not panic");
            assert!(
                elapsed + CONNECT_DELAY_ALLOWANCE < NOTIFICATION_LIMIT,
                "{mode}, {gateway_count} gateways, {stage:?}: next call after {elapsed:?}"
            );
        }
    });
}

#[test]
fn failed_watch_in_push_mode_is_retried_in_time_at_every_stage() {
    assert_next_call_in_time("push", 2);
}

#[test]
fn failed_watch_in_poll_mode_is_retried_in_time_at_every_stage() {
    assert_next_call_in_time("ask", 2);
    assert_next_call_in_time("ask", 350);
}
