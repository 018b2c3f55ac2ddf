//! Which endpoints one gateway selects: lifecycle, slow start, ejection, overload.

mod common;
use common::*;
use oliverack::*;

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
