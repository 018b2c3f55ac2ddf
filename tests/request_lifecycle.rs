//! Each request gets one final response in time, and retries and hedged requests heed its class.

mod common;
use common::{
    GatewayHarness, PlanBuilder, counter_calls, endpoint, failed_count, rejected_count, request, settings,
    settings_without_quota, started_attempts,
};
use oliverack::{
    Action, Effect, Endpoint, EndpointId, Event, IdempotencyScope, Lifecycle, ListKind, Request, Status, Time,
};

#[test]
fn finished_request_ignores_later_events() {
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    let (_, endpoint) = started_attempts(&harness.send_request("j")).remove(0);
    assert!(harness.send_request("j").is_empty(), "an id is accepted once");
    harness.attempt_ended("j", 0, &endpoint, Status::Ok);
    assert!(
        harness.attempt_ended("j", 0, &endpoint, Status::Error).is_empty(),
        "a late outcome causes no action"
    );
    assert!(harness.handle(Event::ClientDisconnected { request_id: "j".into() }).is_empty());
}

#[test]
fn request_awaiting_counter_is_answered_within_hold_time() {
    let mut settings = settings();
    // No even share of one unit each, so the request waits for the counter's reply.
    settings.plans[0].burst = 1.0;
    let mut harness = GatewayHarness::new(settings);
    let actions = harness.send_request("j");
    assert!(
        started_attempts(&actions).is_empty() && rejected_count(&actions) == 0,
        "waiting for the counter"
    );
    let timer = actions.iter().find_map(|a| match a {
        Action::SetTimer { token, at } => Some((*token, *at)),
        _ => None,
    });
    let (token, at) = timer.expect("a hold has its timer");
    assert!(at - harness.now <= 0.025, "a few milliseconds");
    harness.now = at;
    let actions = harness.handle(Event::Timer { token });
    assert_eq!(
        started_attempts(&actions).len() + rejected_count(&actions),
        1,
        "a silent counter does not hold it longer"
    );
}

#[test]
fn request_with_deadline_within_hold_time_is_rejected_at_once() {
    let mut harness = GatewayHarness::new(settings());
    let near = Request { deadline: harness.now + 0.003, ..request("j", harness.now) };
    assert_eq!(rejected_count(&harness.handle(Event::Request(near))), 1);
}

#[test]
fn at_most_once_request_that_may_have_run_is_neither_retried_nor_rejected() {
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::AtMostOnce));
    let (_, endpoint) = started_attempts(&harness.send_request("j")).remove(0);
    let actions = harness.attempt_ended("j", 0, &endpoint, Status::Reset);
    assert_eq!(
        (started_attempts(&actions).len(), rejected_count(&actions), failed_count(&actions)),
        (0, 0, 1)
    );
    let (_, endpoint) = started_attempts(&harness.send_request("k")).remove(0);
    let actions = harness.attempt_ended("k", 0, &endpoint, Status::Rejected);
    assert_eq!(started_attempts(&actions).len(), 1, "an attempt that certainly never ran is retried");
}

#[test]
fn request_with_idempotency_key_is_retried_only_within_scope_and_window() {
    let mut settings =
        settings_without_quota(Effect::IdempotencyKey { scope: IdempotencyScope::Zone, window: 1.0 });
    settings.max_attempts = 9;
    let mut harness = GatewayHarness::without_endpoints(settings);
    let mut list: Vec<Endpoint> =
        ["a", "b", "c", "d"].map(|n| endpoint(n, Lifecycle::Running, 0.0)).into_iter().collect();
    list[2].zone = 1;
    list[3].zone = 1;
    harness.update_endpoints(ListKind::Stale, list);
    let zone = |id: &EndpointId| usize::from(id.as_ref() >= "c");
    let (_, first) = started_attempts(&harness.send_request("j")).remove(0);
    let (_, second) = started_attempts(&harness.attempt_ended("j", 0, &first, Status::Error)).remove(0);
    assert_eq!(zone(&first), zone(&second), "only this scope deduplicates the retry");
    harness.now += 2.0;
    let actions = harness.attempt_ended("j", 1, &second, Status::Error);
    assert_eq!(
        (started_attempts(&actions).len(), rejected_count(&actions), failed_count(&actions)),
        (0, 0, 1),
        "the window of its scope has passed"
    );
}

#[test]
fn attempts_with_idempotency_key_carry_end_of_deduplication_window() {
    let until = |actions: &[Action]| {
        let until = |a: &Action| {
            if let Action::StartAttempt { dedup_until, .. } = a { Some(*dedup_until) } else { None }
        };
        actions.iter().find_map(until).expect("an attempt")
    };
    for group in [IdempotencyScope::All, IdempotencyScope::Zone, IdempotencyScope::Cell] {
        let mut harness =
            GatewayHarness::new(settings_without_quota(Effect::IdempotencyKey { scope: group, window: 1.0 }));
        let actions = harness.send_request("j");
        assert_eq!(until(&actions), None, "the first attempt is no retry");
        let (_, first) = started_attempts(&actions).remove(0);
        harness.now += 0.4;
        // The first attempt may have run since it was sent, so the window of the last starts there, too.
        let actions = harness.attempt_ended("j", 0, &first, Status::Reset);
        assert_eq!(until(&actions), Some(101.0));
        let (_, second) = started_attempts(&actions).remove(0);
        harness.now += 0.4;
        assert_eq!(until(&harness.attempt_ended("j", 1, &second, Status::Error)), Some(101.0));
    }
    // The previous attempt never ran, so there is nothing to deduplicate yet.
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::IdempotencyKey {
        scope: IdempotencyScope::Zone,
        window: 1.0,
    }));
    let (_, first) = started_attempts(&harness.send_request("j")).remove(0);
    harness.now += 0.4;
    let actions = harness.attempt_ended("j", 0, &first, Status::ConnectFailed);
    assert_eq!(until(&actions), None);
    let (_, second) = started_attempts(&actions).remove(0);
    harness.now += 0.4;
    assert_eq!(until(&harness.attempt_ended("j", 1, &second, Status::Reset)), Some(101.4));
    // A retry of an idempotent request does no harm at any time.
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    let (_, first) = started_attempts(&harness.send_request("j")).remove(0);
    assert_eq!(until(&harness.attempt_ended("j", 0, &first, Status::Reset)), None);
}

#[test]
fn disconnected_client_causes_no_attempt_in_any_waiting_state() {
    let left = |harness: &mut GatewayHarness, request_id: &str| {
        let actions = harness.handle(Event::ClientDisconnected { request_id: request_id.into() });
        assert!(
            started_attempts(&actions).is_empty() && rejected_count(&actions) + failed_count(&actions) == 0,
            "no response is due"
        );
    };
    let timers = |actions: &[Action]| -> Vec<(u64, Time)> {
        let timer =
            |a: &Action| if let Action::SetTimer { token, at } = a { Some((*token, *at)) } else { None };
        actions.iter().filter_map(timer).collect()
    };
    // Waiting for the counter: its reply and the end of the hold, in either order.
    for late in [false, true] {
        let mut settings = settings();
        // No even share of one unit each, so the request waits for the counter's reply.
        settings.plans[0].burst = 1.0;
        let mut harness = GatewayHarness::new(settings);
        let actions = harness.send_request("j");
        let (counter, amount) = counter_calls(&actions)[0];
        left(&mut harness, "j");
        if late {
            let (token, at) = timers(&actions)[0];
            harness.now = at;
            assert!(started_attempts(&harness.handle(Event::Timer { token })).is_empty());
        }
        assert!(started_attempts(&harness.counter_replied(counter, Status::Ok, amount)).is_empty());
    }
    // Waiting for a concurrency slot.
    let mut settings = settings_without_quota(Effect::Idempotent);
    settings.plans = vec![PlanBuilder::new(10.0, 20.0).max_concurrent_attempts(1).build()];
    settings.gateway_count = 1;
    settings.has_counter = false;
    let mut harness = GatewayHarness::new(settings);
    let (_, endpoint) = started_attempts(&harness.send_request("first")).remove(0);
    let actions = harness.send_request("waits");
    assert!(started_attempts(&actions).is_empty() && rejected_count(&actions) == 0, "queued for the slot");
    left(&mut harness, "waits");
    assert!(started_attempts(&harness.attempt_ended("first", 0, &endpoint, Status::Ok)).is_empty());
    for (token, at) in timers(&actions) {
        harness.now = at;
        assert!(started_attempts(&harness.handle(Event::Timer { token })).is_empty());
    }
    // Waiting for a hedged request or a retry.
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    let actions = harness.send_request("j");
    let (_, endpoint) = started_attempts(&actions).remove(0);
    left(&mut harness, "j");
    for (token, at) in timers(&actions) {
        harness.now = at;
        assert!(started_attempts(&harness.handle(Event::Timer { token })).is_empty());
    }
    assert!(started_attempts(&harness.attempt_ended("j", 0, &endpoint, Status::Reset)).is_empty());
}

#[test]
fn disabled_hedging_schedules_no_hedged_request() {
    let mut settings = settings_without_quota(Effect::Idempotent);
    settings.hedging_enabled = false;
    let mut harness = GatewayHarness::new(settings);
    let actions = harness.send_request("j");
    assert_eq!(started_attempts(&actions).len(), 1);
    assert!(!actions.iter().any(|a| matches!(a, Action::SetTimer { .. })), "no hedge is even planned");
}
