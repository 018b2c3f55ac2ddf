use super::ThinFlow;

const MEMORY: f64 = 20.0;

#[test]
fn calls_report_in_proportion_and_once() {
    let mut flow = ThinFlow::default();
    flow.spend(1.0, 6.0, MEMORY);
    flow.ask(1.0, 4.0, MEMORY);
    assert_eq!(flow.take(2.0, 100.0), 3.0);
    // Of the rest the same part.
    assert_eq!(flow.take(2.0, 100.0), 1.5);
}

#[test]
fn no_call_reports_more_than_its_bound_or_what_was_spent() {
    let mut flow = ThinFlow::default();
    flow.spend(1.0, 6.0, MEMORY);
    flow.ask(1.0, 1.0, MEMORY);
    assert_eq!(flow.take(1.0, 5.0), 5.0);
    assert_eq!(flow.take(50.0, 5.0), 1.0);
}
