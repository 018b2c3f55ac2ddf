//! The text of the metrics.

use super::*;

#[test]
fn classes_start_at_zero_and_each_request_is_counted_once() {
    let metrics = Metrics::new(2);
    let render = || metrics.render(&["a".into(), "b\"\\".into()], EndpointCounts { listed: 3, avoided: 1 });
    for line in ["svc_success{type=\"a\"} 0", "svc_error{type=\"b\\\"\\\\\"} 0", "svc_dispatches 0"] {
        assert!(render().lines().any(|l| l == line), "{line}");
    }
    let (one, two, gone) =
        (metrics.request_started(0), metrics.request_started(1), metrics.request_started(1));
    assert!(render().contains("\nsvc_concurrent 3\n"));
    one.end(RequestOutcome::Served);
    two.end(RequestOutcome::Rejected);
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

#[test]
fn text_has_the_bytes_that_earlier_versions_showed() {
    let metrics = Metrics::new(2);
    metrics.request_started(0).end(RequestOutcome::Served);
    metrics.request_started(1).end(RequestOutcome::Rejected);
    metrics.request_started(1).end(RequestOutcome::Failed);
    let waiting = metrics.request_started(0);
    metrics.dispatches.set(4);
    let expected = r#"# TYPE svc_success counter
svc_success{type="lookup"} 1
svc_success{type="submit"} 0
# TYPE svc_overload counter
svc_overload{type="lookup"} 0
svc_overload{type="submit"} 1
# TYPE svc_error counter
svc_error{type="lookup"} 0
svc_error{type="submit"} 1
# TYPE svc_dispatches counter
svc_dispatches 4
# TYPE svc_concurrent gauge
svc_concurrent 1
# TYPE svc_targets gauge
svc_targets 3
# TYPE svc_targets_disabled gauge
svc_targets_disabled 1
"#;
    let text = metrics.render(&["lookup".into(), "submit".into()], EndpointCounts { listed: 3, avoided: 1 });
    drop(waiting);
    assert_eq!(text, expected);
}
