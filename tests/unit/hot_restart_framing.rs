//! Tests of reading valid and invalid messages from a socket.

use super::*;
use tokio::{io::AsyncWriteExt, runtime};

const MAX_BYTES: u64 = 64;

/// Reads a message from a peer that writes `written` and closes the connection.
fn read_message(written: &str) -> Result<Message, MessageError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (socket, mut peer) = UnixStream::pair().expect("a pair of sockets");
        peer.write_all(written.as_bytes()).await.expect("room in the socket");
        drop(peer);
        let (mut reader, _writer) = split(socket, MAX_BYTES);
        reader.read().await
    })
}

#[test]
fn complete_line_is_read_as_message() {
    let message = read_message("{\"Hello\":{\"form\":1,\"node\":\"n0\"}}\n").expect("a message");
    let gateway_name = "n0".to_owned();
    assert_eq!(message, Message::Hello { format_version: 1, gateway_name, shares_request_ids: false });
}

#[test]
fn closed_connection_is_a_socket_error() {
    let error = read_message("").expect_err("no message");
    assert!(matches!(error, MessageError::Socket(e) if e.kind() == io::ErrorKind::UnexpectedEof));
}

#[test]
fn line_that_is_not_a_message_is_malformed() {
    for line in ["nonsense\n", "{}\n", "\n"] {
        let error = read_message(line).expect_err("no message");
        assert!(matches!(error, MessageError::Malformed(_)), "{line}: {error}");
    }
}

#[test]
fn line_cut_off_by_closed_connection_is_truncated() {
    let error = read_message("{\"Hello\":").expect_err("no message");
    assert!(matches!(error, MessageError::Truncated { bytes: 9 }), "{error}");
}

#[test]
fn line_beyond_limit_is_too_long() {
    let error = read_message(&format!("{}\n", "x".repeat(64))).expect_err("no message");
    assert!(matches!(error, MessageError::TooLong { max_bytes: MAX_BYTES }), "{error}");
}
