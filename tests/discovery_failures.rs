//! Calls to discovery that fail at each of their stages: how soon the next call is made.

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

/// Time after which a gateway counts as notified of a change, even if a call has failed.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);
/// Allowance for a slow connection of the next call.
const CONNECT_DELAY_ALLOWANCE: Duration = Duration::from_millis(1500);

/// The stage at which a call fails.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Connecting,
    Refused,
    Head,
    Body,
    Reset,
    Status,
}

const ALL_STAGES: [Stage; 6] =
    [Stage::Connecting, Stage::Refused, Stage::Head, Stage::Body, Stage::Reset, Stage::Status];

fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Accepts the next connection; returns it with the first line of its call.
fn accept_call(listener: &TcpListener) -> (TcpStream, String) {
    let (socket, _) = listener.accept().expect("a connection");
    let message = read_message(&mut BufReader::new(&socket)).expect("a call");
    (socket, message.start_line)
}

/// Time from a change at discovery to the next call of one of `gateways`, if the watch that would deliver the change
/// fails at `stage`.
fn time_until_next_call(mode: &str, gateways: u32, stage: Stage) -> Duration {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (mut builder, _unused) = NodeBuilder::new(&[&endpoint]);
    builder.settings["Discovery"] = json!(mode);
    builder.settings["PeersTotal"] = json!(gateways);
    if stage == Stage::Refused {
        let closed_port = ReservedPort::new();
        builder.discovery(closed_port.addr);
        let node = builder.start();
        node.wait_for_log("discovery failed reason=no connection");
        let reached = Instant::now();
        accept_call(&closed_port.listen());
        return reached.elapsed();
    }
    let saturated = SaturatedListener::start();
    builder.discovery(saturated.addr);
    let (addr, listener) = (saturated.addr, saturated.into_listener());
    let _node = builder.start();
    let (mut socket, _) = accept_call(&listener);
    let body = json!({"version": 7, "full": true, "servers": builder.known_endpoints}).to_string();
    socket.write_all(ok_response(&body).as_bytes()).expect("it reads");
    let watch = read_message(&mut BufReader::new(&socket)).expect("a watch on the same connection");
    assert!(watch.start_line.contains("from=7&hold_ms="), "{}", watch.start_line);
    // Discovery has the change from this moment on.
    let changed_at = Instant::now();
    match stage {
        Stage::Connecting => {
            // The backlog of one is full again, so that the next connection stays pending.
            let taken = TcpStream::connect(addr).expect("the one that fits");
            drop(socket);
            wait_for_pending_connections(addr, 1);
            wait_for_pending_connections(addr, 0);
            drop(taken);
            listener.accept().expect("the one that fitted");
        }
        Stage::Refused | Stage::Head => drop(thread::spawn(move || hold_until_closed(socket))),
        Stage::Body => {
            let (half, _) = body.split_at(body.len() / 2);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{half}", body.len());
            socket.write_all(head.as_bytes()).expect("it reads");
            thread::spawn(move || hold_until_closed(socket));
        }
        Stage::Reset => drop(socket),
        Stage::Status => {
            let full = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            socket.write_all(full).expect("it reads");
        }
    }
    accept_call(&listener);
    changed_at.elapsed()
}

/// Keeps a connection open until the other side closes it.
fn hold_until_closed(socket: TcpStream) {
    while read_message(&mut BufReader::new(&socket)).is_some() {}
}

fn assert_next_call_in_time(mode: &str, gateways: u32) {
    thread::scope(|scope| {
        let begin = |stage| (stage, scope.spawn(move || time_until_next_call(mode, gateways, stage)));
        for (stage, thread) in ALL_STAGES.map(begin) {
            let after = thread.join().expect("no panic inside");
            assert!(
                after + CONNECT_DELAY_ALLOWANCE < NOTIFICATION_LIMIT,
                "{mode}, {gateways} gateways, {stage:?}: next call after {after:?}"
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
