//! Tests of the check of a successor's first message.

use super::*;
use oliverack::HandoverSnapshot;

fn hello(format_version: u32, gateway_name: &str) -> Message {
    Message::Hello { format_version, gateway_name: gateway_name.to_owned(), shares_request_ids: true }
}

#[test]
fn hello_of_same_gateway_and_format_is_accepted() {
    assert!(check_hello(&hello(FORMAT_VERSION, "n0"), "n0").expect("a successor"), "it shares request ids");
}

#[test]
fn error_names_other_format_or_gateway() {
    let error = check_hello(&hello(2, "n0"), "n0").expect_err("another format");
    assert!(matches!(error, HandshakeError::UnsupportedFormat(2)), "{error}");
    let error = check_hello(&hello(FORMAT_VERSION, "n1"), "n0").expect_err("another gateway");
    assert!(matches!(&error, HandshakeError::OtherGateway(name) if name == "n1"), "{error}");
}

#[test]
fn other_first_message_is_rejected() {
    let change = Message::MaintenanceChanged { endpoint: "w0".into(), in_maintenance: true };
    let error = check_hello(&change, "n0").expect_err("no hello");
    assert!(matches!(error, HandshakeError::UnexpectedMessage("ByHand")), "{error}");
    let error = check_hello(&Message::Snapshot(HandoverSnapshot::default()), "n0").expect_err("no hello");
    assert!(matches!(error, HandshakeError::UnexpectedMessage("Knows")), "{error}");
}
