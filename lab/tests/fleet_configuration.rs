//! Validation of experiment files: invalid ones are rejected with a message of one line.

use oliverack_lab::fleet::{add_faults, parse};
use std::path::Path;
use std::process::Command;

const SMALL_EXPERIMENT: &str = include_str!("../experiments/small.toml");

/// Returns the message of the error for an invalid file.
fn error_message(text: &str) -> String {
    let message = parse(text).expect_err("an invalid file").to_string();
    assert!(!message.contains('\n'), "more than one line: {message}");
    message
}

/// Returns the small example with the first occurrence of `line` replaced.
fn small_experiment_with(line: &str, replacement: &str) -> String {
    assert!(SMALL_EXPERIMENT.contains(line), "the example does not contain {line:?}");
    SMALL_EXPERIMENT.replacen(line, replacement, 1)
}

#[test]
fn example_files_are_valid() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let mut file_count = 0;
    for entry in std::fs::read_dir(directory).expect("the directory of examples") {
        let path = entry.expect("a directory entry").path();
        if path.is_dir() {
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("a readable example");
        assert!(parse(&text).is_ok(), "{}: {}", path.display(), error_message(&text));
        file_count += 1;
    }
    assert!(file_count >= 6, "{file_count} example files");
}

#[test]
fn fault_files_are_valid_for_target_10() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/faults");
    let target_10 = include_str!("../experiments/target-10.toml");
    let mut file_count = 0;
    for entry in std::fs::read_dir(directory).expect("the directory of fault files") {
        let path = entry.expect("a directory entry").path();
        let text = std::fs::read_to_string(&path).expect("a readable fault file");
        let mut configuration = parse(target_10).expect("a valid example");
        let fault_count_before = configuration.faults.len();
        add_faults(&mut configuration, &text).expect("valid faults");
        assert!(configuration.faults.len() > fault_count_before, "{} adds no faults", path.display());
        file_count += 1;
    }
    assert!(file_count >= 6, "{file_count} fault files");
}

#[test]
fn invalid_fault_file_is_rejected() {
    let mut configuration = parse(SMALL_EXPERIMENT).expect("a valid example");
    let fault = "[[faults]]\nkind = \"cut-counter\"\nat = 1.0\nuntil = 2.0\nzone = 99\n";
    let message = add_faults(&mut configuration, fault).expect_err("an unknown zone").to_string();
    assert!(message.contains("zone") && !message.contains('\n'), "{message}");
    let message = add_faults(&mut configuration, "seconds = 3.0\nfaults = []\n").expect_err("an unknown key");
    assert!(message.to_string().contains("seconds"), "{message}");
}

#[test]
fn unknown_keys_are_rejected() {
    assert!(error_message(&format!("colour = 1\n{SMALL_EXPERIMENT}")).contains("colour"));
    assert!(
        error_message(&small_experiment_with("max_units = 4", "max_units = 4\nshape = 2")).contains("shape")
    );
    let fault = "\n[[faults]]\nkind = \"forget-counts\"\nat = 1.0\nshare = 0.5\nlength = 3\n";
    assert!(error_message(&format!("{SMALL_EXPERIMENT}{fault}")).contains("length"));
    let fault = "\n[[faults]]\nkind = \"flood\"\nat = 1.0\n";
    assert!(error_message(&format!("{SMALL_EXPERIMENT}{fault}")).contains("flood"));
}

#[test]
fn syntax_error_names_its_line() {
    assert!(error_message("seconds = 1\nseconds = ").starts_with("line 2"));
}

#[test]
fn error_for_size_out_of_range_names_key() {
    let cases = [
        ("count = 12\n", "count = 0\n", "gatekeepers.count"),
        ("count = 12\n", "count = 1025\n", "gatekeepers.count"),
        ("count = 24\n", "count = 0\n", "workers.count"),
        ("count = 193\n", "count = 9000000\n", "tenants.count"),
        ("seconds = 30.0", "seconds = 0", "seconds"),
        ("seconds = 30.0", "seconds = -1", "seconds"),
        ("seconds = 30.0", "seconds = nan", "seconds"),
        ("seconds = 30.0", "seconds = inf", "seconds"),
        ("spread = [2, 4]", "spread = [2, 13]", "tenants.spread"),
        ("spread = [2, 4]", "spread = [4, 2]", "tenants.spread"),
        ("spread = [2, 4]", "spread = [0, 2]", "tenants.spread"),
        ("rate = 1.6", "rate = -1.6", "plans.rate"),
        ("rate = 1.6", "rate = 0", "plans.rate"),
        ("rate = 1.6", "rate = 1e8", "the expected load"),
        ("burst = 8.0", "burst = 1.0", "plans.burst"),
        ("share = 60", "share = -60", "usage.share"),
        ("share = 39", "share = nan", "classes.share"),
        ("of_rate = [0.18, 0.39]", "of_rate = [0.39, 0.18]", "usage.of_rate"),
        ("spike_seconds = 2.0", "spike_seconds = 20.0", "usage.spike_seconds"),
        ("regions = 1", "regions = 3", "topology.regions"),
        ("calls_per_second = 1200.0", "calls_per_second = 0.0", "counter.calls_per_second"),
        ("service_variation = 0.3", "service_variation = 1.3", "workers.service_variation"),
        ("cold_from = 0.3", "cold_from = 0.0", "workers.cold_from"),
        ("count_limit = 0.08", "count_limit = 0.0", "policy.count_limit"),
    ];
    for (line, replacement, key) in cases {
        let message = error_message(&small_experiment_with(line, replacement));
        assert!(message.starts_with(&format!("{key} is ")), "{replacement}: {message}");
    }
}

#[test]
fn error_for_invalid_fault_names_key() {
    let cases = [
        ("kind = \"restart-at-once\"\nat = 1.0\nshare = 1.5", "faults.share"),
        ("kind = \"forget-counts\"\nat = -1.0\nshare = 0.5", "faults.at"),
        ("kind = \"silence-counter\"\nat = 5.0\nuntil = 1.0", "faults.until"),
        ("kind = \"lose-zone\"\nat = 1.0\nuntil = 2.0\nzone = 2", "faults.zone"),
        ("kind = \"slow-counter\"\nat = 1.0\nuntil = 2.0\nfactor = 0.0", "faults.factor"),
        ("kind = \"replace-workers\"\nfrom = 1.0\nuntil = 2.0\ncount = 25", "faults.count"),
    ];
    for (fault, key) in cases {
        let message = error_message(&format!("{SMALL_EXPERIMENT}\n[[faults]]\n{fault}\n"));
        assert!(message.starts_with(key), "{fault}: {message}");
    }
}

#[test]
fn invalid_file_fails_the_command_with_one_line() {
    for file in ["no/such/file.toml", concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")] {
        let output = Command::new(env!("CARGO_BIN_EXE_oliverack-lab"))
            .args(["fleet", file])
            .output()
            .expect("the program starts");
        let error_output = String::from_utf8(output.stderr).expect("UTF-8 output");
        assert!(!output.status.success());
        assert_eq!(error_output.lines().count(), 1, "{error_output}");
        assert!(error_output.starts_with("oliverack-lab: "), "{error_output}");
    }
}
