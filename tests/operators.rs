//! Calls of the operators to the built program: health check, maintenance, statistics.

mod fakes;
use fakes::*;
use std::{
    io::{Read, Write},
    sync::Arc,
};

const ERROR: &str = "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n";

#[test]
fn health_check_succeeds_while_accepting_and_invalid_calls_get_errors() {
    let (setup, _discovery) = operated(&[]);
    let node = setup.start();
    // The yes is due once clients are taken; what is bound before may still say no.
    while node.call("GET /healthcheck").status() != 200 {}
    assert_eq!(node.call("GET /nonesuch").status(), 404);
    let no = node.call("POST /healthcheck");
    assert_eq!((no.status(), no.header("allow")), (405, "GET"));
    let mut client = Client::connect(node.operator);
    client.reader.get_mut().write_all(b"\x16\x03\x01 nonsense\r\n\r\n").expect("a socket");
    assert_eq!(client.answer().expect("an answer").status(), 400);
}

#[test]
fn operator_calls_succeed_at_connection_limits() {
    let worker = Worker::start(Does::Holds);
    let (mut setup, _discovery) = operated(&[&worker]);
    setup.sockets = 96;
    let node = setup.start();
    let mut clients: Vec<Client> = (0..60).map(|_| node.client()).collect();
    clients.iter_mut().enumerate().for_each(|(i, c)| c.send(&Ask::new(&format!("h{i}"))));
    worker.request();
    let half = |_| {
        let mut caller = Client::connect(node.operator);
        let _ = caller.reader.get_mut().write_all(b"GET /healthcheck HTT");
        caller
    };
    let mut held: Vec<Client> = (0..60).map(half).collect();
    while node.call("GET /healthcheck").status() != 200 {}
    assert!(held[0].reader.read(&mut [0]).is_ok_and(|n| n == 0), "it made room");
}

#[test]
fn health_check_fails_during_shutdown() {
    let worker = Worker::start(Does::Holds);
    let (setup, _discovery) = operated(&[&worker]);
    let node = setup.start();
    let mut client = node.client();
    client.send(&Ask::new("held"));
    worker.request();
    node.terminate();
    node.says("stopping gateway=n0 waiting=1");
    while node.call("GET /healthcheck").status() != 503 {}
}

#[test]
fn endpoint_in_maintenance_gets_no_requests_until_ready() {
    let (one, two) = (Worker::start(Does::Serves("one")), Worker::start(Does::Serves("two")));
    let (setup, discovery) = operated(&[&one, &two]);
    let node = setup.start();
    assert_eq!(node.call("PUT /workers/w0/maint").status(), 200);
    assert_eq!(node.call("PUT /workers/w%30/maint").status(), 200, "the same, twice");
    // The list says that it serves.
    discovery.told(discovery.change(entry("w0", one.addr, "SERVING")));
    (0..20).for_each(|i| assert_eq!(node.ask(&Ask::submit(&format!("a{i}"))).body, b"two"));
    for (call, status) in [
        ("PUT /workers/nobody/maint", 404),
        ("PUT /workers/nobody/ready", 404),
        ("PUT /workers//maint", 404),
        ("PUT /workers/w0", 404),
        ("PUT /workers/%ff/maint", 400),
        ("GET /workers/w0/maint", 405),
    ] {
        assert_eq!(node.call(call).status(), status, "{call}");
    }
    assert_eq!(node.call("PUT /workers/w0/ready").status(), 200);
    assert_eq!(node.call("PUT /workers/w1/maint").status(), 200);
    for i in 0.. {
        // Cold: what it can't take yet is refused.
        match node.ask(&Ask::submit(&format!("b{i}"))) {
            served if served.status() == 200 => return assert_eq!(served.body, b"one"),
            refused => assert_eq!(refused.status(), 429),
        }
    }
}

#[test]
fn stats_match_client_and_endpoint_observations() {
    let (one, two) = (Worker::start(Does::Serves("ok")), Worker::start(Does::Serves("ok")));
    let (setup, _discovery) = operated(&[&one, &two]);
    let node = setup.start();
    let figure = |name: &str| -> u64 {
        let answer = node.call("GET /stats");
        assert!(answer.status() == 200 && answer.header("content-type").starts_with("text/plain"));
        let text = String::from_utf8(answer.body).expect("text");
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
        line.unwrap_or_else(|| panic!("{name} in {text}"))
    };
    let classes = ["check-answer", "submit"];
    for (kind, class) in ["success", "overload", "error"].iter().flat_map(|k| classes.map(|c| (k, c))) {
        assert_eq!(figure(&format!("svc_{kind}{{type=\"{class}\"}}")), 0, "from the start");
    }
    (0..3).for_each(|i| assert_eq!(node.ask(&Ask::new(&format!("a{i}"))).status(), 200));
    [&one, &two].iter().for_each(|w| w.now(Does::Says(ERROR)));
    assert_eq!(node.ask(&Ask::submit("b")).status(), 502);
    assert_eq!(node.ask(&Ask::new("c")).status(), 429);
    // Not a request: counted nowhere.
    assert_eq!(node.ask(&Ask::new("d").without("X-Plan")).status(), 400);
    assert_eq!(figure("svc_success{type=\"check-answer\"}"), 3);
    assert_eq!(figure("svc_success{type=\"submit\"}"), 0);
    assert_eq!(figure("svc_overload{type=\"check-answer\"}"), 1);
    assert_eq!(figure("svc_error{type=\"submit\"}"), 1);
    let whole = one.rest().len() + two.rest().len();
    assert_eq!(figure("svc_dispatches"), whole as u64);
    // In hand: until the client has its answer, or has gone.
    let gate = Arc::new(Gate::default());
    [&one, &two].iter().for_each(|w| w.now(Does::Waits(gate.clone())));
    let mut clients: Vec<Client> = (0..3).map(|_| node.client()).collect();
    clients.iter_mut().enumerate().for_each(|(i, c)| c.send(&Ask::submit(&format!("w{i}"))));
    while figure("svc_concurrent") != 3 {}
    drop(clients.pop());
    while figure("svc_concurrent") != 2 {}
    gate.open();
    clients.iter_mut().for_each(|c| assert_eq!(c.answer().map(|a| a.status()), Some(200)));
    while figure("svc_concurrent") != 0 {}
    assert_eq!(figure("svc_success{type=\"submit\"}"), 2);
    assert_eq!((figure("svc_targets"), figure("svc_targets_disabled")), (2, 0));
    assert_eq!(node.call("PUT /workers/w1/maint").status(), 200);
    assert_eq!((figure("svc_targets"), figure("svc_targets_disabled")), (2, 1));
}
