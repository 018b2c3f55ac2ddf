//! Structured log of the built program.

mod fakes;
use fakes::{
    Client, EndpointBehaviour, FakeEndpoint, LaunchOptions, NodeBuilder, TestRequest, spawn_program,
};
use serde_json::Value;
use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::Command,
};

/// Returns all lines that the program logs with `setting` while it serves one request, rejects one and stops.
fn logged_lines(setting: &str) -> Vec<String> {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let (mut child, path) = spawn_program(
        &builder.config().to_string(),
        &LaunchOptions { log_setting: Some(setting), ..LaunchOptions::default() },
    );
    let mut log = BufReader::new(child.stderr.take().expect("piped")).lines().map(|line| line.expect("text"));
    let mut lines: Vec<String> = log.by_ref().take(1).collect();
    let addr = listening_address(&lines[0]);
    assert_eq!(Client::connect(addr).send_request(&TestRequest::new("served")).status(), 200);
    endpoint.set_behaviour(EndpointBehaviour::WriteRaw(
        "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
    ));
    assert_eq!(Client::connect(addr).send_request(&TestRequest::new("rejected")).status(), 429);
    let kill_status =
        Command::new("kill").args(["-TERM", &child.id().to_string()]).status().expect("kill runs");
    assert!(kill_status.success());
    lines.extend(log);
    assert!(child.wait().expect("a child").success());
    let _ = std::fs::remove_file(path);
    lines
}

/// Returns the listening address in the first line.
fn listening_address(line: &str) -> SocketAddr {
    let (_, address) = line.split_once("address").expect("an address");
    let trimmed = address.trim_matches(|c: char| !c.is_ascii_digit());
    trimmed.parse().unwrap_or_else(|e| panic!("{e}: {line}"))
}

fn parse_json(line: &str) -> BTreeMap<String, Value> {
    serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"))
}

#[test]
fn default_level_logs_no_requests() {
    let lines = logged_lines("info");
    assert!(lines.iter().any(|line| line.contains("stopped")), "{lines:?}");
    assert!(!lines.iter().any(|line| line.contains("request") || line.contains("attempt")), "{lines:?}");
}

#[test]
fn json_log_lines_are_objects_and_requests_are_traceable_by_id() {
    let lines: Vec<BTreeMap<String, Value>> =
        logged_lines("debug,json").iter().map(|line| parse_json(line)).collect();
    let lines_of = |txn: &str| -> Vec<&BTreeMap<String, Value>> {
        let request_field = format!("\"{txn}\"");
        lines
            .iter()
            .filter(|line| line.get("request").is_some_and(|request| *request == request_field))
            .collect()
    };
    let messages_of = |txn: &str| -> Vec<String> {
        lines_of(txn).iter().map(|line| line["message"].as_str().expect("a message").to_owned()).collect()
    };
    assert_eq!(
        messages_of("served"),
        ["request accepted", "attempt started", "attempt ended", "final response"]
    );
    let rejected_messages = messages_of("rejected");
    assert_eq!(
        (rejected_messages[0].as_str(), rejected_messages[rejected_messages.len() - 1].as_str()),
        ("request accepted", "final response")
    );
    let attempt_started = lines_of("served")[1];
    assert_eq!(
        (&attempt_started["endpoint"], &attempt_started["attempt"]),
        (&Value::from("w0"), &Value::from(0))
    );
    assert_eq!(lines_of("served")[2]["reason"], "Ok");
    assert_eq!(lines_of("served")[0]["customer"], "00000000b4d65521");
    assert!(
        lines.iter().all(|line| ["timestamp", "level", "message"].iter().all(|key| line.contains_key(*key)))
    );
}

#[test]
fn closed_log_pipe_does_not_stop_process() {
    let endpoint = FakeEndpoint::start(EndpointBehaviour::Respond("ok"));
    let (builder, _discovery) = NodeBuilder::new(&[&endpoint]);
    let (mut child, path) = spawn_program(
        &builder.config().to_string(),
        &LaunchOptions { log_setting: Some("debug"), ..LaunchOptions::default() },
    );
    let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
    let logged_address = log
        .find_map(|line| line.expect("text").rsplit_once("address=").map(|(_, address)| address.to_owned()));
    let addr = logged_address.and_then(|addr| addr.parse().ok()).expect("the bound address");
    // Every write to the log fails from now on.
    drop(log);
    for i in 0..20 {
        assert_eq!(Client::connect(addr).send_request(&TestRequest::new(&format!("r{i}"))).status(), 200);
    }
    assert!(child.try_wait().expect("a child").is_none(), "the process has ended");
    let _ = child.kill();
    let _ = child.wait();
    let _ = std::fs::remove_file(path);
}

#[test]
fn invalid_log_setting_prints_one_line_and_fails() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oliverack"));
    let output = command.env("OLIVERACK_LOG", "info,xml").output().expect("the program starts");
    assert!(!output.status.success());
    let lines: Vec<String> = BufReader::new(&output.stderr[..]).lines().map_while(Result::ok).collect();
    assert!(lines.len() == 1 && lines[0].contains("OLIVERACK_LOG") && lines[0].contains("xml"), "{lines:?}");
}
