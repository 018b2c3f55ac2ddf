use super::UnreportedUnitsEstimator;

const TIME_CONSTANT: f64 = 20.0;

#[test]
fn units_are_reported_in_proportion_and_once() {
    let mut estimator = UnreportedUnitsEstimator::default();
    estimator.record_spent(1.0, 6.0, TIME_CONSTANT);
    estimator.record_requested(1.0, 4.0, TIME_CONSTANT);
    assert_eq!(estimator.take_report(2.0, 100.0), 3.0);
    // The same share of the remaining units.
    assert_eq!(estimator.take_report(2.0, 100.0), 1.5);
}

#[test]
fn report_is_limited_by_maximum_and_by_spent_units() {
    let mut estimator = UnreportedUnitsEstimator::default();
    estimator.record_spent(1.0, 6.0, TIME_CONSTANT);
    estimator.record_requested(1.0, 1.0, TIME_CONSTANT);
    assert_eq!(estimator.take_report(1.0, 5.0), 5.0);
    assert_eq!(estimator.take_report(50.0, 5.0), 1.0);
}
