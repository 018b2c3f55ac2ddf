//! Concurrency limits of plans: the slots that one gateway gets, and the queue of requests that wait for one.

mod common;
use common::{
    AttemptEnd, FakeCounter, GatewayHarness, PlanBuilder, counter_calls, fire_timers, rejected_count,
    request, settings, started_attempts,
};
use oliverack::{Action, Event, Request, Status};

/// Sends six requests at once to a gateway with two of four concurrency slots. Returns the gateway, the counter and the
/// resulting actions.
fn send_six_requests_for_two_slots() -> (GatewayHarness, FakeCounter, Vec<Action>) {
    let mut settings = settings();
    settings.plans = vec![PlanBuilder::new(10.0, 20.0).max_concurrent_attempts(4).build()];
    let (mut harness, mut counter) = (GatewayHarness::new(settings), FakeCounter::default());
    let mut actions = Vec::new();
    for i in 0..6 {
        actions.extend(counter.send_request(&mut harness, &format!("j{i}")));
    }
    (harness, counter, actions)
}

#[test]
fn requests_beyond_concurrency_slots_queue_until_one_frees() {
    let (mut harness, mut counter, actions) = send_six_requests_for_two_slots();
    assert_eq!(
        (started_attempts(&actions).len(), rejected_count(&actions)),
        (2, 0),
        "two of four slots at one of two gateways"
    );
    let mut running = started_attempts(&actions);
    for remaining in (0..6).rev() {
        harness.now += 0.05;
        let (request_id, endpoint) = running.remove(0);
        running.extend(started_attempts(&harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok)));
        assert_eq!(running.len(), remaining.min(2), "each ended attempt frees a slot for one request");
    }
    assert_eq!(
        started_attempts(&counter.send_request(&mut harness, "k")).len(),
        1,
        "all attempts have ended"
    );
}

#[test]
fn concurrency_limit_shares_add_up_to_limit() {
    for first_index in [0, 1] {
        let sent_at_once = |gateway_index: u32| {
            let mut settings = settings();
            settings.gateway_index = gateway_index;
            settings.plans = vec![PlanBuilder::new(10.0, 20.0).max_concurrent_attempts(3).build()];
            let (mut harness, mut counter) = (GatewayHarness::new(settings), FakeCounter::default());
            let mut sent = 0;
            for i in 0..6 {
                let request =
                    Request { first_gateway: first_index, ..request(&format!("j{i}"), harness.now) };
                let actions = harness.handle(Event::Request(request));
                sent += started_attempts(&actions).len()
                    + started_attempts(&counter.reply_to_calls(&mut harness, &actions)).len();
            }
            sent
        };
        let (first, second) = (sent_at_once(first_index), sent_at_once(1 - first_index));
        assert_eq!(
            (first, second),
            (2, 1),
            "three slots at two gateways, the first with index {first_index}"
        );
    }
}

#[test]
fn queued_requests_are_rejected_when_no_slot_frees_in_time() {
    let (mut harness, mut counter, actions) = send_six_requests_for_two_slots();
    let running = started_attempts(&actions);
    fire_timers(&mut harness, &mut counter, 100.5);
    assert_eq!(rejected_count(&harness.actions), 4, "rejected well within the latency objective of 1 s");
    for (request_id, endpoint) in running {
        assert!(
            started_attempts(&harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok)).is_empty(),
            "no queued request is sent any more"
        );
    }
    assert!(
        counter_calls(&harness.send_request("k")).is_empty(),
        "requests that were not sent took no units of the lease"
    );
}

#[test]
fn request_with_long_expected_queue_time_is_rejected_at_once() {
    let (mut harness, mut counter, actions) = send_six_requests_for_two_slots();
    let (request_id, endpoint) = started_attempts(&actions).remove(0);
    harness.handle(AttemptEnd::new(&request_id, &endpoint).elapsed(0.7).event());
    let actions = counter.send_request(&mut harness, "late");
    assert_eq!(
        rejected_count(&actions),
        1,
        "two slots, three requests queued before, and a response time of 0.7 s"
    );
}

#[test]
fn streamed_response_start_frees_concurrency_slot_once() {
    let mut settings = settings();
    settings.plans = vec![PlanBuilder::new(1000.0, 1000.0).max_concurrent_attempts(2).build()];
    settings.has_counter = false;
    settings.hedging_enabled = false;
    let mut harness = GatewayHarness::new(settings);
    // This gateway's share of the two slots is one.
    let first = started_attempts(&harness.send_request("a"));
    assert_eq!((first.len(), started_attempts(&harness.send_request("b")).len()), (1, 0));
    let freed = started_attempts(&harness.handle(Event::ResponseStarted { request_id: "a".into() }));
    assert_eq!(freed.first().map(|(request_id, _)| &**request_id), Some("b"), "the queued request is sent");
    assert_eq!(started_attempts(&harness.send_request("c")).len(), 0, "the freed slot is in use again");
    // The end of the streamed response frees no further slot.
    assert_eq!(started_attempts(&harness.attempt_ended("a", 0, &first[0].1, Status::Ok)).len(), 0);
    assert_eq!(started_attempts(&harness.send_request("d")).len(), 0);
    let next = started_attempts(&harness.attempt_ended("b", 0, &freed[0].1, Status::Ok));
    assert_eq!(next.first().map(|(request_id, _)| &**request_id), Some("c"));
}
