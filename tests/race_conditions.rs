//! Two things at one moment: each test holds a peer at the chosen point, lets the other thing happen, and goes on
//! when the gateway has shown that it saw it.

mod fakes;
use fakes::*;
use serde_json::json;
use socket2::SockRef;
use std::{
    io::{BufReader, Write},
    net::{Shutdown, TcpListener},
    sync::{Arc, mpsc::channel},
    time::{Duration, Instant},
};

/// Connections may take longer to come up, and requests to be answered, than any test waits.
fn patient(mut setup: Setup) -> Setup {
    setup.settings["Limits"]["ConnectTimeout"] = json!(100.0);
    for class in 0..2 {
        setup.settings["Classes"][class]["Slo"] = json!(100.0);
        setup.settings["Classes"][class]["Deadline"] = json!(100.0);
    }
    setup
}

fn ask(txn: &str) -> Ask {
    Ask::new(txn).with("X-Remaining", "100.0")
}

/// A setup whose one worker is `late`.
fn only(late: &Late) -> (Setup, Discovery) {
    let (mut setup, discovery) = Setup::new(&[]);
    setup.known.push(entry("w0", late.addr, "SERVING"));
    discovery.change(setup.known[0].clone());
    (patient(setup), discovery)
}

/// A gateway whose one worker is late, and a client that has connected.
struct Scene {
    late: Late,
    node: Node,
    client: Client,
    _discovery: Discovery,
}

impl Scene {
    fn new() -> Self {
        let late = Late::start();
        let (setup, discovery) = only(&late);
        let node = setup.start();
        let client = node.client();
        Self { late, node, client, _discovery: discovery }
    }
}

#[test]
fn client_disconnect_cancels_attempt_that_awaits_connection() {
    let Scene { late, node: _node, mut client, .. } = Scene::new();
    client.send(&ask("gone"));
    late.awaited(1);
    drop(client);
    late.given_up();
}

#[test]
fn disconnect_behind_pipelined_requests_beyond_read_buffer_is_detected() {
    let Scene { late, node: _node, mut client, .. } = Scene::new();
    // More requests than the gateway reads while one is in hand.
    for i in 0..100 {
        client.send(&ask(&format!("p{i}")).with("X-Other", &"x".repeat(500)));
    }
    late.awaited(1);
    drop(client);
    late.given_up();
}

#[test]
fn disconnect_behind_pipelined_requests_beyond_socket_buffers_is_detected() {
    let Scene { late, node: _node, mut client, .. } = Scene::new();
    let pieces = client.reader.get_ref().try_clone().expect("a socket");
    // The close stands behind what the client's own system holds for ours.
    SockRef::from(&pieces).set_send_buffer_size(1 << 20).expect("a socket");
    drop(pieces);
    client.send(&ask("first"));
    late.awaited(1);
    for i in 0..40 {
        client.send(&ask(&format!("p{i}")).with("X-Other", &"x".repeat(10_000)));
    }
    drop(client);
    late.given_up();
}

#[test]
fn pipelined_requests_read_ahead_are_answered_in_order() {
    let Scene { late, node: _node, mut client, .. } = Scene::new();
    client.send(&ask("first"));
    late.awaited(1);
    for i in 0..40 {
        client.send(&ask(&format!("p{i}")).with("X-Other", &"x".repeat(10_000)));
    }
    let worker = late.open(Does::Serves("ok"));
    (0..41).for_each(|i| assert_eq!(client.answer().expect("a whole answer").status(), 200, "{i}"));
    assert_eq!(worker.rest().len(), 41);
}

#[test]
fn disconnect_during_upload_that_awaits_connection_is_detected() {
    let Scene { late, node: _node, mut client, .. } = Scene::new();
    // Too large to be gathered; some of it has been read, some waits in the socket, the end never comes.
    let mut upload = Ask::submit("body").with("X-Remaining", "100.0").with("Content-Length", "4000000");
    upload.body = vec![b'x'; 60_000];
    client.send(&upload);
    late.awaited(1);
    drop(client);
    late.given_up();
}

#[test]
fn disconnect_behind_upload_beyond_socket_buffers_is_detected() {
    let Scene { late, node: _node, mut client, .. } = Scene::new();
    let pieces = client.reader.get_ref().try_clone().expect("a socket");
    SockRef::from(&pieces).set_send_buffer_size(1 << 20).expect("a socket");
    drop(pieces);
    let mut upload = Ask::submit("body").with("X-Remaining", "100.0").with("Content-Length", "4000000");
    upload.body = vec![b'x'; 400_000];
    client.send(&upload);
    late.awaited(1);
    drop(client);
    late.given_up();
}

#[test]
fn body_read_before_endpoint_connects_is_forwarded_complete() {
    let Scene { late, node: _node, mut client, .. } = Scene::new();
    let mut upload = Ask::submit("body").with("X-Remaining", "100.0");
    upload.body = (0..900_000u32).map(|i| (i % 251) as u8).collect();
    client.send(&upload);
    late.awaited(1);
    let worker = late.open(Does::Serves("ok"));
    assert_eq!(client.answer().expect("a whole answer").status(), 200);
    assert!(worker.request().1.body == upload.body, "unchanged");
}

#[test]
fn request_followed_by_close_is_not_forwarded() {
    let late = Late::start();
    let (setup, _discovery) = only(&late);
    let node = setup.start();
    let mut held = node.client();
    held.send(&ask("held"));
    late.awaited(1);
    for i in 0..20 {
        let mut client = node.client();
        client.send(&ask(&format!("c{i}")));
        client.reader.get_ref().shutdown(Shutdown::Write).expect("a connection");
        // Seen by the gateway, which closes its side.
        assert!(client.answer().is_none());
    }
    late.awaited(1);
    let worker = late.open(Does::Serves("ok"));
    assert_eq!(held.answer().expect("a whole answer").status(), 200);
    assert_eq!(worker.rest().len(), 1);
}

#[test]
fn response_cancels_hedged_request_that_awaits_connection() {
    let late = Late::start();
    let gate = Arc::new(Gate::default());
    let well = Worker::start(Does::Waits(gate.clone()));
    let (mut setup, discovery) = Setup::new(&[&well]);
    setup.known.push(entry("w1", late.addr, "SERVING"));
    discovery.change(setup.known[1].clone());
    let mut setup = patient(setup);
    // A copy goes out after a part of the aim, and is of use past that.
    setup.settings["Classes"][0]["Slo"] = json!(1.0);
    setup.settings["Classes"][0]["LateWorth"] = json!(0.1);
    let node = setup.start();
    let mut client = node.client();
    client.send(&ask("twice"));
    // Whichever of the two was first.
    late.awaited(1);
    well.request();
    gate.open();
    assert_eq!(client.answer().expect("a whole answer").status(), 200);
    late.given_up();
}

/// A keyed request that `well` keeps for itself, and a copy of it that waits for its connection to `late`: whichever
/// of the two was first. The workers remember it for four seconds.
fn copied(late: &Late, well: &Worker) -> (Setup, Node, Client, Discovery) {
    let (mut setup, discovery) = Setup::new(&[well]);
    setup.known.push(entry("w1", late.addr, "SERVING"));
    discovery.change(setup.known[1].clone());
    let mut setup = patient(setup);
    let class = &mut setup.settings["Classes"][0];
    (class["Effect"], class["Group"], class["Window"]) = (json!("deduplicated"), json!("zone"), json!(4.0));
    // A copy goes out after a part of the aim, and is of use past that.
    (class["Slo"], class["LateWorth"]) = (json!(1.0), json!(0.1));
    let node = setup.start();
    let mut client = node.client();
    client.send(&ask("keyed").with("Idempotency-Key", "k"));
    late.awaited(1);
    well.request();
    (setup, node, client, discovery)
}

#[test]
fn hedged_request_awaiting_connection_past_idempotency_window_is_cancelled() {
    let (late, well) = (Late::start(), Worker::start(Does::Holds));
    let (_setup, _node, _client, _discovery) = copied(&late, &well);
    late.given_up();
    assert_eq!(well.rest().len(), 0);
}

#[test]
fn connection_opened_at_end_of_idempotency_window_carries_no_hedged_request() {
    let (late, gate) = (Late::start(), Arc::new(Gate::default()));
    let well = Worker::start(Does::Waits(gate.clone()));
    let sent = Instant::now();
    let (setup, node, mut client, _discovery) = copied(&late, &well);
    let mut opened = None;
    node.reload_while(&setup.config().to_string(), || {
        opened = Some(late.open_to_one(Does::Serves("late")));
        std::thread::sleep(Duration::from_secs(5).saturating_sub(sent.elapsed()));
    });
    // The process has found both at once.
    node.says("configuration reloaded");
    gate.open();
    assert_eq!(client.answer().expect("a whole answer").body, b"waited");
    assert_eq!(opened.expect("set above").rest().len(), 0);
}

#[test]
fn attempt_that_awaits_connection_moves_when_endpoint_becomes_unavailable() {
    for news in ["DRAINING", "DELETED", "restarted", "by hand"] {
        let (late, well) = (Late::start(), Worker::start(Does::Serves("elsewhere")));
        let (mut setup, discovery) = only(&late);
        setup.operator = true;
        let node = setup.start();
        let mut client = node.client();
        // Unsafe, so that it goes elsewhere only if it is known not to have run.
        client.send(&Ask::submit("moved").with("X-Remaining", "100.0"));
        late.awaited(1);
        discovery.change(entry("w1", well.addr, "SERVING"));
        let mut told = entry("w0", late.addr, if news.starts_with('D') { news } else { "SERVING" });
        match news {
            "restarted" => told["started_ms"] = json!(1),
            "by hand" => assert_eq!(node.call("PUT /workers/w0/maint").status(), 200),
            _ => {}
        }
        discovery.told(discovery.change(told));
        let late = late.open(Does::Serves("late"));
        let answer = client.answer().expect("a whole answer");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, b"elsewhere".as_slice()), "{news}");
        assert_eq!(late.rest().len(), 0, "{news}");
    }
}

#[test]
fn connection_that_may_repeat_its_response_is_not_reused_immediately() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (mut setup, discovery) = Setup::new(&[]);
    setup.known.push(entry("w0", listener.local_addr().expect("bound"), "SERVING"));
    discovery.change(setup.known[0].clone());
    let (tell, gaps) = channel();
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let tell = tell.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
                let mut answered: Option<Instant> = None;
                while read_message(&mut reader).is_some() {
                    // From before the answer, so no less than the gateway can have waited.
                    let _ = tell.send(answered.map(|at| at.elapsed()));
                    answered = Some(Instant::now());
                    let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
            });
        }
    });
    let node = setup.start();
    let mut client = node.client();
    // Each is there when the one before has its answer.
    let all: Vec<u8> = (0..20).flat_map(|i| Ask::new(&format!("r{i}")).bytes()).collect();
    client.reader.get_mut().write_all(&all).expect("it reads");
    (0..20).for_each(|i| assert_eq!(client.answer().expect("a whole answer").status(), 200, "{i}"));
    for gap in gaps.try_iter().flatten() {
        assert!(gap >= Duration::from_millis(10), "again after {gap:?}");
    }
}
