//! Clients that send much at once and leave: nothing is sent for them afterwards.

mod fakes;
use fakes::{
    Client, EndpointBehaviour, FakeEndpoint, Gate, Node, NodeBuilder, SaturatedListener, TestRequest,
    endpoint_entry,
};
use socket2::SockRef;
use std::{
    io::Write,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time after a client's close from which on no attempt may begin.
const MAX_DELAY_OF_CLOSE: Duration = Duration::from_millis(100);
/// Numbers of bytes that a client sends behind its request before it leaves.
const UNREAD_BYTES: [usize; 4] = [50_000, 400_000, 1_000_000, 2_500_000];

/// Connects a client whose system takes all that it writes, so that it can leave at once.
fn client_with_large_send_buffer(node: &Node) -> Client {
    let client = node.connect();
    SockRef::from(client.reader.get_ref()).set_send_buffer_size(4 << 20).expect("an open socket");
    client
}

/// Returns requests of at least `length` bytes in total.
fn pipelined_requests(length: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    for i in 0.. {
        if bytes.len() >= length {
            break;
        }
        bytes.extend(TestRequest::new(&format!("p{i}")).with_header("X-Other", &"x".repeat(500)).to_bytes());
    }
    bytes
}

/// Guards against a retry for a client that has left, because its close was not seen behind much unread input.
#[test]
fn request_is_not_retried_after_close_behind_unread_input() {
    for unread_bytes in UNREAD_BYTES {
        let gate = Arc::new(Gate::default());
        let start = || FakeEndpoint::start(EndpointBehaviour::CloseAfter(gate.clone()));
        let endpoints = [start(), start()];
        let (builder, _discovery) = NodeBuilder::new(&[&endpoints[0], &endpoints[1]]);
        let node = builder.start();
        let mut client = client_with_large_send_buffer(&node);
        client.send(&TestRequest::new("first"));
        while endpoints.iter().map(|endpoint| endpoint.drain_requests().len()).sum::<usize>() == 0 {
            thread::sleep(Duration::from_millis(1));
        }
        client.reader.get_mut().write_all(&pipelined_requests(unread_bytes)).expect("room for all");
        drop(client);
        thread::sleep(MAX_DELAY_OF_CLOSE);
        for endpoint in &endpoints {
            endpoint.set_behaviour(EndpointBehaviour::Respond("ok"));
        }
        gate.open();
        thread::sleep(Duration::from_millis(300));
        let attempts: usize = endpoints.iter().map(|endpoint| endpoint.drain_requests().len()).sum();
        assert_eq!(attempts, 0, "attempts after a close behind {unread_bytes} bytes");
    }
}

/// Guards against an attempt that waits for its connection and begins after its client has left, because the close was
/// not seen behind much unread input.
#[test]
fn attempt_does_not_begin_after_close_behind_unread_input() {
    for unread_bytes in UNREAD_BYTES {
        for is_upload in [false, true] {
            let saturated = SaturatedListener::start();
            let (mut builder, discovery) = NodeBuilder::new(&[]);
            builder.known_endpoints.push(endpoint_entry("w0", saturated.addr, "SERVING"));
            discovery.update_entry(builder.known_endpoints[0].clone());
            builder.settings["Limits"]["ConnectTimeout"] = 100.0.into();
            let node = builder.start();
            let mut client = client_with_large_send_buffer(&node);
            let mut request = TestRequest::at_most_once("first");
            let mut input = Vec::new();
            if is_upload {
                // Longer than what is buffered, and sent whole.
                request.body = vec![b'u'; 600_000 + unread_bytes];
            } else {
                input = pipelined_requests(unread_bytes);
            }
            input.splice(0..0, request.to_bytes());
            client.reader.get_mut().write_all(&input).expect("room for all");
            saturated.wait_for_pending_connections(1);
            drop(client);
            let left_at = Instant::now();
            thread::sleep(Duration::from_millis(300));
            let endpoint = saturated.into_endpoint(EndpointBehaviour::Respond("ok"));
            thread::sleep(Duration::from_millis(1500));
            let begun = endpoint.drain_requests().len();
            assert_eq!(begun, 0, "{unread_bytes} bytes, upload {is_upload}, {:?}", left_at.elapsed());
        }
    }
}

/// Guards against a retry for a client that has left while the process was held up, together with the end of the attempt.
#[test]
fn request_is_not_retried_after_close_during_hold_up() {
    const HOLD_UP: Duration = Duration::from_millis(200);
    for (unread_bytes, closes_first) in
        [(0, true), (0, false), (50_000, true), (50_000, false), (1_000_000, false)]
    {
        let gate = Arc::new(Gate::default());
        let endpoints = [0, 1].map(|_| FakeEndpoint::start(EndpointBehaviour::Respond("ok")));
        let (builder, _discovery) = NodeBuilder::new(&[&endpoints[0], &endpoints[1]]);
        let node = builder.start();
        // A retry on an idle connection needs no time to connect.
        for number in 0..12 {
            assert_eq!(node.send_request(&TestRequest::new(&format!("warm{number}"))).status(), 200);
        }
        for endpoint in &endpoints {
            endpoint.drain_requests();
            endpoint.set_behaviour(EndpointBehaviour::CloseAfter(gate.clone()));
        }
        let mut client = client_with_large_send_buffer(&node);
        client.send(&TestRequest::new("first"));
        while endpoints.iter().map(|endpoint| endpoint.drain_requests().len()).sum::<usize>() == 0 {
            thread::sleep(Duration::from_millis(1));
        }
        node.stop();
        let mut leave = Some(client);
        let mut close_client = || {
            let mut client = leave.take().expect("one close");
            client.reader.get_mut().write_all(&pipelined_requests(unread_bytes)).expect("room for all");
        };
        for endpoint in &endpoints {
            endpoint.set_behaviour(EndpointBehaviour::Respond("ok"));
        }
        if closes_first {
            close_client();
            gate.open();
        } else {
            gate.open();
            thread::sleep(Duration::from_millis(20));
            close_client();
        }
        thread::sleep(HOLD_UP);
        node.resume();
        thread::sleep(HOLD_UP);
        let retries: usize = endpoints.iter().map(|endpoint| endpoint.drain_requests().len()).sum();
        assert_eq!(retries, 0, "{unread_bytes} bytes unread, client closes first: {closes_first}");
    }
}
