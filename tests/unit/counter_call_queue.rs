//! The queue of calls on one connection to the counter.

use super::*;

fn queue_of(calls: impl IntoIterator<Item = Call>) -> CallQueue {
    let mut queue = CallQueue::default();
    calls.into_iter().for_each(|call| queue.push(call));
    queue
}

fn add(id: u64, counter: u64) -> Call {
    Call::add(CallId(id), counter, 1.0, 1.0)
}

fn written(mut call: Call) -> Call {
    let length = call.unwritten_part().len();
    call.record_written(length);
    call
}

#[test]
fn unwritten_call_that_expires_is_removed() {
    let mut queue = queue_of([add(1, 7), add(2, 8)]);
    let end = queue.expire(CallId(1)).expect("an awaited call");
    assert_eq!(end.status, Status::ConnectFailed);
    assert_eq!(queue.len(), 1);
    assert!(queue.awaits_call(CallId(2)) && !queue.awaits_counter(7));
}

#[test]
fn written_call_that_expires_stays_until_its_reply_and_is_ended_once() {
    let mut queue = queue_of([written(add(1, 7)), written(add(2, 8))]);
    assert_eq!(queue.expire(CallId(1)).expect("an awaited call").status, Status::Timeout);
    assert!(queue.expire(CallId(1)).is_none());
    assert_eq!(queue.len(), 2);
    // The late reply belongs to the first call, the next one to the second.
    assert!(queue.answer_oldest(&CounterReply::Total(1.0)).expect("a reply").is_none());
    let end = queue.answer_oldest(&CounterReply::NothingAdded).expect("a reply").expect("an awaited call");
    assert_eq!(end.status, Status::Rejected);
    assert_eq!(queue.len(), 0);
}

#[test]
fn reply_that_does_not_fit_the_oldest_call_is_an_error_and_changes_nothing() {
    let mut queue = queue_of([Call::ping(), written(add(1, 7))]);
    assert!(matches!(queue.answer_oldest(&CounterReply::Total(1.0)), Err(CounterError::UnexpectedReply)));
    assert_eq!(queue.len(), 2);
    assert!(queue.answer_oldest(&CounterReply::Pong).expect("a reply").is_none());
    assert!(matches!(queue.answer_oldest(&CounterReply::Pong), Err(CounterError::UnexpectedReply)));
    let mut empty = CallQueue::default();
    assert!(matches!(empty.answer_oldest(&CounterReply::Pong), Err(CounterError::UnexpectedReply)));
}

#[test]
fn invalid_reply_ends_the_oldest_call_with_an_error_and_unwritten_ones_as_not_sent() {
    let mut queue = queue_of([written(add(1, 7)), written(add(2, 8)), add(3, 9)]);
    let statuses: Vec<Status> =
        queue.end_all(&CounterError::UnexpectedReply).iter().map(|end| end.status).collect();
    assert_eq!(statuses, [Status::Error, Status::Reset, Status::ConnectFailed]);
    assert_eq!(queue.len(), 0);
}

#[test]
fn pings_and_expired_calls_end_without_notice() {
    let mut queue = queue_of([Call::ping(), written(add(1, 7))]);
    queue.expire(CallId(1));
    assert!(!queue.has_awaited() && queue.end_all(&CounterError::Closed).is_empty());
}
