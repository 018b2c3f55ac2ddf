//! The metrics as operators read them.

use super::*;

#[test]
fn every_class_stands_there_from_the_start_and_each_request_is_counted_once() {
    let metrics = Metrics::new(2);
    let render = || metrics.render(&["a".into(), "b\"\\".into()], Targets { listed: 3, avoided: 1 });
    for line in ["svc_success{type=\"a\"} 0", "svc_error{type=\"b\\\"\\\\\"} 0", "svc_dispatches 0"] {
        assert!(render().lines().any(|l| l == line), "{line}");
    }
    let (one, two, gone) = (metrics.take(0), metrics.take(1), metrics.take(1));
    assert!(render().contains("\nsvc_concurrent 3\n"));
    one.end(Outcome::Served);
    two.end(Outcome::Refused);
    drop(gone);
    for line in [
        "svc_success{type=\"a\"} 1",
        "svc_overload{type=\"a\"} 0",
        "svc_overload{type=\"b\\\"\\\\\"} 1",
        "svc_error{type=\"b\\\"\\\\\"} 0",
        "svc_concurrent 0",
        "svc_targets 3",
        "svc_targets_disabled 1",
    ] {
        assert!(render().lines().any(|l| l == line), "{line}");
    }
}
