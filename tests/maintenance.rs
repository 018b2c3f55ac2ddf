//! Endpoints in maintenance, at one gateway alone.

mod common;
use common::{AttemptEnd, GatewayHarness, endpoint, plan, settings, started_attempts};
use oliverack::{EndpointId, Event, Lifecycle, ListKind, Status};

fn set_maintenance(harness: &mut GatewayHarness, name: &str, actions: bool) {
    harness.handle(Event::MaintenanceChanged { endpoint: name.into(), in_maintenance: actions });
}

/// Sends `n` requests that stay in flight; returns their endpoints.
fn send_requests(harness: &mut GatewayHarness, tag: &str, n: usize) -> Vec<EndpointId> {
    (0..n)
        .flat_map(|i| started_attempts(&harness.send_request(&format!("{tag}{i}"))))
        .map(|(_, endpoint)| endpoint)
        .collect()
}

fn gateway_without_quota() -> GatewayHarness {
    let mut settings = settings();
    settings.plans = vec![plan(0.0, 0.0)];
    GatewayHarness::new(settings)
}

#[test]
fn endpoint_list_update_does_not_end_maintenance() {
    let mut harness = gateway_without_quota();
    set_maintenance(&mut harness, "a", true);
    set_maintenance(&mut harness, "a", true);
    let full = |started| ["a", "b", "c"].map(|n| endpoint(n, Lifecycle::Running, started)).to_vec();
    for (kind, endpoints) in [
        (ListKind::Full, full(0.0)),
        (ListKind::Changes, vec![endpoint("a", Lifecycle::Draining, 0.0)]),
        (ListKind::Changes, vec![endpoint("a", Lifecycle::Running, harness.now - 1.0)]),
        (ListKind::Changes, vec![endpoint("a", Lifecycle::Gone, 0.0)]),
        (ListKind::Full, full(harness.now - 0.5)),
    ] {
        harness.update_endpoints(kind, endpoints);
        let went = send_requests(&mut harness, "j", 2);
        assert!(went.iter().all(|id| &**id != "a"), "{kind:?}: {went:?}");
        harness.now += 1.0;
    }
    assert!(
        harness.gateway.is_known_endpoint(&"a".into())
            && !harness.gateway.is_known_endpoint(&"nobody".into())
    );
    // One call ends maintenance, even after two that began it.
    set_maintenance(&mut harness, "a", false);
    assert_eq!(harness.gateway.endpoints_in_maintenance().count(), 0);
}

#[test]
fn retry_avoids_endpoint_put_into_maintenance_meanwhile() {
    let mut harness = gateway_without_quota();
    let actions = harness.send_request("j");
    let [(request_id, first)] = &started_attempts(&actions)[..] else { panic!("one send") };
    let others: Vec<&str> = ["a", "b", "c"].into_iter().filter(|n| *n != &**first).collect();
    set_maintenance(&mut harness, others[0], true);
    let actions = harness.attempt_ended(request_id, 0, first, Status::ConnectFailed);
    assert_eq!(
        started_attempts(&actions).iter().map(|(_, endpoint)| &**endpoint).collect::<Vec<_>>(),
        [others[1]]
    );
}

#[test]
fn endpoint_out_of_maintenance_starts_slowly_and_is_used_within_seconds() {
    let mut harness = gateway_without_quota();
    let send_twenty = |harness: &mut GatewayHarness, tag: &str| {
        // Twenty requests a second, each answered at once.
        let mut to_a = 0;
        for i in 0..20 {
            harness.now += 0.05;
            for (request_id, endpoint) in started_attempts(&harness.send_request(&format!("{tag}{i}"))) {
                to_a += usize::from(&*endpoint == "a");
                harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok);
            }
        }
        to_a
    };
    let before: usize = (0..10).map(|i| send_twenty(&mut harness, &format!("x{i}-"))).sum();
    assert!(before > 0, "it was used");
    set_maintenance(&mut harness, "a", true);
    assert_eq!((0..3).map(|i| send_twenty(&mut harness, &format!("y{i}-"))).sum::<usize>(), 0);
    set_maintenance(&mut harness, "a", false);
    let cold: Vec<usize> = (0..3).map(|i| send_twenty(&mut harness, &format!("z{i}-"))).collect();
    assert!(cold.iter().sum::<usize>() > 0, "used within 3 s: {cold:?}");
    // Twenty units a second over three endpoints; at 0.2 of its capacity an endpoint gets a fraction of a third.
    assert!(cold[0] <= 4, "reduced share in slow start: {cold:?}");
}

#[test]
fn slow_responses_of_endpoint_in_slow_start_do_not_raise_median_latency() {
    let mut harness = gateway_without_quota();
    // A hundred requests a second, answered quickly by all but "a".
    let median_after = |harness: &mut GatewayHarness, tag: &str, slow: f64| {
        let mut most: f64 = 0.0;
        for i in 0..200 {
            harness.now += 0.01;
            for (request_id, endpoint) in started_attempts(&harness.send_request(&format!("{tag}{i}"))) {
                let elapsed = if &*endpoint == "a" { slow } else { 0.02 };
                harness.handle(AttemptEnd::new(&request_id, &endpoint).elapsed(elapsed).event());
                // The median, from which the concurrency limit is derived.
                most = most.max(harness.gateway.snapshot().response_times.median);
            }
        }
        most
    };
    let quick = median_after(&mut harness, "p", 0.02);
    set_maintenance(&mut harness, "a", true);
    set_maintenance(&mut harness, "a", false);
    let cold = median_after(&mut harness, "q", 0.5);
    assert!((cold - quick).abs() < 1e-9, "{cold} s after {quick} s, with one endpoint in slow start");
}
