//! Tests of the order of timers, and of cancelled ones.

use super::*;

/// Removes all timers and returns their tokens in the order of the timers.
fn take_tokens(timers: &Timers) -> Vec<u64> {
    let mut tokens = Vec::new();
    while let Some(purpose) = timers.pop_next() {
        let TimerPurpose::Policy(token) = purpose else { panic!("a timer of another purpose") };
        tokens.push(token);
    }
    tokens
}

#[test]
fn timers_fire_by_due_time_then_in_order_of_setting() {
    let timers = Timers::default();
    for (token, due) in [(1, 2.5), (2, 0.5), (3, 2.5), (4, 1.0), (5, 0.5)] {
        timers.set(due, TimerPurpose::Policy(token));
    }
    assert_eq!(timers.next_due(), Some(0.5));
    assert_eq!(take_tokens(&timers), [2, 5, 4, 1, 3]);
    assert_eq!(timers.next_due(), None);
}

#[test]
fn negative_due_time_counts_as_zero() {
    let timers = Timers::default();
    timers.set(1.0, TimerPurpose::Policy(1));
    timers.set(-3.0, TimerPurpose::Policy(2));
    assert_eq!(timers.next_due(), Some(0.0));
    assert_eq!(take_tokens(&timers), [2, 1]);
}

#[test]
fn cancelled_timer_does_not_fire() {
    let timers = Timers::default();
    let first = timers.set(1.0, TimerPurpose::Policy(1));
    timers.set(2.0, TimerPurpose::Policy(2));
    timers.cancel(first);
    // A second cancellation has no effect, as for a request that ends after its timer.
    timers.cancel(first);
    assert_eq!(timers.next_due(), Some(2.0));
    assert_eq!(take_tokens(&timers), [2]);
}

#[test]
fn only_earliest_timer_wakes_waiting_task() {
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
