//! Tests that messages between processes are read and written as the bytes of earlier versions.

use super::*;
use oliverack::EndpointSnapshot;

const HELLO: &str = r#"{"Hello":{"form":1,"node":"n0"}}"#;
const SNAPSHOT: &str = concat!(
    r#"{"Knows":{"servers":[{"id":"10.1.0.18:8443","cold_since":1764748800.25,"latency":0.0125,"#,
    r#""heard":1764748810.5,"out_until":1764748812.75,"out_for":2.0}],"left_out":["s-00000007"],"#,
    r#""carried":12.5,"times":[0.03,0.02,0.01],"call_rate":4.0}}"#
);
const MAINTENANCE_CHANGED: &str = r#"{"ByHand":{"server":"s-00000007","out":true}}"#;

/// Returns each message with all its fields, and the bytes that earlier versions sent for it.
fn messages() -> [(Message, &'static str); 3] {
    let endpoint = EndpointSnapshot {
        id: "10.1.0.18:8443".into(),
        warming_up_since: 1_764_748_800.25,
        mean_latency: 0.0125,
        last_response_at: 1_764_748_810.5,
        ejected_until: 1_764_748_812.75,
        next_ejection_duration: 2.0,
    };
    let snapshot = HandoverSnapshot {
        endpoints: vec![endpoint],
        in_maintenance: vec!["s-00000007".into()],
        peak_units_per_second: 12.5,
        response_times: [0.03, 0.02, 0.01].into(),
        counter_calls_per_second: 4.0,
    };
    [
        (hello(false), HELLO),
        (Message::Snapshot(snapshot), SNAPSHOT),
        (
            Message::MaintenanceChanged { endpoint: "s-00000007".into(), in_maintenance: true },
            MAINTENANCE_CHANGED,
        ),
    ]
}

/// Returns the first message of a successor.
fn hello(shares_request_ids: bool) -> Message {
    Message::Hello { format_version: FORMAT_VERSION, gateway_name: "n0".to_owned(), shares_request_ids }
}

#[test]
fn messages_for_request_ids_keep_their_form() {
    for (message, bytes) in [
        (hello(true), r#"{"Hello":{"form":1,"node":"n0","ids":true}}"#),
        (
            Message::RequestIds { hashes: vec![7, u64::MAX] },
            r#"{"RequestIds":{"hashes":[7,18446744073709551615]}}"#,
        ),
    ] {
        assert_eq!(serde_json::to_string(&message).expect("a message"), bytes);
        let read: Message = serde_json::from_str(bytes).expect("a valid message");
        assert_eq!(read, message);
    }
}

#[test]
fn message_is_written_as_by_earlier_versions() {
    for (message, bytes) in messages() {
        assert_eq!(serde_json::to_string(&message).expect("a message"), bytes);
    }
}

#[test]
fn message_of_earlier_version_is_read() {
    for (message, bytes) in messages() {
        let read: Message = serde_json::from_str(bytes).expect("a valid message");
        assert_eq!(read, message);
    }
}
