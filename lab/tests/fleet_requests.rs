//! Life cycle of requests and attempts in the table of open requests.

use oliverack_lab::fleet::requests::{AttemptKey, Demand, RequestTable};

const GATEWAY: usize = 3;

fn demand() -> Demand {
    Demand {
        tenant: 0,
        class: 0,
        units: 1.0,
        submitted_at: 100.0,
        deadline: 105.0,
        service_seconds: 0.1,
        weight: 2.0,
        is_within_quota: true,
        retries: 0,
    }
}

/// Returns a table with one request, whose first attempt is in flight, and the key of the attempt.
fn table_with_attempt_in_flight() -> (RequestTable, AttemptKey) {
    let mut requests = RequestTable::default();
    let number = requests.insert(demand(), GATEWAY);
    let started = requests.start_attempt(number, "a".into(), 100.5).expect("an open request");
    (requests, started.key)
}

#[test]
fn request_is_answered_only_once() {
    let (mut requests, attempt) = table_with_attempt_in_flight();
    assert!(!requests.is_answered(attempt.request));
    let answered = requests.answer(attempt.request).expect("the first response");
    assert_eq!((answered.gateway, answered.demand.weight), (GATEWAY, 2.0));
    assert!(requests.is_answered(attempt.request));
    assert!(requests.answer(attempt.request).is_none());
}

#[test]
fn attempt_ends_only_once() {
    let (mut requests, attempt) = table_with_attempt_in_flight();
    assert!(attempt.is_first() && requests.is_in_flight(attempt));
    let ended = requests.end_attempt(attempt).expect("the first end");
    assert_eq!((ended.endpoint, ended.sent_at, ended.gateway), ("a".into(), 100.5, GATEWAY));
    assert!(!requests.is_in_flight(attempt));
    assert!(requests.end_attempt(attempt).is_none());
}

#[test]
fn answered_request_stays_open_until_attempts_end() {
    let (mut requests, attempt) = table_with_attempt_in_flight();
    requests.answer(attempt.request);
    assert_eq!(requests.close_if_finished(attempt.request), None);
    let late_attempt = requests.start_attempt(attempt.request, "b".into(), 101.0).expect("an open request");
    assert!(late_attempt.request_is_answered && !late_attempt.key.is_first());
    requests.end_attempt(attempt);
    assert_eq!(requests.close_if_finished(attempt.request), None);
    requests.end_attempt(late_attempt.key);
    assert_eq!(requests.close_if_finished(attempt.request), Some(GATEWAY));
    assert_eq!(requests.close_if_finished(attempt.request), None);
    assert!(requests.is_empty() && requests.is_answered(attempt.request));
}

#[test]
fn unanswered_request_stays_open() {
    let (mut requests, attempt) = table_with_attempt_in_flight();
    requests.end_attempt(attempt);
    assert_eq!(requests.close_if_finished(attempt.request), None);
    assert_eq!(requests.len(), 1);
}

#[test]
fn requests_of_stopped_gateway_are_removed_in_order() {
    let mut requests = RequestTable::default();
    let gateways = [GATEWAY, 4, GATEWAY];
    let numbers = gateways.map(|gateway| requests.insert(demand(), gateway));
    requests.answer(numbers[2]);
    let removed_are_answered: Vec<bool> =
        requests.remove_all_at(GATEWAY).iter().map(|request| request.is_answered).collect();
    assert_eq!(removed_are_answered, [false, true]);
    assert!(requests.get(numbers[0]).is_none() && requests.get(numbers[1]).is_some());
    assert!(requests.start_attempt(numbers[0], "a".into(), 101.0).is_none());
}
