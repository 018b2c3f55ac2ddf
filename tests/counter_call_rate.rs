//! The rate of counter calls after failures.

mod common;
use common::{GatewayHarness, counter_calls, request, settings, started_attempts};
use oliverack::{Event, Request, Status};

/// Sends requests of a hundred new customers within one second and ends each counter call by `end`; returns the
/// number of calls.
fn calls_in_a_second(
    harness: &mut GatewayHarness,
    tag: &str,
    end: impl Fn(&mut GatewayHarness, u64),
) -> usize {
    let mut calls = 0;
    for i in 0..100 {
        harness.now += 0.01;
        let request =
            Request { customer: format!("{tag}{i}").into(), ..request(&format!("{tag}{i}"), harness.now) };
        let actions = harness.handle(Event::Request(request));
        for (name, _) in counter_calls(&actions) {
            calls += 1;
            end(harness, name);
        }
        for (request_id, endpoint) in started_attempts(&actions) {
            harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok);
        }
    }
    calls
}

#[test]
fn counter_call_rate_recovers_soon_after_timeouts() {
    let mut harness = GatewayHarness::new(settings());
    let well = |harness: &mut GatewayHarness, name: u64| drop(harness.counter_replied(name, Status::Ok, 1.0));
    let silent = |harness: &mut GatewayHarness, counter: u64| {
        let (status, total) = (Status::Timeout, 0.0);
        drop(harness.handle(Event::CounterReplied { counter, status, total, elapsed: 0.05 }));
    };
    let before = calls_in_a_second(&mut harness, "a", well);
    calls_in_a_second(&mut harness, "b", silent);
    let during = calls_in_a_second(&mut harness, "c", silent);
    assert!(during < 10, "{during} calls to a silent counter");
    calls_in_a_second(&mut harness, "d", well);
    let after = calls_in_a_second(&mut harness, "e", well);
    assert!(before > 40 && after * 2 > before, "{before} before, {after} two seconds after the silence");
}

#[test]
fn unreadable_replies_and_resets_do_not_lower_counter_call_rate() {
    for status in [Status::Error, Status::Reset] {
        let mut harness = GatewayHarness::new(settings());
        let first = calls_in_a_second(&mut harness, "a", |harness, name| {
            drop(harness.counter_replied(name, status, 0.0));
        });
        let second = calls_in_a_second(&mut harness, "b", |harness, name| {
            drop(harness.counter_replied(name, status, 0.0));
        });
        assert!(first > 40 && second * 4 > first * 3, "{first}, then {second} calls");
    }
}
