//! The five rules, each kept by one gateway alone.

mod common;
use common::*;
use oliverack::*;

fn plain(effect: Effect) -> Settings {
    let mut s = settings();
    s.plans = vec![Plan::default()];
    s.classes[0].effect = effect;
    s
}

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

#[test]
fn draining_or_unlisted_endpoint_gets_no_new_attempts() {
    let mut rig = Rig::new(plain(Effect::Idempotent));
    rig.list(ListKind::Changes, vec![endpoint("a", Lifecycle::Draining, 0.0)]);
    rig.list(
        ListKind::Full,
        vec![endpoint("a", Lifecycle::Draining, 0.0), endpoint("b", Lifecycle::Running, 0.0)],
    );
    for i in 0..20 {
        for (request_id, to) in sends(&rig.ask(&format!("j{i}"))) {
            assert_eq!(to.as_ref(), "b");
            rig.outcome(&request_id, 0, &to, Status::Ok);
        }
    }
    rig.list(ListKind::Full, vec![]);
    assert_eq!(refused(&rig.ask("last")), 1, "with all endpoints gone it is refused, not held");
}

#[test]
fn endpoint_in_slow_start_gets_reduced_share() {
    let mut rig = Rig::new(plain(Effect::Idempotent));
    rig.list(ListKind::Changes, vec![endpoint("a", Lifecycle::Running, 99.9)]);
    let mut cold = 0;
    for i in 0..90 {
        rig.now += 0.01;
        for (request_id, to) in sends(&rig.ask(&format!("j{i}"))) {
            cold += usize::from(to.as_ref() == "a");
            rig.outcome(&request_id, 0, &to, Status::Ok);
        }
    }
    assert!(cold <= 12, "{cold} of 90 went to the cold one of three endpoints");
}

#[test]
fn endpoint_back_after_unannounced_outage_enters_slow_start() {
    let mut rig = Rig::new(plain(Effect::Idempotent));
    rig.list(ListKind::Full, vec![endpoint("a", Lifecycle::Running, 0.0)]);
    // Out of reach for a second and more: before it is put out, and after.
    for request_id in ["j0", "j00", "j000"] {
        rig.ask(request_id);
        rig.outcome(request_id, 0, &"a".into(), Status::ConnectFailed);
        rig.now += 1.5;
    }
    rig.now += 2.0;
    rig.ask("j1");
    rig.outcome("j1", 0, &"a".into(), Status::Ok);
    let sent = (2..20).map(|i| sends(&rig.ask(&format!("j{i}"))).len()).sum::<usize>();
    assert!(sent <= 1, "{sent} sent at once to an endpoint that may be cold");
}

#[test]
fn sporadic_connect_failures_do_not_cause_slow_start() {
    let mut rig = Rig::new(plain(Effect::Idempotent));
    rig.list(ListKind::Full, vec![endpoint("a", Lifecycle::Running, 0.0)]);
    for round in 0..5 {
        for request_id in ["x", "y"] {
            let request_id = format!("{request_id}{round}");
            rig.ask(&request_id);
            rig.outcome(&request_id, 0, &"a".into(), Status::ConnectFailed);
        }
        rig.now += 2.0;
        let request_id = format!("z{round}");
        rig.ask(&request_id);
        rig.outcome(&request_id, 0, &"a".into(), Status::Ok);
    }
    let sent = (2..20).map(|i| sends(&rig.ask(&format!("j{i}"))).len()).sum::<usize>();
    assert!(sent >= 4, "{sent} sent at once to an endpoint that answered after each pair of failures");
}

#[test]
fn two_consecutive_connect_failures_eject_endpoint_but_one_does_not() {
    let mut rig = Rig::new(plain(Effect::Idempotent));
    rig.list(
        ListKind::Full,
        vec![endpoint("a", Lifecycle::Running, 0.0), endpoint("b", Lifecycle::Running, 0.0)],
    );
    rig.ask("j0");
    let (first, other): (EndpointId, EndpointId) = match &*sends(&rig.actions)[0].1 {
        "a" => ("a".into(), "b".into()),
        _ => ("b".into(), "a".into()),
    };
    let tried = |rig: &mut Rig, from: usize| {
        let requests: Vec<_> = (from..from + 12).flat_map(|i| sends(&rig.ask(&format!("j{i}")))).collect();
        requests.iter().for_each(|(request_id, to)| drop(rig.outcome(request_id, 0, to, Status::Ok)));
        requests.iter().filter(|(_, to)| *to == first).count()
    };
    rig.outcome("j0", 0, &first, Status::ConnectFailed);
    rig.outcome("j0", 1, &other, Status::Ok);
    assert!(tried(&mut rig, 1) > 0, "it is still sent to");
    for i in 100.. {
        let request_id = format!("j{i}");
        if sends(&rig.ask(&request_id)).first().is_some_and(|(_, to)| *to == first) {
            rig.outcome(&request_id, 0, &first, Status::ConnectFailed);
            rig.outcome(&request_id, 1, &other, Status::ConnectFailed);
            break;
        }
        rig.outcome(&request_id, 0, &other, Status::Ok);
    }
    for i in 200.. {
        let request_id = format!("j{i}");
        if sends(&rig.ask(&request_id)).first().is_some_and(|(_, to)| *to == first) {
            rig.outcome(&request_id, 0, &first, Status::ConnectFailed);
            rig.outcome(&request_id, 1, &other, Status::Ok);
            break;
        }
        rig.outcome(&request_id, 0, &other, Status::Ok);
    }
    assert_eq!(tried(&mut rig, 300), 0, "it is out");
}

/// A gateway of two before a counter that grants all, under a ceiling of 34 units that 17 a second refill.
fn under_a_ceiling(has_counter: bool) -> (Rig, Counter) {
    let mut s = settings();
    s.has_counter = has_counter;
    (s.plans[0].ceiling_rate, s.plans[0].ceiling_burst) = (17.0, 34.0);
    (Rig::new(s), Counter::default())
}

#[test]
fn restarted_gateway_starts_with_empty_ceiling_share() {
    for has_counter in [false, true] {
        let (mut rig, mut counter) = under_a_ceiling(has_counter);
        assert_eq!(
            counter.ask_many(&mut rig, "a", 30),
            0,
            "its process before may have elapsed all of its share"
        );
        rig.now += 100.0;
        let later = counter.ask_many(&mut rig, "b", 60);
        assert!(later <= 17, "{later}: an even share of the ceiling is 17 at most");
        assert!(later >= 10, "{later}: with or without the counter half of the burst of 20 goes");
    }
}

#[test]
fn counter_reset_grants_no_more_than_ceiling_share() {
    let (mut rig, mut counter) = under_a_ceiling(true);
    rig.now += 100.0;
    let before = counter.ask_many(&mut rig, "a", 60);
    counter.0.clear();
    let after = counter.ask_many(&mut rig, "b", 60);
    assert!(before >= 10 && before + after <= 17, "{before} before the loss and {after} after");
}

#[test]
fn ceiling_share_is_not_granted_again_after_replica_change() {
    let (mut rig, mut counter) = under_a_ceiling(true);
    rig.now += 100.0;
    let before = counter.ask_many(&mut rig, "a", 60);
    rig.event(Event::ReplicasChanged { index: 0, count: 2 });
    rig.event(Event::ReplicasChanged { index: 0, count: 1 });
    let after = counter.ask_many(&mut rig, "b", 60);
    assert!(before + after <= 17, "{before} before the other process came and went, {after} after");
}

#[test]
fn timeouts_under_overload_do_not_eject_all_endpoints() {
    let mut rig = Rig::new(plain(Effect::Idempotent));
    for i in 0..12 {
        for (request_id, to) in sends(&rig.ask(&format!("j{i}"))) {
            rig.outcome(&request_id, 0, &to, Status::Timeout);
        }
    }
    rig.now += 0.1;
    assert_eq!(sends(&rig.ask("after")).len(), 1);
}

/// What the module holds, by the length of its description.
fn held(rig: &Rig) -> usize {
    format!("{:?}", rig.gateway).len()
}

#[test]
fn removed_endpoints_are_forgotten_after_last_attempt() {
    let mut rig = Rig::new(plain(Effect::Idempotent));
    let before = held(&rig);
    let names: Vec<String> = (0..500).map(|i| format!("new-{i}")).collect();
    for name in &names {
        rig.list(ListKind::Changes, vec![endpoint(name, Lifecycle::Running, 0.0)]);
        rig.list(ListKind::Changes, vec![endpoint(name, Lifecycle::Gone, 0.0)]);
    }
    assert!(held(&rig) < before + 2000, "{} after {before}", held(&rig));
    // The whole list may drop one too; it is kept until its attempt has ended, and then goes.
    let (_, last) = sends(&rig.ask("j")).remove(0);
    rig.list(ListKind::Full, vec![endpoint("d", Lifecycle::Running, 0.0)]);
    rig.outcome("j", 0, &last, Status::Ok);
    assert!(!rig.gateway.knows_endpoint(&last), "{last} is kept");
    assert_eq!(&*sends(&rig.ask("k"))[0].1, "d");
}

#[test]
fn one_time_customers_do_not_accumulate() {
    let mut s = settings();
    s.max_customers = 64;
    let (mut rig, mut counter) = (Rig::new(s), Counter::default());
    let before = held(&rig);
    for i in 0..5000 {
        let request_id = format!("j{i}");
        rig.now += 0.001;
        let mut request = request(&request_id, rig.now);
        request.customer = format!("once-{i}").into();
        let mut out = rig.event(Event::Request(request));
        out.extend(counter.answer(&mut rig, &out.clone()));
        for action in out {
            match action {
                Action::StartAttempt { request_id, endpoint, .. } => {
                    drop(rig.outcome(&request_id, 0, &endpoint, Status::Ok))
                }
                // Early, but they find nothing left to do.
                Action::SetTimer { token, .. } => drop(rig.event(Event::Timer { token })),
                _ => {}
            }
        }
    }
    let (customers, most) = (format!("{:?}", rig.gateway).matches("once-").count(), 64);
    assert!(customers <= 4 * most, "{customers} mentions of customers");
    assert!(held(&rig) < before + 200_000, "{} after {before}", held(&rig));
}

#[test]
fn endpoint_failing_one_class_gets_little_of_it_and_full_share_of_others() {
    let mut s = plain(Effect::Idempotent);
    let mut unsafe_class = Class::default();
    unsafe_class.effect = Effect::AtMostOnce;
    s.classes.push(unsafe_class);
    let mut rig = Rig::new(s);
    let (mut erred, mut good) = (0, 0);
    for i in 0..400 {
        rig.now += 0.01;
        let mut request = request(&format!("j{i}"), rig.now);
        request.class = i % 2;
        for (request_id, to) in sends(&rig.event(Event::Request(request))) {
            let errs = &*to == "a" && i % 2 == 1;
            erred += usize::from(errs);
            good += usize::from(&*to == "a" && !errs);
            rig.outcome(&request_id, 0, &to, if errs { Status::Error } else { Status::Ok });
        }
    }
    assert!(erred <= 20, "{erred} of 200 went to the one of three endpoints that errs on them");
    assert!(good >= 40, "{good} of 200 of the other class went to it");
    rig.now += 20.0;
    let back = (0..60).filter(|i| {
        rig.now += 0.01;
        let mut request = request(&format!("k{i}"), rig.now);
        request.class = 1;
        let sent = sends(&rig.event(Event::Request(request)));
        sent.iter().for_each(|(request_id, to)| drop(rig.outcome(request_id, 0, to, Status::Ok)));
        sent.iter().any(|(_, to)| &**to == "a")
    });
    assert!(back.count() >= 10, "what is mended is used again");
}

/// How many of `n` requests at once are sent, in a fleet whose answers take `idle` seconds and then `now`.
fn sent_at_once(idle: f64, now: f64, n: usize) -> usize {
    let mut rig = Rig::new(plain(Effect::Idempotent));
    for (tag, elapsed) in [("i", idle), ("n", now)] {
        for i in 0..60 {
            rig.now += 0.1;
            for (request_id, endpoint) in sends(&rig.ask(&format!("{tag}{i}"))) {
                let (status, load) = (Status::Ok, LoadReport::default());
                let (attempt, is_finished, actual_units) = (0, true, None);
                rig.event(Event::AttemptEnded {
                    request_id,
                    attempt,
                    endpoint,
                    status,
                    elapsed,
                    is_finished,
                    actual_units,
                    load,
                });
            }
        }
    }
    (0..n).map(|i| sends(&rig.ask(&format!("burst{i}"))).len()).sum()
}

#[test]
fn idle_response_time_is_not_taken_for_overload() {
    let (slow, pressed) = (sent_at_once(0.15, 0.15, 40), sent_at_once(0.15, 0.9, 40));
    assert!(
        slow >= 6,
        "{slow} sent at once to three idle endpoints with an answer's time of 0.15 of the aim"
    );
    assert!(pressed * 3 <= slow * 2, "{pressed} sent where answers take six times as long, {slow} before");
}
