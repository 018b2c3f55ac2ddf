//! Each request gets one final response in time, and retries and hedged requests heed its class.

mod common;
use common::*;
use oliverack::*;

#[test]
fn finished_request_ignores_later_events() {
    let mut rig = Rig::new(plain(Effect::Idempotent));
    let (_, endpoint) = sends(&rig.ask("j")).remove(0);
    assert!(rig.ask("j").is_empty(), "an id is taken once");
    rig.outcome("j", 0, &endpoint, Status::Ok);
    assert!(rig.outcome("j", 0, &endpoint, Status::Error).is_empty(), "a late outcome leads to nothing");
    assert!(rig.event(Event::ClientDisconnected { request_id: "j".into() }).is_empty());
}

#[test]
fn request_awaiting_counter_is_answered_within_hold_time() {
    let mut s = settings();
    s.plans[0].burst = 1.0; // Of a burst under a request for each gateway nothing goes before the counter's answer.
    let mut rig = Rig::new(s);
    let out = rig.ask("j");
    assert!(sends(&out).is_empty() && refused(&out) == 0, "held for the counter");
    let timer = out.iter().find_map(|a| match a {
        Action::SetTimer { token, at } => Some((*token, *at)),
        _ => None,
    });
    let (token, at) = timer.expect("a hold has its timer");
    assert!(at - rig.now <= 0.025, "a few milliseconds");
    rig.now = at;
    let out = rig.event(Event::Timer { token });
    assert_eq!(sends(&out).len() + refused(&out), 1, "a silent counter does not hold it longer");
}

#[test]
fn request_with_deadline_within_hold_time_is_rejected_at_once() {
    let mut rig = Rig::new(settings());
    let mut near = request("j", rig.now);
    near.deadline = rig.now + 0.003;
    assert_eq!(refused(&rig.event(Event::Request(near))), 1);
}

#[test]
fn at_most_once_request_that_may_have_run_is_neither_retried_nor_rejected() {
    let mut rig = Rig::new(plain(Effect::AtMostOnce));
    let (_, endpoint) = sends(&rig.ask("j")).remove(0);
    let out = rig.outcome("j", 0, &endpoint, Status::Reset);
    assert_eq!((sends(&out).len(), refused(&out), failed(&out)), (0, 0, 1));
    let (_, endpoint) = sends(&rig.ask("k")).remove(0);
    let out = rig.outcome("k", 0, &endpoint, Status::Rejected);
    assert_eq!(sends(&out).len(), 1, "one that surely never ran goes out again");
}

#[test]
fn request_with_idempotency_key_is_retried_only_within_scope_and_window() {
    let mut s = plain(Effect::IdempotencyKey { scope: IdempotencyScope::Zone, window: 1.0 });
    s.max_attempts = 9;
    let mut rig = Rig::empty(s);
    let mut list: Vec<Endpoint> =
        ["a", "b", "c", "d"].map(|n| endpoint(n, Lifecycle::Running, 0.0)).into_iter().collect();
    (list[2].zone, list[3].zone) = (1, 1);
    rig.list(ListKind::Stale, list);
    let zone = |id: &EndpointId| usize::from(id.as_ref() >= "c");
    let (_, first) = sends(&rig.ask("j")).remove(0);
    let (_, second) = sends(&rig.outcome("j", 0, &first, Status::Error)).remove(0);
    assert_eq!(zone(&first), zone(&second), "only the group discards the repeat");
    rig.now += 2.0;
    let out = rig.outcome("j", 1, &second, Status::Error);
    assert_eq!((sends(&out).len(), refused(&out), failed(&out)), (0, 0, 1), "the group has forgotten it");
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
        let mut rig = Rig::new(plain(Effect::IdempotencyKey { scope: group, window: 1.0 }));
        let out = rig.ask("j");
        assert_eq!(until(&out), None, "the first repeats nothing");
        let (_, first) = sends(&out).remove(0);
        rig.now += 0.4;
        // It may have run from when it was sent on; the last one is counted from there, too.
        let out = rig.outcome("j", 0, &first, Status::Reset);
        assert_eq!(until(&out), Some(101.0));
        let (_, second) = sends(&out).remove(0);
        rig.now += 0.4;
        assert_eq!(until(&rig.outcome("j", 1, &second, Status::Error)), Some(101.0));
    }
    // The one before never ran: there is nothing to be remembered yet.
    let mut rig = Rig::new(plain(Effect::IdempotencyKey { scope: IdempotencyScope::Zone, window: 1.0 }));
    let (_, first) = sends(&rig.ask("j")).remove(0);
    rig.now += 0.4;
    let out = rig.outcome("j", 0, &first, Status::ConnectFailed);
    assert_eq!(until(&out), None);
    let (_, second) = sends(&out).remove(0);
    rig.now += 0.4;
    assert_eq!(until(&rig.outcome("j", 1, &second, Status::Reset)), Some(101.4));
    // A repeat of a safe one does no harm, whenever it goes out.
    let mut rig = Rig::new(plain(Effect::Idempotent));
    let (_, first) = sends(&rig.ask("j")).remove(0);
    assert_eq!(until(&rig.outcome("j", 0, &first, Status::Reset)), None);
}

#[test]
fn disconnected_client_causes_no_attempt_in_any_waiting_state() {
    let left = |rig: &mut Rig, request_id: &str| {
        let out = rig.event(Event::ClientDisconnected { request_id: request_id.into() });
        assert!(sends(&out).is_empty() && refused(&out) + failed(&out) == 0, "nothing is owed");
    };
    let timers = |out: &[Action]| -> Vec<(u64, Time)> {
        let timer =
            |a: &Action| if let Action::SetTimer { token, at } = a { Some((*token, *at)) } else { None };
        out.iter().filter_map(timer).collect()
    };
    // The counter's answer, or the end of the wait for it, in either order.
    for late in [false, true] {
        let mut s = settings();
        s.plans[0].burst = 1.0; // Of a burst under a request for each gateway nothing goes before the answer.
        let mut rig = Rig::new(s);
        let out = rig.ask("j");
        let (counter, amount) = counts(&out)[0];
        left(&mut rig, "j");
        if late {
            let (token, at) = timers(&out)[0];
            rig.now = at;
            assert!(sends(&rig.event(Event::Timer { token })).is_empty());
        }
        assert!(sends(&rig.counted(counter, Status::Ok, amount)).is_empty());
    }
    // A slot under the cap.
    let mut s = plain(Effect::Idempotent);
    s.plans = vec![plan(10.0, 20.0)];
    (s.plans[0].max_concurrent_attempts, s.gateway_count, s.has_counter) = (1, 1, false);
    let mut rig = Rig::new(s);
    let (_, endpoint) = sends(&rig.ask("first")).remove(0);
    let out = rig.ask("waits");
    assert!(sends(&out).is_empty() && refused(&out) == 0, "it waits for the slot");
    left(&mut rig, "waits");
    assert!(sends(&rig.outcome("first", 0, &endpoint, Status::Ok)).is_empty());
    for (token, at) in timers(&out) {
        rig.now = at;
        assert!(sends(&rig.event(Event::Timer { token })).is_empty());
    }
    // A second copy, and a further attempt.
    let mut rig = Rig::new(plain(Effect::Idempotent));
    let out = rig.ask("j");
    let (_, endpoint) = sends(&out).remove(0);
    left(&mut rig, "j");
    for (token, at) in timers(&out) {
        rig.now = at;
        assert!(sends(&rig.event(Event::Timer { token })).is_empty());
    }
    assert!(sends(&rig.outcome("j", 0, &endpoint, Status::Reset)).is_empty());
}

#[test]
fn disabled_hedging_schedules_no_hedged_request() {
    let mut s = plain(Effect::Idempotent);
    s.hedging_enabled = false;
    let mut rig = Rig::new(s);
    let out = rig.ask("j");
    assert_eq!(sends(&out).len(), 1);
    assert!(!out.iter().any(|a| matches!(a, Action::SetTimer { .. })), "no hedge is even planned");
}
