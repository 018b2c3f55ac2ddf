//! Tests of the `process` command: small runs, failing runs, and invalid arguments.

use serde_json::Value;
use std::process::{Command, Output};

fn run_process(arguments: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oliverack-lab"));
    command.arg("process").args(arguments.split_whitespace()).output().expect("the lab should start")
}

fn assert_rejected(arguments: &str, reason: &str) {
    let output = run_process(arguments);
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success() && text.contains(reason), "{arguments}: {text}");
}

#[test]
fn small_policy_run_measures_times_and_state() {
    let json = tempfile::NamedTempFile::new().expect("the folder for temporary files should be writable");
    let path = json.path().display();
    let output = run_process(&format!(
        "policy --workers 10,100 --tenants 20 --gateways 1,100 --rounds 2 --requests 40 --changes 4 --json {path}"
    ));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = std::fs::read_to_string(json.path()).expect("the report should be readable");
    let lines: Vec<Value> =
        text.lines().map(|line| serde_json::from_str(line).expect("the line should be JSON")).collect();
    let line_of = |axis: &str, size: u64, gateways: u64, metric: &str| {
        let is_requested = |line: &&Value| {
            line["axis"] == axis
                && line["size"] == size
                && line["gateways"] == gateways
                && line["metric"] == metric
        };
        lines.iter().find(is_requested).unwrap_or_else(|| panic!("{metric} of {size} {axis}: {text}"))
    };
    for gateways in [1, 100] {
        let request = line_of("workers", 100, gateways, "request_processor_micros");
        assert_eq!((&request["rounds"], &request["ratio"]), (&2.into(), &1.0.into()));
        assert_eq!(line_of("workers", 10, gateways, "served_share")["median"], 1.0);
        line_of("workers", 10, gateways, "change_processor_micros");
        line_of("workers", 10, gateways, "timer_processor_micros");
    }
    let is_positive = |line: &Value| line["median"].as_f64().is_some_and(|bytes| bytes > 0.0);
    assert!(is_positive(line_of("workers", 100, 100, "worker_outside_bytes")));
    assert!(is_positive(line_of("workers", 100, 1, "worker_inside_bytes")));
    assert!(is_positive(line_of("tenants", 20, 100, "tenant_bytes")));
    assert!(is_positive(line_of("workers", 1000, 1, "open_request_bytes")));
    line_of("tenants", 20, 100, "sweep_processor_micros");
}

#[test]
fn program_that_ends_at_start_fails_rows_but_not_run() {
    let output = run_process("program --program /bin/false --workers 10 --tenants 20 --rounds 1");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(
        text.contains("FAILED: 10 workers, 680 gateways, in 1 rounds: the program ended before it listened"),
        "{text}"
    );
    assert!(text.contains("FAILED: 20 tenants"), "{text}");
}

#[test]
fn checked_run_fails_on_failed_rows_and_missing_values() {
    let output =
        run_process("program --check --program /bin/false --workers 100,9200 --tenants 20 --rounds 1");
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "{text}");
    for reason in [
        "9200 workers, 680 gateways: processor time a request [us], ratio: not measured",
        "9200 workers, 680 gateways: processor time a one-entry change [us], median: not measured",
        "9200 workers, 680 gateways: peak resident memory after the indented list [KiB], highest: not measured",
        "100 workers, 680 gateways, in 1 rounds: the program ended before it listened",
        "20 tenants, 4 gateways, in 1 rounds: the program ended before it listened",
    ] {
        assert!(text.contains(reason), "{reason}: {text}");
    }
}

#[test]
fn invalid_arguments_are_rejected_with_reason() {
    assert_rejected("policy --rounds 0", "rounds, requests and changes must be above 0");
    assert_rejected("policy --workers 10,0", "must be from 1 to 1000000");
    assert_rejected("program --program /bin/false --tenants 1000001", "must be from 1 to 1000000");
    assert_rejected("policy --gateways 0", "counts of gateways must be above 0");
    assert_rejected("policy --check --workers 100", "needs 100 and 9200");
    assert_rejected("policy --check --gateways 1", "needs a count of gateways above 1");
    assert_rejected("program --check --workers 9200", "needs 100 and 9200");
    assert_rejected("program --check --memory-mb 33", "needs a memory limit of 32 MB at most");
    assert_rejected("program --tenant-gateways 0", "must be above 0");
    assert_rejected("policy --workers many", "invalid digit");
    assert_rejected("program --program /nowhere/program", "there is no program at /nowhere/program");
    assert_rejected("program --connections 0", "must be above 0");
    assert_rejected("", "Usage");
}

#[test]
fn help_lists_program_and_policy_benchmarks() {
    let output = run_process("--help");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success() && text.contains("program") && text.contains("policy"), "{text}");
}
