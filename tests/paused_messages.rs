//! Peers that pause within a message: the gateway waits for the rest of it as long as the client waits, and cuts it off no
//! earlier.

mod fakes;
use fakes::{
    Client, EndpointBehaviour, FakeEndpoint, Node, NodeBuilder, PacedPart, PacedReader, RawEndpoint,
    ResponseFraming, TestRequest, connect_with_small_buffer, endpoint_entry, read_message, read_past_head,
    start_paced_writer,
};
use serde_json::json;
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr},
    thread,
    time::{Duration, Instant},
};

/// Latency objective of the classes. A later response is worth nothing, so attempts time out shortly before it.
const LATENCY_OBJECTIVE_SECONDS: f64 = 0.6;
/// Time for which the clients wait, as in the `X-Remaining` header of [`WAIT_HEADER`].
const CLIENT_WAIT: Duration = Duration::from_millis(2500);
const WAIT_HEADER: &str = "2.500";
/// Pause within a response: longer than the latency objective, far shorter than the wait.
const PAUSE: Duration = Duration::from_millis(950);

/// Starts a gateway in front of this endpoint, with classes whose responses are worth nothing after the objective.
fn start_gateway(endpoint: &RawEndpoint) -> Node {
    let mut builder = NodeBuilder::with_lasting_discovery(&[endpoint.addr]);
    for class in builder.settings["Classes"].as_array_mut().expect("classes") {
        class["Slo"] = json!(LATENCY_OBJECTIVE_SECONDS);
        class["LateWorth"] = json!(0.0);
    }
    builder.start()
}

fn requests(id: &str) -> [TestRequest; 2] {
    [TestRequest::new(&format!("{id}-idempotent")), TestRequest::at_most_once(&format!("{id}-unsafe"))]
        .map(|request| request.with_header("X-Remaining", WAIT_HEADER))
}

/// What a client saw of a response.
#[derive(Debug)]
struct Answer {
    /// Status; `None` if the connection ended without a complete answer.
    status: Option<u16>,
    body_bytes: usize,
    /// Time until the first bytes.
    wait: Duration,
}

fn send(gateway: SocketAddr, request: &TestRequest) -> Answer {
    let started_at = Instant::now();
    let mut client = Client::connect(gateway);
    client.send(request);
    // Of a response over 64 KiB the first bytes count, and a shorter one is sent at once.
    let _ = client.reader.fill_buf();
    let wait = started_at.elapsed();
    let response = client.read_response();
    let body_bytes = response.as_ref().map_or(0, |response| response.body.len());
    Answer { status: response.map(|response| response.status()), body_bytes, wait }
}

/// A response that an endpoint writes in parts.
struct PacedResponse {
    name: String,
    body_bytes: usize,
    parts: Vec<PacedPart>,
}

/// Sends a request of each class to an endpoint that writes this response. Returns a line for each client that did not
/// get the complete response.
fn incomplete_answers(response: PacedResponse) -> Vec<String> {
    let PacedResponse { name, body_bytes, parts } = response;
    let endpoint = start_paced_writer(parts);
    let node = start_gateway(&endpoint);
    let gateway = node.addr;
    let clients = requests(&name)
        .map(|request| thread::spawn(move || (request.request_line.clone(), send(gateway, &request))));
    let answers = clients.map(|client| client.join().expect("no panic"));
    let is_incomplete = |answer: &Answer| {
        answer.wait > CLIENT_WAIT || answer.status != Some(200) || answer.body_bytes != body_bytes
    };
    let incomplete = answers.into_iter().filter(|(_, answer)| is_incomplete(answer));
    incomplete.map(|(line, answer)| format!("{name}, {body_bytes} bytes, {line}: {answer:?}")).collect()
}

/// Asserts that all clients get these responses completely. The responses are tried side by side.
fn assert_complete(responses: Vec<PacedResponse>) {
    let clients: Vec<_> =
        responses.into_iter().map(|response| thread::spawn(|| incomplete_answers(response))).collect();
    let incomplete: Vec<String> =
        clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect();
    assert!(incomplete.is_empty(), "within a wait of {CLIENT_WAIT:?}: {incomplete:#?}");
}

/// Guards against a response that is cut off between its head and its body, as the attempt's timeout ran on after the head.
#[test]
fn long_response_whose_body_comes_late_is_not_cut_off() {
    let mut responses = Vec::new();
    for framing in ResponseFraming::ALL {
        for body_bytes in [126_017, 226_862, 294_407] {
            let head = PacedPart { pause: Duration::ZERO, bytes: framing.head(body_bytes) };
            let data = framing.frame(&vec![b'd'; body_bytes]);
            let body = PacedPart { pause: PAUSE, bytes: [data, framing.end()].concat() };
            responses.push(PacedResponse {
                name: format!("{framing:?}"),
                body_bytes,
                parts: vec![head, body],
            });
        }
    }
    assert_complete(responses);
}

/// Returns a response whose bytes are split at `position`, with a pause between the two parts.
fn split_response(name: String, body_bytes: usize, response: &[u8], position: usize) -> PacedResponse {
    let (beginning, rest) = response.split_at(position);
    let beginning = PacedPart { pause: Duration::ZERO, bytes: beginning.to_vec() };
    let rest = PacedPart { pause: PAUSE, bytes: rest.to_vec() };
    PacedResponse { name, body_bytes, parts: vec![beginning, rest] }
}

/// Guards against a short response that is given up when its endpoint pauses within the body.
#[test]
fn short_response_with_pause_in_body_is_not_cut_off() {
    let mut responses = Vec::new();
    for framing in ResponseFraming::ALL {
        for body_bytes in [2, 2_000, 60_000] {
            let (head, data) = (framing.head(body_bytes), framing.frame(&vec![b'd'; body_bytes]));
            let position = head.len() + data.len() / 2;
            let response = [head, data, framing.end()].concat();
            responses.push(split_response(format!("{framing:?}"), body_bytes, &response, position));
        }
    }
    assert_complete(responses);
}

/// Guards against a response that is given up when its endpoint pauses within the head.
#[test]
fn response_with_pause_in_head_is_not_cut_off() {
    const HEAD_PAUSE: Duration = Duration::from_millis(1200);
    let mut responses = Vec::new();
    for framing in ResponseFraming::ALL {
        for body_bytes in [2, 226_862] {
            let head = framing.head(body_bytes);
            let position = head.len() / 2;
            let response = [head, framing.frame(&vec![b'd'; body_bytes]), framing.end()].concat();
            let mut response = split_response(format!("{framing:?}"), body_bytes, &response, position);
            response.parts[1].pause = HEAD_PAUSE;
            responses.push(response);
        }
    }
    assert_complete(responses);
}

/// Guards against a request that waits for an endpoint that never goes on, though another endpoint would respond.
#[test]
fn request_behind_endless_pause_is_served_by_another_endpoint() {
    const HEDGED_WITHIN: Duration = Duration::from_millis(1500);
    let paused = RawEndpoint::start(|mut socket| {
        if read_past_head(&mut socket) {
            let head = ResponseFraming::Length.head(200_000);
            let _ = socket.write_all(&head).and_then(|()| socket.read_to_end(&mut Vec::new()));
        }
    });
    let healthy = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (mut builder, _discovery) = NodeBuilder::with_addresses(&[paused.addr, healthy.addr]);
    // The usual hedged request would be sent after 8 s.
    builder.settings["Classes"][0]["Slo"] = json!(20.0);
    let node = builder.start();
    for number in 0..8 {
        let answer = send(node.addr, &TestRequest::new(&format!("hedged{number}")));
        assert!(answer.status == Some(200) && answer.wait < HEDGED_WITHIN, "{answer:?}");
    }
}

/// Guards against an upload that is cut off because its endpoint reads it for longer than the latency objective.
#[test]
fn upload_that_endpoint_reads_slowly_is_not_cut_off() {
    const READ_TIME_SECONDS: f64 = 1.4;
    let uploads: Vec<_> = [150_000, 300_000, 700_000, 1_500_000]
        .into_iter()
        .flat_map(|body_bytes| [(body_bytes, false), (body_bytes, true)])
        .map(|(body_bytes, is_chunked)| {
            thread::spawn(move || {
                let endpoint = RawEndpoint::start(move |mut socket| {
                    let bytes_per_second = body_bytes as f64 / READ_TIME_SECONDS;
                    let reading = PacedReader { socket: socket.try_clone().expect("open"), bytes_per_second };
                    if read_message(&mut BufReader::new(reading)).is_some() {
                        let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    }
                });
                let node = start_gateway(&endpoint);
                let body = vec![b'u'; body_bytes];
                let mut request = TestRequest::at_most_once("upload").with_header("X-Remaining", WAIT_HEADER);
                request.body = body;
                if is_chunked {
                    let framing = ResponseFraming::Chunked;
                    request = request.with_header("Transfer-Encoding", "chunked");
                    request.body = [framing.frame(&request.body), framing.end()].concat();
                }
                (body_bytes, is_chunked, send(node.addr, &request))
            })
        })
        .collect();
    let answers: Vec<_> = uploads.into_iter().map(|upload| upload.join().expect("no panic")).collect();
    let is_cut = |answer: &Answer| answer.status != Some(200) || answer.wait > CLIENT_WAIT;
    let cut: Vec<_> = answers.iter().filter(|(_, _, answer)| is_cut(answer)).collect();
    assert!(cut.is_empty(), "bytes, is chunked, answer: {cut:#?}");
}

/// Guards against a stream that is cut off because its endpoint pauses for some seconds after the first data.
#[test]
fn stream_with_long_pause_is_not_cut_off() {
    const STREAM_PAUSE: Duration = Duration::from_millis(6500);
    let mut responses = Vec::new();
    for framing in ResponseFraming::ALL {
        let body_bytes = 200_000;
        let (head, data) = (framing.head(body_bytes), framing.frame(&vec![b'd'; body_bytes]));
        let response = [head, data, framing.end()].concat();
        let mut response = split_response(format!("{framing:?}"), body_bytes, &response, 90_000);
        response.parts[1].pause = STREAM_PAUSE;
        responses.push(response);
    }
    assert_complete(responses);
}

/// Guards against a short response that is cut off because its client pauses while it reads.
#[test]
fn buffered_response_is_not_cut_off_when_client_pauses() {
    const CLIENT_PAUSE: Duration = Duration::from_millis(3500);
    const BODY_BYTES: usize = 65_000;
    let framing = ResponseFraming::Length;
    let response = [framing.head(BODY_BYTES), vec![b'd'; BODY_BYTES]].concat();
    let endpoint = start_paced_writer(vec![PacedPart { pause: Duration::ZERO, bytes: response }]);
    let node = start_gateway(&endpoint);
    let mut client = connect_with_small_buffer(node.addr);
    let request = TestRequest::new("paused").with_header("Connection", "close");
    client.write_all(&request.to_bytes()).expect("an open socket");
    client.read_exact(&mut [0; 12]).expect("the beginning of a response");
    thread::sleep(CLIENT_PAUSE);
    let mut received = Vec::new();
    client.set_read_timeout(Some(CLIENT_WAIT)).expect("an open socket");
    let _ = client.read_to_end(&mut received);
    let received_bytes = received.iter().filter(|byte| **byte == b'd').count();
    assert_eq!(received_bytes, BODY_BYTES);
}

/// Guards against a response that is cut off because it began before its endpoint had read the whole upload.
#[test]
fn response_that_begins_before_end_of_upload_is_not_cut_off() {
    const UPLOAD_BYTES: usize = 1_000_000;
    for framing in ResponseFraming::ALL {
        let body_bytes = 200_000;
        let endpoint = RawEndpoint::start(move |mut socket| {
            if !read_past_head(&mut socket) {
                return;
            }
            let data = vec![b'd'; body_bytes / 2];
            let _ = socket.write_all(&[framing.head(body_bytes), framing.frame(&data)].concat());
            thread::sleep(PAUSE);
            let _ = socket.write_all(&[framing.frame(&data), framing.end()].concat());
            let _ = socket.shutdown(Shutdown::Write);
            let _ = socket.read_to_end(&mut Vec::new());
        });
        let node = start_gateway(&endpoint);
        let request = TestRequest::at_most_once("early").with_header("X-Remaining", WAIT_HEADER);
        let mut client = Client::connect(node.addr);
        let mut writer = client.reader.get_ref().try_clone().expect("an open socket");
        let writing = thread::spawn(move || {
            let bytes = TestRequest { body: vec![b'u'; UPLOAD_BYTES], ..request }.to_bytes();
            for part in bytes.chunks(50_000) {
                let _ = writer.write_all(part);
                thread::sleep(Duration::from_millis(40));
            }
        });
        let response = client.read_response();
        let received = response.map(|response| (response.status(), response.body.len()));
        assert_eq!(received, Some((200, body_bytes)), "{framing:?}");
        writing.join().expect("no panic");
    }
}

/// Guards against a long upload that is cut off at the client's wait while its client is still writing it, because the
/// endpoint takes it slowly.
#[test]
fn upload_that_client_still_writes_is_not_cut_off() {
    const BODY_BYTES: usize = 24_000_000;
    const BYTES_PER_SECOND: usize = 4_000_000;
    let endpoint = RawEndpoint::start(|mut socket| {
        let mut body_bytes = 0;
        let mut buffer = vec![0; 40_000];
        let is_read = read_past_head(&mut socket);
        let started_at = Instant::now();
        while is_read && body_bytes < BODY_BYTES {
            let Ok(count @ 1..) = socket.read(&mut buffer) else { return };
            body_bytes += count;
            let due = Duration::from_secs_f64(body_bytes as f64 / BYTES_PER_SECOND as f64);
            thread::sleep(due.saturating_sub(started_at.elapsed()));
        }
        let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    let node = start_gateway(&endpoint);
    let mut request = TestRequest::at_most_once("long").with_header("X-Remaining", WAIT_HEADER);
    request.body = vec![b'u'; BODY_BYTES];
    let answer = send(node.addr, &request);
    assert_eq!(answer.status, Some(200), "{answer:?}");
}

/// Guards against a response that is cut off when its endpoint starts draining, is removed or is put into maintenance.
#[test]
fn paused_response_survives_changes_of_the_endpoint() {
    for change in ["DRAINING", "DELETED", "maintenance"] {
        let framing = ResponseFraming::Length;
        let (head, data) = (framing.head(200_000), vec![b'd'; 200_000]);
        let response = [head, data].concat();
        let response = split_response(change.to_owned(), 200_000, &response, 100);
        let endpoint = start_paced_writer(response.parts);
        let (mut builder, discovery) = NodeBuilder::with_addresses(&[endpoint.addr]);
        let node = builder.operator_address().start();
        let mut client = Client::connect(node.addr);
        client.send(&TestRequest::at_most_once("changed"));
        thread::sleep(PAUSE / 4);
        if change == "maintenance" {
            assert_eq!(node.operator_call("PUT /workers/w0/maint").status(), 200);
        } else {
            let version = discovery.update_entry(endpoint_entry("w0", endpoint.addr, change));
            discovery.wait_until_applied(version);
        }
        let answer = client.read_response().map(|response| (response.status(), response.body.len()));
        assert_eq!(answer, Some((200, 200_000)), "{change}");
    }
}

/// Guards against a request that is cut off because its client pauses within the head or the body.
#[test]
fn request_with_pause_of_client_is_not_cut_off() {
    const CLIENT_PAUSE: Duration = Duration::from_millis(2000);
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    let gateway = node.addr;
    let clients: Vec<_> = [(6, 40), (6, 300), (200_000, 100_000), (900_000, 400_000), (900_000, 899_999)]
        .into_iter()
        .map(|(body_bytes, position)| {
            thread::spawn(move || {
                let mut request = TestRequest::at_most_once(&format!("paused{body_bytes}-{position}"));
                request.body = vec![b'u'; body_bytes];
                let bytes = request.to_bytes();
                let mut client = Client::connect(gateway);
                let (beginning, rest) = bytes.split_at(position.min(bytes.len() - 1));
                let writer = client.reader.get_mut();
                let is_written = writer.write_all(beginning).is_ok() && {
                    thread::sleep(CLIENT_PAUSE);
                    writer.write_all(rest).is_ok()
                };
                let status = client.read_response().map(|response| response.status());
                (body_bytes, position, is_written, status)
            })
        })
        .collect();
    let answers: Vec<_> = clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    assert!(answers.iter().all(|(_, _, _, status)| *status == Some(200)), "{answers:?}");
}

/// Guards against an upload that is failed before its client's wait is over, because the wait counts from an earlier
/// request on the same connection.
#[test]
fn upload_on_connection_that_was_idle_has_its_whole_wait() {
    const IDLE_TIME: Duration = Duration::from_millis(2600);
    const RESPONSE_TIME: Duration = Duration::from_millis(300);
    let endpoint = RawEndpoint::start(|mut socket| {
        let mut reader = BufReader::new(socket.try_clone().expect("an open socket"));
        while read_message(&mut reader).is_some() {
            thread::sleep(RESPONSE_TIME);
            let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    let node = start_gateway(&endpoint);
    for body_bytes in [700_000, 1_500_000] {
        let mut client = Client::connect(node.addr);
        assert_eq!(client.send_request(&TestRequest::new(&format!("first{body_bytes}"))).status(), 200);
        thread::sleep(IDLE_TIME);
        let mut upload = TestRequest::at_most_once(&format!("upload{body_bytes}"));
        upload.body = vec![b'u'; body_bytes];
        let upload = upload.with_header("X-Remaining", WAIT_HEADER);
        assert_eq!(client.send_request(&upload).status(), 200, "{body_bytes} bytes");
    }
}
