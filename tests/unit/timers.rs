//! The order of the timers.

use super::*;

/// Removes all timers and returns their tokens in order.
fn drain(timers: &Timers) -> Vec<u64> {
    let mut tokens = Vec::new();
    while let Some(purpose) = timers.pop_next() {
        let TimerPurpose::Policy(token) = purpose else { panic!("a timer that no test has set") };
        tokens.push(token);
    }
    tokens
}

#[test]
fn timers_fire_by_due_time_and_those_due_at_once_in_the_order_of_their_setting() {
    let timers = Timers::default();
    for (token, due) in [(1, 2.5), (2, 0.5), (3, 2.5), (4, 1.0), (5, 0.5)] {
        timers.set(due, TimerPurpose::Policy(token));
    }
    assert_eq!(timers.next_due(), Some(0.5));
    assert_eq!(drain(&timers), [2, 5, 4, 1, 3]);
    assert_eq!(timers.next_due(), None);
}

#[test]
fn time_before_zero_is_due_at_zero() {
    let timers = Timers::default();
    timers.set(1.0, TimerPurpose::Policy(1));
    timers.set(-3.0, TimerPurpose::Policy(2));
    assert_eq!(timers.next_due(), Some(0.0));
    assert_eq!(drain(&timers), [2, 1]);
}

#[test]
fn cancelled_timer_does_not_fire() {
    let timers = Timers::default();
    let first = timers.set(1.0, TimerPurpose::Policy(1));
    timers.set(2.0, TimerPurpose::Policy(2));
    timers.cancel(first);
    // Cancelled twice, as by a request that ends after its timer.
    timers.cancel(first);
    assert_eq!(timers.next_due(), Some(2.0));
    assert_eq!(drain(&timers), [2]);
}

#[test]
fn only_a_timer_due_before_all_others_wakes_the_waiting_task() {
    let timers = Timers::default();
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    let mut is_woken = || {
        let waiting = std::pin::pin!(timers.wait_for_earlier());
        waiting.poll(&mut context).is_ready()
    };
    assert!(!is_woken());
    timers.set(2.0, TimerPurpose::Policy(1));
    assert!(is_woken());
    timers.set(3.0, TimerPurpose::Policy(2));
    assert!(!is_woken());
    timers.set(1.0, TimerPurpose::Policy(3));
    assert!(is_woken());
}
