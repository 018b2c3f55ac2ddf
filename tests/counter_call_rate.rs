//! The rate of counter calls after failures.

mod common;
use common::{GatewayHarness, counter_calls, request, settings, started_attempts};
use oliverack::{Event, Request, Status};

/// Sends requests of 100 new customers within one second and ends each counter call by `end_call`. Returns the number
/// of calls.
fn counter_calls_in_one_second(
    harness: &mut GatewayHarness,
    id_prefix: &str,
    end_call: impl Fn(&mut GatewayHarness, u64),
) -> usize {
    let mut calls = 0;
    for i in 0..100 {
        harness.now += 0.01;
        let request = Request {
            customer: format!("{id_prefix}{i}").into(),
            ..request(&format!("{id_prefix}{i}"), harness.now)
        };
        let actions = harness.handle(Event::Request(request));
        for (counter, _) in counter_calls(&actions) {
            calls += 1;
            end_call(harness, counter);
        }
        for (request_id, endpoint) in started_attempts(&actions) {
            harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok);
        }
    }
    calls
}

#[test]
fn counter_call_rate_recovers_within_two_seconds_after_timeouts() {
    let mut harness = GatewayHarness::new(settings());
    let reply =
        |harness: &mut GatewayHarness, counter: u64| drop(harness.counter_replied(counter, Status::Ok, 1.0));
    let time_out = |harness: &mut GatewayHarness, counter: u64| {
        let (status, total) = (Status::Timeout, 0.0);
        drop(harness.handle(Event::CounterReplied { counter, status, total, elapsed: 0.05 }));
    };
    let before = counter_calls_in_one_second(&mut harness, "a", reply);
    counter_calls_in_one_second(&mut harness, "b", time_out);
    let during = counter_calls_in_one_second(&mut harness, "c", time_out);
    assert!(during < 10, "{during} calls to a silent counter");
    counter_calls_in_one_second(&mut harness, "d", reply);
    let after = counter_calls_in_one_second(&mut harness, "e", reply);
    assert!(
        before > 40 && after * 2 > before,
        "{before} calls in the second before the timeouts, {after} from 1 s to 2 s after them"
    );
}

#[test]
fn unreadable_replies_and_resets_do_not_lower_counter_call_rate() {
    for status in [Status::Error, Status::Reset] {
        let mut harness = GatewayHarness::new(settings());
        let first = counter_calls_in_one_second(&mut harness, "a", |harness, counter| {
            drop(harness.counter_replied(counter, status, 0.0));
        });
        let second = counter_calls_in_one_second(&mut harness, "b", |harness, counter| {
            drop(harness.counter_replied(counter, status, 0.0));
        });
        assert!(
            first > 40 && second * 4 > first * 3,
            "{first} calls in the first second, {second} in the next"
        );
    }
}
