//! Leases of quota: grants, rejections, and admission by even share while the counter fails.

mod common;
use common::{
    FakeCounter, GatewayHarness, counter_calls, fire_timers, rejected_count, settings, started_attempts,
};
use oliverack::{Action, Status};

#[test]
fn new_customer_is_admitted_by_even_share_while_counter_is_called() {
    let mut harness = GatewayHarness::new(settings());
    let actions = harness.send_request("j");
    assert_eq!(
        (started_attempts(&actions).len(), counter_calls(&actions).len()),
        (1, 1),
        "the request is sent while the counter is called"
    );
}

#[test]
fn requests_beyond_spent_burst_are_rejected_without_counter_call() {
    let (mut harness, mut counter) = (GatewayHarness::new(settings()), FakeCounter::default());
    assert_eq!(counter.send_requests(&mut harness, "a", 60), 20, "exactly the burst is sent");
    let actions = harness.send_request("b");
    assert_eq!(
        (rejected_count(&actions), counter_calls(&actions).len()),
        (1, 0),
        "a spent quota is rejected without a counter call"
    );
    assert!(matches!(actions[0], Action::Reject { retry_after, .. } if retry_after > 0.0));
}

#[test]
fn two_gateways_admit_one_burst_together() {
    let (mut first, mut second, mut counter) =
        (GatewayHarness::new(settings()), GatewayHarness::new(settings()), FakeCounter::default());
    let mut sent = 0;
    for i in 0..40 {
        sent += counter.send_requests(&mut first, &format!("a{i}-"), 1);
        sent += counter.send_requests(&mut second, &format!("b{i}-"), 1);
    }
    assert!((18..=21).contains(&sent), "{sent} sent of a burst of 20, of which one unit may be unreported");
}

#[test]
fn window_change_grants_no_second_burst() {
    let (mut harness, mut counter) = (GatewayHarness::new(settings()), FakeCounter::default());
    let mut sent = 0;
    for step in 0..100 {
        let now = 100.0 + f64::from(step) * 0.1;
        fire_timers(&mut harness, &mut counter, now);
        sent += counter.send_requests(&mut harness, &format!("s{step}-"), 4);
    }
    assert!((110..=124).contains(&sent), "{sent} sent; a burst of 20 and 10 a second for 10 s make 120");
}

#[test]
fn counter_reset_grants_no_second_burst() {
    let (mut harness, mut counter) = (GatewayHarness::new(settings()), FakeCounter::default());
    counter.send_requests(&mut harness, "a", 60);
    counter.totals.clear();
    harness.now += 0.3;
    let sent = counter.send_requests(&mut harness, "b", 60);
    assert!(sent <= 4, "{sent} sent after 0.3 s at 10 a second");
    assert!(counter.total() > 15.0, "units sent before the reset are reported again");
}

#[test]
fn counter_timeout_sends_or_rejects_waiting_request_once() {
    let (mut harness, mut counter) = (GatewayHarness::new(settings()), FakeCounter::default());
    counter.send_requests(&mut harness, "a", 60);
    harness.now += 1.0;
    let actions = harness.send_request("lost");
    let (counter_name, _) = counter_calls(&actions)[0];
    let actions = harness.counter_replied(counter_name, Status::Timeout, 0.0);
    assert_eq!(started_attempts(&actions).len() + rejected_count(&actions), 1);
}

#[test]
fn units_of_rejected_counter_call_are_reported_by_next_call() {
    for status in [Status::Rejected, Status::ConnectFailed] {
        let mut harness = GatewayHarness::new(settings());
        let (mut sent, mut reported) = (0, 0.0);
        for i in 0..6 {
            harness.now += 0.375;
            let before = sent;
            let mut actions = harness.send_request(&format!("s{i}"));
            for (counter_name, amount) in counter_calls(&actions) {
                assert!(amount >= before as f64, "{status:?}: {amount} reported, {before} sent unreported");
                reported = amount;
                actions.extend(harness.counter_replied(counter_name, status, 0.0));
            }
            sent += started_attempts(&actions).len();
        }
        assert!(sent >= 4 && reported >= 4.0, "{sent} sent, {reported} reported by the last call");
    }
}

#[test]
fn units_leased_by_unreadable_reply_are_returned_to_counter() {
    let mut settings = settings();
    settings.plans[0].rate = 1.0;
    let (mut harness, mut counter) = (GatewayHarness::new(settings), FakeCounter::default());
    let mut sent = counter.send_requests(&mut harness, "a", 3);
    for i in 0..8 {
        harness.now += 0.375;
        let mut actions = harness.send_request(&format!("s{i}"));
        for (counter_name, amount) in counter_calls(&actions) {
            *counter.totals.entry(counter_name).or_default() += amount;
            actions.extend(harness.counter_replied(counter_name, Status::Error, 0.0));
        }
        for (request_id, endpoint) in started_attempts(&actions) {
            sent += 1;
            harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok);
        }
    }
    harness.now += 1.0;
    sent += counter.send_requests(&mut harness, "b", 60);
    assert!((23..=25).contains(&sent), "{sent} sent; a burst of 20 and one a second for 4 s make 24");
}

#[test]
fn silent_counter_falls_back_to_even_share() {
    let (mut harness, mut counter) = (GatewayHarness::new(settings()), FakeCounter::default());
    counter.send_requests(&mut harness, "a", 60);
    let mut sent = 0;
    for step in 1..=50 {
        harness.now = 100.0 + f64::from(step) * 0.1;
        let mut actions = harness.send_request(&format!("q{step}"));
        for (counter_name, _) in counter_calls(&actions) {
            actions.extend(harness.counter_replied(counter_name, Status::Timeout, 0.0));
        }
        for (request_id, endpoint) in started_attempts(&actions) {
            sent += 1;
            harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok);
        }
    }
    assert!(
        (30..=36).contains(&sent),
        "{sent} sent in 5 s; half of a burst of 20 and of 10 a second makes 35"
    );
}

#[test]
fn unused_lease_expires_with_its_window() {
    let (mut harness, mut counter) = (GatewayHarness::new(settings()), FakeCounter::default());
    counter.send_requests(&mut harness, "a", 15);
    // A window lasts 8 s here, so the rest of the lease belongs to an earlier window.
    harness.now += 30.0;
    let actions = harness.send_request("b");
    assert_eq!(counter_calls(&actions).len(), 1, "the lease has expired, so the counter is called");
}
