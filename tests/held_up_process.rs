//! A gateway process that gets no processor time for a while: the waits of its clients go on meanwhile.

mod fakes;
use fakes::{Client, NodeBuilder, RawEndpoint, TestRequest};
use std::{
    io::{Read, Write},
    thread,
    time::{Duration, Instant},
};

/// Time for which the clients wait, as in the `X-Remaining` header of [`WAIT_HEADER`].
const CLIENT_WAIT: Duration = Duration::from_millis(600);
const WAIT_HEADER: &str = "0.600";
/// Time after the client's wait at which a request without an answer is lost.
const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// Time for which the process is stopped.
const HOLD_UP: Duration = Duration::from_millis(590);

/// Returns the time from the last byte of a request to its answer. The process is stopped when the client has written
/// `bytes_before`, and goes on once the client has written the rest and waited.
fn wait_over_hold_up(request: &TestRequest, bytes_before: usize) -> Duration {
    // The endpoint reads everything and never responds.
    let endpoint = RawEndpoint::start(|mut socket| drop(socket.read_to_end(&mut Vec::new())));
    let (builder, _discovery) = NodeBuilder::with_addresses(&[endpoint.addr]);
    let node = builder.start();
    let mut client = Client::connect(node.addr);
    let bytes = request.clone().with_header("X-Remaining", WAIT_HEADER).to_bytes();
    let (beginning, rest) = bytes.split_at(bytes_before);
    let socket = client.reader.get_mut();
    socket.write_all(beginning).expect("an open socket");
    thread::sleep(Duration::from_millis(150));
    node.stop();
    socket.write_all(rest).expect("an open socket");
    let written_at = Instant::now();
    thread::sleep(HOLD_UP);
    node.resume();
    client.read_response().expect("an answer");
    written_at.elapsed()
}

/// Guards against a client's wait that begins only when a process that was held up reads the last byte.
#[test]
fn request_that_arrives_while_process_is_held_up_is_answered_in_time() {
    let mut upload = TestRequest::at_most_once("upload");
    upload.body = vec![b'u'; 700_000];
    let mut short_upload = TestRequest::at_most_once("short");
    short_upload.body = vec![b'u'; 20_000];
    let requests =
        [(&upload, 300_000), (&upload, 700_000), (&short_upload, 500), (&TestRequest::new("head"), 30)];
    let waits = requests.map(|(request, bytes_before)| wait_over_hold_up(request, bytes_before));
    assert!(waits.iter().all(|wait| *wait < CLIENT_WAIT + LATE_ANSWER_LIMIT), "{waits:?}");
}
