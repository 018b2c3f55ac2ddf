//! Adjustment of the idle limit by resets and successes on reused connections.

use super::*;

const MAX: Duration = Duration::from_secs(8);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn reset_lowers_limit_to_half_of_idle_time() {
    let limit = IdleLimit::new(MAX);
    assert!(limit.allows(millis(7999)) && !limit.allows(MAX));
    limit.record_reset(millis(1000));
    assert!(limit.allows(millis(499)) && !limit.allows(millis(500)));
}

#[test]
fn reset_neither_raises_limit_nor_undercuts_minimum() {
    let limit = IdleLimit::new(MAX);
    limit.record_reset(millis(0));
    assert!(limit.allows(MIN_IDLE_LIMIT - millis(1)) && !limit.allows(MIN_IDLE_LIMIT));
    limit.record_reset(millis(6000));
    assert!(!limit.allows(MIN_IDLE_LIMIT));
}

#[test]
fn success_after_long_idle_time_raises_limit_up_to_maximum() {
    let limit = IdleLimit::new(MAX);
    limit.record_reset(millis(8000));
    limit.record_success(millis(1999));
    assert!(!limit.allows(millis(4000)));
    limit.record_success(millis(2000));
    assert!(limit.allows(millis(4999)) && !limit.allows(millis(5000)));
    for _ in 0..5 {
        limit.record_success(millis(7000));
    }
    assert!(limit.allows(millis(7999)) && !limit.allows(MAX));
}
