use super::LatencyEstimate;

#[test]
fn mean_starts_at_the_first_sample_and_moves_by_the_gain() {
    let mut estimate = LatencyEstimate::default();
    estimate.record_mean(0.2, 0.25);
    assert_eq!(estimate.mean, 0.2);
    estimate.record_mean(0.4, 0.25);
    assert_eq!(estimate.mean, 0.25);
}

#[test]
fn idle_latency_rises_slowly_when_responses_slow_down() {
    let mut estimate = LatencyEstimate::default();
    estimate.record_median(1.0, 0.1, 0.5, 10.0);
    assert_eq!((estimate.median, estimate.idle.level), (0.1, 0.1));
    estimate.record_median(1.0, 0.4, 0.5, 10.0);
    assert!((estimate.median - 0.2).abs() < 1e-12, "geometric mean of the samples: {}", estimate.median);
    assert!((estimate.idle.level - 0.1).abs() < 1e-12, "{}", estimate.idle.level);
    estimate.record_median(101.0, 0.2, 0.5, 10.0);
    assert!((estimate.idle.level - 0.2).abs() < 1e-4, "{}", estimate.idle.level);
}
