use super::{ConcurrencyLimiter, even_slots};
use crate::{policy::replicas::Replicas, settings::Plan};

fn plan(max_concurrent_attempts: u32) -> Plan {
    Plan { max_concurrent_attempts, ..Plan::default() }
}

#[test]
fn slots_of_all_gateways_add_up_to_limit() {
    for limit in [1, 7, 8, 100] {
        let total: u32 = (0..7).map(|position| even_slots(limit, position, 7)).sum();
        assert_eq!(total, limit);
    }
}

#[test]
fn every_process_has_at_least_one_slot() {
    let slots = |index| ConcurrencyLimiter::slots(&plan(2), 5, 10, Replicas { index, count: 2 });
    assert_eq!((slots(0), slots(1)), (1, 1));
    assert_eq!(ConcurrencyLimiter::slots(&plan(0), 5, 10, Replicas::default()), u32::MAX);
}

#[test]
fn queued_requests_are_dequeued_in_order_and_can_be_removed() {
    let mut limiter = ConcurrencyLimiter::default();
    limiter.record_start();
    assert!(!limiter.has_free_slot(1));
    for id in ["a", "b", "c"] {
        limiter.enqueue(id.into(), 2.0);
    }
    assert_eq!(limiter.expected_wait(2, 0.1), 0.2);
    assert_eq!(limiter.remove_queued(&"b".into()).map(|queued| queued.units), Some(2.0));
    assert!(limiter.remove_queued(&"b".into()).is_none());
    limiter.record_end();
    assert!(limiter.has_free_slot(1));
    let dequeued: Vec<_> = std::iter::from_fn(|| limiter.dequeue()).map(|queued| queued.id).collect();
    assert_eq!(dequeued, ["a".into(), "c".into()]);
}
