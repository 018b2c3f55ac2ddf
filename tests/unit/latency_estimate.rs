use super::LatencyEstimate;

#[test]
fn the_first_answer_is_the_mean_and_later_ones_move_it_by_their_share() {
    let mut estimate = LatencyEstimate::default();
    estimate.note_mean(0.2, 0.25);
    assert_eq!(estimate.mean, 0.2);
    estimate.note_mean(0.4, 0.25);
    assert_eq!(estimate.mean, 0.25);
}

#[test]
fn the_best_is_kept_while_answers_slow_down_and_forgotten_in_time() {
    let mut estimate = LatencyEstimate::default();
    estimate.note_typical(1.0, 0.1, 0.5, 10.0);
    assert_eq!((estimate.typical, estimate.idle.level), (0.1, 0.1));
    estimate.note_typical(1.0, 0.4, 0.5, 10.0);
    assert!((estimate.typical - 0.2).abs() < 1e-12, "the geometric middle: {}", estimate.typical);
    assert!((estimate.idle.level - 0.1).abs() < 1e-12, "{}", estimate.idle.level);
    estimate.note_typical(101.0, 0.2, 0.5, 10.0);
    assert!((estimate.idle.level - 0.2).abs() < 1e-4, "{}", estimate.idle.level);
}
