use super::LatencyEstimate;

#[test]
fn first_sample_is_the_mean_and_later_ones_move_it_by_their_weight() {
    let mut estimate = LatencyEstimate::default();
    estimate.record_mean(0.2, 0.25);
    assert_eq!(estimate.mean, 0.2);
    estimate.record_mean(0.4, 0.25);
    assert_eq!(estimate.mean, 0.25);
}

#[test]
fn idle_latency_is_kept_while_responses_slow_down_and_forgotten_in_time() {
    let mut estimate = LatencyEstimate::default();
    estimate.record_median(1.0, 0.1, 0.5, 10.0);
    assert_eq!((estimate.median, estimate.idle.level), (0.1, 0.1));
    estimate.record_median(1.0, 0.4, 0.5, 10.0);
    assert!((estimate.median - 0.2).abs() < 1e-12, "the geometric middle: {}", estimate.median);
    assert!((estimate.idle.level - 0.1).abs() < 1e-12, "{}", estimate.idle.level);
    estimate.record_median(101.0, 0.2, 0.5, 10.0);
    assert!((estimate.idle.level - 0.2).abs() < 1e-4, "{}", estimate.idle.level);
}
