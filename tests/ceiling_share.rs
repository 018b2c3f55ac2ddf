//! The share of a ceiling that one gateway grants.

mod common;
use common::{FakeCounter, GatewayHarness, PlanBuilder, settings};
use oliverack::Event;

/// One of two gateways, with a counter that replies to all calls and a ceiling of 17 units a second and 34 at once.
fn under_a_ceiling(has_counter: bool) -> (GatewayHarness, FakeCounter) {
    let mut settings = settings();
    settings.has_counter = has_counter;
    settings.plans = vec![PlanBuilder::new(10.0, 20.0).ceiling(17.0, 34.0).build()];
    (GatewayHarness::new(settings), FakeCounter::default())
}

#[test]
fn restarted_gateway_starts_with_empty_ceiling_share() {
    for has_counter in [false, true] {
        let (mut harness, mut counter) = under_a_ceiling(has_counter);
        assert_eq!(
            counter.send_requests(&mut harness, "a", 30),
            0,
            "the previous process may have spent its complete share"
        );
        harness.now += 100.0;
        let later = counter.send_requests(&mut harness, "b", 60);
        assert!(later <= 17, "{later}: an even share of the ceiling is 17 at most");
        assert!(later >= 10, "{later}: with or without the counter half of the burst of 20 goes");
    }
}

#[test]
fn counter_reset_grants_no_more_than_ceiling_share() {
    let (mut harness, mut counter) = under_a_ceiling(true);
    harness.now += 100.0;
    let before = counter.send_requests(&mut harness, "a", 60);
    counter.totals.clear();
    let after = counter.send_requests(&mut harness, "b", 60);
    assert!(before >= 10 && before + after <= 17, "{before} before the loss and {after} after");
}

#[test]
fn ceiling_share_is_not_granted_again_after_replica_change() {
    let (mut harness, mut counter) = under_a_ceiling(true);
    harness.now += 100.0;
    let before = counter.send_requests(&mut harness, "a", 60);
    harness.handle(Event::ReplicasChanged { index: 0, count: 2 });
    harness.handle(Event::ReplicasChanged { index: 0, count: 1 });
    let after = counter.send_requests(&mut harness, "b", 60);
    assert!(before + after <= 17, "{before} before the other process came and went, {after} after");
}
