//! How resets and successes on reused connections move the limit of idle time.

use super::*;

const MAX: Duration = Duration::from_secs(8);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn reset_halves_the_idle_time_that_is_allowed() {
    let limit = IdleLimit::new(MAX);
    assert!(limit.allows(millis(7999)) && !limit.allows(MAX));
    limit.note_reset(millis(1000));
    assert!(limit.allows(millis(499)) && !limit.allows(millis(500)));
}

#[test]
fn resets_never_raise_the_limit_nor_lower_it_below_its_minimum() {
    let limit = IdleLimit::new(MAX);
    limit.note_reset(millis(0));
    assert!(limit.allows(MIN_IDLE_LIMIT - millis(1)) && !limit.allows(MIN_IDLE_LIMIT));
    limit.note_reset(millis(6000));
    assert!(!limit.allows(MIN_IDLE_LIMIT));
}

#[test]
fn only_success_after_a_long_idle_time_raises_the_limit_up_to_its_maximum() {
    let limit = IdleLimit::new(MAX);
    limit.note_reset(millis(8000));
    limit.note_success(millis(1999));
    assert!(!limit.allows(millis(4000)));
    limit.note_success(millis(2000));
    assert!(limit.allows(millis(4999)) && !limit.allows(millis(5000)));
    for _ in 0..5 {
        limit.note_success(millis(7000));
    }
    assert!(limit.allows(millis(7999)) && !limit.allows(MAX));
}
