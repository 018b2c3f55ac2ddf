//! The share of a customer's ceiling that one gateway admits.

mod common;
use common::{FakeCounter, GatewayHarness, PlanBuilder, settings};
use oliverack::Event;

/// Returns one of two gateways and a counter, with a ceiling of 17 units a second and a burst of 34.
fn gateway_with_ceiling(has_counter: bool) -> (GatewayHarness, FakeCounter) {
    let mut settings = settings();
    settings.has_counter = has_counter;
    settings.plans = vec![PlanBuilder::new(10.0, 20.0).ceiling(17.0, 34.0).build()];
    (GatewayHarness::new(settings), FakeCounter::default())
}

#[test]
fn restarted_gateway_starts_with_empty_ceiling_share() {
    for has_counter in [false, true] {
        let (mut harness, mut counter) = gateway_with_ceiling(has_counter);
        assert_eq!(
            counter.send_requests(&mut harness, "a", 30),
            0,
            "the previous process may have used its complete share"
        );
        harness.now += 100.0;
        let later = counter.send_requests(&mut harness, "b", 60);
        assert!(
            later <= 17,
            "{later} attempts, with counter: {has_counter}; half of the ceiling's burst is 17"
        );
        assert!(
            later >= 10,
            "{later} attempts, with counter: {has_counter}; half of the quota's burst of 20 is 10"
        );
    }
}

#[test]
fn counter_reset_grants_no_more_than_ceiling_share() {
    let (mut harness, mut counter) = gateway_with_ceiling(true);
    harness.now += 100.0;
    let before = counter.send_requests(&mut harness, "a", 60);
    counter.totals.clear();
    let after = counter.send_requests(&mut harness, "b", 60);
    assert!(
        before >= 10 && before + after <= 17,
        "{before} attempts before the counter reset, {after} after"
    );
}

#[test]
fn ceiling_share_is_not_granted_again_after_replica_change() {
    let (mut harness, mut counter) = gateway_with_ceiling(true);
    harness.now += 100.0;
    let before = counter.send_requests(&mut harness, "a", 60);
    harness.handle(Event::ReplicasChanged { index: 0, count: 2 });
    harness.handle(Event::ReplicasChanged { index: 0, count: 1 });
    let after = counter.send_requests(&mut harness, "b", 60);
    assert!(before + after <= 17, "{before} attempts before the second replica, {after} after");
}
