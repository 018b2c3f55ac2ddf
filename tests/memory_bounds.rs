//! One gateway drops removed endpoints and evicts idle customers, so that its memory stays bounded.

mod common;
use common::{
    FakeCounter, GatewayHarness, endpoint, request, settings, settings_without_quota, started_attempts,
};
use oliverack::{Action, Effect, Event, Lifecycle, ListKind, Request, Status};

/// Returns the length of the gateway's debug text, as a measure of the size of its state.
fn state_size(harness: &GatewayHarness) -> usize {
    format!("{:?}", harness.gateway).len()
}

#[test]
fn removed_endpoints_are_dropped_after_last_attempt() {
    let mut harness = GatewayHarness::new(settings_without_quota(Effect::Idempotent));
    let before = state_size(&harness);
    let names: Vec<String> = (0..500).map(|i| format!("new-{i}")).collect();
    for name in &names {
        harness.update_endpoints(ListKind::Changes, vec![endpoint(name, Lifecycle::Running, 0.0)]);
        harness.update_endpoints(ListKind::Changes, vec![endpoint(name, Lifecycle::Gone, 0.0)]);
    }
    assert!(
        state_size(&harness) < before + 2000,
        "state of {} characters, {before} before",
        state_size(&harness)
    );
    // An endpoint that a complete list omits is kept until its last attempt has ended.
    let (_, last) = started_attempts(&harness.send_request("j")).remove(0);
    harness.update_endpoints(ListKind::Full, vec![endpoint("d", Lifecycle::Running, 0.0)]);
    harness.attempt_ended("j", 0, &last, Status::Ok);
    assert!(!harness.gateway.is_known_endpoint(&last), "{last} is still known after its last attempt");
    assert_eq!(&*started_attempts(&harness.send_request("k"))[0].1, "d");
}

#[test]
fn one_time_customers_do_not_accumulate() {
    let mut settings = settings();
    settings.max_customers = 64;
    let (mut harness, mut counter) = (GatewayHarness::new(settings), FakeCounter::default());
    let before = state_size(&harness);
    for i in 0..5000 {
        let request_id = format!("j{i}");
        harness.now += 0.001;
        let request = Request { customer: format!("once-{i}").into(), ..request(&request_id, harness.now) };
        let mut actions = harness.handle(Event::Request(request));
        actions.extend(counter.reply_to_calls(&mut harness, &actions.clone()));
        for action in actions {
            match action {
                Action::StartAttempt { request_id, endpoint, .. } => {
                    drop(harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok));
                }
                // The timer fires early, but no work is left for it.
                Action::SetTimer { token, .. } => drop(harness.handle(Event::Timer { token })),
                _ => {}
            }
        }
    }
    let (mentions, max_customers) = (format!("{:?}", harness.gateway).matches("once-").count(), 64);
    assert!(mentions <= 4 * max_customers, "customers are mentioned {mentions} times");
    assert!(
        state_size(&harness) < before + 200_000,
        "state of {} characters, {before} before",
        state_size(&harness)
    );
}
