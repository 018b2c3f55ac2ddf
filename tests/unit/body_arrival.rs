//! Tests of the bound on the time of a body's last byte.

use super::*;

/// Returns the time at this many milliseconds after `start`.
fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

/// Guards against a client's wait that begins only when a slow endpoint has taken the body.
#[test]
fn last_byte_may_have_been_written_with_first_while_bytes_wait_unread() {
    let start = Instant::now();
    let arrival = BodyArrival::new(start, None);
    arrival.record_forwarded(100_000, after(start, 900));
    assert_eq!(arrival.earliest_end(), Some(start));
    // A read that did not wait changes nothing.
    arrival.await_client();
    arrival.end_wait(start);
    assert_eq!(arrival.earliest_end(), Some(start));
}

/// Guards against a slow client that is answered before it has sent its request.
#[test]
fn wait_does_not_begin_while_client_is_awaited() {
    let start = Instant::now();
    let arrival = BodyArrival::new(start, None);
    arrival.await_client();
    assert_eq!(arrival.earliest_end(), None);
    arrival.end_wait(after(start, 5000));
    assert_eq!(arrival.earliest_end(), Some(after(start, 5000)));
    arrival.record_forwarded(10, after(start, 5001));
    assert_eq!(arrival.earliest_end(), Some(after(start, 5000)));
}

/// Guards against an attempt that begins for a client whose close is hidden behind unread bytes.
#[test]
fn client_may_be_gone_once_its_close_was_hidden_too_long() {
    let start = Instant::now();
    let arrival = BodyArrival::new(start, None);
    assert!(!arrival.may_be_abandoned(after(start, 10_000)));
    arrival.hide_close(start);
    arrival.hide_close(after(start, 70));
    assert!(!arrival.may_be_abandoned(after(start, 80)));
    assert!(arrival.may_be_abandoned(after(start, 81)));
    arrival.show_close();
    assert!(!arrival.may_be_abandoned(after(start, 81)));
}

/// Guards against a long body that is cut off while its client still writes it at full speed.
#[test]
fn last_byte_is_at_most_as_old_as_bytes_that_buffers_can_hold() {
    let start = Instant::now();
    let arrival = BodyArrival::new(start, None);
    let half = MAX_UNREAD_BYTES / 2;
    for step in 1..=12 {
        arrival.record_forwarded(half, after(start, step * 100));
        let earliest_end = arrival.earliest_end().expect("bytes may wait unread");
        // The buffers hold two steps; a mark is set every two steps.
        let expected_step = (step / 2 * 2).saturating_sub(2);
        assert_eq!(earliest_end, after(start, expected_step * 100), "step {step}");
    }
}

/// Guards against a long body of known length that is cut off while its client still writes it, and against one that has no
/// answer because its endpoint takes nothing more.
#[test]
fn last_byte_follows_progress_while_more_is_missing_than_buffers_can_hold() {
    let start = Instant::now();
    let arrival = BodyArrival::new(start, Some(MAX_UNREAD_BYTES + 1000));
    assert_eq!(arrival.earliest_end(), Some(start));
    arrival.record_forwarded(999, after(start, 1000));
    assert_eq!(arrival.earliest_end(), Some(after(start, 1000)));
    arrival.record_forwarded(1, after(start, 2000));
    assert_eq!(arrival.earliest_end(), Some(after(start, 2000)));
    arrival.record_forwarded(MAX_UNREAD_BYTES, after(start, 3000));
    assert_eq!(arrival.earliest_end(), Some(after(start, 2000)));
}
