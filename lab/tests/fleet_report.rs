//! JSON keys and names in the report, on which other tools depend.

use oliverack_lab::fleet::{parse, report::Record, simulate};
use serde_json::Value;
use std::collections::BTreeSet;

/// Keys of each kind of record, in order.
const RECORD_KEYS: [(&str, &str); 13] = [
    ("run", "record seed seconds gatekeepers workers tenants nominal_requests_per_second"),
    ("wishes", "record asked served served_late refused failed abandoned lost"),
    ("latency", "record mean p50 p90 p99 p999 max"),
    (
        "quotas",
        "record units_inside units_beyond worth_beyond overrun_cost ceilings ceilings_broken lowest_ceiling",
    ),
    ("inside_worth", "record asked served refused otherwise"),
    ("attempts", "record sent ok full timeout connect_failed reset cancelled"),
    ("counter_calls", "record made ok full timeout added_in_vain names_lost"),
    ("per_try", "record tries attempts counter_calls"),
    ("fleet", "record list_changes lists_told list_calls_failed restarts"),
    ("traffic", "record role messages_per_second bytes_per_second"),
    (
        "state",
        "record fleet_open_max gatekeeper_open_max tenants_mean tenants_max workers_listed_mean \
         workers_avoided_mean counter_names",
    ),
    ("second", "record second wishes quotas counter_calls attempts"),
    ("processor", "record microseconds_per_request total_seconds by_event run_wall_seconds"),
];

/// Returns all records of a short run, as text and as JSON.
fn records() -> Vec<(String, Value)> {
    let text = include_str!("../experiments/small.toml");
    let mut configuration = parse(text).expect("a valid example");
    configuration.seconds = 2.0;
    let records = simulate(configuration, 1).expect("a completed run");
    let to_text_and_json = |record: &Record| {
        let text = serde_json::to_string(record).expect("a serializable record");
        let value = serde_json::from_str(&text).expect("valid JSON");
        (text, value)
    };
    records.iter().map(to_text_and_json).collect()
}

fn assert_keys_in_order(text: &str, keys: &str) {
    let positions: Vec<Option<usize>> =
        keys.split_whitespace().map(|key| text.find(&format!("\"{key}\":"))).collect();
    assert!(positions.iter().all(Option::is_some), "{keys}: {text}");
    assert!(positions.is_sorted(), "{keys}: {text}");
}

#[test]
fn records_have_stable_keys() {
    let mut kinds = BTreeSet::new();
    for (text, value) in records() {
        let kind = value["record"].as_str().expect("a kind");
        let keys = RECORD_KEYS.iter().find(|(name, _)| *name == kind).expect("a known kind").1;
        assert_keys_in_order(&text, keys);
        let key_count = value.as_object().expect("an object").len();
        assert_eq!(key_count, keys.split_whitespace().count(), "{text}");
        kinds.insert(kind.to_owned());
    }
    assert_eq!(kinds.len(), RECORD_KEYS.len());
}

#[test]
fn seconds_have_stable_keys() {
    let records = records();
    let (_, second) = records.iter().find(|(_, value)| value["record"] == "second").expect("a second");
    let keys =
        |value: &Value| -> Vec<String> { value.as_object().expect("an object").keys().cloned().collect() };
    let demand_keys = ["abandoned", "asked", "failed", "lost", "refused", "served", "served_late"];
    assert_eq!(keys(&second["wishes"]), demand_keys);
    assert_eq!(keys(&second["quotas"]), ["overrun_cost", "units_beyond", "units_inside", "worth_beyond"]);
}

#[test]
fn roles_and_kinds_of_work_have_stable_names() {
    let records = records();
    let roles: Vec<&str> = records.iter().filter_map(|(_, value)| value["role"].as_str()).collect();
    assert_eq!(
        roles,
        ["gatekeepers", "gatekeeper_mean", "gatekeeper_max", "counter", "discovery", "workers"]
    );
    let (_, processor) = records.last().expect("records");
    let events = processor["by_event"].as_array().expect("kinds of work");
    let names: Vec<&str> = events.iter().filter_map(|event| event["event"].as_str()).collect();
    assert_eq!(names, ["request", "outcome", "whole_list", "timer", "counted"]);
}
