//! Which endpoints one gateway selects: lifecycle, slow start, ejection, overload.

mod common;
use common::{
    AttemptEnd, GatewayHarness, endpoint, rejected_count, request, settings_without_quota, started_attempts,
};
use oliverack::{Class, Effect, EndpointId, Event, Lifecycle, ListKind, Request, Status};

#[test]
fn draining_or_unlisted_endpoint_gets_no_new_attempts() {
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    harness.update_endpoints(ListKind::Changes, vec![endpoint("a", Lifecycle::Draining, 0.0)]);
    harness.update_endpoints(
        ListKind::Full,
        vec![endpoint("a", Lifecycle::Draining, 0.0), endpoint("b", Lifecycle::Running, 0.0)],
    );
    for i in 0..20 {
        for (request_id, to) in started_attempts(&harness.send_request(&format!("j{i}"))) {
            assert_eq!(to.as_ref(), "b");
            harness.attempt_ended(&request_id, 0, &to, Status::Ok);
        }
    }
    harness.update_endpoints(ListKind::Full, vec![]);
    assert_eq!(
        rejected_count(&harness.send_request("last")),
        1,
        "without endpoints it is rejected, not queued"
    );
}

#[test]
fn endpoint_in_slow_start_gets_reduced_share() {
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    harness.update_endpoints(ListKind::Changes, vec![endpoint("a", Lifecycle::Running, 99.9)]);
    let mut cold = 0;
    for i in 0..90 {
        harness.now += 0.01;
        for (request_id, to) in started_attempts(&harness.send_request(&format!("j{i}"))) {
            cold += usize::from(to.as_ref() == "a");
            harness.attempt_ended(&request_id, 0, &to, Status::Ok);
        }
    }
    assert!(cold <= 12, "{cold} of 90 went to the one of three endpoints in slow start");
}

#[test]
fn endpoint_back_after_unannounced_outage_enters_slow_start() {
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    harness.update_endpoints(ListKind::Full, vec![endpoint("a", Lifecycle::Running, 0.0)]);
    // Unreachable for more than a second, before and after its ejection.
    for request_id in ["j0", "j00", "j000"] {
        harness.send_request(request_id);
        harness.attempt_ended(request_id, 0, &"a".into(), Status::ConnectFailed);
        harness.now += 1.5;
    }
    harness.now += 2.0;
    harness.send_request("j1");
    harness.attempt_ended("j1", 0, &"a".into(), Status::Ok);
    let sent =
        (2..20).map(|i| started_attempts(&harness.send_request(&format!("j{i}"))).len()).sum::<usize>();
    assert!(sent <= 1, "{sent} sent at once to an endpoint in slow start");
}

#[test]
fn sporadic_connect_failures_do_not_cause_slow_start() {
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    harness.update_endpoints(ListKind::Full, vec![endpoint("a", Lifecycle::Running, 0.0)]);
    for round in 0..5 {
        for request_id in ["x", "y"] {
            let request_id = format!("{request_id}{round}");
            harness.send_request(&request_id);
            harness.attempt_ended(&request_id, 0, &"a".into(), Status::ConnectFailed);
        }
        harness.now += 2.0;
        let request_id = format!("z{round}");
        harness.send_request(&request_id);
        harness.attempt_ended(&request_id, 0, &"a".into(), Status::Ok);
    }
    let sent =
        (2..20).map(|i| started_attempts(&harness.send_request(&format!("j{i}"))).len()).sum::<usize>();
    assert!(sent >= 4, "{sent} sent at once to an endpoint that responded after each pair of failures");
}

#[test]
fn two_consecutive_connect_failures_eject_endpoint_but_one_does_not() {
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    harness.update_endpoints(
        ListKind::Full,
        vec![endpoint("a", Lifecycle::Running, 0.0), endpoint("b", Lifecycle::Running, 0.0)],
    );
    harness.send_request("j0");
    let (first, other): (EndpointId, EndpointId) = match &*started_attempts(&harness.actions)[0].1 {
        "a" => ("a".into(), "b".into()),
        _ => ("b".into(), "a".into()),
    };
    let tried = |harness: &mut GatewayHarness, from: usize| {
        let requests: Vec<_> = (from..from + 12)
            .flat_map(|i| started_attempts(&harness.send_request(&format!("j{i}"))))
            .collect();
        for (request_id, to) in &requests {
            drop(harness.attempt_ended(request_id, 0, to, Status::Ok));
        }
        requests.iter().filter(|(_, to)| *to == first).count()
    };
    harness.attempt_ended("j0", 0, &first, Status::ConnectFailed);
    harness.attempt_ended("j0", 1, &other, Status::Ok);
    assert!(tried(&mut harness, 1) > 0, "not ejected");
    for i in 100.. {
        let request_id = format!("j{i}");
        if started_attempts(&harness.send_request(&request_id)).first().is_some_and(|(_, to)| *to == first) {
            harness.attempt_ended(&request_id, 0, &first, Status::ConnectFailed);
            harness.attempt_ended(&request_id, 1, &other, Status::ConnectFailed);
            break;
        }
        harness.attempt_ended(&request_id, 0, &other, Status::Ok);
    }
    for i in 200.. {
        let request_id = format!("j{i}");
        if started_attempts(&harness.send_request(&request_id)).first().is_some_and(|(_, to)| *to == first) {
            harness.attempt_ended(&request_id, 0, &first, Status::ConnectFailed);
            harness.attempt_ended(&request_id, 1, &other, Status::Ok);
            break;
        }
        harness.attempt_ended(&request_id, 0, &other, Status::Ok);
    }
    assert_eq!(tried(&mut harness, 300), 0, "ejected");
}

#[test]
fn timeouts_under_overload_do_not_eject_all_endpoints() {
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    for i in 0..12 {
        for (request_id, to) in started_attempts(&harness.send_request(&format!("j{i}"))) {
            harness.attempt_ended(&request_id, 0, &to, Status::Timeout);
        }
    }
    harness.now += 0.1;
    assert_eq!(started_attempts(&harness.send_request("after")).len(), 1);
}

#[test]
fn endpoint_failing_one_class_gets_little_of_it_and_full_share_of_others() {
    let mut settings = settings_without_quota(Effect::Idempotent);
    let mut unsafe_class = Class::default();
    unsafe_class.effect = Effect::AtMostOnce;
    settings.classes.push(unsafe_class);
    let mut harness = GatewayHarness::new(settings);
    let (mut erred, mut good) = (0, 0);
    for i in 0..400 {
        harness.now += 0.01;
        let request = Request { class: i % 2, ..request(&format!("j{i}"), harness.now) };
        for (request_id, to) in started_attempts(&harness.handle(Event::Request(request))) {
            let errs = &*to == "a" && i % 2 == 1;
            erred += usize::from(errs);
            good += usize::from(&*to == "a" && !errs);
            harness.attempt_ended(&request_id, 0, &to, if errs { Status::Error } else { Status::Ok });
        }
    }
    assert!(erred <= 20, "{erred} of 200 went to the one of three endpoints that fails them");
    assert!(good >= 40, "{good} of 200 of the other class went to it");
    harness.now += 20.0;
    let back = (0..60).filter(|i| {
        harness.now += 0.01;
        let request = Request { class: 1, ..request(&format!("k{i}"), harness.now) };
        let sent = started_attempts(&harness.handle(Event::Request(request)));
        for (request_id, to) in &sent {
            drop(harness.attempt_ended(request_id, 0, to, Status::Ok));
        }
        sent.iter().any(|(_, to)| &**to == "a")
    });
    assert!(back.count() >= 10, "used again after recovery");
}

/// How many of `n` simultaneous requests are sent, at endpoints whose response time was `idle` seconds and then
/// `now`.
fn sent_at_once(idle: f64, now: f64, n: usize) -> usize {
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    for (tag, elapsed) in [("i", idle), ("n", now)] {
        for i in 0..60 {
            harness.now += 0.1;
            for (request_id, endpoint) in started_attempts(&harness.send_request(&format!("{tag}{i}"))) {
                harness.handle(AttemptEnd::new(&request_id, &endpoint).elapsed(elapsed).event());
            }
        }
    }
    (0..n).map(|i| started_attempts(&harness.send_request(&format!("burst{i}"))).len()).sum()
}

#[test]
fn idle_response_time_is_not_taken_for_overload() {
    let slow = sent_at_once(0.15, 0.15, 40);
    let pressed = sent_at_once(0.15, 0.9, 40);
    assert!(
        slow >= 6,
        "{slow} sent at once to three idle endpoints with a response time of 0.15 of the latency objective"
    );
    assert!(pressed * 3 <= slow * 2, "{pressed} sent where responses take six times as long, {slow} before");
}
