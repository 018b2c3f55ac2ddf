//! A call to discovery that fails at each of its stages: what becomes of it, and when the next one asks.

mod fakes;
use fakes::*;
use serde_json::json;
use std::{
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// Whatever became of a call, a change counts as told so long after discovery had it.
const TOLD: Duration = Duration::from_secs(6);
/// The next call's connection may come up so late.
const LATE: Duration = Duration::from_millis(1500);

/// Where a call fails.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Connecting,
    Refused,
    Head,
    Body,
    Reset,
    Status,
}

const STAGES: [Stage; 6] =
    [Stage::Connecting, Stage::Refused, Stage::Head, Stage::Body, Stage::Reset, Stage::Status];

fn answer(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// The next connection that brings a call, and the call's first line.
fn call(listener: &TcpListener) -> (TcpStream, String) {
    let (socket, _) = listener.accept().expect("a connection");
    let message = read_message(&mut BufReader::new(&socket)).expect("a call");
    (socket, message.line)
}

/// How long after a change that discovery had the next call asks, where the watch that should bring it fails at
/// `stage`; the gateway is one of so many.
fn asked_again(mode: &str, gateways: u32, stage: Stage) -> Duration {
    let worker = Worker::start(Does::Serves("ok"));
    let (mut setup, _unused) = Setup::new(&[&worker]);
    setup.settings["Discovery"] = json!(mode);
    setup.settings["PeersTotal"] = json!(gateways);
    if stage == Stage::Refused {
        let down = Down::new();
        setup.discovery = down.addr;
        let node = setup.start();
        node.says("discovery failed reason=no connection");
        let reached = Instant::now();
        call(&down.listen());
        return reached.elapsed();
    }
    let late = Late::start();
    setup.discovery = late.addr;
    let (addr, listener) = (late.addr, late.listen());
    let _node = setup.start();
    let (mut socket, _) = call(&listener);
    let body = json!({"version": 7, "full": true, "servers": setup.known}).to_string();
    socket.write_all(answer(&body).as_bytes()).expect("it reads");
    let watch = read_message(&mut BufReader::new(&socket)).expect("a watch on the same connection");
    assert!(watch.line.contains("from=7&hold_ms="), "{}", watch.line);
    // From here on discovery has the change.
    let had = Instant::now();
    match stage {
        Stage::Connecting => {
            // The queue of one is taken again, so that the next connection does not come up.
            let taken = TcpStream::connect(addr).expect("the one that fits");
            drop(socket);
            wait_until_waiting(addr, 1);
            wait_until_waiting(addr, 0);
            drop(taken);
            listener.accept().expect("the one that fitted");
        }
        Stage::Refused | Stage::Head => drop(thread::spawn(move || held(socket))),
        Stage::Body => {
            let (half, _) = body.split_at(body.len() / 2);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{half}", body.len());
            socket.write_all(head.as_bytes()).expect("it reads");
            thread::spawn(move || held(socket));
        }
        Stage::Reset => drop(socket),
        Stage::Status => {
            let full = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            socket.write_all(full).expect("it reads");
        }
    }
    call(&listener);
    had.elapsed()
}

/// Keeps a connection open until the other side ends it.
fn held(socket: TcpStream) {
    while read_message(&mut BufReader::new(&socket)).is_some() {}
}

fn at_each_stage(mode: &str, gateways: u32) {
    thread::scope(|scope| {
        let begin = |stage| (stage, scope.spawn(move || asked_again(mode, gateways, stage)));
        for (stage, thread) in STAGES.map(begin) {
            let after = thread.join().expect("no panic inside");
            assert!(
                after + LATE < TOLD,
                "{mode}, {gateways} gateways, {stage:?}: asked again after {after:?}"
            );
        }
    });
}

#[test]
fn failed_watch_in_push_mode_is_retried_in_time_at_every_stage() {
    at_each_stage("push", 2);
}

#[test]
fn failed_watch_in_poll_mode_is_retried_in_time_at_every_stage() {
    at_each_stage("ask", 2);
    at_each_stage("ask", 350);
}
