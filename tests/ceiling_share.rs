//! The share of a ceiling that one gateway grants.

mod common;
use common::*;
use oliverack::*;

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
