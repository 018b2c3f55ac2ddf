//! A customer's quota against a count that is kept by hand.

use super::{LeaseReply, LeasedQuota};
use crate::{policy::counter::window::QuotaWindow, settings::Plan};

const NOW: f64 = 100.0;

/// Two units a second, at most ten saved up.
fn plan() -> Plan {
    Plan { rate: 2.0, burst: 10.0, ..Plan::default() }
}

fn window(age: f64) -> QuotaWindow {
    QuotaWindow { number: 5, age, length: 20.0 }
}

fn reply(wanted: f64, unreported: f64, total: f64) -> LeaseReply {
    LeaseReply { window: 5, wanted, unreported, total }
}

#[test]
fn block_within_the_limit_is_granted_whole() {
    let mut quota = LeasedQuota::default();
    // Three units were counted before the call.
    let settlement = quota.settle_lease(reply(4.0, 0.0, 7.0), window(0.0), &plan(), NOW);
    assert!(quota.lease_covers(4.0) && !quota.lease_covers(5.0));
    assert_eq!(settlement.correction, None);
    assert!(!settlement.must_read_previous);
}

#[test]
fn block_beyond_the_limit_is_cut_and_the_count_corrected() {
    let mut quota = LeasedQuota::default();
    // Eight of ten units were counted before, so two are left of the four.
    let settlement = quota.settle_lease(reply(4.0, 0.0, 12.0), window(0.0), &plan(), NOW);
    assert!(quota.lease_covers(2.0) && !quota.lease_covers(3.0));
    assert_eq!(settlement.correction, Some(-2.0));
    assert!(quota.is_exhausted(NOW, &plan(), 3.0));
}

#[test]
fn first_call_in_a_window_reads_the_previous_one_if_nothing_is_known() {
    let mut quota = LeasedQuota::default();
    let first = quota.settle_lease(reply(4.0, 0.0, 4.0), window(0.0), &plan(), NOW);
    assert!(first.must_read_previous);
    let later = quota.settle_lease(reply(1.0, 0.0, 1.0), window(0.5), &plan(), NOW + 0.5);
    assert!(!later.must_read_previous, "the level is known by then");
}

#[test]
fn unreported_units_are_reported_once() {
    let mut quota = LeasedQuota::default();
    quota.spend_unreported(3.0, 10.0);
    quota.spend_unreported(9.0, 10.0);
    assert_eq!(quota.begin_lease_call(5), 10.0);
    assert_eq!(quota.begin_lease_call(5), 0.0);
}

#[test]
fn lease_lapses_with_its_window() {
    let mut quota = LeasedQuota::default();
    quota.begin_lease_call(5);
    quota.settle_lease(reply(4.0, 0.0, 7.0), window(0.0), &plan(), NOW);
    quota.enter_window(5);
    assert!(quota.lease_covers(4.0));
    quota.enter_window(6);
    assert!(!quota.lease_covers(1.0));
}
