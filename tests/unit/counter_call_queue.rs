//! Order, expiry and failure of the calls queued on one connection to the counter.

use super::*;

fn queue_of(calls: impl IntoIterator<Item = Call>) -> CallQueue {
    let mut queue = CallQueue::default();
    calls.into_iter().for_each(|call| queue.push(call));
    queue
}

fn add_call(id: u64, counter: u64) -> Call {
    Call::add(CallId(id), counter, 1.0, 1.0)
}

fn written(mut call: Call) -> Call {
    let length = call.unwritten_part().len();
    call.record_written(length);
    call
}

#[test]
fn expired_unwritten_call_is_removed() {
    let mut queue = queue_of([add_call(1, 7), add_call(2, 8)]);
    let result = queue.expire(CallId(1)).expect("an awaited call");
    assert_eq!(result.status, Status::ConnectFailed);
    assert_eq!(queue.len(), 1);
    assert!(queue.awaits_call(CallId(2)) && !queue.awaits_counter(7));
}

#[test]
fn expired_written_call_is_reported_once_and_stays_until_its_reply() {
    let mut queue = queue_of([written(add_call(1, 7)), written(add_call(2, 8))]);
    assert_eq!(queue.expire(CallId(1)).expect("an awaited call").status, Status::Timeout);
    assert!(queue.expire(CallId(1)).is_none());
    assert_eq!(queue.len(), 2);
    // The late reply belongs to the first call, the next one to the second.
    assert!(queue.answer_oldest(&CounterReply::Total(1.0)).expect("a reply").is_none());
    let result = queue.answer_oldest(&CounterReply::NothingAdded).expect("a reply").expect("an awaited call");
    assert_eq!(result.status, Status::Rejected);
    assert_eq!(queue.len(), 0);
}

#[test]
fn unexpected_reply_is_an_error_and_keeps_the_queue() {
    let mut queue = queue_of([Call::ping(), written(add_call(1, 7))]);
    assert!(matches!(queue.answer_oldest(&CounterReply::Total(1.0)), Err(CounterError::UnexpectedReply)));
    assert_eq!(queue.len(), 2);
    assert!(queue.answer_oldest(&CounterReply::Pong).expect("a reply").is_none());
    assert!(matches!(queue.answer_oldest(&CounterReply::Pong), Err(CounterError::UnexpectedReply)));
    let mut empty = CallQueue::default();
    assert!(matches!(empty.answer_oldest(&CounterReply::Pong), Err(CounterError::UnexpectedReply)));
}

#[test]
fn invalid_reply_fails_each_call_by_its_stage() {
    let mut queue = queue_of([written(add_call(1, 7)), written(add_call(2, 8)), add_call(3, 9)]);
    let statuses: Vec<Status> =
        queue.end_all(&CounterError::UnexpectedReply).iter().map(|result| result.status).collect();
    assert_eq!(statuses, [Status::Error, Status::Reset, Status::ConnectFailed]);
    assert_eq!(queue.len(), 0);
}

#[test]
fn pings_and_expired_calls_are_not_reported() {
    let mut queue = queue_of([Call::ping(), written(add_call(1, 7))]);
    queue.expire(CallId(1));
    assert!(!queue.has_awaited() && queue.end_all(&CounterError::Closed).is_empty());
}
