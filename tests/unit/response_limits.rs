//! Tests of the times at which attempts end.

use super::*;

/// The first byte is due at 11.0, and the client waits until 12.0.
const LIMITS: ResponseLimits = ResponseLimits { timeout_at: 11.0, deadline: 12.0 };
const LONG: u64 = MAX_SHORT_BODY_BYTES + 1;

fn stream(length: Option<u64>, received_bytes: u64, bytes_per_second: f64) -> StreamProgress {
    let pace = Pace { bytes_per_second, ..Pace::default() };
    StreamProgress { length, received_bytes, pace, silence: Some(0.0), client_wait: 0.0 }
}

/// Returns the time and reason of the end of a stream that is looked at at `now`.
fn end_of(stream: StreamProgress, now: Time) -> (Time, EndReason) {
    let end = LIMITS.end_time(&ResponseProgress::Streaming(stream), now);
    (end.at, end.reason)
}

#[test]
fn only_wait_for_first_byte_ends_with_timeout() {
    let end_of = |progress| {
        let end = LIMITS.end_time(&progress, 10.0);
        (end.at, end.reason)
    };
    assert_eq!(end_of(ResponseProgress::Awaited), (11.0, EndReason::NoResponse));
    assert_eq!(end_of(ResponseProgress::SendingRequest), (12.0, EndReason::NoResponse));
    assert_eq!(end_of(ResponseProgress::Arriving), (12.0, EndReason::ResponseOverdue));
}

/// Guards against a short response that stays open behind an endpoint that never ends it.
#[test]
fn short_stream_ends_soon_after_deadline() {
    let short_lengths = [None, Some(1000), Some(MAX_SHORT_BODY_BYTES)];
    for (length, received_bytes, rate) in
        short_lengths.into_iter().flat_map(|length| [(length, 0, 0.0), (length, 40_000, 20_000.0)])
    {
        for now in [10.0, 12.0, 12.3, 20.0] {
            let end = end_of(stream(length, received_bytes, rate), now);
            assert_eq!(end, (12.3, EndReason::ResponseOverdue), "{length:?} {received_bytes} at {now}");
        }
    }
    // A known length can't become a longer one, however fast it arrives.
    let fast = Pace { bytes_per_second: 1e6, pause: Some(0.0), longest_pause: 0.0 };
    let known = StreamProgress { pace: fast, ..stream(Some(65_000), 60_000, 0.0) };
    assert_eq!(end_of(known, 12.3).0, 12.3);
}

/// Guards against a long response of unknown length that is taken for a short one.
#[test]
fn stream_of_unknown_length_goes_on_while_it_may_become_long() {
    let fast = Pace { bytes_per_second: 64_000.0, pause: Some(0.0), longest_pause: 0.0 };
    let (at, _) = end_of(StreamProgress { pace: fast, ..stream(None, 20_000, 0.0) }, 12.3);
    assert!(at > 12.3, "{at}");
    let (at, _) = end_of(stream(None, 62_500, 22_000.0), 12.3);
    assert!(at > 12.3, "65,800 bytes are expected by 12.45");
    assert_eq!(end_of(stream(None, 62_000, 22_000.0), 12.3).0, 12.3);
    assert_eq!(end_of(stream(None, MAX_SHORT_BODY_BYTES, 22_000.0), 12.46).0, 12.3);
}

/// Guards against a long response that is cut off while its endpoint gives it.
#[test]
fn long_stream_ends_only_by_silence() {
    for (length, received_bytes) in [(Some(LONG), 0), (None, LONG), (Some(LONG), LONG)] {
        let giving = stream(length, received_bytes, 0.0);
        assert_eq!(end_of(giving, 1000.0), (1010.0, EndReason::EndpointSilent));
        let silent = StreamProgress { silence: Some(9.0), ..giving };
        assert_eq!(end_of(silent, 1000.0).0, 1001.0);
        // An endpoint may pause until the deadline.
        assert_eq!(end_of(StreamProgress { silence: Some(11.5), ..giving }, 11.9).0, 12.0);
    }
}

/// Guards against a response that is cut off for the endpoint's silence while the client holds it up.
#[test]
fn stream_that_waits_for_its_client_does_not_end() {
    for length in [None, Some(1000), Some(LONG)] {
        let held_up = StreamProgress { silence: None, client_wait: 88.0, ..stream(length, 500, 0.0) };
        assert!(end_of(held_up, 100.0).0 > 100.0, "{length:?}");
    }
}

/// Guards against a short response that goes on because it is looked at in the moments in which its data is passed on.
#[test]
fn short_stream_that_client_takes_at_once_ends_in_time() {
    let passed_on = StreamProgress { silence: None, client_wait: 0.001, ..stream(None, 500, 0.0) };
    assert!(end_of(passed_on, 12.301).0 <= 12.301);
}
