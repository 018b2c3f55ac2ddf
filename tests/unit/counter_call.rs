//! Stages of a call to the counter, its status after each kind of connection failure, and the texts of the failures.

use super::*;
use std::io;

fn call_with_written_bytes(bytes: usize) -> Call {
    let mut call = Call::add(CallId(1), 7, 2.0, 1.0);
    if bytes > 0 {
        call.record_written(bytes);
    }
    call
}

fn written_call() -> Call {
    let length = protocol::add_line(7, 2.0, 1.0).len();
    call_with_written_bytes(length)
}

#[test]
fn stage_follows_written_bytes() {
    let mut call = call_with_written_bytes(0);
    assert_eq!(call.stage, CallStage::Unwritten);
    call.record_written(3);
    assert_eq!(call.stage, CallStage::PartlyWritten { bytes: 3 });
    let unwritten_bytes = call.unwritten_part().len();
    call.record_written(unwritten_bytes);
    assert_eq!(call.stage, CallStage::AwaitingReply);
    assert!(call.is_awaited());
}

#[test]
fn timed_out_call_is_still_written_but_not_awaited() {
    let mut call = call_with_written_bytes(3);
    call.mark_timed_out();
    assert_eq!(call.stage, CallStage::TimedOut { bytes: 3 });
    assert!(!call.is_awaited() && call.result(Status::Ok, 1.0).is_none());
    let unwritten_bytes = call.unwritten_part().len();
    call.record_written(unwritten_bytes);
    assert!(call.unwritten_part().is_empty());
    assert!(matches!(call.stage, CallStage::TimedOut { .. }));
}

#[test]
fn ping_is_not_awaited() {
    let ping = Call::ping();
    assert!(!ping.is_awaited() && ping.result(Status::Ok, 0.0).is_none());
    assert!(ping.match_reply(&CounterReply::Pong).is_some());
    assert!(ping.match_reply(&CounterReply::Total(1.0)).is_none());
    assert!(written_call().match_reply(&CounterReply::Pong).is_none());
}

#[test]
fn status_after_disconnect_follows_error_and_stage() {
    let timed_out = || CounterError::Socket(io::ErrorKind::TimedOut.into());
    let reset = || CounterError::Socket(io::ErrorKind::ConnectionReset.into());
    // Each error with the expected status of the oldest call and of any other.
    let cases = [
        (CounterError::UnexpectedReply, Status::Error, Status::Reset),
        (CounterError::ReplyTooLong, Status::Error, Status::Reset),
        (CounterError::ReplyOverdue, Status::Timeout, Status::Timeout),
        (CounterError::ConnectTimeout, Status::Timeout, Status::Timeout),
        (timed_out(), Status::Timeout, Status::Timeout),
        (reset(), Status::Reset, Status::Reset),
        (CounterError::Closed, Status::Reset, Status::Reset),
        (CounterError::WriteFailed, Status::Reset, Status::Reset),
        (CounterError::Retired, Status::Reset, Status::Reset),
    ];
    for (error, oldest_status, other_status) in cases {
        assert_eq!(written_call().status_after(&error, true), oldest_status, "{error:?}");
        assert_eq!(written_call().status_after(&error, false), other_status, "{error:?}");
        for written in [0, 3] {
            let call = call_with_written_bytes(written);
            assert_eq!(call.status_after(&error, true), Status::ConnectFailed, "{error:?}");
        }
    }
}

// Operators tell the faults of a counter connection apart by these texts in the log.
#[test]
fn each_error_has_its_own_text() {
    let cases = [
        (CounterError::ConnectTimeout, "timed out while connecting"),
        (CounterError::ReplyOverdue, "timed out waiting for a reply"),
        (CounterError::WriteFailed, "can't write a call"),
        (CounterError::Closed, "the counter closed the connection"),
        (CounterError::UnexpectedReply, "the reply is invalid or does not match the oldest call"),
        (CounterError::ReplyTooLong, "the reply is longer than any valid one"),
        (CounterError::Retired, "the client was retired"),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}
