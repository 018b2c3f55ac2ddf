//! Tests of the bounds of a checked run, and of the detection of a steady rate.

use oliverack_lab::process::{
    Error,
    bounds::{self, Bound, CheckFailure},
    report::{Metric, Report, RowKey},
    steady_state::SteadyState,
};

const GATEWAYS: u32 = 680;

/// Returns a report in which all values of the bounded row are as high as their bounds allow.
fn report_at_bounds() -> Report {
    let row_key = bounds::bounded_row_key(GATEWAYS);
    let mut report = Report::default();
    report.record(RowKey { size: 100, ..row_key }, Metric::RequestProcessorMicros, 100.0);
    report.record(row_key, Metric::RequestProcessorMicros, 125.0);
    report.record(row_key, Metric::ChangeProcessorMicros, 200.0);
    report.record(row_key, Metric::PeakIndentedKibibytes, 32.0 * 1024.0);
    report.record(row_key, Metric::EndpointOutsideBytes, 149.9);
    report
}

fn check_program(report: &Report) -> Vec<CheckFailure> {
    let row_key = bounds::bounded_row_key(GATEWAYS);
    bounds::check(report, bounds::PROGRAM.map(|bound| (row_key, bound)))
}

fn check_policy(report: &Report) -> Vec<CheckFailure> {
    let row_key = bounds::bounded_row_key(GATEWAYS);
    bounds::check(report, [bounds::CHANGE, bounds::OUTSIDE_STATE].map(|bound| (row_key, bound)))
}

fn violated_metrics(failures: &[CheckFailure]) -> Vec<Metric> {
    let violated_metric = |failure: &CheckFailure| match failure {
        CheckFailure::Violated { bound: Bound { metric, .. }, .. } => Some(*metric),
        CheckFailure::Row(_) => None,
    };
    failures.iter().filter_map(violated_metric).collect()
}

#[test]
fn values_at_bounds_pass_check() {
    assert_eq!(check_program(&report_at_bounds()), []);
    assert_eq!(check_policy(&report_at_bounds()), []);
}

#[test]
fn value_over_bound_fails_check() {
    let row_key = bounds::bounded_row_key(GATEWAYS);
    let report_with = |metric, value| {
        let mut report = report_at_bounds();
        // Two of three values determine the median.
        for _ in 0..2 {
            report.record(row_key, metric, value);
        }
        report
    };
    let metric = Metric::RequestProcessorMicros;
    assert_eq!(violated_metrics(&check_program(&report_with(metric, 125.1))), [metric]);
    let metric = Metric::ChangeProcessorMicros;
    assert_eq!(violated_metrics(&check_program(&report_with(metric, 200.1))), [metric]);
    assert_eq!(violated_metrics(&check_policy(&report_with(metric, 200.1))), [metric]);
    let metric = Metric::EndpointOutsideBytes;
    assert_eq!(violated_metrics(&check_policy(&report_with(metric, 150.0))), [metric]);
}

#[test]
fn memory_over_bound_in_one_round_fails_check() {
    let metric = Metric::PeakIndentedKibibytes;
    let mut report = report_at_bounds();
    for _ in 0..4 {
        report.record(bounds::bounded_row_key(GATEWAYS), metric, 1024.0);
    }
    report.record(bounds::bounded_row_key(GATEWAYS), metric, 32.0 * 1024.0 + 1.0);
    assert_eq!(violated_metrics(&check_program(&report)), [metric]);
}

#[test]
fn missing_values_fail_check() {
    let failures = check_program(&Report::default());
    assert_eq!(violated_metrics(&failures), bounds::PROGRAM.map(|bound| bound.metric));
    assert_eq!(
        failures[0].to_string(),
        "9200 workers, 680 gateways: processor time a request [us], ratio: not measured, bound at most 1.25"
    );
    assert_eq!(check_policy(&Report::default()).len(), 2);
}

#[test]
fn ratio_without_base_row_fails_check() {
    let mut report = Report::default();
    report.record(bounds::bounded_row_key(GATEWAYS), Metric::RequestProcessorMicros, 100.0);
    assert!(violated_metrics(&check_program(&report)).contains(&Metric::RequestProcessorMicros));
}

#[test]
fn failed_row_fails_check_with_reason() {
    let mut report = report_at_bounds();
    let row = RowKey { size: 10, ..bounds::bounded_row_key(GATEWAYS) };
    report.record_failure(
        row,
        &Error::TooFewCounterCalls { calls: 3, sent: 6000, min_calls_per_request: 0.01 },
    );
    let failures = check_program(&report);
    assert_eq!(failures.len(), 1);
    assert_eq!(
        failures[0].to_string(),
        "10 workers, 680 gateways, in 1 rounds: the counter was called 3 times in 6000 requests, fewer than 0.01 a \
         request"
    );
}

#[test]
fn rate_is_steady_after_three_similar_batches() {
    let mut steady_state = SteadyState::default();
    let is_steady = [0.1, 0.2, 0.4, 0.42, 0.43, 0.42].map(|value| steady_state.add(value, 0.01));
    assert_eq!(is_steady, [false, false, false, false, true, true]);
}

#[test]
fn rate_below_minimum_is_never_steady() {
    let mut steady_state = SteadyState::default();
    assert!([0.0; 6].into_iter().all(|value| !steady_state.add(value, 0.01)));
    assert!([0.009; 6].into_iter().all(|value| !steady_state.add(value, 0.01)));
}
