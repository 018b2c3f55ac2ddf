//! Hot restarts of the built program: the inherited listening socket, the handover and the maintenance file.

mod fakes;
use fakes::*;
use std::{
    io::{Read, Write},
    net::TcpListener,
    os::unix::net::{UnixListener, UnixStream},
    process::{Command, Stdio},
};

#[test]
fn inherited_listening_descriptor_accepts_clients_and_outlives_process() {
    let worker = Worker::start(Does::Serves("ok"));
    let (setup, _discovery) = operated(&[&worker]);
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let start = || setup.start_as(Start { socket: Some(&socket), ..Start::default() });
    let mut first = start();
    assert_eq!(Some(first.addr), socket.local_addr().ok());
    assert_eq!(first.ask(&Ask::new("a")).status(), 200);
    first.terminate();
    assert!(first.exit().success());
    // Connected while nobody accepts, served by the next process.
    let mut waiting = first.client();
    waiting.send(&Ask::new("b"));
    let _second = start();
    assert_eq!(waiting.answer().map(|a| a.status()), Some(200));
}

#[test]
fn inherited_descriptor_that_is_not_listening_prints_one_line_and_fails() {
    let (setup, _discovery) = operated(&[]);
    for fd in ["2", "77", "x", "-1"] {
        let path = std::env::temp_dir().join(format!("oliverack-fd-{}{fd}.json", std::process::id()));
        std::fs::write(&path, setup.config().to_string()).expect("a writable folder for temporary files");
        let output = Command::new(env!("CARGO_BIN_EXE_oliverack"))
            .env("NODE_CONFIG", &path)
            .env("NODE_ACCEPT_FD", fd)
            .stdin(Stdio::null())
            .output();
        let output = output.expect("it ends");
        let _ = std::fs::remove_file(&path);
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && said.lines().count() == 1, "{fd}: {said}");
    }
}

#[test]
fn maintenance_survives_kill_and_corrupt_file_does_not_crash() {
    let (one, two) = (Worker::start(Does::Serves("one")), Worker::start(Does::Serves("two")));
    let (setup, _discovery) = operated(&[&one, &two]);
    let folder = Folder::new("kept");
    let start = || setup.start_as(Start { folder: Some(&folder.0), ..Start::default() });
    let mut node = start();
    assert_eq!(node.call("PUT /workers/w0/maint").status(), 200);
    node.child.kill().expect("a child");
    node.exit();
    let node = start();
    (0..20).for_each(|i| assert_eq!(node.ask(&Ask::submit(&format!("a{i}"))).body, b"two"));
    drop(node);
    let file = folder.0.join("oliverack-n0.out.json");
    let whole = std::fs::read_to_string(&file).expect("it was kept");
    for text in [&whole[..whole.len() / 2], "", "[]", &whole.replace("n0", "n1"), &whole.replace(":1", ":2")]
    {
        std::fs::write(&file, text).expect("a writable folder");
        let node = start();
        assert_eq!(node.ask(&Ask::submit("b")).status(), 200);
        assert_eq!(node.call("PUT /workers/w1/maint").status(), 200, "and is replaced");
    }
}

#[test]
fn hot_restart_from_renamed_program_keeps_maintenance_and_finds_predecessor() {
    let (one, two) = (Worker::start(Does::Serves("one")), Worker::start(Does::Serves("two")));
    let (setup, _discovery) = operated(&[&one, &two]);
    let (socket, folder) = (TcpListener::bind("127.0.0.1:0").expect("a free port"), Folder::new("renamed"));
    let start =
        || setup.start_as(Start { socket: Some(&socket), folder: Some(&folder.0), ..Start::default() });
    let rename = |from: &str, to: &str| std::fs::rename(folder.0.join(from), folder.0.join(to));
    // As the earlier program called its files.
    let old = start();
    assert_eq!(old.call("PUT /workers/w0/maint").status(), 200);
    rename("oliverack-n0.out.json", "earlier-n0.out.json").expect("it was kept");
    let name = format!("n0.{}.sock", old.child.id());
    rename(&format!("oliverack-{name}"), &format!("earlier-{name}")).expect("its socket");
    // Another node's, which ends alike.
    let other = r#"{"form":1,"node":"a-n0","out":["w1"]}"#;
    std::fs::write(folder.0.join("another-a-n0.out.json"), other).expect("a folder");
    let new = start();
    old.says("processes=2");
    let served = |node: &Node, tag: &str| {
        (0..20).for_each(|i| assert_eq!(node.ask(&Ask::submit(&format!("{tag}{i}"))).body, b"two"));
    };
    served(&new, "both");
    drop((old, new));
    // After a kill of both the file alone tells.
    served(&start(), "alone");
}

/// Two processes of one node, the second started while the first is at work.
fn upgrade<'a>(setup: &Setup, socket: &'a TcpListener, folder: &'a Folder) -> (Node, Node) {
    let start =
        || setup.start_as(Start { socket: Some(socket), folder: Some(&folder.0), ..Start::default() });
    let old = start();
    while old.call("GET /healthcheck").status() != 200 {}
    let new = start();
    old.says("processes=2");
    while new.call("GET /healthcheck").status() != 200 {}
    (old, new)
}

#[test]
fn hot_restart_hands_over_10000_endpoints_within_32_mb() {
    let worker = Worker::start(Does::Serves("ok"));
    let nobody = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let (mut setup, _discovery) = operated(&[]);
    let id = |i: usize| format!("worker-hall-a-{i:05}");
    setup.known = (0..9_999).map(|i| entry(&id(i), nobody, "DRAINING")).collect();
    setup.known.push(entry(&id(9_999), worker.addr, "SERVING"));
    setup.known.iter_mut().for_each(|entry| entry["started_ms"] = serde_json::json!(1_700_000_000_123_u64));
    // Lists that bring nothing, so that only the start's holds.
    setup.discovery = nobody;
    let (socket, folder) = (TcpListener::bind("127.0.0.1:0").expect("a free port"), Folder::new("long"));
    let mut config = setup.config();
    config["limits"]["memory_mb"] = serde_json::json!(32);
    let config = config.to_string();
    let start = Start { socket: Some(&socket), folder: Some(&folder.0), ..Start::default() };
    let old = setup.start_on(&config, start);
    let start = Start { socket: Some(&socket), folder: Some(&folder.0), ..Start::default() };
    let new = setup.start_on(&config, start);
    old.says("processes=2");
    drop(old);
    new.says("processes=1");
    assert_eq!(new.ask(&Ask::submit("after")).body, b"ok");
}

#[test]
fn maintenance_call_during_hot_restart_reaches_both_processes_despite_corrupt_file() {
    let (one, two) = (Worker::start(Does::Serves("one")), Worker::start(Does::Serves("two")));
    let (setup, _discovery) = operated(&[&one, &two]);
    let (socket, folder) = (TcpListener::bind("127.0.0.1:0").expect("a free port"), Folder::new("both"));
    // A socket that nobody serves any more, and what is none.
    drop(UnixListener::bind(folder.0.join("oliverack-n0.1.sock")).expect("a folder"));
    std::fs::write(folder.0.join("oliverack-n0.2.sock"), "").expect("a folder");
    let (old, new) = upgrade(&setup, &socket, &folder);
    assert_eq!(old.call("PUT /workers/w0/maint").status(), 200);
    new.says("put into maintenance endpoint=w0");
    let ask =
        |tag: &str| (0..20).map(|i| old.ask(&Ask::submit(&format!("{tag}{i}"))).body).collect::<Vec<_>>();
    assert!(ask("a").iter().all(|b| b == b"two"), "whichever takes it");
    assert_eq!(new.call("PUT /workers/w0/ready").status(), 200);
    old.says("taken out of maintenance endpoint=w0");
    assert_eq!(new.call("PUT /workers/w1/maint").status(), 200);
    std::fs::write(folder.0.join("oliverack-n0.out.json"), "{").expect("a folder");
    let third = setup.start_as(Start { socket: Some(&socket), folder: Some(&folder.0), ..Start::default() });
    old.says("processes=3");
    assert_eq!(third.call("GET /stats").status(), 200);
    drop((old, new));
    third.says("processes=1");
    for i in 0..20 {
        let answer = third.ask(&Ask::submit(&format!("c{i}")));
        assert!(answer.status() == 429 || answer.body == b"one", "w1 is out, w0 may be cold");
    }
}

#[test]
fn sigterm_during_hot_restart_sends_new_clients_to_successor() {
    let worker = Worker::start(Does::Serves("ok"));
    let (setup, _discovery) = operated(&[&worker]);
    let (socket, folder) = (TcpListener::bind("127.0.0.1:0").expect("a free port"), Folder::new("drained"));
    let start =
        || setup.start_as(Start { socket: Some(&socket), folder: Some(&folder.0), ..Start::default() });
    let mut old = start();
    let mut kept: Vec<Client> = (0..10).map(|_| old.client()).collect();
    for (i, client) in kept.iter_mut().enumerate() {
        assert_eq!(client.ask(&Ask::new(&format!("a{i}"))).status(), 200);
    }
    let new = start();
    old.says("processes=2");
    old.terminate();
    old.says("stopping gateway=n0 waiting=0");
    assert_eq!(new.ask(&Ask::new("b")).status(), 200);
    for (i, client) in kept.iter_mut().enumerate() {
        let answer = client.ask(&Ask::new(&format!("c{i}")));
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    }
    assert!(old.exit().success(), "after its last answer");
    new.says("processes=1");
}

#[test]
fn successor_death_returns_full_share_to_predecessor() {
    let worker = Worker::start(Does::Serves("ok"));
    let (setup, _discovery) = operated(&[&worker]);
    let (socket, folder) = (TcpListener::bind("127.0.0.1:0").expect("a free port"), Folder::new("killed"));
    let (old, mut new) = upgrade(&setup, &socket, &folder);
    new.child.kill().expect("a child");
    new.exit();
    old.says("processes=1");
    (0..20).for_each(|i| assert_eq!(old.ask(&Ask::new(&format!("a{i}"))).status(), 200));
    // And the next attempt finds it.
    let _next = setup.start_as(Start { socket: Some(&socket), folder: Some(&folder.0), ..Start::default() });
    old.says("processes=2");
}

#[test]
fn invalid_handover_message_is_ignored() {
    let worker = Worker::start(Does::Serves("ok"));
    let (setup, _discovery) = operated(&[&worker]);
    let folder = Folder::new("foreign");
    let node = setup.start_as(Start { folder: Some(&folder.0), ..Start::default() });
    while node.call("GET /healthcheck").status() != 200 {}
    let door = folder.0.join(format!("oliverack-n0.{}.sock", node.child.id()));
    for word in [
        "nonsense\n",
        "{\"Hello\":{\"form\":2,\"node\":\"n0\"}}\n",
        "{\"Hello\":{\"form\":1,\"node\":\"n1\"}}\n",
        "{\"ByHand\":{\"server\":\"w0\",\"out\":true}}\n",
    ] {
        let mut caller = UnixStream::connect(&door).expect("it listens");
        caller.write_all(word.as_bytes()).expect("a socket");
        node.says("a caller is not a successor");
        // Reset or ended: it may not have been read whole.
        let _ = caller.read(&mut [0]);
    }
    assert_eq!(node.ask(&Ask::new("a")).status(), 200);
}
