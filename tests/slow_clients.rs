//! Clients that take long responses slowly: the gateway stays within its memory limit and answers every request.

mod fakes;
use fakes::{Client, EndpointBehaviour, FakeEndpoint, Gate, LaunchOptions, Node, NodeBuilder, TestRequest};
use serde_json::json;
use std::{
    io::{BufRead, Write},
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Length of a response that slow clients take.
const LONG_RESPONSE_BYTES: usize = 1_000_000;
/// Length of a chunk of it.
const CHUNK_BYTES: usize = 16_000;
/// Clients that the tests start; they may hold up to a third of 1,024 descriptors.
const CLIENTS: usize = 320;
/// Time between the starts of two clients.
const CLIENT_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a response that is held back counts as lost.
const MAX_WAIT_FOR_FIRST_BYTES: Duration = Duration::from_secs(2);
/// Interval between two looks at the memory of the gateway.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Returns a response in chunks, with a body of this length.
fn chunked_response(length: usize) -> &'static str {
    let chunk = ".".repeat(CHUNK_BYTES);
    let chunks = format!("{CHUNK_BYTES:x}\r\n{chunk}\r\n").repeat(length.div_ceil(CHUNK_BYTES));
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n").leak()
}

/// Starts a gateway with this memory limit and 1,024 descriptors, of which its clients may hold a third.
fn start_with_memory(endpoints: &[&FakeEndpoint], memory_mb: usize) -> Node {
    let (mut builder, _discovery) = NodeBuilder::new(endpoints);
    builder.max_sockets(1024);
    let mut config = builder.config();
    config["limits"]["memory_mb"] = json!(memory_mb);
    builder.start_with_config(&config.to_string(), &LaunchOptions::default())
}

/// Sends the request of one client, which reads nothing.
fn send_from_slow_client(gateway: SocketAddr, number: usize, remaining_seconds: &str) -> Client {
    let mut client = Client::connect(gateway);
    let request = TestRequest::new(&format!("slow{number}"))
        .with_header("X-Customer", &format!("{number:016x}"))
        .with_header("X-Remaining", remaining_seconds);
    client.send(&request);
    client
}

/// Starts a gateway whose memory for bodies, a quarter of its limit, is more than half used by the returned clients.
fn start_with_short_memory(endpoint: &FakeEndpoint) -> (Node, Vec<Client>) {
    const SLOW_CLIENTS: usize = 120;
    let node = start_with_memory(&[endpoint], 16);
    let mut clients = Vec::new();
    while clients.len() < SLOW_CLIENTS {
        let mut client = send_from_slow_client(node.addr, clients.len(), "25.0");
        if read_status(&mut client) == Some(200) {
            clients.push(client);
        }
    }
    (node, clients)
}

/// Returns the status of the next response without reading its body; `None` if the connection ends before.
fn read_status(client: &mut Client) -> Option<u16> {
    let mut line = String::new();
    client.reader.read_line(&mut line).ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

/// Guards against buffers for long responses that no memory is reserved for, which drove gateways over their limit.
#[test]
fn slow_clients_of_long_responses_do_not_exceed_memory_limit() {
    const MEMORY_MB: usize = 32;
    let endpoint = FakeEndpoint::start(EndpointBehaviour::WriteRaw(chunked_response(LONG_RESPONSE_BYTES)));
    let node = start_with_memory(&[&endpoint], MEMORY_MB);
    let mut most_memory = 0;
    let mut clients = Vec::new();
    while clients.len() < CLIENTS {
        let mut client = send_from_slow_client(node.addr, clients.len(), "25.0");
        let sent_at = Instant::now();
        let status = read_status(&mut client);
        assert!(sent_at.elapsed() < MAX_WAIT_FOR_FIRST_BYTES, "client {}", clients.len());
        // While response times vary, the load shedder may reject a request at once; its client sends it again.
        match status {
            Some(200) => clients.push(client),
            Some(429) => {}
            _ => panic!("{status:?} for client {}", clients.len()),
        }
        thread::sleep(CLIENT_INTERVAL);
        most_memory = most_memory.max(node.memory_bytes().expect("a process"));
    }
    for _ in 0..50 {
        thread::sleep(LOOK_INTERVAL);
        most_memory = most_memory.max(node.memory_bytes().expect("a process"));
    }
    assert!(most_memory <= MEMORY_MB << 20, "{most_memory} bytes");
    endpoint.set_behaviour(EndpointBehaviour::WriteRaw(chunked_response(100_000)));
    let started_at = Instant::now();
    while node.send_request(&TestRequest::new("other")).status() != 200 {}
    assert!(started_at.elapsed() < MAX_WAIT_FOR_FIRST_BYTES, "other clients are served");
}

/// Guards against responses that wait for memory until their client's connection is closed without an answer.
#[test]
fn response_that_waits_for_memory_is_answered_in_time() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::WriteRaw(chunked_response(LONG_RESPONSE_BYTES)));
    // Its quarter for bodies is too little for the responses to all clients.
    let node = start_with_memory(&[&endpoint], 16);
    let gateway = node.addr;
    let serve = |number: usize| {
        thread::sleep(CLIENT_INTERVAL * number as u32);
        let mut client = send_from_slow_client(gateway, number, "1.0");
        let sent_at = Instant::now();
        let status = read_status(&mut client);
        (client, status, sent_at.elapsed())
    };
    let outcomes: Vec<(Client, Option<u16>, Duration)> = thread::scope(|scope| {
        let threads: Vec<_> = (0..CLIENTS).map(|number| scope.spawn(move || serve(number))).collect();
        threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
    });
    for (_, status, elapsed) in &outcomes {
        assert!(matches!(status, Some(200 | 429 | 502)), "{status:?} after {elapsed:?}");
        // Half a second after its time a request is lost.
        assert!(*elapsed < Duration::from_millis(1500), "{status:?} after {elapsed:?}");
    }
    let statuses: Vec<Option<u16>> = outcomes.iter().map(|(_, status, _)| *status).collect();
    assert!(statuses.contains(&Some(200)), "{statuses:?}");
    drop(outcomes);
    endpoint.set_behaviour(EndpointBehaviour::WriteRaw(chunked_response(100_000)));
    while node.send_request(&TestRequest::new("other")).status() != 200 {}
}

/// Guards against connections to endpoints that keep a buffer as large as the longest request body they have carried.
#[test]
fn idle_connections_to_endpoints_hold_no_memory_of_earlier_bodies() {
    const ENDPOINTS: usize = 60;
    const BODY_BYTES: usize = 500_000;
    let endpoints: Vec<FakeEndpoint> =
        (0..ENDPOINTS).map(|_| FakeEndpoint::start(EndpointBehaviour::Respond("ok"))).collect();
    let endpoints: Vec<&FakeEndpoint> = endpoints.iter().collect();
    let node = start_with_memory(&endpoints, 32);
    let mut client = node.connect();
    // One after the other, so that the gateway holds the body of one request at a time.
    for i in 0..4 * ENDPOINTS {
        let mut upload = TestRequest::at_most_once(&format!("upload{i}"));
        upload.body = vec![b'x'; BODY_BYTES];
        assert_eq!(client.send_request(&upload).status(), 200);
    }
    // A quarter of the limit is for bodies, and the gateway has none now.
    let idle_memory = node.memory_bytes().expect("a process");
    assert!(idle_memory <= 8 << 20, "{idle_memory} bytes");
}

/// Guards against heads of requests that no memory is reserved for, whether they are complete or not.
#[test]
fn long_heads_do_not_exceed_memory_limit() {
    const MEMORY_MB: usize = 32;
    const INCOMPLETE_HEADS: usize = 300;
    let padding = "p".repeat(15_000);
    let endpoint = FakeEndpoint::start(EndpointBehaviour::WriteRaw(chunked_response(LONG_RESPONSE_BYTES)));
    let node = start_with_memory(&[&endpoint], MEMORY_MB);
    let mut most_memory = 0;
    let mut clients = Vec::new();
    while clients.len() < CLIENTS {
        let mut client = node.connect();
        let request = TestRequest::new(&format!("long{}", clients.len()))
            .with_header("X-Customer", &format!("{:016x}", clients.len()))
            .with_header("X-Padding", &padding);
        client.send(&request);
        match read_status(&mut client) {
            Some(200) => clients.push(client),
            // The load shedder may reject a request at once.
            Some(429) => {}
            status => panic!("{status:?} for client {}", clients.len()),
        }
        thread::sleep(CLIENT_INTERVAL);
    }
    let incomplete_head = format!("GET /check-answer HTTP/1.1\r\nX-Padding: {padding}");
    let stalled_clients: Vec<Client> = (0..INCOMPLETE_HEADS)
        .map(|_| {
            let mut client = node.connect();
            let _ = client.reader.get_mut().write_all(incomplete_head.as_bytes());
            most_memory = most_memory.max(node.memory_bytes().expect("a process"));
            client
        })
        .collect();
    for _ in 0..20 {
        thread::sleep(LOOK_INTERVAL);
        most_memory = most_memory.max(node.memory_bytes().expect("a process"));
    }
    assert!(most_memory <= MEMORY_MB << 20, "{most_memory} bytes");
    for mut client in stalled_clients {
        let received = client.read_until_closed();
        assert!(
            received.is_empty()
                || received.starts_with("HTTP/1.1 408 ")
                || received.starts_with("HTTP/1.1 503 ")
        );
    }
}

/// Guards against a rejection by an endpoint that counts as a failure because there is no memory to buffer its body.
#[test]
fn rejection_with_long_body_counts_while_memory_is_short() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::WriteRaw(chunked_response(LONG_RESPONSE_BYTES)));
    let (node, _slow_clients) = start_with_short_memory(&endpoint);
    let body = ".".repeat(20_000);
    let rejection =
        format!("HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    endpoint.set_behaviour(EndpointBehaviour::WriteRaw(rejection.leak()));
    assert_eq!(node.send_request(&TestRequest::at_most_once("busy")).status(), 429, "the request never ran");
}

/// Guards against further requests of a client that are discarded because there is no memory to read them ahead.
#[test]
fn pipelined_requests_are_answered_while_memory_is_short() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::WriteRaw(chunked_response(LONG_RESPONSE_BYTES)));
    let (node, _slow_clients) = start_with_short_memory(&endpoint);
    let gate = Arc::new(Gate::default());
    endpoint.set_behaviour(EndpointBehaviour::RespondAfter(gate.clone()));
    let mut client = node.connect();
    let requests: Vec<u8> = (0..3).flat_map(|i| TestRequest::new(&format!("p{i}")).to_bytes()).collect();
    client.reader.get_mut().write_all(&requests).expect("an open socket");
    thread::sleep(LOOK_INTERVAL * 5);
    gate.open();
    for i in 0..3 {
        let response = client.read_response().unwrap_or_else(|| panic!("no response to request {i}"));
        assert_eq!(response.status(), 200, "request {i}");
    }
}
