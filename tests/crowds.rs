//! Hundreds of clients at once that send or read slowly, or stop half way: the gateway stays within its memory limit and
//! serves the clients that come after them.

mod fakes;
use fakes::{Client, LaunchOptions, Node, NodeBuilder, RawEndpoint, TestRequest, read_message};
use serde_json::json;
use std::{
    io::{BufReader, Read, Write},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

const MEMORY_MB: usize = 32;
/// Clients at once; they may hold up to a third of 1,024 descriptors.
const CLIENTS: usize = 320;
/// Time for which the clients stay. A client that sends nothing more is owed an error or a close within 3 s.
const STAY: Duration = Duration::from_millis(3500);
/// Time after which another client is served again.
const MAX_RECOVERY: Duration = Duration::from_secs(5);
/// Interval between two looks at the memory.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

fn start_gateway(endpoint: SocketAddr) -> Node {
    let mut builder = NodeBuilder::with_lasting_discovery(&[endpoint]);
    builder.max_sockets(1024);
    let mut config = builder.config();
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
    builder.start_with_config(&config.to_string(), &LaunchOptions::default())
}

/// What one client of a crowd does with its connection.
type ClientBehaviour = fn(&mut Client, usize);

/// Runs a crowd of clients at once, and asserts that the gateway stays within its memory limit meanwhile and serves
/// another client afterwards.
fn assert_memory_limit_holds(name: &str, endpoint: SocketAddr, behaviours: &[ClientBehaviour]) {
    let node = start_gateway(endpoint);
    let gateway = node.addr;
    let most_memory = thread::scope(|scope| {
        for number in 0..CLIENTS {
            let behave = behaviours[number % behaviours.len()];
            scope.spawn(move || behave(&mut Client::connect(gateway), number));
        }
        let started_at = Instant::now();
        let mut most_memory = 0;
        while started_at.elapsed() < STAY {
            most_memory = most_memory.max(node.memory_bytes().expect("a process"));
            thread::sleep(LOOK_INTERVAL);
        }
        most_memory
    });
    assert!(most_memory <= MEMORY_MB << 20, "{name}: {most_memory} bytes");
    // The connections of the crowd may still count until the gateway has seen their end.
    let waited_since = Instant::now();
    while node.send_request(&TestRequest::new("after")).status() != 200 {
        assert!(waited_since.elapsed() < MAX_RECOVERY, "{name}: no service after the crowd");
    }
}

fn request(number: usize) -> TestRequest {
    TestRequest::new(&format!("c{number}")).with_header("X-Customer", &format!("{number:016x}"))
}

fn upload(number: usize, length: usize) -> TestRequest {
    let request = TestRequest::at_most_once(&format!("u{number}"))
        .with_header("X-Customer", &format!("{number:016x}"))
        .with_header("Content-Length", &length.to_string());
    TestRequest { body: Vec::new(), ..request }
}

/// Writes these bytes at once, as far as the gateway takes them, then stays.
fn write_and_stay(client: &mut Client, bytes: &[u8]) {
    let socket = client.reader.get_mut();
    socket.set_write_timeout(Some(STAY / 4)).expect("an open socket");
    let _ = socket.write_all(bytes);
    thread::sleep(STAY);
}

fn stop_in_upload(client: &mut Client, number: usize) {
    let mut bytes = upload(number, 2_000_000).to_bytes();
    bytes.resize(bytes.len() + 1_000_000, b'u');
    write_and_stay(client, &bytes);
}

fn stop_in_buffered_upload(client: &mut Client, number: usize) {
    let mut bytes = upload(number, 500_000).to_bytes();
    bytes.resize(bytes.len() + 450_000, b'u');
    write_and_stay(client, &bytes);
}

fn stop_in_chunked_upload(client: &mut Client, number: usize) {
    let mut head = upload(number, 0).with_header("Transfer-Encoding", "chunked");
    head.headers.retain(|(name, _)| *name != "Content-Length");
    let mut bytes = head.to_bytes();
    for _ in 0..100_000 {
        bytes.extend_from_slice(b"3\r\nabc\r\n");
    }
    write_and_stay(client, &bytes);
}

/// Sends a complete head of as many short fields as are accepted, of a request that waits at the endpoint.
fn send_many_fields(client: &mut Client, number: usize) {
    let text = String::from_utf8(request(number).to_bytes()).expect("text");
    let fields: String = (0..55).map(|i| format!("x{i}:{}\r\n", "v".repeat(200))).collect();
    write_and_stay(client, text.replacen("\r\n\r\n", &format!("\r\n{fields}\r\n"), 1).as_bytes());
}

/// Sends an incomplete head of very many short fields, in two pieces.
fn stop_in_head_of_many_fields(client: &mut Client, number: usize) {
    let fields: String = (0..3000).map(|i| format!("{}:\r\n", i % 10)).collect();
    let text = format!("GET /check-answer HTTP/1.1\r\nX-Txn: c{number}\r\n{fields}");
    let _ = client.reader.get_mut().write_all(&text.as_bytes()[..8000]);
    thread::sleep(Duration::from_millis(200));
    write_and_stay(client, &text.as_bytes()[8000..]);
}

fn write_head_slowly(client: &mut Client, number: usize) {
    for part in request(number).with_header("X-Padding", &"p".repeat(12_000)).to_bytes().chunks(1000) {
        if client.reader.get_mut().write_all(part).is_err() {
            break;
        }
        thread::sleep(Duration::from_millis(120));
    }
    thread::sleep(STAY / 2);
}

fn write_body_slowly(client: &mut Client, number: usize) {
    let _ = client.reader.get_mut().write_all(&upload(number, 600_000).to_bytes());
    for _ in 0..30 {
        if client.reader.get_mut().write_all(&[b'u'; 6500]).is_err() {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

fn read_response_slowly(client: &mut Client, number: usize) {
    client.send(&request(number).with_header("X-Remaining", "2.000"));
    let socket = client.reader.get_mut();
    // A client whose request was rejected gets nothing more.
    socket.set_read_timeout(Some(Duration::from_millis(2500))).expect("an open socket");
    let started_at = Instant::now();
    let mut buffer = [0; 6500];
    assert!(matches!(socket.peek(&mut buffer), Ok(count) if count > 0), "no answer for client {number}");
    // Half a second after its time a request is lost.
    assert!(
        started_at.elapsed() < Duration::from_millis(2500),
        "{:?} for client {number}",
        started_at.elapsed()
    );
    while started_at.elapsed() < STAY {
        if !matches!(socket.read(&mut buffer), Ok(count) if count > 0) {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Starts an endpoint that responds 200 with a body of 2 MB to each request.
fn start_long_responder() -> RawEndpoint {
    RawEndpoint::start(|mut socket| {
        let mut reader = BufReader::new(socket.try_clone().expect("an open socket"));
        while read_message(&mut reader).is_some() {
            let body = vec![b'd'; 2_000_000];
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if socket.write_all(head.as_bytes()).and_then(|()| socket.write_all(&body)).is_err() {
                return;
            }
        }
    })
}

const BEHAVIOURS: [(&str, ClientBehaviour); 8] = [
    ("stop in a streamed upload", stop_in_upload),
    ("stop in a buffered upload", stop_in_buffered_upload),
    ("stop in an upload of tiny chunks", stop_in_chunked_upload),
    ("many short fields", send_many_fields),
    ("stop in a head of very many fields", stop_in_head_of_many_fields),
    ("write the head slowly", write_head_slowly),
    ("write the body slowly", write_body_slowly),
    ("read the response slowly", read_response_slowly),
];

/// Guards against a gateway that is killed for its memory because hundreds of clients do the same at once.
#[test]
fn crowd_of_slow_clients_does_not_exceed_memory_limit() {
    for (name, behave) in BEHAVIOURS {
        let endpoint = start_long_responder();
        assert_memory_limit_holds(name, endpoint.addr, &[behave]);
    }
}

/// Guards against a gateway that is killed for its memory because hundreds of clients do different things at once.
#[test]
fn mixed_crowd_of_slow_clients_does_not_exceed_memory_limit() {
    let behaviours = BEHAVIOURS.map(|(_, behave)| behave);
    let endpoint = start_long_responder();
    assert_memory_limit_holds("all at once", endpoint.addr, &behaviours);
}
