//! Graceful shutdown of the built program.

mod fakes;
use fakes::{
    Client, EndpointBehaviour, FakeEndpoint, Gate, NodeBuilder, PacedPart, RawEndpoint, ResponseFraming,
    TestRequest, read_message, start_paced_writer,
};
use std::{
    io::{BufReader, Write},
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

#[test]
fn sigterm_answers_requests_in_flight_and_exits_cleanly() {
    let gate = Arc::new(Gate::default());
    let endpoint = FakeEndpoint::start(EndpointBehaviour::RespondAfter(gate.clone()));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let mut node = builder.start();
    let mut idle = node.connect();
    let mut client = node.connect();
    client.send(&TestRequest::new("held"));
    endpoint.next_request();
    node.terminate();
    node.wait_for_log("stopping gateway=n0 waiting=1");
    gate.open();
    let response = client.read_response().expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, "close"));
    assert!(idle.read_response().is_none(), "idle connections are closed");
    assert!(node.wait_for_exit().success());
}

#[test]
fn sigterm_fails_unanswered_requests_before_forced_exit() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::HoldUntilClosed);
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let mut node = builder.start();
    let mut client = node.connect();
    client.send(&TestRequest::at_most_once("held"));
    endpoint.next_request();
    node.terminate();
    assert_eq!(
        client.read_response().map(|response| response.status()),
        Some(502),
        "within the client's deadline of 25 s"
    );
    assert!(node.wait_for_exit().success());
}

/// Parts in which a slow client writes its request, and the pause after each. In all 1.6 s, of which over 1 s is after
/// SIGTERM.
const SLOW_PARTS: usize = 20;
const SLOW_PART_PAUSE: Duration = Duration::from_millis(80);
/// Time from the beginning of the requests to SIGTERM.
const TERMINATE_AFTER: Duration = Duration::from_millis(300);

fn slow_upload(id: &str, body_bytes: usize, is_chunked: bool) -> TestRequest {
    let mut request = TestRequest::at_most_once(id);
    request.body = vec![b'u'; body_bytes];
    if is_chunked {
        let framing = ResponseFraming::Chunked;
        request.body = [framing.frame(&request.body), framing.end()].concat();
        request = request.with_header("Transfer-Encoding", "chunked");
    }
    request
}

/// Writes a request in parts and returns the status of its response; `None` if the connection ends without one.
fn send_slowly(gateway: SocketAddr, request: &TestRequest) -> Option<u16> {
    let mut client = Client::connect(gateway);
    let bytes = request.to_bytes();
    for part in bytes.chunks(bytes.len().div_ceil(SLOW_PARTS)) {
        if client.reader.get_mut().write_all(part).is_err() {
            break;
        }
        thread::sleep(SLOW_PART_PAUSE);
    }
    client.read_response().map(|response| response.status())
}

/// Guards against a request that is cut off while its client still writes it, because the gateway is shutting down.
#[test]
fn request_that_client_writes_slowly_is_answered_in_shutdown() {
    let endpoint = RawEndpoint::start(|mut socket| {
        let mut reader = BufReader::new(socket.try_clone().expect("an open socket"));
        while read_message(&mut reader).is_some() {
            let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    let (builder, _discovery) = NodeBuilder::with_addresses(&[endpoint.addr]);
    let mut node = builder.start();
    let forms = [(6, false), (6, true), (150_000, false), (150_000, true), (900_000, false), (900_000, true)];
    let clients = forms.map(|(body_bytes, is_chunked)| {
        let gateway = node.addr;
        thread::spawn(move || {
            let id = format!("slow{body_bytes}{is_chunked}");
            (body_bytes, is_chunked, send_slowly(gateway, &slow_upload(&id, body_bytes, is_chunked)))
        })
    });
    thread::sleep(TERMINATE_AFTER);
    node.terminate();
    let answers = clients.map(|client| client.join().expect("no panic"));
    assert!(node.wait_for_exit().success());
    assert!(answers.iter().all(|(_, _, status)| *status == Some(200)), "{answers:?}");
}

/// Guards against a request that is taken shortly before the process ends and then has no answer.
#[test]
fn request_that_is_complete_shortly_before_exit_is_answered() {
    const BODY_BYTES: usize = 170_000;
    /// Shortest time before the exit in which an answer may be missing.
    const LAST_MOMENT: Duration = Duration::from_millis(60);
    let endpoint = FakeEndpoint::start(EndpointBehaviour::HoldUntilClosed);
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let mut node = builder.start();
    let gateway = node.addr;
    let clients: Vec<_> = (0..6)
        .map(|number| {
            thread::spawn(move || {
                let pause = Duration::from_millis(3580 + 25 * number) / SLOW_PARTS as u32;
                let mut client = Client::connect(gateway);
                let bytes = slow_upload(&format!("late{number}"), BODY_BYTES, false).to_bytes();
                for part in bytes.chunks(bytes.len().div_ceil(SLOW_PARTS)) {
                    thread::sleep(pause);
                    client.reader.get_mut().write_all(part).ok()?;
                }
                Some((Instant::now(), client.read_response().map(|response| response.status())))
            })
        })
        .collect();
    thread::sleep(TERMINATE_AFTER);
    node.terminate();
    assert!(node.wait_for_exit().success());
    let ended_at = Instant::now();
    let answers = clients.into_iter().filter_map(|client| client.join().expect("no panic"));
    let taken: Vec<_> = answers.filter(|(written_at, _)| *written_at + LAST_MOMENT < ended_at).collect();
    assert!(!taken.is_empty());
    assert!(taken.iter().all(|(_, status)| status.is_some()), "exit at {ended_at:?}: {taken:?}");
}

/// Guards against a response that is cut off while its endpoint still writes it, because the gateway is shutting down.
#[test]
fn response_that_endpoint_writes_slowly_is_complete_in_shutdown() {
    const BODY_BYTES: usize = 300_000;
    for framing in ResponseFraming::ALL {
        let data = framing.frame(&vec![b'd'; BODY_BYTES]);
        let response = [framing.head(BODY_BYTES), data, framing.end()].concat();
        let parts = response.chunks(response.len().div_ceil(SLOW_PARTS));
        let parts = parts.map(|bytes| PacedPart { pause: SLOW_PART_PAUSE, bytes: bytes.to_vec() }).collect();
        let endpoint = start_paced_writer(parts);
        let (builder, _discovery) = NodeBuilder::with_addresses(&[endpoint.addr]);
        let mut node = builder.start();
        let mut client = node.connect();
        client.send(&TestRequest::at_most_once("slow"));
        thread::sleep(TERMINATE_AFTER);
        node.terminate();
        let received = client.read_response().map(|response| (response.status(), response.body.len()));
        assert_eq!(received, Some((200, BODY_BYTES)), "{framing:?}");
        assert!(node.wait_for_exit().success());
    }
}
