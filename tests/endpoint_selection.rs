//! Selection of endpoints by one gateway: lifecycle, slow start, ejection and overload.

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
        for (request_id, endpoint) in started_attempts(&harness.send_request(&format!("j{i}"))) {
            assert_eq!(endpoint.as_ref(), "b");
            harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok);
        }
    }
    harness.update_endpoints(ListKind::Full, vec![]);
    assert_eq!(rejected_count(&harness.send_request("last")), 1, "rejected at once without endpoints");
}

#[test]
fn endpoint_in_slow_start_gets_reduced_share() {
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    harness.update_endpoints(ListKind::Changes, vec![endpoint("a", Lifecycle::Running, 99.9)]);
    let mut sent_to_new = 0;
    for i in 0..90 {
        harness.now += 0.01;
        for (request_id, endpoint) in started_attempts(&harness.send_request(&format!("j{i}"))) {
            sent_to_new += usize::from(endpoint.as_ref() == "a");
            harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok);
        }
    }
    assert!(sent_to_new <= 12, "{sent_to_new} of 90 went to the one of three endpoints in slow start");
}

#[test]
fn endpoint_enters_slow_start_after_connect_failures_for_over_a_second() {
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    harness.update_endpoints(ListKind::Full, vec![endpoint("a", Lifecycle::Running, 0.0)]);
    // The endpoint is unreachable for more than a second, before and after its ejection.
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
    assert!(sent <= 1, "{sent} requests sent at once to an endpoint in slow start");
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
    assert!(
        sent >= 4,
        "{sent} requests sent at once to an endpoint that responded after each pair of failures"
    );
}

#[test]
fn endpoint_is_ejected_after_second_consecutive_connect_failure() {
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    harness.update_endpoints(
        ListKind::Full,
        vec![endpoint("a", Lifecycle::Running, 0.0), endpoint("b", Lifecycle::Running, 0.0)],
    );
    harness.send_request("j0");
    let (first, second): (EndpointId, EndpointId) = match &*started_attempts(&harness.actions)[0].1 {
        "a" => ("a".into(), "b".into()),
        _ => ("b".into(), "a".into()),
    };
    let attempts_at_first = |harness: &mut GatewayHarness, first_number: usize| {
        let attempts: Vec<_> = (first_number..first_number + 12)
            .flat_map(|i| started_attempts(&harness.send_request(&format!("j{i}"))))
            .collect();
        for (request_id, endpoint) in &attempts {
            drop(harness.attempt_ended(request_id, 0, endpoint, Status::Ok));
        }
        attempts.iter().filter(|(_, endpoint)| *endpoint == first).count()
    };
    harness.attempt_ended("j0", 0, &first, Status::ConnectFailed);
    harness.attempt_ended("j0", 1, &second, Status::Ok);
    assert!(attempts_at_first(&mut harness, 1) > 0, "a single failure does not eject the endpoint");
    for i in 100.. {
        let request_id = format!("j{i}");
        if started_attempts(&harness.send_request(&request_id))
            .first()
            .is_some_and(|(_, endpoint)| *endpoint == first)
        {
            harness.attempt_ended(&request_id, 0, &first, Status::ConnectFailed);
            harness.attempt_ended(&request_id, 1, &second, Status::ConnectFailed);
            break;
        }
        harness.attempt_ended(&request_id, 0, &second, Status::Ok);
    }
    for i in 200.. {
        let request_id = format!("j{i}");
        if started_attempts(&harness.send_request(&request_id))
            .first()
            .is_some_and(|(_, endpoint)| *endpoint == first)
        {
            harness.attempt_ended(&request_id, 0, &first, Status::ConnectFailed);
            harness.attempt_ended(&request_id, 1, &second, Status::Ok);
            break;
        }
        harness.attempt_ended(&request_id, 0, &second, Status::Ok);
    }
    assert_eq!(attempts_at_first(&mut harness, 300), 0, "two consecutive failures eject the endpoint");
}

#[test]
fn timeouts_under_overload_do_not_eject_all_endpoints() {
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    for i in 0..12 {
        for (request_id, endpoint) in started_attempts(&harness.send_request(&format!("j{i}"))) {
            harness.attempt_ended(&request_id, 0, &endpoint, Status::Timeout);
        }
    }
    harness.now += 0.1;
    assert_eq!(started_attempts(&harness.send_request("after")).len(), 1);
}

#[test]
fn endpoint_loses_its_share_only_of_the_class_that_it_fails() {
    let mut settings = settings_without_quota(Effect::Idempotent);
    let mut at_most_once_class = Class::default();
    at_most_once_class.effect = Effect::AtMostOnce;
    settings.classes.push(at_most_once_class);
    let mut harness = GatewayHarness::new(settings);
    let (mut failed_attempts, mut successful_attempts) = (0, 0);
    for i in 0..400 {
        harness.now += 0.01;
        let request = Request { class: i % 2, ..request(&format!("j{i}"), harness.now) };
        for (request_id, endpoint) in started_attempts(&harness.handle(Event::Request(request))) {
            let fails = &*endpoint == "a" && i % 2 == 1;
            failed_attempts += usize::from(fails);
            successful_attempts += usize::from(&*endpoint == "a" && !fails);
            harness.attempt_ended(&request_id, 0, &endpoint, if fails { Status::Error } else { Status::Ok });
        }
    }
    assert!(
        failed_attempts <= 20,
        "{failed_attempts} of 200 requests went to the one of three endpoints that fails them"
    );
    assert!(
        successful_attempts >= 40,
        "{successful_attempts} of 200 requests of the other class went to that endpoint"
    );
    harness.now += 20.0;
    let sent_after_recovery = (0..60).filter(|i| {
        harness.now += 0.01;
        let request = Request { class: 1, ..request(&format!("k{i}"), harness.now) };
        let sent = started_attempts(&harness.handle(Event::Request(request)));
        for (request_id, endpoint) in &sent {
            drop(harness.attempt_ended(request_id, 0, endpoint, Status::Ok));
        }
        sent.iter().any(|(_, endpoint)| &**endpoint == "a")
    });
    assert!(sent_after_recovery.count() >= 10, "the endpoint is used again after its recovery");
}

/// Returns how many of `request_count` simultaneous requests a gateway sends. The response time of its endpoints was
/// `idle_time` seconds and then `present_time` seconds.
fn sent_at_once(idle_time: f64, present_time: f64, request_count: usize) -> usize {
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    for (id_prefix, elapsed) in [("i", idle_time), ("n", present_time)] {
        for i in 0..60 {
            harness.now += 0.1;
            for (request_id, endpoint) in started_attempts(&harness.send_request(&format!("{id_prefix}{i}")))
            {
                harness.handle(AttemptEnd::new(&request_id, &endpoint).elapsed(elapsed).event());
            }
        }
    }
    (0..request_count).map(|i| started_attempts(&harness.send_request(&format!("burst{i}"))).len()).sum()
}

#[test]
fn idle_response_time_is_not_taken_for_overload() {
    let idle = sent_at_once(0.15, 0.15, 40);
    let overloaded = sent_at_once(0.15, 0.9, 40);
    assert!(
        idle >= 6,
        "{idle} requests sent at once to three idle endpoints with a response time of 0.15 of the latency objective"
    );
    assert!(
        overloaded * 3 <= idle * 2,
        "{overloaded} requests sent at once after the response time rose sixfold, {idle} before"
    );
}
