//! The connection of the built program to discovery: endpoint lists, failures, recovery.

mod fakes;
use fakes::*;
use serde_json::json;
use std::{
    io::{BufReader, Write},
    net::TcpListener,
    time::{Duration, Instant},
};

#[test]
fn draining_or_deleted_endpoint_gets_no_requests() {
    for state in ["DRAINING", "DELETED"] {
        let (one, two) = (Worker::start(Does::Serves("ok")), Worker::start(Does::Serves("ok")));
        let (setup, discovery) = Setup::new(&[&one, &two]);
        let node = setup.start();
        discovery.told(2);
        // Unhindered, both would be used.
        let (mut first, mut second) = (0, 0);
        for i in 0.. {
            assert_eq!(node.ask(&Ask::new(&format!("p{i}"))).status(), 200);
            (first, second) = (first + one.rest().len(), second + two.rest().len());
            if first > 0 && second > 0 {
                break;
            }
        }
        discovery.told(discovery.change(entry("w0", one.addr, state)));
        (0..8).for_each(|i| assert_eq!(node.ask(&Ask::new(&format!("q{i}"))).status(), 200));
        assert_eq!((one.rest().len(), two.rest().len()), (0, 8));
    }
}

#[test]
fn silent_or_invalid_discovery_is_followed_again_after_recovery() {
    let (old, new) = (Worker::start(Does::Serves("old")), Worker::start(Does::Serves("new")));
    let (setup, discovery) = Setup::new(&[&old]);
    discovery.silent(true);
    let node = setup.start();
    discovery.called();
    assert_eq!(node.ask(&Ask::new("a")).body, b"old", "what was known at the start serves");
    node.says("no answer");
    discovery.silent(false);
    discovery.garbage(true);
    node.says("unreadable");
    discovery.garbage(false);
    discovery.change(entry("w1", new.addr, "SERVING"));
    discovery.told(discovery.change(entry("w0", old.addr, "DELETED")));
    assert_eq!(node.ask(&Ask::new("b")).body, b"new");
}

#[test]
fn rejected_poll_is_retried_from_known_version() {
    let worker = Worker::start(Does::Serves("ok"));
    let (mut setup, discovery) = Setup::new(&[&worker]);
    setup.settings["Discovery"] = "ask".into();
    discovery.overbooked(2);
    let mut config = setup.config();
    config["known"]["version"] = 1.into();
    let node = setup.start_on(&config.to_string(), Start::default());
    (0..3).for_each(|_| assert_eq!(discovery.called(), 1, "never the whole list"));
    assert_eq!(node.ask(&Ask::new("a")).status(), 200);
    discovery.told(discovery.change(entry("w0", worker.addr, "DRAINING")));
    assert_eq!(node.ask(&Ask::new("b")).status(), 429, "and the watch tells what changes");
}

#[test]
fn endpoint_list_longer_than_body_limit_is_read() {
    let (mut setup, discovery) = Setup::new(&[]);
    let nobody = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = nobody.local_addr().expect("bound");
    let worker = Worker::start(Does::Serves("ok"));
    let mut last = 0;
    // About 130 bytes each: some 130 kB.
    for i in 0..1000 {
        last = discovery.change(entry(&format!("w{i}"), addr, "DRAINING"));
    }
    last = last.max(discovery.change(entry("w", worker.addr, "SERVING")));
    setup.known.clear();
    let node = setup.start();
    discovery.told(last);
    assert_eq!(node.ask(&Ask::new("a")).status(), 200);
}

#[test]
fn unavailable_discovery_is_polled_again_within_grace_period() {
    let worker = Worker::start(Does::Serves("ok"));
    let (setup, discovery) = Setup::new(&[&worker]);
    discovery.garbage(true);
    let _node = setup.start();
    // By the last of these the wait between calls has grown as far as it does.
    (0..8).for_each(|_| assert_eq!(discovery.called(), 0));
    let gap = || {
        let start = Instant::now();
        discovery.called();
        start.elapsed()
    };
    // A busy machine only makes them longer.
    let shortest = (0..6).map(|_| gap()).min().expect("six");
    assert!(shortest < Duration::from_millis(450), "{shortest:?} between calls");
}

#[test]
fn response_written_before_discovery_address_change_is_applied() {
    for half in [false, true] {
        let (left, well) = (Worker::start(Does::Serves("left")), Worker::start(Does::Serves("well")));
        let (mut setup, _unused) = Setup::new(&[&left, &well]);
        let old = TcpListener::bind("127.0.0.1:0").expect("a free port");
        // The new one takes the connection and stays silent, as while discovery is down.
        let new = TcpListener::bind("127.0.0.1:0").expect("a free port");
        setup.discovery = old.local_addr().expect("bound");
        let node = setup.start();
        let (mut socket, _) = old.accept().expect("a call");
        let mut calls = BufReader::new(socket.try_clone().expect("a socket"));
        read_message(&mut calls).expect("a call for the whole list");
        let told = [entry("w0", left.addr, "DRAINING"), entry("w1", well.addr, "SERVING")];
        let body = json!({"version": 7, "full": true, "servers": told}).to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let (first, second) = answer.split_at(if half { answer.len() - 20 } else { answer.len() });
        setup.discovery = new.local_addr().expect("bound");
        node.reload_while(&setup.config().to_string(), || {
            socket.write_all(first.as_bytes()).expect("it reads");
        });
        node.says("configuration reloaded");
        socket.write_all(second.as_bytes()).expect("it reads on");
        let (moved, _) = new.accept().expect("the move's call");
        let call = read_message(&mut BufReader::new(moved)).expect("a call");
        assert_eq!(call.line, "GET /discovery/hosts HTTP/1.1", "the whole list, as its versions are its own");
        for i in 0..20 {
            assert_eq!(node.ask(&Ask::new(&format!("m{i}"))).body, b"well", "half: {half}");
        }
    }
}
