use super::CallRateLimiter;
use crate::interface::Status;

const TIMEOUT: f64 = 0.05;

#[test]
fn missing_reply_lowers_the_rate_once_for_all_calls_of_that_moment() {
    let mut limiter = CallRateLimiter::new(10);
    let before = limiter.calls_per_second();
    limiter.record_reply(10.0, Status::Timeout, TIMEOUT, TIMEOUT);
    let after = limiter.calls_per_second();
    assert!(after < before, "{after} of {before}");
    limiter.record_reply(10.01, Status::Timeout, TIMEOUT, TIMEOUT);
    assert_eq!(limiter.calls_per_second(), after);
}

#[test]
fn garbled_reply_leaves_the_rate() {
    let mut limiter = CallRateLimiter::new(10);
    let before = limiter.calls_per_second();
    limiter.record_reply(10.0, Status::Error, TIMEOUT, TIMEOUT);
    assert_eq!(limiter.calls_per_second(), before);
}

#[test]
fn quick_replies_raise_the_rate_while_calls_are_wanted() {
    let mut limiter = CallRateLimiter::new(10);
    let before = limiter.calls_per_second();
    for step in 0..100 {
        let now = 10.0 + f64::from(step) * 0.01;
        if limiter.allows(now, 1.0) {
            limiter.record_call();
        }
        limiter.record_reply(now, Status::Ok, 0.001, TIMEOUT);
    }
    assert!(limiter.calls_per_second() > before);
}

#[test]
fn scarce_calls_go_to_the_requests_of_greatest_weight() {
    let mut limiter = CallRateLimiter::new(100);
    for _ in 0..200 {
        limiter.allows(10.0, 1.0);
    }
    assert!(limiter.allows(10.0, 0.1), "the bucket is full");
    limiter.record_call();
    assert!(!limiter.allows(10.0, 0.1), "a light request needs a fuller bucket");
    assert!(limiter.allows(10.0, 10.0));
}

#[test]
fn restored_rate_stays_between_the_least_and_the_own_rate() {
    let mut limiter = CallRateLimiter::new(10);
    let own = limiter.calls_per_second();
    limiter.restore_rate(1e9);
    assert_eq!(limiter.calls_per_second(), own);
    limiter.restore_rate(0.0);
    assert_eq!(limiter.calls_per_second(), 4.0);
}
