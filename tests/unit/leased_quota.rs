//! Tests a customer's quota with counter replies that each test chooses.

use super::{LeaseReply, LeasedQuota};
use crate::{policy::counter::window::QuotaWindow, settings::Plan};

const NOW: f64 = 100.0;

/// Returns a plan with two units a second and a burst of ten.
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
fn block_within_limit_is_granted_whole() {
    let mut quota = LeasedQuota::default();
    // The count was 3 before the call.
    let settlement = quota.settle_lease(reply(4.0, 0.0, 7.0), window(0.0), &plan(), NOW);
    assert!(quota.lease_covers(4.0) && !quota.lease_covers(5.0));
    assert_eq!(settlement.correction, None);
    assert!(!settlement.must_read_previous);
}

#[test]
fn block_beyond_limit_is_cut_and_count_corrected() {
    let mut quota = LeasedQuota::default();
    // The count was 8 of 10 before the call, so 2 of the 4 units are granted.
    let settlement = quota.settle_lease(reply(4.0, 0.0, 12.0), window(0.0), &plan(), NOW);
    assert!(quota.lease_covers(2.0) && !quota.lease_covers(3.0));
    assert_eq!(settlement.correction, Some(-2.0));
    assert!(quota.is_exhausted(NOW, &plan(), 3.0));
}

#[test]
fn first_call_reads_previous_window_if_nothing_is_known() {
    let mut quota = LeasedQuota::default();
    let first = quota.settle_lease(reply(4.0, 0.0, 4.0), window(0.0), &plan(), NOW);
    assert!(first.must_read_previous);
    let later = quota.settle_lease(reply(1.0, 0.0, 1.0), window(0.5), &plan(), NOW + 0.5);
    assert!(!later.must_read_previous, "the first reply gave the remaining units");
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
fn lease_expires_with_its_window() {
    let mut quota = LeasedQuota::default();
    quota.begin_lease_call(5);
    quota.settle_lease(reply(4.0, 0.0, 7.0), window(0.0), &plan(), NOW);
    quota.enter_window(5);
    assert!(quota.lease_covers(4.0));
    quota.enter_window(6);
    assert!(!quota.lease_covers(1.0));
}
