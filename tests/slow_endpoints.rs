//! Endpoints that read a request slowly or not to its end, or fall silent within a response: each request is answered
//! in time, and a response that an endpoint still writes is not cut off.

mod fakes;
use fakes::{
    Client, NodeBuilder, PacedPart, RawEndpoint, ResponseFraming, TestRequest, read_at_rate, read_past_head,
    start_paced_writer,
};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// Time for which the clients wait, as in the `X-Remaining` header of [`WAIT_HEADER`].
const CLIENT_WAIT: Duration = Duration::from_millis(600);
const WAIT_HEADER: &str = "0.600";
/// Time after the client's wait at which a request without an answer is lost.
const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Framing of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
}

const FRAMINGS: [Framing; 2] = [Framing::Length, Framing::Chunked];

/// Returns the bytes of a request with a body of this length and framing.
fn upload(id: &str, body_length: usize, framing: Framing) -> Vec<u8> {
    let mut request = TestRequest::at_most_once(id).with_header("X-Remaining", WAIT_HEADER);
    request.body = match framing {
        Framing::Length => vec![b'u'; body_length],
        Framing::Chunked => to_chunks(&vec![b'u'; body_length]),
    };
    if framing == Framing::Chunked {
        request = request.with_header("Transfer-Encoding", "chunked");
    }
    request.to_bytes()
}

fn to_chunks(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(body.len() + body.len() / 100);
    for part in body.chunks(30_000) {
        bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// What a client saw of the answer to a request.
#[derive(Debug)]
struct Answer {
    /// Status; `None` if the connection ended without an answer.
    status: Option<u16>,
    /// Time from the last byte that the client could write to the answer.
    wait: Duration,
}

impl Answer {
    fn is_in_time(&self) -> bool {
        self.status.is_some() && self.wait < CLIENT_WAIT + LATE_ANSWER_LIMIT
    }
}

/// Writes a request on a thread of its own, as its endpoint may hold up the writing, and reads the answer meanwhile.
fn send(gateway: SocketAddr, request: Vec<u8>) -> Answer {
    let mut client = Client::connect(gateway);
    let mut writer = client.reader.get_ref().try_clone().expect("an open socket");
    let started_at = Instant::now();
    let writing = thread::spawn(move || {
        let is_written = writer.write_all(&request).is_ok();
        is_written.then(Instant::now)
    });
    let status = client.read_response().map(|response| response.status());
    let answered_at = Instant::now();
    drop(client);
    // A body that was never written whole has no last byte, so its time counts from the first.
    let written_at = writing.join().expect("no panic").filter(|written_at| *written_at < answered_at);
    Answer { status, wait: answered_at - written_at.unwrap_or(started_at) }
}

/// Sends uploads of several lengths in both framings at once to endpoints that `serve`, and returns those that were not
/// answered in time.
fn late_uploads(
    lengths: &[usize],
    serve: impl Fn(TcpStream) + Send + Sync + Clone + 'static,
) -> Vec<(usize, Framing, Answer)> {
    let endpoints: Vec<RawEndpoint> = (0..4).map(|_| RawEndpoint::start(serve.clone())).collect();
    let addresses: Vec<SocketAddr> = endpoints.iter().map(|endpoint| endpoint.addr).collect();
    let (builder, _discovery) = NodeBuilder::with_addresses(&addresses);
    let node = builder.start();
    let mut late = Vec::new();
    for &length in lengths {
        for framing in FRAMINGS {
            let answer = send(node.addr, upload(&format!("u{length}{framing:?}"), length, framing));
            if !answer.is_in_time() {
                late.push((length, framing, answer));
            }
        }
    }
    late
}

/// Guards against a deadline that begins only once a slow endpoint has taken the whole request, so that the answer came
/// seconds late.
#[test]
fn request_to_endpoint_that_reads_slowly_is_answered_in_time() {
    let late = late_uploads(&[100_000, 707_676, 748_305, 926_426], |mut socket| {
        if read_past_head(&mut socket) {
            read_at_rate(&mut socket, 100_000);
        }
    });
    assert!(late.is_empty(), "late: {late:?}");
}

/// Guards against a deadline that never begins because an endpoint stops reading, so that the request had no answer.
#[test]
fn request_to_endpoint_that_stops_reading_is_answered_in_time() {
    let late = late_uploads(&[100_000, 1_000_000, 3_000_000, 6_000_000, 32_000_000], |mut socket| {
        let mut beginning = [0; 8049];
        let _ = socket.read_exact(&mut beginning);
        // Long after the clients have left.
        thread::sleep(Duration::from_secs(20));
    });
    assert!(late.is_empty(), "late: {late:?}");
}

/// Guards against a response that counts as begun with its head, so that a request behind an endpoint that falls silent
/// had no answer for five seconds.
#[test]
fn request_to_endpoint_that_falls_silent_after_head_is_answered_in_time() {
    for head in ["Content-Length: 641921", "Transfer-Encoding: chunked", "Connection: close"] {
        let endpoint = RawEndpoint::start(move |mut socket| {
            if read_past_head(&mut socket) {
                let _ = socket.write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n").as_bytes());
                let _ = socket.read_to_end(&mut Vec::new());
            }
        });
        let (builder, _discovery) = NodeBuilder::with_addresses(&[endpoint.addr]);
        let node = builder.start();
        for request in [TestRequest::new("idempotent"), TestRequest::at_most_once("unsafe")] {
            let answer = send(node.addr, request.with_header("X-Remaining", WAIT_HEADER).to_bytes());
            assert!(answer.is_in_time(), "{head}: {answer:?}");
        }
    }
}

/// Starts an endpoint that writes a response in parts of this length, with a pause before each but the first.
fn start_slow_writer(
    framing: ResponseFraming,
    part_bytes: usize,
    parts: usize,
    pause: Duration,
) -> RawEndpoint {
    let part = framing.frame(&vec![b'd'; part_bytes]);
    let first = [framing.head(part_bytes * parts), part.clone()].concat();
    let first = PacedPart { pause: Duration::ZERO, bytes: first };
    let further = vec![PacedPart { pause, bytes: part }; parts - 1];
    let end = PacedPart { pause, bytes: framing.end() };
    start_paced_writer([vec![first], further, vec![end]].concat())
}

/// Returns the number of body bytes that a client receives until the gateway closes the connection.
fn received_body_bytes(gateway: SocketAddr, request: &TestRequest) -> usize {
    let mut client = Client::connect(gateway);
    client.send(&request.clone().with_header("Connection", "close"));
    let received = client.read_until_closed();
    let is_complete = !received.contains("chunked") || received.ends_with("0\r\n\r\n");
    if is_complete { received.bytes().filter(|byte| *byte == b'd').count() } else { 0 }
}

/// Guards against a long response that is cut off while its endpoint still writes it, long after the client's wait.
#[test]
fn long_response_that_endpoint_writes_slowly_is_not_cut_off() {
    let cases = [(10_000, 30, Duration::from_millis(100)), (20_000, 5, Duration::from_millis(1500))];
    thread::scope(|scope| {
        for framing in ResponseFraming::ALL {
            for (part_bytes, parts, pause) in cases {
                scope.spawn(move || {
                    let endpoint = start_slow_writer(framing, part_bytes, parts, pause);
                    let (builder, _discovery) = NodeBuilder::with_addresses(&[endpoint.addr]);
                    let node = builder.start();
                    let request = TestRequest::new("slow").with_header("X-Remaining", WAIT_HEADER);
                    // The head names the framing, whose letters count as well.
                    let letters = "HTTP/1.1 200 OK Transfer-Encoding: chunked".matches('d').count();
                    let received = received_body_bytes(node.addr, &request);
                    let body_bytes = part_bytes * parts;
                    assert!(
                        (body_bytes..=body_bytes + letters).contains(&received),
                        "{framing:?}, pauses of {pause:?}: {received} of {body_bytes} bytes"
                    );
                });
            }
        }
    });
}

/// Guards against a response that is given up because its endpoint writes the head slowly, though there is time left.
#[test]
fn response_with_head_written_slowly_is_delivered() {
    let endpoint = RawEndpoint::start(|mut socket| {
        if read_past_head(&mut socket) {
            for byte in b"HTTP/1.1 200 OK\r\nX-Other: filler\r\nContent-Length: 2\r\n\r\nok" {
                let _ = socket.write_all(&[*byte]);
                thread::sleep(Duration::from_millis(30));
            }
        }
    });
    let (builder, _discovery) = NodeBuilder::with_addresses(&[endpoint.addr]);
    let node = builder.start();
    let request = TestRequest::new("slow").with_header("X-Remaining", "3.000");
    assert_eq!(node.send_request(&request).body, b"ok");
}
