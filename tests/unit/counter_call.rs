//! The stages of a call, and its status after each end of its connection.

use super::*;
use std::io;

fn call_with_written_bytes(bytes: usize) -> Call {
    let mut call = Call::add(CallId(1), 7, 2.0, 1.0);
    if bytes > 0 {
        call.record_written(bytes);
    }
    call
}

fn complete_call() -> Call {
    let length = protocol::add_line(7, 2.0, 1.0).len();
    call_with_written_bytes(length)
}

#[test]
fn call_goes_through_its_stages_as_it_is_written() {
    let mut call = call_with_written_bytes(0);
    assert_eq!(call.stage, CallStage::Unwritten);
    call.record_written(3);
    assert_eq!(call.stage, CallStage::PartlyWritten { bytes: 3 });
    let rest = call.unwritten_part().len();
    call.record_written(rest);
    assert_eq!(call.stage, CallStage::AwaitingReply);
    assert!(call.is_awaited());
}

#[test]
fn call_that_timed_out_is_written_on_and_not_awaited() {
    let mut call = call_with_written_bytes(3);
    call.time_out();
    assert_eq!(call.stage, CallStage::TimedOut { bytes: 3 });
    assert!(!call.is_awaited() && call.end(Status::Ok, 1.0).is_none());
    let rest = call.unwritten_part().len();
    call.record_written(rest);
    assert!(call.unwritten_part().is_empty());
    assert!(matches!(call.stage, CallStage::TimedOut { .. }));
}

#[test]
fn ping_is_not_awaited() {
    let ping = Call::ping();
    assert!(!ping.is_awaited() && ping.end(Status::Ok, 0.0).is_none());
    assert!(ping.status_of_reply(&CounterReply::Pong).is_some());
    assert!(ping.status_of_reply(&CounterReply::Total(1.0)).is_none());
    assert!(complete_call().status_of_reply(&CounterReply::Pong).is_none());
}

#[test]
fn status_after_the_end_of_the_connection_follows_from_the_error_and_the_stage() {
    let timed_out = || CounterError::Socket(io::ErrorKind::TimedOut.into());
    let reset = || CounterError::Socket(io::ErrorKind::ConnectionReset.into());
    // The status of the oldest call and of others.
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
    for (error, oldest, other) in cases {
        assert_eq!(complete_call().status_after(&error, true), oldest, "{error:?}");
        assert_eq!(complete_call().status_after(&error, false), other, "{error:?}");
        for written in [0, 3] {
            let call = call_with_written_bytes(written);
            assert_eq!(call.status_after(&error, true), Status::ConnectFailed, "{error:?}");
        }
    }
}

#[test]
fn errors_are_logged_by_the_same_words_as_in_earlier_versions() {
    let words = [
        (CounterError::ConnectTimeout, io::ErrorKind::TimedOut),
        (CounterError::ReplyOverdue, io::ErrorKind::TimedOut),
        (CounterError::WriteFailed, io::ErrorKind::BrokenPipe),
        (CounterError::Closed, io::ErrorKind::UnexpectedEof),
        (CounterError::UnexpectedReply, io::ErrorKind::InvalidData),
        (CounterError::ReplyTooLong, io::ErrorKind::InvalidData),
        (CounterError::Retired, io::ErrorKind::ConnectionAborted),
    ];
    for (error, kind) in words {
        assert_eq!(error.to_string(), io::Error::from(kind).to_string());
    }
}
