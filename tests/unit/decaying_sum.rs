use super::DecayingSum;

#[test]
fn amount_decays_over_the_time_constant() {
    let mut sum = DecayingSum::default();
    sum.add(0.0, 8.0, 2.0);
    assert_eq!(sum.level, 8.0);
    sum.add(2.0, 1.0, 2.0);
    assert!((sum.level - (8.0 * (-1.0_f64).exp() + 1.0)).abs() < 1e-12, "{}", sum.level);
    assert_eq!(sum.updated_at, 2.0);
}

#[test]
fn sum_of_a_steady_flow_is_its_rate_times_the_time_constant() {
    let mut sum = DecayingSum::default();
    for step in 0..10_000 {
        sum.add(f64::from(step) * 0.01, 0.05, 3.0);
    }
    assert!((sum.level / 3.0 - 5.0).abs() < 0.05, "{}", sum.level / 3.0);
}
