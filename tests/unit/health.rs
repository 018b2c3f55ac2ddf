use super::{Health, MAX_EJECTION, MIN_EJECTION};
use crate::interface::Status;

#[test]
fn three_failures_or_a_refused_connection_and_a_failure_make_an_outlier() {
    let mut failing = Health::default();
    for _ in 0..2 {
        failing.record_outcome(1.0, Status::Error, false);
    }
    assert!(!failing.is_outlier(1.0));
    failing.record_outcome(1.0, Status::Reset, false);
    assert!(failing.is_outlier(1.0));
    let mut refusing = Health::default();
    refusing.record_outcome(1.0, Status::ConnectFailed, false);
    assert!(!refusing.is_outlier(1.0), "a single refused connection");
    refusing.record_outcome(1.0, Status::Error, false);
    assert!(refusing.is_outlier(1.0));
}

#[test]
fn success_resets_failures_and_fleet_timeouts_do_not_count() {
    let mut health = Health::default();
    health.record_outcome(1.0, Status::ConnectFailed, false);
    health.record_outcome(1.0, Status::Ok, false);
    health.record_outcome(1.0, Status::Error, false);
    assert!(!health.is_outlier(1.0));
    for _ in 0..5 {
        health.record_outcome(1.0, Status::Timeout, true);
    }
    assert!(!health.is_outlier(1.0));
}

#[test]
fn consecutive_ejections_double_up_to_the_maximum() {
    let mut health = Health::default();
    let mut expected = MIN_EJECTION;
    for _ in 0..6 {
        health.eject(10.0);
        assert_eq!(health.ejected_until, 10.0 + expected);
        expected = (2.0 * expected).min(MAX_EJECTION);
    }
}

#[test]
fn errors_are_counted_per_class() {
    let mut health = Health::default();
    for _ in 0..20 {
        health.record_response(1.0, 1, 3, true);
    }
    assert!(health.error_shares[1].level > 0.9);
    assert_eq!(health.error_shares[0].level, 0.0);
}
