//! The schedule of a shutdown.

use super::*;

fn millis(start: Instant, moment: Instant) -> u128 {
    moment.duration_since(start).as_millis()
}

#[test]
fn kill_time_grows_with_the_client_wait_up_to_its_limit() {
    assert_eq!(time_to_kill(1.0), Duration::from_millis(1700));
    assert_eq!(time_to_kill(3.0), Duration::from_millis(3700));
    assert_eq!(time_to_kill(30.0), Duration::from_millis(3700));
    // No duration can hold these.
    assert_eq!(time_to_kill(f64::INFINITY), Duration::from_millis(3700));
    assert_eq!(time_to_kill(-1.0), Duration::from_millis(3700));
}

#[test]
fn without_a_successor_open_connections_bring_requests_for_a_short_time_only() {
    let start = Instant::now();
    let schedule = Schedule::new(start, Duration::from_millis(3700), false);
    assert_eq!(millis(start, schedule.accept_until), 500);
    assert_eq!(millis(start, schedule.close_from), 650);
    assert_eq!(millis(start, schedule.requests_until), 650);
    assert_eq!(millis(start, schedule.responses_until), 3300);
    assert_eq!(millis(start, schedule.exit_at), 3500);
}

#[test]
fn with_a_successor_open_connections_bring_requests_until_shortly_before_the_kill() {
    let start = Instant::now();
    let requests_until = |kill_after: u64| {
        let schedule = Schedule::new(start, Duration::from_millis(kill_after), true);
        millis(start, schedule.requests_until)
    };
    assert_eq!(requests_until(3700), 2500);
    // Never for a shorter time than without one.
    assert_eq!(requests_until(1700), 650);
    assert_eq!(requests_until(900), 650);
}
