//! Tests of the pace of a body.

use super::*;

/// Returns the pace of a body of which pieces of this length arrive at these times, and the number of bytes by then.
fn pace_after(piece_bytes: usize, times: &[Time]) -> (ArrivalPace, u64) {
    let mut pace = ArrivalPace::default();
    for time in times {
        pace.record(*time, piece_bytes);
    }
    (pace, (piece_bytes * times.len()) as u64)
}

/// Returns times from 0 to `end` with this interval.
fn steady_times(interval: Seconds, end: Time) -> Vec<Time> {
    let count = (end / interval) as u32;
    (0..=count).map(|number| f64::from(number) * interval).collect()
}

#[test]
fn steady_body_of_slow_endpoint_goes_on() {
    for (piece_bytes, interval) in [(640, 0.01), (3200, 0.05), (16_000, 0.25), (32_000, 0.5)] {
        for end in [0.6, 0.9, 1.02] {
            let (pace, received_bytes) = pace_after(piece_bytes, &steady_times(interval, end));
            assert!(pace.at(end).goes_on(received_bytes), "{piece_bytes} bytes in {interval} s, at {end}");
        }
    }
}

/// Guards against a trickle without end that is taken for a long response.
#[test]
fn trickle_does_not_go_on() {
    for (piece_bytes, interval) in [(8, 0.4), (1, 0.002), (100, 0.01), (1000, 0.05), (2000, 0.1)] {
        for end in [0.3, 0.9, 2.8] {
            let (pace, received_bytes) = pace_after(piece_bytes, &steady_times(interval, end));
            assert!(!pace.at(end).goes_on(received_bytes), "{piece_bytes} bytes in {interval} s, at {end}");
        }
    }
}

#[test]
fn body_in_bursts_goes_on_over_its_pauses() {
    let bursts = steady_times(1.5, 4.5);
    for count in 1..=3 {
        let (pace, received_bytes) = pace_after(20_000, &bursts[..count]);
        let next_burst_at = bursts[count];
        assert!(pace.at(next_burst_at).goes_on(received_bytes), "before burst {count}");
        assert!(!pace.at(next_burst_at + 3.0).goes_on(received_bytes), "long after burst {count}");
    }
}

/// Guards against a short response without its end that is taken for a long one.
#[test]
fn body_that_stops_after_little_or_most_of_short_response_does_not_go_on() {
    let (pace, received_bytes) = pace_after(16_000, &[0.0]);
    assert!(!pace.at(0.45).goes_on(received_bytes));
    let (mut pace, received_bytes) = pace_after(16_000, &[0.0, 0.0, 0.0, 0.0]);
    assert!(pace.at(0.35).goes_on(received_bytes), "the pause is negligible");
    assert!(!pace.at(0.45).goes_on(received_bytes));
    pace.record(0.5, 8);
    assert!(!pace.at(0.6).goes_on(received_bytes + 8));
}

#[test]
fn rate_follows_recent_bytes() {
    assert_eq!(ArrivalPace::default().at(0.0), Pace::default());
    let (pace, _) = pace_after(1400, &steady_times(0.05, 2.0));
    let rate = pace.at(2.025).bytes_per_second;
    assert!((25_000.0..31_000.0).contains(&rate), "28 kB a second: {rate}");
    assert!(pace.at(3.0).bytes_per_second < 2000.0);
}
