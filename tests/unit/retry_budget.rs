use super::{RetryBudget, RetryReason};
use crate::interface::Status;

fn retries_until_exhausted(budget: &mut RetryBudget, reason: RetryReason) -> usize {
    let mut retries = 0;
    while budget.allows_retry() {
        budget.record_retry(reason);
        retries += 1;
    }
    retries
}

#[test]
fn new_budget_allows_ten_retries_and_then_one_per_ten_requests() {
    let mut budget = RetryBudget::default();
    assert_eq!(retries_until_exhausted(&mut budget, RetryReason::Other), 10);
    for _ in 0..9 {
        budget.record_request();
    }
    assert!(!budget.allows_retry(), "nine requests are too few");
    budget.record_request();
    budget.record_request();
    assert_eq!(retries_until_exhausted(&mut budget, RetryReason::Other), 1);
}

#[test]
fn retry_after_a_broken_connection_costs_a_quarter() {
    let mut budget = RetryBudget::default();
    assert_eq!(retries_until_exhausted(&mut budget, RetryReason::after(Status::ConnectFailed)), 37);
    assert_eq!(RetryReason::after(Status::Reset), RetryReason::BrokenConnection);
    assert_eq!(RetryReason::after(Status::Error), RetryReason::Other);
}

#[test]
fn budget_holds_at_most_ten_retries() {
    let mut budget = RetryBudget::default();
    for _ in 0..1000 {
        budget.record_request();
    }
    assert_eq!(retries_until_exhausted(&mut budget, RetryReason::Other), 10);
}
