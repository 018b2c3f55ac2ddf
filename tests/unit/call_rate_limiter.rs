use super::CallRateLimiter;
use crate::interface::Status;

const TIMEOUT: f64 = 0.05;

#[test]
fn missing_replies_to_concurrent_calls_lower_rate_once() {
    let mut limiter = CallRateLimiter::new(10);
    let before = limiter.calls_per_second();
    limiter.record_reply(10.0, Status::Timeout, TIMEOUT, TIMEOUT);
    let after = limiter.calls_per_second();
    assert!(after < before, "{after} of {before}");
    limiter.record_reply(10.01, Status::Timeout, TIMEOUT, TIMEOUT);
    assert_eq!(limiter.calls_per_second(), after);
}

#[test]
fn invalid_reply_does_not_change_rate() {
    let mut limiter = CallRateLimiter::new(10);
    let before = limiter.calls_per_second();
    limiter.record_reply(10.0, Status::Error, TIMEOUT, TIMEOUT);
    assert_eq!(limiter.calls_per_second(), before);
}

#[test]
fn quick_replies_raise_rate_while_calls_are_requested() {
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
fn scarce_calls_go_to_requests_of_greatest_weight() {
    let mut limiter = CallRateLimiter::new(100);
    for _ in 0..200 {
        limiter.allows(10.0, 1.0);
    }
    assert!(limiter.allows(10.0, 0.1), "the bucket is full");
    limiter.record_call();
    assert!(!limiter.allows(10.0, 0.1), "a request of less weight needs a fuller bucket");
    assert!(limiter.allows(10.0, 10.0));
}

#[test]
fn restored_rate_is_clamped_between_minimum_and_own_rate() {
    let mut limiter = CallRateLimiter::new(10);
    let own_rate = limiter.calls_per_second();
    limiter.restore_rate(1e9);
    assert_eq!(limiter.calls_per_second(), own_rate);
    limiter.restore_rate(0.0);
    assert_eq!(limiter.calls_per_second(), 4.0);
}
