//! Concurrency limits of plans: slots, their share at one gateway, and the queue for them.

mod common;
use common::*;
use oliverack::*;

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
