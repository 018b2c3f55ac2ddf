//! Each request gets one final response in time, and its class decides which retries and hedged requests are allowed.

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
    assert!(harness.send_request("j").is_empty(), "a request id is accepted only once");
    harness.attempt_ended("j", 0, &endpoint, Status::Ok);
    assert!(
        harness.attempt_ended("j", 0, &endpoint, Status::Error).is_empty(),
        "the late end of an attempt causes no action"
    );
    assert!(harness.handle(Event::ClientDisconnected { request_id: "j".into() }).is_empty());
}

#[test]
fn request_awaiting_silent_counter_is_answered_when_lease_wait_ends() {
    let mut settings = settings();
    // A gateway's even share of the burst is less than one unit, so the request waits for the counter's reply.
    settings.plans[0].burst = 1.0;
    let mut harness = GatewayHarness::new(settings);
    let actions = harness.send_request("j");
    assert!(
        started_attempts(&actions).is_empty() && rejected_count(&actions) == 0,
        "waiting for the counter"
    );
    let timer = actions.iter().find_map(|action| match action {
        Action::SetTimer { token, at } => Some((*token, *at)),
        _ => None,
    });
    let (token, due_at) = timer.expect("a timer that ends the lease wait");
    assert!(due_at - harness.now <= 0.025, "the lease wait lasts 25 ms at most");
    harness.now = due_at;
    let actions = harness.handle(Event::Timer { token });
    assert_eq!(
        started_attempts(&actions).len() + rejected_count(&actions),
        1,
        "the request is answered though the counter is silent"
    );
}

#[test]
fn request_with_deadline_before_end_of_lease_wait_is_rejected_at_once() {
    let mut harness = GatewayHarness::new(settings());
    let urgent = Request { deadline: harness.now + 0.003, ..request("j", harness.now) };
    assert_eq!(rejected_count(&harness.handle(Event::Request(urgent))), 1);
}

#[test]
fn at_most_once_request_that_may_have_run_fails_without_retry() {
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
        ["a", "b", "c", "d"].map(|name| endpoint(name, Lifecycle::Running, 0.0)).into_iter().collect();
    list[2].zone = 1;
    list[3].zone = 1;
    harness.update_endpoints(ListKind::Stale, list);
    let zone = |id: &EndpointId| usize::from(id.as_ref() >= "c");
    let (_, first) = started_attempts(&harness.send_request("j")).remove(0);
    let (_, second) = started_attempts(&harness.attempt_ended("j", 0, &first, Status::Error)).remove(0);
    assert_eq!(zone(&first), zone(&second), "only endpoints of the same zone deduplicate the retry");
    harness.now += 2.0;
    let actions = harness.attempt_ended("j", 1, &second, Status::Error);
    assert_eq!(
        (started_attempts(&actions).len(), rejected_count(&actions), failed_count(&actions)),
        (0, 0, 1),
        "the deduplication window has passed"
    );
}

#[test]
fn retries_with_idempotency_key_carry_end_of_deduplication_window() {
    let dedup_end = |actions: &[Action]| {
        let attempt_dedup_end = |action: &Action| {
            if let Action::StartAttempt { dedup_until, .. } = action { Some(*dedup_until) } else { None }
        };
        actions.iter().find_map(attempt_dedup_end).expect("an attempt")
    };
    for idempotency_scope in [IdempotencyScope::All, IdempotencyScope::Zone, IdempotencyScope::Cell] {
        let mut harness = GatewayHarness::new(settings_without_quota(Effect::IdempotencyKey {
            scope: idempotency_scope,
            window: 1.0,
        }));
        let actions = harness.send_request("j");
        assert_eq!(dedup_end(&actions), None, "a first attempt needs no deduplication");
        let (_, first) = started_attempts(&actions).remove(0);
        harness.now += 0.4;
        // The first attempt may have run, so the window of each retry starts when that attempt was sent.
        let actions = harness.attempt_ended("j", 0, &first, Status::Reset);
        assert_eq!(dedup_end(&actions), Some(101.0));
        let (_, second) = started_attempts(&actions).remove(0);
        harness.now += 0.4;
        assert_eq!(dedup_end(&harness.attempt_ended("j", 1, &second, Status::Error)), Some(101.0));
    }
    // The previous attempt never ran, so there is nothing to deduplicate yet.
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::IdempotencyKey {
        scope: IdempotencyScope::Zone,
        window: 1.0,
    }));
    let (_, first) = started_attempts(&harness.send_request("j")).remove(0);
    harness.now += 0.4;
    let actions = harness.attempt_ended("j", 0, &first, Status::ConnectFailed);
    assert_eq!(dedup_end(&actions), None);
    let (_, second) = started_attempts(&actions).remove(0);
    harness.now += 0.4;
    assert_eq!(dedup_end(&harness.attempt_ended("j", 1, &second, Status::Reset)), Some(101.4));
    // An idempotent request may be retried at any time.
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    let (_, first) = started_attempts(&harness.send_request("j")).remove(0);
    assert_eq!(dedup_end(&harness.attempt_ended("j", 0, &first, Status::Reset)), None);
}

#[test]
fn request_of_disconnected_client_gets_no_attempt_in_any_waiting_state() {
    let disconnect = |harness: &mut GatewayHarness, request_id: &str| {
        let actions = harness.handle(Event::ClientDisconnected { request_id: request_id.into() });
        assert!(
            started_attempts(&actions).is_empty() && rejected_count(&actions) + failed_count(&actions) == 0,
            "no response is due"
        );
    };
    let timers = |actions: &[Action]| -> Vec<(u64, Time)> {
        let timer = |action: &Action| {
            if let Action::SetTimer { token, at } = action { Some((*token, *at)) } else { None }
        };
        actions.iter().filter_map(timer).collect()
    };
    // The request waits for the counter; the reply comes before the lease wait ends, or after.
    for reply_is_late in [false, true] {
        let mut settings = settings();
        // A gateway's even share of the burst is less than one unit, so the request waits for the counter's reply.
        settings.plans[0].burst = 1.0;
        let mut harness = GatewayHarness::new(settings);
        let actions = harness.send_request("j");
        let (counter, amount) = counter_calls(&actions)[0];
        disconnect(&mut harness, "j");
        if reply_is_late {
            let (token, due_at) = timers(&actions)[0];
            harness.now = due_at;
            assert!(started_attempts(&harness.handle(Event::Timer { token })).is_empty());
        }
        assert!(started_attempts(&harness.counter_replied(counter, Status::Ok, amount)).is_empty());
    }
    // The request waits for a concurrency slot.
    let mut settings = settings_without_quota(Effect::Idempotent);
    settings.plans = vec![PlanBuilder::new(10.0, 20.0).max_concurrent_attempts(1).build()];
    settings.gateway_count = 1;
    settings.has_counter = false;
    let mut harness = GatewayHarness::new(settings);
    let (_, endpoint) = started_attempts(&harness.send_request("first")).remove(0);
    let actions = harness.send_request("waits");
    assert!(started_attempts(&actions).is_empty() && rejected_count(&actions) == 0, "queued for the slot");
    disconnect(&mut harness, "waits");
    assert!(started_attempts(&harness.attempt_ended("first", 0, &endpoint, Status::Ok)).is_empty());
    for (token, due_at) in timers(&actions) {
        harness.now = due_at;
        assert!(started_attempts(&harness.handle(Event::Timer { token })).is_empty());
    }
    // The request waits for a hedged request or a retry.
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    let actions = harness.send_request("j");
    let (_, endpoint) = started_attempts(&actions).remove(0);
    disconnect(&mut harness, "j");
    for (token, due_at) in timers(&actions) {
        harness.now = due_at;
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
    assert!(
        !actions.iter().any(|action| matches!(action, Action::SetTimer { .. })),
        "no hedged request is scheduled"
    );
}

/// Returns the number of attempts that a gateway starts when the response to a request's first attempt pauses.
fn attempts_after_pause(effect: Effect, hedging_enabled: bool) -> usize {
    let mut settings = settings_without_quota(effect);
    settings.hedging_enabled = hedging_enabled;
    let mut harness = GatewayHarness::new(settings);
    assert_eq!(started_attempts(&harness.send_request("j")).len(), 1);
    let paused = |harness: &mut GatewayHarness| {
        started_attempts(&harness.handle(Event::ResponseStalled { request_id: "j".into() })).len()
    };
    let started = paused(&mut harness);
    assert_eq!(paused(&mut harness), 0, "one hedged request at most is in flight");
    started
}

/// Guards against a paused response that nothing can replace, and against an unsafe request that runs twice because of a
/// pause.
#[test]
fn paused_response_is_hedged_only_if_request_may_run_again() {
    assert_eq!(attempts_after_pause(Effect::Idempotent, true), 1);
    assert_eq!(attempts_after_pause(Effect::Idempotent, false), 0);
    assert_eq!(attempts_after_pause(Effect::AtMostOnce, true), 0);
}
