//! Tests of the values and the text of the metrics.

use super::*;

#[test]
fn counters_start_at_zero_and_count_each_request_once() {
    let metrics = Metrics::new(2);
    let render = || metrics.render(&["a".into(), "b\"\\".into()], EndpointCounts { listed: 3, avoided: 1 });
    for line in ["svc_success{type=\"a\"} 0", "svc_error{type=\"b\\\"\\\\\"} 0", "svc_dispatches 0"] {
        assert!(render().lines().any(|rendered| rendered == line), "{line}");
    }
    let (served, rejected, disconnected) =
        (metrics.request_started(0), metrics.request_started(1), metrics.request_started(1));
    assert!(render().contains("\nsvc_concurrent 3\n"));
    served.end(RequestOutcome::Served);
    rejected.end(RequestOutcome::Rejected);
    drop(disconnected);
    for line in [
        "svc_success{type=\"a\"} 1",
        "svc_overload{type=\"a\"} 0",
        "svc_overload{type=\"b\\\"\\\\\"} 1",
        "svc_error{type=\"b\\\"\\\\\"} 0",
        "svc_concurrent 0",
        "svc_targets 3",
        "svc_targets_disabled 1",
    ] {
        assert!(render().lines().any(|rendered| rendered == line), "{line}");
    }
}

#[test]
fn text_is_the_same_as_in_earlier_versions() {
    let metrics = Metrics::new(2);
    metrics.request_started(0).end(RequestOutcome::Served);
    metrics.request_started(1).end(RequestOutcome::Rejected);
    metrics.request_started(1).end(RequestOutcome::Failed);
    let in_flight = metrics.request_started(0);
    metrics.dispatches.set(4);
    for reason in [CutReason::ResponseOverdue, CutReason::ClientStalled, CutReason::ResponseOverdue] {
        metrics.cuts.count(reason);
    }
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
# TYPE svc_cut_messages counter
svc_cut_messages{reason="response_overdue"} 2
svc_cut_messages{reason="endpoint_stalled"} 0
svc_cut_messages{reason="request_overdue"} 0
svc_cut_messages{reason="client_stalled"} 1
"#;
    let text = metrics.render(&["lookup".into(), "submit".into()], EndpointCounts { listed: 3, avoided: 1 });
    drop(in_flight);
    assert_eq!(text, expected);
}
