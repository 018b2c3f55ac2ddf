//! Bodies and answers that are too large to be held, and the forms they come in, on the built program.

mod fakes;
use fakes::*;
use std::{
    io::{BufRead, Read, Write},
    net::Shutdown,
    sync::Arc,
};

/// Far more than sockets and the gateway hold on the way.
const LARGE: usize = 24 << 20;

fn text(length: usize) -> String {
    // Pieces out of order would show.
    (0..).map(|i| format!("{i:07} ")).take(length.div_ceil(8)).collect::<String>()[..length].to_owned()
}

fn leak(text: String) -> &'static str {
    text.leak()
}

fn sized(body: &str) -> &'static str {
    leak(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

fn in_chunks(body: &str, trailer: &str) -> &'static str {
    let chunks: String = body
        .as_bytes()
        .chunks(body.len().div_ceil(99))
        .map(|c| format!("{:x};ext=\"a b\"\r\n{}\r\n", c.len(), std::str::from_utf8(c).expect("plain")))
        .collect();
    leak(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n{trailer}\r\n"))
}

#[test]
fn response_of_any_length_and_framing_is_delivered_complete() {
    for length in [70_000, LARGE] {
        let body = text(length);
        let closing = leak(format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}"));
        let open = Arc::new(Gate::default());
        open.open();
        for does in [
            Does::Says(sized(&body)),
            Does::Says(in_chunks(&body, "X-Sum: 1\r\n")),
            Does::SaysInTwo(closing, open, ""),
        ] {
            let worker = Worker::start(does);
            let (setup, _discovery) = Setup::new(&[&worker]);
            let node = setup.start();
            let mut client = node.client();
            for i in 0..2 {
                let answer = client.ask(&Ask::submit(&format!("a{i}")));
                assert!(answer.status() == 200 && answer.body == body.as_bytes(), "{length}");
            }
        }
    }
}

#[test]
fn request_body_of_any_length_and_framing_is_forwarded_complete() {
    let worker = Worker::start(Does::Serves("ok"));
    let (setup, _discovery) = Setup::new(&[&worker]);
    let node = setup.start();
    let mut client = node.client();
    for (i, length) in [65_536, 65_537, 400_000, 600_000, LARGE].into_iter().enumerate() {
        let mut ask = Ask::submit(&format!("l{i}"));
        ask.body = text(length).into_bytes();
        assert_eq!(client.ask(&ask).status(), 200);
        let seen = worker.request().1;
        assert!(seen.body == ask.body && seen.header("content-length") == length.to_string(), "{length}");
        let mut chunked = Ask::submit(&format!("c{i}")).with("Transfer-Encoding", "chunked");
        chunked.body.clear();
        for part in ask.body.chunks(70_001) {
            chunked.body.extend_from_slice(format!("{:X};a=b\r\n", part.len()).as_bytes());
            chunked.body.extend_from_slice(part);
            chunked.body.extend_from_slice(b"\r\n");
        }
        chunked.body.extend_from_slice(b"0\r\nX-Trailer: t\r\n\r\n");
        assert_eq!(client.ask(&chunked).status(), 200);
        assert!(worker.request().1.body == ask.body, "{length} in chunks");
    }
}

#[test]
fn first_response_bytes_are_delivered_before_last_arrive() {
    let body = text(200_000);
    let gate = Arc::new(Gate::default());
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let first = leak(head + &body[..1000]);
    let worker = Worker::start(Does::SaysInTwo(first, gate.clone(), leak(body[1000..].to_owned())));
    let (setup, _discovery) = Setup::new(&[&worker]);
    let node = setup.start();
    let mut client = node.client();
    client.send(&Ask::submit("a"));
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        client.reader.read_line(&mut line).expect("a head, though most is still to come");
    }
    let mut came = vec![0; 1000];
    client.reader.read_exact(&mut came).expect("the first bytes");
    gate.open();
    let mut rest = vec![0; body.len() - 1000];
    client.reader.read_exact(&mut rest).expect("and the last");
    assert!([came, rest].concat() == body.as_bytes());
}

#[test]
fn response_broken_midway_is_visible_to_client_and_not_retried() {
    let gate = Arc::new(Gate::default());
    gate.open();
    let half = text(100_000);
    for head in ["Content-Length: 200000", "Transfer-Encoding: chunked"] {
        let chunk = if head.starts_with('T') { "186a0\r\n" } else { "" };
        let said = leak(format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{chunk}{half}"));
        let does = Does::SaysInTwo(said, gate.clone(), "");
        let (one, two) = (Worker::start(does.clone()), Worker::start(does));
        let (setup, _discovery) = Setup::new(&[&one, &two]);
        let node = setup.start();
        let mut client = node.client();
        client.send(&Ask::new("a"));
        let mut said = Vec::new();
        // A reset shows it, too.
        let _ = client.reader.read_to_end(&mut said);
        assert!(said.starts_with(b"HTTP/1.1 200 OK") && said.len() < 100_000 + 500, "{}", said.len());
        assert!(!said.ends_with(b"0\r\n\r\n"), "not told as whole");
        assert_eq!(one.rest().len() + two.rest().len(), 1, "begun once");
        one.now(Does::Serves("ok"));
        two.now(Does::Serves("ok"));
        assert_eq!(node.ask(&Ask::new("b")).status(), 200);
    }
}

#[test]
fn response_broken_before_first_body_byte_is_answered_as_failed() {
    let gate = Arc::new(Gate::default());
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let worker = Worker::start(Does::SaysInTwo(head, gate.clone(), ""));
    let (setup, _discovery) = Setup::new(&[&worker]);
    let node = setup.start();
    let mut client = node.client();
    client.send(&Ask::submit("a"));
    worker.request();
    // Long enough for the answer to count as one that passes on as it comes; the verdict holds also if it does not yet.
    std::thread::sleep(std::time::Duration::from_millis(300));
    gate.open();
    let answer = client.answer().expect("a client that has got nothing is told");
    assert!(answer.status() >= 500, "{}", answer.line);
}

#[test]
fn client_that_does_not_read_applies_backpressure_and_uses_little_memory() {
    let worker = Worker::start(Does::Says(sized(&text(LARGE))));
    let (mut setup, _discovery) = Setup::new(&[&worker]);
    setup.sockets = 256;
    let node = setup.start();
    let mut clients: Vec<Client> = (0..20).map(|_| node.client()).collect();
    clients.iter_mut().enumerate().for_each(|(i, c)| c.send(&Ask::new(&format!("h{i}"))));
    clients.iter_mut().for_each(|c| assert!(!c.reader.fill_buf().expect("the first bytes").is_empty()));
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).expect("a process");
    let most = status.lines().find_map(|l| l.strip_prefix("VmHWM:")?.split_whitespace().next()?.parse().ok());
    // Twenty answers whole would take 480 MB.
    assert!(most.is_some_and(|kb: usize| kb < 32 << 10), "{most:?} kB");
    drop(clients);
    worker.now(Does::Serves("ok"));
    // Until it has noticed that all of them are gone, what is out is bounded.
    while node.ask(&Ask::new("after")).status() == 429 {}
}

#[test]
fn truncated_request_body_is_truncated_at_endpoint() {
    let worker = Worker::start(Does::Serves("ok"));
    let (setup, _discovery) = Setup::new(&[&worker]);
    let node = setup.start();
    let mut ask = Ask::submit("cut").with("Content-Length", "1000000");
    ask.body = text(800_000).into_bytes();
    let mut client = node.client();
    client.send(&ask);
    client.reader.get_ref().shutdown(Shutdown::Write).expect("a socket");
    let mut said = Vec::new();
    let _ = client.reader.read_to_end(&mut said);
    assert!(said.is_empty(), "it has gone");
    worker.wait_for(|seen| matches!(seen, Seen::Ended(_)));
    assert!(worker.rest().is_empty(), "no request came whole");
    assert_eq!(node.ask(&Ask::submit("next")).status(), 200);
}

#[test]
fn expect_100_continue_gets_interim_response_or_rejection() {
    let worker = Worker::start(Does::Serves("ok"));
    let (setup, _discovery) = Setup::new(&[&worker]);
    let node = setup.start();
    let body = text(1_000_000);
    let head = |txn: &str| {
        let ask = Ask::submit(txn).with("Content-Length", "1000000").with("Expect", "100-continue");
        Ask { body: Vec::new(), ..ask }
    };
    let mut client = node.client();
    client.send(&head("a"));
    assert_eq!(client.answer().map(|a| a.status()), Some(100));
    client.reader.get_mut().write_all(body.as_bytes()).expect("a socket");
    assert_eq!(client.answer().map(|a| a.status()), Some(200));
    assert!(worker.request().1.body == body.as_bytes());
    // A plan of eight units for a long time, over two gateways.
    let refused = (0..20).any(|i| {
        let mut client = node.client();
        client.send(&head(&format!("b{i}")).with("X-Plan", "pieni"));
        let status = client.answer().expect("a word").status();
        assert!(matches!(status, 100 | 429));
        status == 429
    });
    assert!(refused, "at once, without its body");
}

#[test]
fn request_rejected_during_upload_is_answered_while_client_sends_on() {
    let full = "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let (listener, addr) = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("bound");
        (listener, addr)
    };
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            // The head only, then the answer.
            let _ = socket.read(&mut [0; 2000]);
            let _ = socket.write_all(full.as_bytes());
            let _ = socket.read_to_end(&mut Vec::new());
        }
    });
    let (mut setup, discovery) = Setup::new(&[]);
    setup.known = vec![entry("w0", addr, "SERVING")];
    discovery.change(setup.known[0].clone());
    let node = setup.start();
    let mut ask = Ask::submit("t");
    ask.body = text(4 << 20).into_bytes();
    let mut client = node.client();
    client.reader.get_mut().write_all(&ask.bytes()).expect("all of it is read");
    assert_eq!(client.answer().map(|a| a.status()), Some(429), "it never ran");
}
