//! Tests of an open request: its time limits, its one final response, and its attempts.

use super::*;
use crate::node::connection::response_body::BufferedBody;
use bytes::Bytes;
use hyper::{Method, Uri, header::HeaderValue};

const TIME_LIMIT: Seconds = 2.0;

fn upstream() -> Rc<UpstreamRequest> {
    Rc::new(UpstreamRequest {
        method: Method::GET,
        uri: Uri::from_static("/lookup"),
        transaction_id: HeaderValue::from_static("t-1"),
        idempotency_key: None,
        content_type: None,
        body: RequestBody::Buffered(Bytes::new()),
    })
}

fn open_request() -> (OpenRequest, oneshot::Receiver<FinalResponse>) {
    let (sender, receiver) = oneshot::channel();
    (OpenRequest::new(sender, upstream(), TIME_LIMIT), receiver)
}

fn in_flight_attempt(response_started_at: Option<Time>) -> InFlightAttempt {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    InFlightAttempt {
        endpoint: "w0".into(),
        started_at: 10.0,
        sent_at: 10.0,
        timeout: 0.5,
        stream: response_started_at.map(|started_at| StartedStream { started_at, length: None }),
        progress: ProgressHandle::default(),
        task: runtime.spawn(async {}).abort_handle(),
        timeout_timer: None,
    }
}

#[test]
fn attempt_timeout_is_cut_to_remaining_client_wait() {
    let (mut request, _receiver) = open_request();
    // The body is still arriving, so the client's time limit has not started.
    assert_eq!(request.attempt_timeout(100.0, 0.0), TIME_LIMIT);
    assert_eq!(request.attempt_timeout(100.0, 0.5), 0.5);
    assert!(!request.is_received());
    assert_eq!(request.mark_received(100.0), 102.0);
    assert!(request.is_received());
    assert_eq!(request.attempt_timeout(101.0, 0.0), 1.0);
    assert_eq!(request.attempt_timeout(101.0, 0.5), 0.5);
    assert_eq!(request.attempt_timeout(101.75, 0.5), 0.25);
    assert!(request.attempt_timeout(102.5, 0.5) < 0.0);
}

#[test]
fn only_first_response_is_delivered() {
    let (mut request, mut receiver) = open_request();
    assert!(request.is_waiting() && !request.is_finished());
    assert_eq!(request.deliver(FinalResponse::Served(BufferedBody::default())), DeliveryOutcome::Delivered);
    assert_eq!(request.deliver(FinalResponse::Failed), DeliveryOutcome::NotWaiting);
    assert!(!request.is_waiting() && request.is_finished());
    assert!(matches!(receiver.try_recv(), Ok(FinalResponse::Served(_))));
}

#[test]
fn response_to_disconnected_client_is_not_delivered() {
    let (mut request, receiver) = open_request();
    drop(receiver);
    assert_eq!(request.deliver(FinalResponse::Failed), DeliveryOutcome::ClientDisconnected);
    let (mut request, _receiver) = open_request();
    assert!(request.mark_disconnected());
    assert!(!request.mark_disconnected());
    assert_eq!(request.deliver(FinalResponse::Failed), DeliveryOutcome::NotWaiting);
}

#[test]
fn nothing_may_be_sent_after_response_or_dedup_time() {
    let (mut request, _receiver) = open_request();
    assert!(request.may_send(1e9));
    request.set_dedup_until(50.0);
    assert!(request.may_send(49.5));
    assert!(!request.may_send(50.0));
    request.deliver(FinalResponse::Failed);
    assert!(!request.may_send(49.5));
}

#[test]
fn attempts_are_numbered_in_order_and_end_once() {
    let (mut request, _receiver) = open_request();
    request.add_attempt(in_flight_attempt(None));
    assert_eq!(request.add_unsent_attempt(), 1);
    request.add_attempt(in_flight_attempt(Some(11.0)));
    assert_eq!(request.next_attempt_number(), 3);
    // The second attempt was never sent, and the response to the third one has started.
    assert_eq!(request.unsent_attempts(), [0]);
    let in_flight: Vec<u32> = request.attempts_mut().map(|(number, _)| number).collect();
    assert_eq!(in_flight, [0, 2]);
    request.deliver(FinalResponse::Failed);
    assert!(request.take_attempt(0).is_some() && request.take_attempt(0).is_none());
    assert!(request.take_attempt(1).is_none() && request.attempt_mut(3).is_none());
    assert!(!request.is_finished());
    assert!(request.take_attempt(2).is_some());
    assert!(request.is_finished());
}
