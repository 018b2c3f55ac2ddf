//! What operators' staff call, on the built program against fakes on loopback sockets.

mod fakes;
use fakes::*;
use std::{
    io::{Read, Write},
    net::TcpListener,
    process::{Command, Stdio},
};

fn operated(workers: &[&Worker]) -> (Setup, Discovery) {
    let (mut setup, discovery) = Setup::new(workers);
    setup.operator = true;
    (setup, discovery)
}

#[test]
fn a_process_that_takes_clients_says_so_and_other_calls_get_their_error() {
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
fn callers_that_hold_connections_and_clients_at_their_limit_delay_no_call() {
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
fn a_stopping_process_says_no() {
    let worker = Worker::start(Does::Holds);
    let (setup, _discovery) = operated(&[&worker]);
    let node = setup.start();
    let mut client = node.client();
    client.send(&Ask::new("held"));
    worker.request();
    node.terminate();
    node.says("stops with 1 in hand");
    while node.call("GET /healthcheck").status() != 503 {}
}

#[test]
fn clients_come_in_by_the_descriptor_that_the_platform_holds_and_it_outlives_the_process() {
    let worker = Worker::start(Does::Serves("ok"));
    let (setup, _discovery) = operated(&[&worker]);
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let start = || setup.start_as(Start { socket: Some(&socket), ..Start::default() });
    let mut first = start();
    assert_eq!(Some(first.addr), socket.local_addr().ok());
    assert_eq!(first.ask(&Ask::new("a")).status(), 200);
    first.terminate();
    assert!(first.exit().success());
    // Connected while nobody accepts, served by the next process.
    let mut waiting = first.client();
    waiting.send(&Ask::new("b"));
    let _second = start();
    assert_eq!(waiting.answer().map(|a| a.status()), Some(200));
}

#[test]
fn a_descriptor_that_is_no_listening_socket_is_one_plain_line_and_a_failing_exit() {
    let (setup, _discovery) = operated(&[]);
    for fd in ["2", "77", "x", "-1"] {
        let path = std::env::temp_dir().join(format!("yardspur-fd-{}{fd}.json", std::process::id()));
        std::fs::write(&path, setup.config().to_string()).expect("a writable folder for temporary files");
        let output = Command::new(env!("CARGO_BIN_EXE_yardspur"))
            .env("NODE_CONFIG", &path)
            .env("NODE_ACCEPT_FD", fd)
            .stdin(Stdio::null())
            .output();
        let output = output.expect("it ends");
        let _ = std::fs::remove_file(&path);
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && said.lines().count() == 1, "{fd}: {said}");
    }
}
