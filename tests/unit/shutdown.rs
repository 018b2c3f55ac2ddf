//! Tests of the schedule of a shutdown.

use super::*;

fn millis_between(start: Instant, end: Instant) -> u128 {
    end.duration_since(start).as_millis()
}

#[test]
fn kill_time_includes_limited_client_wait() {
    assert_eq!(time_to_kill(1.0), Duration::from_millis(1700));
    assert_eq!(time_to_kill(3.0), Duration::from_millis(3700));
    assert_eq!(time_to_kill(30.0), Duration::from_millis(3700));
    // A `Duration` can't represent these.
    assert_eq!(time_to_kill(f64::INFINITY), Duration::from_millis(3700));
    assert_eq!(time_to_kill(-1.0), Duration::from_millis(3700));
}

#[test]
fn without_successor_requests_end_early() {
    let start = Instant::now();
    let schedule = Schedule::new(start, Duration::from_millis(3700), false);
    assert_eq!(millis_between(start, schedule.accept_until), 500);
    assert_eq!(millis_between(start, schedule.close_from), 650);
    assert_eq!(millis_between(start, schedule.requests_until), 650);
    assert_eq!(millis_between(start, schedule.responses_until), 3300);
}

#[test]
fn with_successor_requests_end_shortly_before_kill() {
    let start = Instant::now();
    let requests_until = |kill_after: u64| {
        let schedule = Schedule::new(start, Duration::from_millis(kill_after), true);
        millis_between(start, schedule.requests_until)
    };
    assert_eq!(requests_until(3700), 2500);
    // Never earlier than without a successor.
    assert_eq!(requests_until(1700), 650);
    assert_eq!(requests_until(900), 650);
}
