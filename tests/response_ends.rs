//! Ends of responses that have begun: a short one is complete or visibly broken soon after the client's deadline, whatever
//! part of it never ends; a long one takes as long as its endpoint gives it.

mod fakes;
use fakes::{
    Client, Node, NodeBuilder, PacedPart, RawEndpoint, ResponseFraming, TestRequest,
    connect_with_small_buffer, read_past_head, start_paced_writer,
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
/// Time after its wait by which a client has the end of a response: 0.5 s, and the 50 ms that are added on sockets.
const END_GRACE: Duration = Duration::from_millis(550);

/// Starts a gateway in front of this endpoint.
fn start_gateway(endpoint: &RawEndpoint) -> Node {
    NodeBuilder::with_lasting_discovery(&[endpoint.addr]).start()
}

/// Returns requests of both versions of HTTP, after whose responses the gateway closes the connection.
fn closing_requests(id: &str, wait: &str) -> [TestRequest; 2] {
    ["1.1", "1.0"].map(|version| {
        let mut request = TestRequest::at_most_once(&format!("{id}-{version}"))
            .with_header("X-Remaining", wait)
            .with_header("Connection", "close");
        request.request_line = format!("POST /submit HTTP/{version}");
        request
    })
}

/// What a client saw of a response.
#[derive(Debug)]
struct Ending {
    /// Time until the connection ended; `None` if it stayed open.
    after: Option<Duration>,
    /// True if the connection was reset.
    is_reset: bool,
    received: Vec<u8>,
}

impl Ending {
    fn status(&self) -> Option<u16> {
        std::str::from_utf8(self.received.get(9..12)?).ok()?.parse().ok()
    }

    /// Returns the bytes behind the head.
    fn body(&self) -> &[u8] {
        let head_end = self.received.windows(4).position(|window| window == b"\r\n\r\n");
        head_end.map_or(&[], |position| &self.received[position + 4..])
    }

    /// Returns whether the client takes what it has received for a complete response.
    fn looks_complete(&self) -> bool {
        let head_bytes = self.received.len() - self.body().len();
        let head = String::from_utf8_lossy(&self.received[..head_bytes]).to_lowercase();
        if let Some((_, rest)) = head.split_once("content-length: ") {
            let length = rest.lines().next().and_then(|length| length.parse().ok());
            return length == Some(self.body().len());
        }
        let is_chunked = head.contains("transfer-encoding: chunked");
        if is_chunked { self.body().ends_with(b"0\r\n\r\n") } else { !self.is_reset && head_bytes > 0 }
    }

    /// Returns the number of bytes of the body that are the letter which the endpoints send.
    fn data_bytes(&self) -> usize {
        self.body().iter().filter(|byte| **byte == b'z').count()
    }

    fn describe(&self) -> String {
        let Self { after, is_reset, .. } = self;
        let (status, bytes) = (self.status(), self.data_bytes());
        format!("status {status:?}, {bytes} bytes, end {after:?}, reset {is_reset}")
    }
}

/// Sends a request and reads until the connection ends, at most for `listen_time`.
fn read_to_end(gateway: SocketAddr, request: &TestRequest, listen_time: Duration) -> Ending {
    let mut client = Client::connect(gateway);
    client.send(request);
    let sent_at = Instant::now();
    let mut ending = Ending { after: None, is_reset: false, received: Vec::new() };
    let mut buffer = [0; 4096];
    while sent_at.elapsed() < listen_time {
        let left = listen_time.saturating_sub(sent_at.elapsed()).max(Duration::from_millis(1));
        client.reader.get_ref().set_read_timeout(Some(left)).expect("an open socket");
        match client.reader.read(&mut buffer) {
            Ok(count) if count > 0 => ending.received.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
            result => {
                ending.is_reset = result.is_err();
                ending.after = Some(sent_at.elapsed());
                break;
            }
        }
    }
    ending
}

/// A response of which one part never ends.
struct EndlessResponse {
    name: String,
    /// What comes at once.
    beginning: Vec<u8>,
    /// What follows again and again, with this pause before each.
    piece: Vec<u8>,
    pause: Duration,
}

impl EndlessResponse {
    fn new(name: &str, beginning: &[&[u8]], piece: &[u8], pause_millis: u64) -> Self {
        let (beginning, piece) = (beginning.concat(), piece.to_vec());
        Self { name: name.to_owned(), beginning, piece, pause: Duration::from_millis(pause_millis) }
    }

    fn start(self) -> RawEndpoint {
        RawEndpoint::start(move |mut socket| {
            let mut result =
                if read_past_head(&mut socket) { socket.write_all(&self.beginning) } else { return };
            while result.is_ok() {
                thread::sleep(self.pause);
                result = socket.write_all(&self.piece);
            }
        })
    }
}

/// Returns responses with this framing whose parts never end. None gives over 64 KiB before its client is owed the end.
fn endless_responses(framing: ResponseFraming) -> Vec<EndlessResponse> {
    let head = framing.head(65_000);
    let beginning = framing.frame(&[b'z'; 10]);
    let almost_all = framing.frame(&vec![b'z'; 64_000]);
    let piece = |bytes: usize| framing.frame(&vec![b'z'; bytes]);
    let named = |part: &str| format!("{framing:?}, {part}");
    let mut responses = vec![
        EndlessResponse::new(&named("head"), &[b"HTTP/1.1 200 OK\r\nX-A: "], b"a", 100),
        EndlessResponse::new(&named("no body"), &[&head], b"", 100),
        EndlessResponse::new(&named("8 bytes in 0.4 s"), &[&head, &beginning], &piece(8), 400),
        EndlessResponse::new(&named("1 byte in 2 ms"), &[&head, &beginning], &piece(1), 2),
        EndlessResponse::new(&named("100 bytes in 10 ms"), &[&head, &beginning], &piece(100), 10),
        EndlessResponse::new(&named("1,000 bytes in 50 ms"), &[&head, &beginning], &piece(1000), 50),
        EndlessResponse::new(&named("10,000 bytes, then silence"), &[&head, &piece(10_000)], b"", 100),
        EndlessResponse::new(&named("64,000 bytes, then silence"), &[&head, &almost_all], b"", 100),
        EndlessResponse::new(&named("64,000 bytes, then few"), &[&head, &almost_all], &piece(8), 400),
    ];
    if framing == ResponseFraming::Chunked {
        responses.push(EndlessResponse::new("chunk extension", &[&head, &beginning, b"a;x="], b"a", 50));
        responses.push(EndlessResponse::new("long chunk size", &[&head, &beginning], b"0", 200));
        responses.push(EndlessResponse::new("trailers", &[&head, &beginning, b"0\r\nX-T: "], b"a", 50));
    }
    responses
}

/// Sends requests to this endpoint, and returns a line for each that did not end in time, or whose broken response looks
/// complete.
fn unended_answers(response: EndlessResponse) -> Vec<String> {
    let name = response.name.clone();
    let endpoint = response.start();
    let node = start_gateway(&endpoint);
    let gateway = node.addr;
    let clients = closing_requests("endless", WAIT_HEADER)
        .map(|request| thread::spawn(move || read_to_end(gateway, &request, CLIENT_WAIT + 2 * END_GRACE)));
    let endings = clients.map(|client| client.join().expect("no panic"));
    let is_wrong = |ending: &Ending| {
        let is_in_time = ending.after.is_some_and(|after| after <= CLIENT_WAIT + END_GRACE);
        let is_visible =
            if ending.status() == Some(200) { !ending.looks_complete() } else { ending.looks_complete() };
        !is_in_time || !is_visible
    };
    let wrong = endings.into_iter().filter(is_wrong);
    wrong.map(|ending| format!("{name}: {}", ending.describe())).collect()
}

/// Guards against a client that waits without end behind a short response whose endpoint never ends it (`review/6`).
#[test]
fn short_response_that_never_ends_is_broken_off_soon_after_deadline() {
    let responses = ResponseFraming::ALL.into_iter().flat_map(endless_responses);
    let runs: Vec<_> = responses.map(|response| thread::spawn(|| unended_answers(response))).collect();
    let unended: Vec<String> = runs.into_iter().flat_map(|run| run.join().expect("no panic")).collect();
    assert!(unended.is_empty(), "with a wait of {CLIENT_WAIT:?}: {unended:#?}");
}

/// A long response that an endpoint writes at a steady rate.
struct SteadyResponse {
    framing: ResponseFraming,
    body_bytes: usize,
    piece_bytes: usize,
    wait: &'static str,
}

impl SteadyResponse {
    const PAUSE: Duration = Duration::from_millis(50);

    fn parts(&self) -> Vec<PacedPart> {
        let data = vec![b'z'; self.body_bytes];
        let head = PacedPart { pause: Duration::ZERO, bytes: self.framing.head(self.body_bytes) };
        let end = PacedPart { pause: Duration::ZERO, bytes: self.framing.end() };
        let pieces = data.chunks(self.piece_bytes);
        let pieces = pieces.map(|piece| PacedPart { pause: Self::PAUSE, bytes: self.framing.frame(piece) });
        [head].into_iter().chain(pieces).chain([end]).collect()
    }

    /// Returns a line for each client that did not get the complete response.
    fn incomplete_answers(&self) -> Vec<String> {
        const LISTEN_TIME: Duration = Duration::from_secs(20);
        let endpoint = start_paced_writer(self.parts());
        let node = start_gateway(&endpoint);
        let gateway = node.addr;
        let clients = closing_requests("steady", self.wait)
            .map(|request| thread::spawn(move || read_to_end(gateway, &request, LISTEN_TIME)));
        let endings = clients.map(|client| client.join().expect("no panic"));
        let is_complete = |ending: &Ending| ending.looks_complete() && ending.data_bytes() == self.body_bytes;
        let incomplete = endings.into_iter().filter(|ending| !is_complete(ending));
        let name = format!("{:?}, {} bytes in 50 ms, wait {}", self.framing, self.piece_bytes, self.wait);
        incomplete.map(|ending| format!("{name}: {}", ending.describe())).collect()
    }
}

/// Guards against a long response that is cut off because its first 64 KiB take longer than the deadline.
#[test]
fn long_response_that_comes_slowly_is_not_cut_off() {
    const SLOW_PEER_BYTES: usize = 3200;
    let mut responses = Vec::new();
    for framing in ResponseFraming::ALL {
        // At 64 kB a second the first 64 KiB take 1.02 s, at 28 kB a second 2.34 s.
        for (piece_bytes, wait) in [(SLOW_PEER_BYTES, "0.600"), (SLOW_PEER_BYTES, "0.300"), (1400, "2.200")] {
            responses.push(SteadyResponse { framing, body_bytes: 150_000, piece_bytes, wait });
        }
    }
    let framing = ResponseFraming::Length;
    responses.push(SteadyResponse { framing, body_bytes: 70_000, piece_bytes: 700, wait: WAIT_HEADER });
    let runs: Vec<_> =
        responses.into_iter().map(|response| thread::spawn(move || response.incomplete_answers())).collect();
    let incomplete: Vec<String> = runs.into_iter().flat_map(|run| run.join().expect("no panic")).collect();
    assert!(incomplete.is_empty(), "{incomplete:#?}");
}

/// Length of a response that does not fit into the buffers between the gateway and a client that reads nothing.
const LARGE_BODY_BYTES: usize = 4_000_000;

/// Starts a client of HTTP/1.0, which takes the end of the connection for the end of a response, and reads the beginning of
/// a large response.
fn start_large_response(gateway: SocketAddr) -> TcpStream {
    let [_, request] = closing_requests("large", "25.0");
    let mut client = connect_with_small_buffer(gateway);
    client.write_all(&request.to_bytes()).expect("an open socket");
    client.read_exact(&mut [0; 1000]).expect("the beginning of a response");
    client
}

/// Asserts that the client sees that its response is not complete.
fn assert_visibly_broken(mut client: TcpStream) {
    let mut received = Vec::new();
    let end = client.read_to_end(&mut received);
    assert!(received.len() < LARGE_BODY_BYTES, "otherwise nothing is shown");
    assert!(end.is_err(), "{} bytes, then the end of the connection", received.len());
}

/// Guards against a client that takes what it got for the whole response, because the process was killed.
#[test]
fn response_without_length_is_visibly_broken_when_process_is_killed() {
    let endpoint = start_large_writer();
    let node = start_gateway(&endpoint);
    let client = start_large_response(node.addr);
    drop(node);
    assert_visibly_broken(client);
}

/// Guards against a client that takes what it got for the whole response, because the gateway has given it up.
#[test]
fn response_without_length_is_visibly_broken_when_client_stalls() {
    /// Longer than the gateway waits for a client that takes nothing.
    const STALL: Duration = Duration::from_millis(11_500);
    let endpoint = start_large_writer();
    let node = start_gateway(&endpoint);
    let client = start_large_response(node.addr);
    thread::sleep(STALL);
    assert_visibly_broken(client);
}

fn start_large_writer() -> RawEndpoint {
    let framing = ResponseFraming::Chunked;
    let data = framing.frame(&vec![b'z'; LARGE_BODY_BYTES]);
    let bytes = [framing.head(LARGE_BODY_BYTES), data, framing.end()].concat();
    start_paced_writer(vec![PacedPart { pause: Duration::ZERO, bytes }])
}

/// Guards against a long response that keeps its client for ever behind an endpoint that has fallen silent, and against one
/// that is cut off while its endpoint gives only bytes of the framing.
#[test]
fn long_response_ends_with_silence_of_its_endpoint_only() {
    /// Silence after which the gateway gives a long response up.
    const MAX_SILENCE: Duration = Duration::from_secs(10);
    const FEW_BYTES_PAUSE: Duration = Duration::from_secs(4);
    let framing = ResponseFraming::Chunked;
    let beginning = [framing.head(100_000), framing.frame(&vec![b'z'; 100_000])].concat();
    let run = |rest: Vec<&[u8]>| {
        let mut parts = vec![PacedPart { pause: Duration::ZERO, bytes: beginning.clone() }];
        parts.extend(rest.iter().map(|bytes| PacedPart { pause: FEW_BYTES_PAUSE, bytes: bytes.to_vec() }));
        let [request, _] = closing_requests("long", WAIT_HEADER);
        thread::spawn(move || {
            let endpoint = start_paced_writer(parts);
            let node = start_gateway(&endpoint);
            read_to_end(node.addr, &request, Duration::from_secs(25))
        })
    };
    // The size of a chunk, its extension, the chunk and the end come one after another.
    let few_bytes = run(vec![b"1", b";x", b"=1\r\nz", b"\r\n0\r\n\r\n"]);
    let silent = run(vec![b"1\r\nz\r\n", b"", b"", b"", b""]);
    let few_bytes = few_bytes.join().expect("no panic");
    assert!(few_bytes.looks_complete() && few_bytes.data_bytes() == 100_001, "{}", few_bytes.describe());
    let silent = silent.join().expect("no panic");
    let silence = silent.after.map(|after| after.saturating_sub(FEW_BYTES_PAUSE));
    let is_in_time =
        silence.is_some_and(|silence| silence >= MAX_SILENCE && silence < MAX_SILENCE + END_GRACE);
    assert!(is_in_time && !silent.looks_complete(), "{}", silent.describe());
}

/// Guards against a connection that stays open behind an endpoint that begins a short response before it has read the
/// request, and ends neither.
#[test]
fn short_response_that_overtakes_its_upload_and_never_ends_is_broken_off() {
    const BODY_BYTES: usize = 2_000_000;
    /// More than the gateway buffers before it forwards a body.
    const WRITTEN_BYTES: usize = 800_000;
    let framing = ResponseFraming::Chunked;
    let data = framing.frame(b"z");
    let endpoint = EndlessResponse::new("overtaking", &[&framing.head(0), &data], &data, 100).start();
    let node = start_gateway(&endpoint);
    let [mut request, _] = closing_requests("overtaken", WAIT_HEADER);
    request = request.with_header("Content-Length", &BODY_BYTES.to_string());
    request.body = vec![b'u'; WRITTEN_BYTES];
    let ending = read_to_end(node.addr, &request, Duration::from_secs(5));
    // The wait has not begun, as the request is not complete; the gateway counts it from the response.
    let is_in_time = ending.after.is_some_and(|after| after <= CLIENT_WAIT + 2 * END_GRACE);
    assert!(is_in_time && ending.status() == Some(200) && !ending.looks_complete(), "{}", ending.describe());
}

/// Guards against a long response of unknown length that begins in time and is held back until the deadline has passed.
#[test]
fn long_response_that_begins_shortly_before_deadline_is_not_cut_off() {
    const BODY_BYTES: usize = 150_000;
    const CLIENTS: usize = 6;
    /// Less than the time for which the gateway waits whether a response turns out to be short.
    const TIME_LEFT: Duration = Duration::from_millis(35);
    let framing = ResponseFraming::Chunked;
    let data = framing.frame(&vec![b'z'; BODY_BYTES / 10]);
    let beginning = PacedPart { pause: CLIENT_WAIT - TIME_LEFT, bytes: framing.head(0) };
    let pause = Duration::from_millis(80);
    let end = PacedPart { pause, bytes: framing.end() };
    let pieces = (0..10).map(|number| PacedPart { pause: pause * number.min(1), bytes: data.clone() });
    let endpoint = start_paced_writer([beginning].into_iter().chain(pieces).chain([end]).collect());
    let node = start_gateway(&endpoint);
    let gateway = node.addr;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let [request, _] = closing_requests(&format!("late{number}"), WAIT_HEADER);
            thread::spawn(move || read_to_end(gateway, &request, Duration::from_secs(5)))
        })
        .collect();
    let endings: Vec<_> = clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    // A busy machine may hold up some of them until their time is over.
    let is_complete = |ending: &Ending| ending.looks_complete() && ending.data_bytes() == BODY_BYTES;
    let seen: Vec<String> = endings.iter().map(Ending::describe).collect();
    assert!(endings.iter().any(is_complete), "{seen:#?}");
}
