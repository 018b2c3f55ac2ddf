//! Requests that get their final response before their body was read whole: no byte of the body is taken for a request.

mod fakes;
use fakes::{EndpointBehaviour, FakeEndpoint, Gate, Node, NodeBuilder, TestRequest};
use std::{io::Write, sync::Arc, thread, time::Duration};

/// Lengths of request bodies: one that is buffered, one that is buffered while memory is plentiful, and one that is
/// streamed.
const BODY_LENGTHS: [usize; 3] = [20_000, 200_000, 900_000];
/// Time for which a client waits for `100 Continue` before it sends the body anyway.
const CONTINUE_WAIT: Duration = Duration::from_millis(5);

/// Way in which a client sends a request.
#[derive(Debug, Clone, Copy)]
struct UploadForm {
    version: &'static str,
    is_chunked: bool,
    expects_continue: bool,
    /// True if the body follows the head at once.
    is_body_immediate: bool,
    body_length: usize,
}

fn upload_forms() -> Vec<UploadForm> {
    let mut forms = Vec::new();
    for body_length in BODY_LENGTHS {
        for expects_continue in [false, true] {
            for is_body_immediate in [false, true] {
                let form = |version, is_chunked| UploadForm {
                    version,
                    is_chunked,
                    expects_continue,
                    is_body_immediate,
                    body_length,
                };
                forms.extend([form("1.1", false), form("1.1", true), form("1.0", false)]);
            }
        }
    }
    forms
}

/// Returns a body that consists of requests, so that the gateway would serve them if it read the body as requests.
fn body_of_requests(length: usize) -> Vec<u8> {
    let hidden = TestRequest::new("hidden").to_bytes();
    hidden.into_iter().cycle().take(length).collect()
}

fn to_chunks(body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n0\r\n\r\n");
    bytes
}

/// Returns the head of `request` in this form, and its body.
fn head_and_body(request: &TestRequest, form: UploadForm) -> (TestRequest, Vec<u8>) {
    let body = body_of_requests(form.body_length);
    let mut head = request.clone();
    head.request_line = format!("POST /submit HTTP/{}", form.version);
    head.body.clear();
    head = head.with_header("Connection", "keep-alive");
    if form.expects_continue {
        head = head.with_header("Expect", "100-continue");
    }
    if form.is_chunked {
        (head.with_header("Transfer-Encoding", "chunked"), to_chunks(&body))
    } else {
        (head.with_header("Content-Length", &form.body_length.to_string()), body)
    }
}

/// Sends `request` in this form and then another request on the same connection. Returns everything that the gateway
/// sends until it closes the connection.
fn upload_and_send_next(node: &Node, request: &TestRequest, form: UploadForm) -> String {
    let (head, body) = head_and_body(request, form);
    let mut client = node.connect();
    let mut socket = client.reader.get_ref().try_clone().expect("an open socket");
    // The gateway may close the connection before the client has written everything.
    let sender = thread::spawn(move || {
        let _ = socket.write_all(&head.to_bytes());
        if !form.is_body_immediate {
            thread::sleep(CONTINUE_WAIT);
        }
        let _ = socket.write_all(&body);
        let _ = socket.write_all(&TestRequest::new("next").with_header("Connection", "close").to_bytes());
    });
    let received = client.read_until_closed();
    sender.join().expect("the sender does not panic");
    received
}

/// Returns the statuses of the final responses in `received`.
fn final_statuses(received: &str) -> Vec<&str> {
    let statuses = received.split("HTTP/1.1 ").skip(1).filter_map(|response| response.get(..3));
    statuses.filter(|status| !status.starts_with('1')).collect()
}

/// Starts a gateway with a customer that has used up its quota.
fn start_with_exhausted_customer(endpoint: &FakeEndpoint) -> Node {
    let (builder, _discovery) = NodeBuilder::new(&[endpoint]);
    let node = builder.start();
    // The plan's burst is shared by two gateways and hardly refills.
    while node.send_request(&TestRequest::new("quota").with_header("X-Plan", "pieni")).status() != 429 {}
    endpoint.drain_requests();
    node
}

/// Guards against a body that is read as requests after its request was refused, which gives clients foreign answers.
#[test]
fn body_of_refused_request_is_never_read_as_requests() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let node = start_with_exhausted_customer(&endpoint);
    let gate = Arc::new(Gate::default());
    endpoint.set_behaviour(EndpointBehaviour::RespondAfter(gate.clone()));
    let mut open = node.connect();
    open.send(&TestRequest::at_most_once("open"));
    endpoint.next_request();
    endpoint.set_behaviour(EndpointBehaviour::Respond("ok"));
    let refused = [
        (TestRequest::at_most_once("over").with_header("X-Plan", "pieni"), "429"),
        (TestRequest::at_most_once("invalid").with_header("X-Plan", "nonesuch"), "400"),
        (TestRequest::at_most_once("open"), "409"),
    ];
    for (request, status) in &refused {
        for form in upload_forms() {
            let received = upload_and_send_next(&node, request, form);
            let statuses = final_statuses(&received);
            // The connection may be kept only if the body was read whole.
            let is_allowed = statuses == [*status] || statuses == [*status, "200"];
            assert!(is_allowed, "{form:?}: {} responses, {status} expected", statuses.len());
            let is_closed = received.to_ascii_lowercase().contains("connection: close");
            assert!(statuses.len() == 2 || is_closed, "{form:?}: the client is told of the close");
            for forwarded in endpoint.drain_requests() {
                assert_eq!(forwarded.header("x-txn"), "next", "{form:?}: no client sent it");
            }
        }
    }
    gate.open();
}

/// Guards against a connection that is kept after a refusal while the body that the client was not asked for may come.
#[test]
fn refused_request_with_expect_closes_connection_without_waiting_for_body() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let node = start_with_exhausted_customer(&endpoint);
    let request = TestRequest::at_most_once("over").with_header("X-Plan", "pieni");
    let form = UploadForm {
        version: "1.1",
        is_chunked: false,
        expects_continue: true,
        is_body_immediate: false,
        body_length: 900_000,
    };
    let mut client = node.connect();
    client.send(&head_and_body(&request, form).0);
    let response = client.read_response().expect("a response without the body");
    assert_eq!((response.status(), response.header("connection")), (429, "close"));
    // The client sends nothing more and waits for the end of the connection.
    assert_eq!(client.read_until_closed(), "");
}

/// Guards against an interim response to an HTTP/1.0 client, which would take it for the final one.
#[test]
fn http_1_0_request_with_expect_gets_no_interim_response() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let node = builder.start();
    for body_length in BODY_LENGTHS {
        let form = UploadForm {
            version: "1.0",
            is_chunked: false,
            expects_continue: true,
            is_body_immediate: false,
            body_length,
        };
        let request = TestRequest::at_most_once(&format!("old{body_length}"));
        let (head, body) = head_and_body(&request, form);
        let mut client = node.connect();
        client.send(&head);
        thread::sleep(CONTINUE_WAIT);
        client.reader.get_mut().write_all(&body).expect("the gateway reads the body");
        assert_eq!(client.read_response().map(|response| response.status()), Some(200));
    }
}
