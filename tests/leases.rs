//! The ordinary path: leases, grants, refusals, and what happens when the count misbehaves.

mod common;
use common::*;
use oliverack::*;

/// Fires every timer that has come due by `at`, answering calls through `counter`.
fn pass(rig: &mut Rig, counter: &mut Counter, at: Time) {
    let timers = std::mem::take(&mut rig.actions);
    rig.now = at;
    for timer in timers {
        if let Action::SetTimer { token, at: due } = timer
            && due <= at
        {
            let out = rig.event(Event::Timer { token });
            counter.answer(rig, &out);
        }
    }
}

#[test]
fn new_customer_is_admitted_by_even_share_while_counter_is_called() {
    let mut rig = Rig::new(settings());
    let out = rig.ask("j");
    assert_eq!((sends(&out).len(), counts(&out).len()), (1, 1), "sent at once, while the count is asked");
}

#[test]
fn burst_is_leased_once_and_further_requests_are_rejected_without_counter_call() {
    let (mut rig, mut counter) = (Rig::new(settings()), Counter::default());
    assert_eq!(counter.ask_many(&mut rig, "a", 60), 20, "the burst, to the unit");
    let out = rig.ask("b");
    assert_eq!((refused(&out), counts(&out).len()), (1, 0), "a level known to be nothing needs no call");
    assert!(matches!(out[0], Action::Reject { retry_after, .. } if retry_after > 0.0));
}

#[test]
fn two_gateways_admit_one_burst_together() {
    let (mut one, mut two, mut counter) = (Rig::new(settings()), Rig::new(settings()), Counter::default());
    let mut sent = 0;
    for i in 0..40 {
        sent += counter.ask_many(&mut one, &format!("a{i}-"), 1);
        sent += counter.ask_many(&mut two, &format!("b{i}-"), 1);
    }
    assert!((18..=21).contains(&sent), "{sent} sent of a burst of 20 (one unit may be off the count)");
}

#[test]
fn window_change_grants_no_second_burst() {
    let (mut rig, mut counter) = (Rig::new(settings()), Counter::default());
    let mut sent = 0;
    for step in 0..100 {
        let at = 100.0 + f64::from(step) * 0.1;
        pass(&mut rig, &mut counter, at);
        sent += counter.ask_many(&mut rig, &format!("s{step}-"), 4);
    }
    assert!((110..=124).contains(&sent), "{sent} sent; burst 20 and 10 a second for 10 s make 120");
}

#[test]
fn counter_reset_grants_no_second_burst() {
    let (mut rig, mut counter) = (Rig::new(settings()), Counter::default());
    counter.ask_many(&mut rig, "a", 60);
    counter.0.clear();
    rig.now += 0.3;
    let sent = counter.ask_many(&mut rig, "b", 60);
    assert!(sent <= 4, "{sent} sent after 0.3 s at 10 a second");
    assert!(counter.sum() > 15.0, "what had been used is put back on the count");
}

#[test]
fn counter_timeout_ends_waiting_request_once() {
    let (mut rig, mut counter) = (Rig::new(settings()), Counter::default());
    counter.ask_many(&mut rig, "a", 60);
    rig.now += 1.0;
    let out = rig.ask("lost");
    let (name, _) = counts(&out)[0];
    let out = rig.counted(name, Status::Timeout, 0.0);
    assert_eq!(sends(&out).len() + refused(&out), 1);
}

#[test]
fn units_of_rejected_counter_call_are_reported_by_next_call() {
    for status in [Status::Rejected, Status::ConnectFailed] {
        let mut rig = Rig::new(settings());
        let (mut sent, mut told) = (0, 0.0);
        for i in 0..6 {
            rig.now += 0.375;
            let before = sent;
            let mut out = rig.ask(&format!("s{i}"));
            for (name, step) in counts(&out) {
                assert!(step >= before as f64, "{status:?}: {step} told, {before} sent off the count");
                told = step;
                out.extend(rig.counted(name, status, 0.0));
            }
            sent += sends(&out).len();
        }
        assert!(sent >= 4 && told >= 4.0, "{sent} sent, {told} told at last");
    }
}

#[test]
fn units_leased_by_unreadable_reply_are_returned_to_counter() {
    let mut s = settings();
    s.plans[0].rate = 1.0;
    let (mut rig, mut counter) = (Rig::new(s), Counter::default());
    let mut sent = counter.ask_many(&mut rig, "a", 3);
    for i in 0..8 {
        rig.now += 0.375;
        let mut out = rig.ask(&format!("s{i}"));
        for (name, step) in counts(&out) {
            *counter.0.entry(name).or_default() += step;
            out.extend(rig.counted(name, Status::Error, 0.0));
        }
        for (request_id, endpoint) in sends(&out) {
            sent += 1;
            rig.outcome(&request_id, 0, &endpoint, Status::Ok);
        }
    }
    rig.now += 1.0;
    sent += counter.ask_many(&mut rig, "b", 60);
    assert!((23..=25).contains(&sent), "{sent} sent of a burst of 20 and one a second for 4 s");
}

#[test]
fn silent_counter_falls_back_to_even_share() {
    let (mut rig, mut counter) = (Rig::new(settings()), Counter::default());
    counter.ask_many(&mut rig, "a", 60);
    let mut sent = 0;
    for step in 1..=50 {
        rig.now = 100.0 + f64::from(step) * 0.1;
        let mut out = rig.ask(&format!("q{step}"));
        for (name, _) in counts(&out) {
            out.extend(rig.counted(name, Status::Timeout, 0.0));
        }
        for (request_id, endpoint) in sends(&out) {
            sent += 1;
            rig.outcome(&request_id, 0, &endpoint, Status::Ok);
        }
    }
    assert!((30..=36).contains(&sent), "{sent} sent in 5 s; half of burst 20 and of 10 a second makes 35");
}

#[test]
fn unused_lease_expires_with_its_window() {
    let (mut rig, mut counter) = (Rig::new(settings()), Counter::default());
    counter.ask_many(&mut rig, "a", 15);
    rig.now += 30.0; // Windows are eight seconds here; what is left of the block is of an old one.
    let out = rig.ask("b");
    assert_eq!(counts(&out).len(), 1, "an old lease covers nothing: the count is asked");
}

/// Six requests at once where the cap leaves this gateway two slots: the rig and what came of them.
fn six_for_two_slots() -> (Rig, Counter, Vec<Action>) {
    let mut s = settings();
    s.plans[0].max_concurrent_attempts = 4;
    let (mut rig, mut counter) = (Rig::new(s), Counter::default());
    let mut out = Vec::new();
    for i in 0..6 {
        out.extend(counter.ask(&mut rig, &format!("j{i}")));
    }
    (rig, counter, out)
}

#[test]
fn concurrency_limit_is_shared_evenly_and_leased_requests_queue() {
    let (mut rig, mut counter, out) = six_for_two_slots();
    assert_eq!((sends(&out).len(), refused(&out)), (2, 0), "two of four at one of two gateways");
    let mut out = sends(&out);
    for left in (0..6).rev() {
        rig.now += 0.05;
        let (request_id, endpoint) = out.remove(0);
        out.extend(sends(&rig.outcome(&request_id, 0, &endpoint, Status::Ok)));
        assert_eq!(out.len(), left.min(2), "each that ends makes room for one");
    }
    assert_eq!(sends(&counter.ask(&mut rig, "k")).len(), 1, "all have ended");
}

#[test]
fn concurrency_limit_shares_add_up_to_limit() {
    for first in [0, 1] {
        let at_once = |me: u32| {
            let mut s = settings();
            (s.gateway_index, s.plans[0].max_concurrent_attempts) = (me, 3);
            let (mut rig, mut counter) = (Rig::new(s), Counter::default());
            let mut sent = 0;
            for i in 0..6 {
                let mut request = request(&format!("j{i}"), rig.now);
                request.first_gateway = first;
                let out = rig.event(Event::Request(request));
                sent += sends(&out).len() + sends(&counter.answer(&mut rig, &out)).len();
            }
            sent
        };
        let (one, two) = (at_once(first), at_once(1 - first));
        assert_eq!((one, two), (2, 1), "three at two gateways, of which number {first} is the first");
    }
}

#[test]
fn queued_requests_are_rejected_when_no_slot_frees_in_time() {
    let (mut rig, mut counter, out) = six_for_two_slots();
    let running = sends(&out);
    pass(&mut rig, &mut counter, 100.5);
    assert_eq!(refused(&rig.actions), 4, "well before the aim of a second is over");
    for (request_id, endpoint) in running {
        assert!(
            sends(&rig.outcome(&request_id, 0, &endpoint, Status::Ok)).is_empty(),
            "none of them is sent any more"
        );
    }
    assert!(counts(&rig.ask("k")).is_empty(), "what was not sent was not elapsed: the lease covers the next");
}

#[test]
fn request_with_too_long_expected_queue_time_is_rejected_at_once() {
    let (mut rig, mut counter, out) = six_for_two_slots();
    let (request_id, endpoint) = sends(&out).remove(0);
    let (status, load) = (Status::Ok, LoadReport::default());
    let end = Event::AttemptEnded {
        request_id,
        attempt: 0,
        endpoint,
        status,
        elapsed: 0.7,
        is_finished: true,
        actual_units: None,
        load,
    };
    rig.event(end);
    let out = counter.ask(&mut rig, "late");
    assert_eq!(refused(&out), 1, "two slots, three before it, and answers take most of a second");
}

/// One second of new customers, a hundred of them; how many calls to the counter that led to, each ended by
/// `end`.
fn calls_in_a_second(rig: &mut Rig, tag: &str, end: impl Fn(&mut Rig, u64)) -> usize {
    let mut calls = 0;
    for i in 0..100 {
        rig.now += 0.01;
        let mut request = request(&format!("{tag}{i}"), rig.now);
        request.customer = format!("{tag}{i}").into();
        let out = rig.event(Event::Request(request));
        for (name, _) in counts(&out) {
            calls += 1;
            end(rig, name);
        }
        for (request_id, endpoint) in sends(&out) {
            rig.outcome(&request_id, 0, &endpoint, Status::Ok);
        }
    }
    calls
}

#[test]
fn counter_call_rate_recovers_soon_after_timeouts() {
    let mut rig = Rig::new(settings());
    let well = |rig: &mut Rig, name: u64| drop(rig.counted(name, Status::Ok, 1.0));
    let silent = |rig: &mut Rig, counter: u64| {
        let (status, total) = (Status::Timeout, 0.0);
        drop(rig.event(Event::CounterReplied { counter, status, total, elapsed: 0.05 }));
    };
    let before = calls_in_a_second(&mut rig, "a", well);
    calls_in_a_second(&mut rig, "b", silent);
    let during = calls_in_a_second(&mut rig, "c", silent);
    assert!(during < 10, "{during} calls to a silent counter");
    calls_in_a_second(&mut rig, "d", well);
    let after = calls_in_a_second(&mut rig, "e", well);
    assert!(before > 40 && after * 2 > before, "{before} before, {after} two seconds after the silence");
}

#[test]
fn unreadable_replies_and_resets_do_not_lower_counter_call_rate() {
    for status in [Status::Error, Status::Reset] {
        let mut rig = Rig::new(settings());
        let first = calls_in_a_second(&mut rig, "a", |rig, name| drop(rig.counted(name, status, 0.0)));
        let second = calls_in_a_second(&mut rig, "b", |rig, name| drop(rig.counted(name, status, 0.0)));
        assert!(first > 40 && second * 4 > first * 3, "{first}, then {second} calls");
    }
}

#[test]
fn streamed_response_start_frees_concurrency_slot_once() {
    let mut capped = plan(0.0, 0.0);
    (capped.max_concurrent_attempts, capped.rate, capped.burst) = (2, 1000.0, 1000.0);
    let mut settings = settings();
    (settings.plans, settings.has_counter, settings.hedging_enabled) = (vec![capped], false, false);
    let mut rig = Rig::new(settings);
    // One slot of two over two gateways.
    let first = sends(&rig.ask("a"));
    assert_eq!((first.len(), sends(&rig.ask("b")).len()), (1, 0));
    let freed = sends(&rig.event(Event::ResponseStarted { request_id: "a".into() }));
    assert_eq!(freed.first().map(|(request_id, _)| &**request_id), Some("b"), "who waits goes");
    assert_eq!(sends(&rig.ask("c")).len(), 0, "it is taken again");
    // The end of the long answer frees nothing more.
    assert_eq!(sends(&rig.outcome("a", 0, &first[0].1, Status::Ok)).len(), 0);
    assert_eq!(sends(&rig.ask("d")).len(), 0);
    let next = sends(&rig.outcome("b", 0, &freed[0].1, Status::Ok));
    assert_eq!(next.first().map(|(request_id, _)| &**request_id), Some("c"));
}
