//! The simulator's adapter answers an empty batch, and reports invalid input with one line on standard error, a failing
//! exit status and no reply.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_oliverack-sim"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("adapter starts");
    child.stdin.take().expect("piped").write_all(input.as_bytes()).expect("adapter reads its input");
    child.wait_with_output().expect("adapter ends")
}

/// Asserts that a batch with the given messages fails and that the error names the batch and contains `expected`.
fn assert_batch_fails_with(messages: &str, expected: &str) {
    let input =
        format!("{{\"Moment\":1.0,\"n\":7,\"groups\":[{{\"GatekeeperId\":0,\"msgs\":[{messages}]}}]}}\n");
    let output = run_adapter(&input);
    let stderr = String::from_utf8(output.stderr).expect("UTF-8 error text");
    assert!(!output.status.success() && output.stdout.is_empty(), "{stderr}");
    assert!(
        stderr.lines().count() == 1 && stderr.contains("batch 7") && stderr.contains(expected),
        "{stderr}"
    );
}

#[test]
fn empty_batch_gets_empty_reply_and_end_of_input_exits_cleanly() {
    let output = run_adapter("{\"Moment\":8.4,\"n\":1,\"groups\":[]}\n");
    assert!(output.status.success());
    let reply: serde_json::Value = serde_json::from_slice(&output.stdout).expect("one reply in JSON");
    assert_eq!(reply, serde_json::json!({"n": 1, "groups": []}));
}

#[test]
fn invalid_json_exits_with_error() {
    let output = run_adapter("nonsense\n");
    assert!(!output.status.success() && output.stdout.is_empty());
    assert_eq!(String::from_utf8(output.stderr).expect("UTF-8 error text").lines().count(), 1);
}

#[test]
fn invalid_event_error_names_batch_and_field() {
    let start = r#"["NEW_INSTANCE",5,{"Unknown":1}]"#;
    assert_batch_fails_with(r#"["ELAPSED",1]"#, "unknown instance");
    assert_batch_fails_with(r#"["NEW_INSTANCE",5]"#, "Options");
    assert_batch_fails_with(r#"["NEW_INSTANCE",5,{"PeersTotal":0}]"#, "no gateways");
    assert_batch_fails_with(&format!("{start},[\"NONESUCH\"]"), "NONESUCH");
    assert_batch_fails_with(&format!("{start},[\"ELAPSED\"]"), "ELAPSED.Name");
    assert_batch_fails_with(&format!("{start},[\"LEFT\",5]"), "LEFT.Job");
    assert_batch_fails_with(&format!("{start},[\"PEERS_KNOWN\",1,3,\"F\"]"), "PEERS_KNOWN.Page");
}
