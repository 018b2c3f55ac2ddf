//! Many of everything: descriptors taken by idle clients, processes that start together, long lists, large fleets.

mod fakes;
use fakes::*;
use serde_json::json;
use std::{
    io::{BufRead, BufReader, Write},
    net::{TcpListener, TcpStream},
    time::{Duration, Instant},
};

/// Processor time that the process has had, in hundredths of a second.
fn worked(node: &Node) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.child.id())).expect("a process");
    let fields: Vec<&str> = stat.rsplit(')').next().expect("its name").split_whitespace().collect();
    fields[11..13].iter().map(|v| v.parse::<u64>().expect("a time")).sum()
}

#[test]
fn idle_clients_at_descriptor_limit_do_not_block_discovery_recovery() {
    let worker = Worker::start(Does::Serves("ok"));
    let (mut setup, discovery) = Setup::new(&[&worker]);
    let counter = Counter::start(Counts::Well);
    setup.counter = Some(counter.addr);
    setup.sockets = 96;
    let down = Down::new();
    setup.discovery = down.addr;
    let node = setup.start_as(Start { descriptors: Some(96), ..Start::default() });
    node.says("discovery failed reason=no connection");
    let mut old = node.client();
    assert_eq!(old.ask(&Ask::new("old")).status(), 200);
    // Far more than there are descriptors; some ask once and rest, some ask nothing, some half.
    let mut idle = Vec::new();
    for i in 0..300 {
        let mut client = node.client();
        match i % 3 {
            0 => client.send(&Ask::new(&format!("i{i}"))),
            1 => drop(client.reader.get_mut().write_all(b"GET /check-answer HT")),
            _ => {}
        }
        idle.push(client);
    }
    // Each of those that ask is answered in the end, old connections and new ones.
    for client in idle.iter_mut().step_by(3) {
        let status = client.answer().expect("a whole answer").status();
        assert!(matches!(status, 200 | 429), "{status}, though so many at once may be refused");
    }
    let before = worked(&node);
    std::thread::sleep(Duration::from_secs(1));
    assert!(worked(&node) - before < 50, "it spins");
    // Discovery returns, with a change.
    let well = Worker::start(Does::Serves("well"));
    discovery.change(entry("w1", well.addr, "SERVING"));
    let version = discovery.change(entry("w0", worker.addr, "DRAINING"));
    discovery.also_on(down.listen());
    discovery.told(version);
    let plan = |txn: &str| Ask::new(txn).with("X-Plan", "pieni");
    assert_eq!(node.ask(&plan("new")).body, b"well", "the counter is reached, too");
    let mut resting = 0;
    for (i, client) in idle.iter_mut().enumerate().step_by(3) {
        // Where it has given way, a client comes again on a new connection.
        client.send(&Ask::new(&format!("again{i}")));
        let answer = client.answer();
        resting += usize::from(answer.is_some());
        assert!(answer.is_none_or(|a| a.body == b"well" || a.status() == 429));
    }
    assert!(resting > 0, "some have been kept");
    assert_eq!(node.ask(&Ask::new("last")).body, b"well");
    counter.calls.recv_timeout(LIMIT).expect("a call");
}

#[test]
fn nine_in_ten_of_350_processes_are_ready_in_time_without_discovery_and_counter() {
    let worker = Worker::start(Does::Serves("ok"));
    let (mut setup, _unused) = Setup::new(&[&worker]);
    let down = Down::new();
    // They take connections and say nothing, come up never, or are not there.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let late = Late::start();
    let places = [silent.local_addr().expect("bound"), late.addr, down.addr];
    let fleet = 350;
    let mut nodes = Vec::new();
    for me in 0..fleet {
        setup.discovery = places[me % 3];
        setup.counter = Some(places[me / 3 % 3]);
        setup.settings["Discovery"] = json!(if me % 2 == 0 { "push" } else { "ask" });
        (setup.settings["PeersTotal"], setup.settings["Me"]) = (json!(fleet), json!(me));
        nodes.push((Instant::now(), setup.begin()));
    }
    let mut slow = 0;
    for (begun, (mut child, path)) in nodes {
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        while !line.contains("listening gateway=") {
            line.clear();
            assert!(log.read_line(&mut line).expect("a line") > 0, "it ended");
        }
        let addr =
            line.trim().rsplit_once("address=").and_then(|(_, a)| a.parse().ok()).expect("what it bound");
        let mut up = Ask::new("");
        up.line = "GET /up HTTP/1.1".into();
        let answer = Client::connect(addr).ask(&up);
        slow += usize::from(answer.status() != 200 || begun.elapsed() > Duration::from_secs(10));
        assert!(child.kill().is_ok() && child.wait().is_ok());
        let _ = std::fs::remove_file(path);
    }
    assert!(slow * 10 <= fleet, "{slow} of {fleet} were not ready in time");
}

#[test]
fn list_of_1024_endpoints_in_fleet_of_1024_is_applied() {
    let nobody = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = nobody.local_addr().expect("bound");
    let worker = Worker::start(Does::Serves("ok"));
    let (mut setup, _unused) = Setup::new(&[]);
    setup.known = (0..1023).map(|i| entry(&format!("w{i}"), addr, "DRAINING")).collect();
    setup.known.push(entry("w1023", worker.addr, "SERVING"));
    (setup.settings["PeersTotal"], setup.settings["Me"]) = (json!(1024), json!(1023));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    setup.discovery = listener.local_addr().expect("bound");
    let mut config = setup.config();
    config["limits"]["memory_mb"] = json!(32);
    let node = setup.start_on(&config.to_string(), Start::default());
    let ask = |txn: &str| Ask::new(txn).with("X-Quota", "units=1,spread=1024,first=1023");
    assert_eq!(node.ask(&ask("known")).status(), 200, "the list of the start");
    // The same from discovery, indented, with another worker that may be sent to.
    let other = Worker::start(Does::Serves("other"));
    setup.known[1023] = entry("w1023", addr, "DRAINING");
    setup.known[0] = entry("w0", other.addr, "SERVING");
    let list = json!({"version": 7, "full": true, "servers": setup.known});
    let body = serde_json::to_string_pretty(&list).expect("JSON").replace("\n", "\r\n        ");
    assert!(body.len() > 250_000, "{} bytes", body.len());
    let (mut socket, _) = listener.accept().expect("a call");
    read_message(&mut BufReader::new(&socket)).expect("a call");
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    socket.write_all(answer.as_bytes()).expect("it reads");
    let next = read_message(&mut BufReader::new(&socket)).expect("a watch");
    assert!(next.line.contains("from=7"), "{}", next.line);
    assert_eq!(node.ask(&ask("told")).body, b"other");
}

/// A list of so many workers as discovery would write it for people to read, of which only the last may be sent to.
fn indented(workers: usize, version: u64, last: &Worker) -> String {
    let nobody = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let id = |i: usize| format!("worker-hall-a-{i:05}");
    let mut endpoints: Vec<_> = (0..workers - 1).map(|i| entry(&id(i), nobody, "DRAINING")).collect();
    endpoints.push(entry(&id(workers - 1), last.addr, "SERVING"));
    let list = json!({"version": version, "full": true, "servers": endpoints});
    serde_json::to_string_pretty(&list).expect("JSON").replace('\n', "\r\n        ")
}

/// Takes the next call to discovery and answers it.
fn answer_with(listener: &TcpListener, body: &str) -> TcpStream {
    let (mut socket, _) = listener.accept().expect("a call");
    read_message(&mut BufReader::new(&socket)).expect("a call");
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    // The gateway may close before it has read all of what is too long.
    let _ = socket.write_all(answer.as_bytes());
    socket
}

/// A gateway of 680 with 32 MB, and where it asks for its list.
fn small_gateway() -> (Node, TcpListener) {
    let (mut setup, _unused) = Setup::new(&[]);
    (setup.settings["PeersTotal"], setup.settings["Me"]) = (json!(680), json!(679));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    setup.discovery = listener.local_addr().expect("bound");
    let mut config = setup.config();
    config["limits"]["memory_mb"] = json!(32);
    (setup.start_on(&config.to_string(), Start::default()), listener)
}

#[test]
fn indented_list_of_9200_endpoints_is_applied_within_32_mb() {
    let worker = Worker::start(Does::Serves("ok"));
    // Before the gateway asks, as it waits for seconds only.
    let body = indented(9200, 7, &worker);
    let (node, listener) = small_gateway();
    assert!(body.len() > 2 << 20, "{} bytes", body.len());
    let socket = answer_with(&listener, &body);
    let next = read_message(&mut BufReader::new(&socket)).expect("a watch");
    assert!(next.line.contains("from=7"), "{}", next.line);
    assert_eq!(node.ask(&Ask::new("told")).body, b"ok");
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).expect("a process");
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("its most resident memory");
    let peak: usize = peak.trim().trim_end_matches(" kB").parse().expect("a size");
    assert!(peak < 32 << 10, "{peak} kB");
}

#[test]
fn too_long_list_is_logged_in_one_line_and_next_list_is_applied() {
    let worker = Worker::start(Does::Serves("ok"));
    let (long, short) = (indented(20_000, 7, &worker), indented(2, 8, &worker));
    let (node, listener) = small_gateway();
    answer_with(&listener, &long);
    answer_with(&listener, &long);
    answer_with(&listener, &short);
    assert!(
        node.says("discovery failed").ends_with(
            "discovery failed reason=the list is longer than the 4194304 bytes that fit in memory"
        )
    );
    assert!(node.says("discovery").ends_with("discovery answers again"));
    assert_eq!(node.ask(&Ask::new("told")).body, b"ok");
}

#[test]
fn long_list_in_slow_chunks_is_applied() {
    let worker = Worker::start(Does::Serves("ok"));
    // Before the gateway asks, as it waits for seconds only.
    let body = indented(9200, 7, &worker);
    let (node, listener) = small_gateway();
    let (mut socket, _) = listener.accept().expect("a call");
    read_message(&mut BufReader::new(&socket)).expect("a call");
    socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("it reads");
    for piece in body.as_bytes().chunks(body.len().div_ceil(5)) {
        std::thread::sleep(Duration::from_millis(30));
        socket.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).expect("it reads");
        socket.write_all(piece).expect("it reads");
        socket.write_all(b"\r\n").expect("it reads");
    }
    socket.write_all(b"0\r\n\r\n").expect("it reads");
    let next = read_message(&mut BufReader::new(&socket)).expect("a watch");
    assert!(next.line.contains("from=7"), "{}", next.line);
    assert_eq!(node.ask(&Ask::new("told")).body, b"ok");
}
