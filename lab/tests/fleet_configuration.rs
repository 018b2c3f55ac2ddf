//! Files that are invalid are rejected with one line.

use oliverack_lab::fleet::{add_faults, parse};
use std::path::Path;
use std::process::Command;

const SMALL: &str = include_str!("../experiments/small.toml");

fn complaint(text: &str) -> String {
    let message = parse(text).expect_err("an invalid file").to_string();
    assert!(!message.contains('\n'), "more than one line: {message}");
    message
}

/// The small example with one line replaced by another.
fn with(line: &str, other: &str) -> String {
    assert!(SMALL.contains(line), "the example has no line {line}");
    SMALL.replacen(line, other, 1)
}

#[test]
fn all_example_files_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let mut seen = 0;
    for entry in std::fs::read_dir(folder).expect("the folder of examples") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("a readable example");
        assert!(parse(&text).is_ok(), "{}: {}", path.display(), complaint(&text));
        seen += 1;
    }
    assert!(seen >= 6, "{seen} examples");
}

#[test]
fn all_fault_files_fit_the_tenth_of_the_target() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/faults");
    let base = include_str!("../experiments/target-10.toml");
    let mut seen = 0;
    for entry in std::fs::read_dir(folder).expect("the folder of faults") {
        let path = entry.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("a readable file");
        let mut configuration = parse(base).expect("a usable example");
        let before = configuration.faults.len();
        add_faults(&mut configuration, &text).expect("usable faults");
        assert!(configuration.faults.len() > before, "{} adds none", path.display());
        seen += 1;
    }
    assert!(seen >= 6, "{seen} files of faults");
}

#[test]
fn fault_file_with_other_keys_or_an_impossible_fault_is_rejected() {
    let mut configuration = parse(SMALL).expect("a usable example");
    let fault = "[[faults]]\nkind = \"cut-counter\"\nat = 1.0\nuntil = 2.0\nzone = 99\n";
    let message = add_faults(&mut configuration, fault).expect_err("no such zone").to_string();
    assert!(message.contains("zone") && !message.contains('\n'), "{message}");
    let message = add_faults(&mut configuration, "seconds = 3.0\nfaults = []\n").expect_err("a further key");
    assert!(message.to_string().contains("seconds"), "{message}");
}

#[test]
fn unknown_keys_are_rejected() {
    assert!(complaint(&format!("colour = 1\n{SMALL}")).contains("colour"));
    assert!(complaint(&with("max_units = 4", "max_units = 4\nshape = 2")).contains("shape"));
    let fault = "\n[[faults]]\nkind = \"forget-counts\"\nat = 1.0\nshare = 0.5\nlength = 3\n";
    assert!(complaint(&format!("{SMALL}{fault}")).contains("length"));
    let fault = "\n[[faults]]\nkind = \"flood\"\nat = 1.0\n";
    assert!(complaint(&format!("{SMALL}{fault}")).contains("flood"));
}

#[test]
fn invalid_toml_is_rejected_with_its_line() {
    assert!(complaint("seconds = 1\nseconds = ").starts_with("line 2"));
}

#[test]
fn impossible_sizes_are_rejected_with_their_key() {
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
    for (line, other, key) in cases {
        let message = complaint(&with(line, other));
        assert!(message.starts_with(&format!("{key} is ")), "{other}: {message}");
    }
}

#[test]
fn impossible_faults_are_rejected_with_their_key() {
    let cases = [
        ("kind = \"restart-at-once\"\nat = 1.0\nshare = 1.5", "faults.share"),
        ("kind = \"forget-counts\"\nat = -1.0\nshare = 0.5", "faults.at"),
        ("kind = \"silence-counter\"\nat = 5.0\nuntil = 1.0", "faults.until"),
        ("kind = \"lose-zone\"\nat = 1.0\nuntil = 2.0\nzone = 2", "faults.zone"),
        ("kind = \"slow-counter\"\nat = 1.0\nuntil = 2.0\nfactor = 0.0", "faults.factor"),
        ("kind = \"replace-workers\"\nfrom = 1.0\nuntil = 2.0\ncount = 25", "faults.count"),
    ];
    for (fault, key) in cases {
        let message = complaint(&format!("{SMALL}\n[[faults]]\n{fault}\n"));
        assert!(message.starts_with(key), "{fault}: {message}");
    }
}

#[test]
fn invalid_file_ends_the_program_with_one_line_and_a_failing_status() {
    for file in ["no/such/file.toml", concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")] {
        let output = Command::new(env!("CARGO_BIN_EXE_oliverack-lab"))
            .args(["fleet", file])
            .output()
            .expect("the program starts");
        let errors = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success());
        assert_eq!(errors.lines().count(), 1, "{errors}");
        assert!(errors.starts_with("oliverack-lab: "), "{errors}");
    }
}
