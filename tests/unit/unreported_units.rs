use super::UnreportedUnitsEstimator;

const TIME_CONSTANT: f64 = 20.0;

#[test]
fn calls_report_units_in_proportion_and_once() {
    let mut estimator = UnreportedUnitsEstimator::default();
    estimator.record_spent(1.0, 6.0, TIME_CONSTANT);
    estimator.record_requested(1.0, 4.0, TIME_CONSTANT);
    assert_eq!(estimator.take_report(2.0, 100.0), 3.0);
    // Of the rest the same part.
    assert_eq!(estimator.take_report(2.0, 100.0), 1.5);
}

#[test]
fn call_reports_no_more_than_its_bound_or_what_was_spent() {
    let mut estimator = UnreportedUnitsEstimator::default();
    estimator.record_spent(1.0, 6.0, TIME_CONSTANT);
    estimator.record_requested(1.0, 1.0, TIME_CONSTANT);
    assert_eq!(estimator.take_report(1.0, 5.0), 5.0);
    assert_eq!(estimator.take_report(50.0, 5.0), 1.0);
}
