//! Tests of the monitor of hold-ups.

use super::*;

/// Returns the time at this many milliseconds after `start`.
fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

/// Guards against input that is dated to its reading although it arrived while the process was held up.
#[test]
fn input_may_have_arrived_since_the_last_tick_before_a_hold_up() {
    let start = Instant::now();
    let monitor = HoldUpMonitor::new(start);
    assert_eq!(monitor.earliest_arrival(after(start, 250)), after(start, 250));
    monitor.tick(after(start, 250));
    assert_eq!(monitor.earliest_arrival(after(start, 300)), after(start, 300));
    // Read before the tick that follows the hold-up, and after it.
    assert_eq!(monitor.earliest_arrival(after(start, 900)), after(start, 250));
    monitor.tick(after(start, 901));
    assert_eq!(monitor.earliest_arrival(after(start, 950)), after(start, 250));
    assert_eq!(monitor.earliest_arrival(after(start, 951)), after(start, 951));
}
