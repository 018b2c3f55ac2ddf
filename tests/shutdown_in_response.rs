//! Shutdowns while responses are on their way: the process ends after the last of them and not before, however late the
//! platform kills it.

mod fakes;
use fakes::{
    LaunchOptions, Message, Node, NodeBuilder, PacedPart, PacedReader, RawEndpoint, ResponseFraming, TempDir,
    TestRequest, connect_with_small_buffer, read_message, read_past_head, start_paced_writer,
};
use serde_json::json;
use std::{
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Longest deadline of the classes and wait of the clients. SIGKILL may come 1.7 s after SIGTERM.
const DEADLINE_SECONDS: f64 = 1.0;
const EARLIEST_KILL: Duration = Duration::from_millis(1700);
/// Time from the first requests to SIGTERM.
const TERMINATE_AFTER: Duration = Duration::from_millis(300);
/// Longest time from the last response to the end of the process.
const EXIT_TIME: Duration = Duration::from_secs(2);
/// Body that a client reads in about 6 s at [`CLIENT_BYTES_PER_SECOND`].
const LONG_BODY_BYTES: usize = 900_000;
const CLIENT_BYTES_PER_SECOND: f64 = 150_000.0;

/// Returns the builder of a gateway in front of this endpoint.
fn builder(endpoint: &RawEndpoint) -> NodeBuilder {
    let mut builder = NodeBuilder::with_lasting_discovery(&[endpoint.addr]);
    for class in builder.settings["Classes"].as_array_mut().expect("classes") {
        class["Deadline"] = json!(DEADLINE_SECONDS);
        class["Slo"] = json!(DEADLINE_SECONDS);
    }
    builder
}

/// Starts an endpoint that writes a long response at once.
fn start_long_writer(framing: ResponseFraming) -> RawEndpoint {
    let response =
        [framing.head(LONG_BODY_BYTES), framing.frame(&vec![b'd'; LONG_BODY_BYTES]), framing.end()];
    start_paced_writer(vec![PacedPart { pause: Duration::ZERO, bytes: response.concat() }])
}

fn request(id: &str) -> TestRequest {
    TestRequest::at_most_once(id).with_header("X-Remaining", "1.000")
}

/// What a client got.
struct Answer {
    /// Status and length of the body; `None` without a complete response.
    received: Option<(u16, usize)>,
    /// Time at which the response, or the connection, ended.
    ended_at: Instant,
}

impl Answer {
    /// Returns the answer that has just ended.
    fn new(response: Option<Message>) -> Self {
        let received = response.map(|response| (response.status(), response.body.len()));
        Self { received, ended_at: Instant::now() }
    }

    fn status(&self) -> Option<u16> {
        self.received.map(|(status, _)| status)
    }
}

/// Returns a reader of responses at a limited rate.
fn slow_reader(socket: &TcpStream) -> BufReader<PacedReader> {
    let socket = socket.try_clone().expect("an open socket");
    BufReader::new(PacedReader { socket, bytes_per_second: CLIENT_BYTES_PER_SECOND })
}

/// Starts a client that reads the response to its request slowly.
fn start_slow_client(gateway: SocketAddr, id: &str) -> JoinHandle<Answer> {
    let request = request(id);
    thread::spawn(move || {
        let mut socket = connect_with_small_buffer(gateway);
        socket.write_all(&request.to_bytes()).expect("an open socket");
        Answer::new(read_message(&mut slow_reader(&socket)))
    })
}

/// Waits for the exit of a process that has been told to end, and checks that it comes soon after `last_response`.
fn assert_exit_soon_after(node: &mut Node, last_response: Instant) {
    assert!(node.wait_for_exit().success());
    assert!(last_response.elapsed() < EXIT_TIME, "{:?} after the last response", last_response.elapsed());
}

/// Guards against a response that is cut off by the end of the process while its client reads it (`review/9`).
#[test]
fn response_that_client_reads_slowly_is_complete_in_shutdown() {
    for framing in ResponseFraming::ALL {
        let endpoint = start_long_writer(framing);
        let mut node = builder(&endpoint).start();
        let mut idle = node.connect();
        let clients: Vec<_> = (0..3).map(|i| start_slow_client(node.addr, &format!("slow{i}"))).collect();
        thread::sleep(TERMINATE_AFTER);
        let terminated_at = Instant::now();
        for signal in ["-TERM", "-TERM", "-HUP", "-INT", "-TERM"] {
            node.send_signal(signal);
            thread::sleep(Duration::from_millis(600));
        }
        assert!(idle.read_response().is_none(), "idle connections are closed");
        let answers: Vec<Answer> =
            clients.into_iter().map(|client| client.join().expect("no panic")).collect();
        for answer in &answers {
            assert_eq!(answer.received, Some((200, LONG_BODY_BYTES)), "{framing:?}");
        }
        let last_response = answers.iter().map(|answer| answer.ended_at).max().expect("clients");
        assert!(last_response > terminated_at + EARLIEST_KILL, "otherwise nothing is shown");
        assert_exit_soon_after(&mut node, last_response);
    }
}

/// Guards against a response that is cut off by the end of the process while its endpoint gives it.
#[test]
fn response_that_endpoint_gives_slowly_is_complete_in_shutdown() {
    const PARTS: usize = 60;
    const BODY_BYTES: usize = 300_000;
    let runs = ResponseFraming::ALL.map(|framing| {
        thread::spawn(move || {
            let data = vec![b'd'; BODY_BYTES];
            let pieces = data.chunks(BODY_BYTES / PARTS).map(|piece| framing.frame(piece));
            let parts = [framing.head(BODY_BYTES)].into_iter().chain(pieces).chain([framing.end()]);
            let pause = Duration::from_millis(80);
            let endpoint = start_paced_writer(parts.map(|bytes| PacedPart { pause, bytes }).collect());
            let mut node = builder(&endpoint).start();
            let mut client = node.connect();
            client.send(&request("given"));
            thread::sleep(TERMINATE_AFTER);
            node.terminate();
            let answer = Answer::new(client.read_response());
            assert_eq!(answer.received, Some((200, BODY_BYTES)), "{framing:?}");
            assert_exit_soon_after(&mut node, answer.ended_at);
        })
    });
    for run in runs {
        run.join().expect("no failed assertion");
    }
}

/// Guards against a process that ends while its system still sends the end of a response, which is lost if the machine goes
/// down after the process.
#[test]
fn process_does_not_end_before_its_clients_have_what_was_sent() {
    /// Fits into the systems' buffers.
    const BODY_BYTES: usize = 180_000;
    const BYTES_PER_SECOND: f64 = 64_000.0;
    /// More than the interval at which the test looks for the end of the process.
    const TOLERANCE: Duration = Duration::from_millis(50);
    for connection in ["keep-alive", "close"] {
        let framing = ResponseFraming::Length;
        let bytes = [framing.head(BODY_BYTES), vec![b'd'; BODY_BYTES]].concat();
        let endpoint = start_paced_writer(vec![PacedPart { pause: Duration::ZERO, bytes }]);
        let mut node = builder(&endpoint).start();
        let gateway = node.addr;
        let client = thread::spawn(move || {
            // The client's own system holds little of what it has not read.
            let mut socket = connect_with_small_buffer(gateway);
            let request = request("sent").with_header("Connection", connection);
            socket.write_all(&request.to_bytes()).expect("an open socket");
            let mut reader = BufReader::new(PacedReader { socket, bytes_per_second: BYTES_PER_SECOND });
            let answer = Answer::new(read_message(&mut reader));
            // The client does not close before the gateway does.
            let rest = reader.read_to_end(&mut Vec::new());
            (answer, rest.ok())
        });
        thread::sleep(TERMINATE_AFTER);
        node.terminate();
        assert!(node.wait_for_exit().success());
        let exit_at = Instant::now();
        let (answer, rest) = client.join().expect("no panic");
        assert_eq!((answer.received, rest), (Some((200, BODY_BYTES)), Some(0)), "{connection}");
        let early = answer.ended_at.saturating_duration_since(exit_at);
        assert!(early < TOLERANCE, "{connection}: {early:?} before the client's end");
        assert!(exit_at < answer.ended_at + EXIT_TIME, "{connection}");
    }
}

/// Guards against requests that wait behind a long shutdown, or come in it, and get no answer before SIGKILL.
#[test]
fn requests_in_long_shutdown_are_answered() {
    /// A body that is complete some time after the earliest SIGKILL, and fast enough not to be refused.
    const BODY_BYTES: usize = 60_000;
    const BODY_TIME: Duration = Duration::from_millis(2800);
    let endpoint = RawEndpoint::start(|mut socket| {
        // Stays silent to a GET, and gives a long response to any other request.
        let mut head = [0; 20];
        if socket.read_exact(&mut head).is_err() || !read_past_head(&mut socket) || head.starts_with(b"GET") {
            let _ = socket.read_to_end(&mut Vec::new());
            return;
        }
        let framing = ResponseFraming::Length;
        let _ = socket.write_all(&[framing.head(LONG_BODY_BYTES), vec![b'd'; LONG_BODY_BYTES]].concat());
        let _ = socket.read_to_end(&mut Vec::new());
    });
    let mut node = builder(&endpoint).start();
    let gateway = node.addr;
    // Reads a long response, and sends another request behind it on the same connection.
    let long_client = thread::spawn(move || {
        let mut socket = connect_with_small_buffer(gateway);
        socket.write_all(&request("long").to_bytes()).expect("an open socket");
        let mut reader = slow_reader(&socket);
        let sending = thread::spawn(move || {
            thread::sleep(TERMINATE_AFTER + EARLIEST_KILL);
            let _ = socket.write_all(&request("behind").to_bytes());
        });
        let answers = [Answer::new(read_message(&mut reader)), Answer::new(read_message(&mut reader))];
        sending.join().expect("no panic");
        answers
    });
    // Finishes its request after the earliest SIGKILL.
    let late_client = thread::spawn(move || {
        let mut client = fakes::Client::connect(gateway);
        let mut late_request = request("late");
        late_request.body = vec![b'u'; BODY_BYTES];
        let bytes = late_request.to_bytes();
        for part in bytes.chunks(bytes.len().div_ceil(40)) {
            client.reader.get_mut().write_all(part).expect("the gateway reads on");
            thread::sleep(BODY_TIME / 40);
        }
        let written_at = Instant::now();
        (written_at, Answer::new(client.read_response()))
    });
    thread::sleep(TERMINATE_AFTER);
    // Waits for an endpoint that is silent, until the process may be killed.
    let mut waiting = node.connect();
    waiting.send(&TestRequest::new("waiting"));
    thread::sleep(Duration::from_millis(50));
    node.terminate();
    let terminated_at = Instant::now();
    let answer = Answer::new(waiting.read_response());
    let is_in_time = answer.ended_at < terminated_at + EARLIEST_KILL;
    assert!(answer.received.is_some() && is_in_time, "{:?}", answer.received);
    let (written_at, answer) = late_client.join().expect("no panic");
    assert!(
        written_at > terminated_at + EARLIEST_KILL - Duration::from_millis(500),
        "otherwise nothing is shown"
    );
    assert_eq!(answer.status(), Some(503));
    let is_at_once = answer.ended_at < written_at + Duration::from_millis(300);
    assert!(is_at_once, "the process may be killed at any moment");
    let [long, behind] = long_client.join().expect("no panic");
    assert_eq!(long.received, Some((200, LONG_BODY_BYTES)));
    assert_eq!(behind.status(), Some(503));
    assert_exit_soon_after(&mut node, behind.ended_at);
}

/// Guards against a response that is cut off by an upgrade, or by another one while the first has not ended.
#[test]
fn response_that_client_reads_slowly_is_complete_over_two_upgrades() {
    let endpoint = start_long_writer(ResponseFraming::Chunked);
    let mut builder = builder(&endpoint);
    builder.operator_address();
    let (listener, temp_dir) =
        (TcpListener::bind("127.0.0.1:0").expect("a free port"), TempDir::new("upgrades"));
    let start = || {
        let options = LaunchOptions {
            listener: Some(&listener),
            temp_dir: Some(&temp_dir.path),
            ..LaunchOptions::default()
        };
        let node = builder.start_with(&options);
        while node.operator_call("GET /healthcheck").status() != 200 {}
        node
    };
    let mut ended = Vec::new();
    let mut current = start();
    for upgrade in 0..2 {
        let client = start_slow_client(current.addr, &format!("upgrade{upgrade}"));
        thread::sleep(TERMINATE_AFTER);
        let successor = start();
        current.terminate();
        ended.push((std::mem::replace(&mut current, successor), client));
    }
    for (mut node, client) in ended {
        let answer = client.join().expect("no panic");
        assert_eq!(answer.received, Some((200, LONG_BODY_BYTES)));
        assert_exit_soon_after(&mut node, answer.ended_at);
    }
    let answer = start_slow_client(current.addr, "after").join().expect("no panic");
    assert_eq!(answer.received, Some((200, LONG_BODY_BYTES)), "the last process serves");
}
