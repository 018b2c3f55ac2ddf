//! Endpoints in maintenance, as one gateway treats them.

mod common;
use common::{AttemptEnd, GatewayHarness, endpoint, plan, settings, started_attempts};
use oliverack::{EndpointId, Event, Lifecycle, ListKind, Status};

fn set_maintenance(harness: &mut GatewayHarness, name: &str, enabled: bool) {
    harness.handle(Event::MaintenanceChanged { endpoint: name.into(), in_maintenance: enabled });
}

/// Sends `count` requests whose attempts stay in flight. Returns the endpoints of the attempts.
fn send_requests(harness: &mut GatewayHarness, id_prefix: &str, count: usize) -> Vec<EndpointId> {
    (0..count)
        .flat_map(|i| started_attempts(&harness.send_request(&format!("{id_prefix}{i}"))))
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
    let full_list =
        |started| ["a", "b", "c"].map(|name| endpoint(name, Lifecycle::Running, started)).to_vec();
    for (kind, endpoints) in [
        (ListKind::Full, full_list(0.0)),
        (ListKind::Changes, vec![endpoint("a", Lifecycle::Draining, 0.0)]),
        (ListKind::Changes, vec![endpoint("a", Lifecycle::Running, harness.now - 1.0)]),
        (ListKind::Changes, vec![endpoint("a", Lifecycle::Gone, 0.0)]),
        (ListKind::Full, full_list(harness.now - 0.5)),
    ] {
        harness.update_endpoints(kind, endpoints);
        let endpoints_used = send_requests(&mut harness, "j", 2);
        assert!(endpoints_used.iter().all(|id| &**id != "a"), "{kind:?}: {endpoints_used:?}");
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
    let [(request_id, first)] = &started_attempts(&actions)[..] else { panic!("not exactly one attempt") };
    let others: Vec<&str> = ["a", "b", "c"].into_iter().filter(|name| *name != &**first).collect();
    set_maintenance(&mut harness, others[0], true);
    let actions = harness.attempt_ended(request_id, 0, first, Status::ConnectFailed);
    assert_eq!(
        started_attempts(&actions).iter().map(|(_, endpoint)| &**endpoint).collect::<Vec<_>>(),
        [others[1]]
    );
}

#[test]
fn endpoint_after_maintenance_gets_reduced_share_within_seconds() {
    let mut harness = gateway_without_quota();
    let attempts_at_a_in_one_second = |harness: &mut GatewayHarness, id_prefix: &str| {
        // Sends 20 requests within one second; each attempt succeeds at once.
        let mut attempts_at_a = 0;
        for i in 0..20 {
            harness.now += 0.05;
            for (request_id, endpoint) in started_attempts(&harness.send_request(&format!("{id_prefix}{i}")))
            {
                attempts_at_a += usize::from(&*endpoint == "a");
                harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok);
            }
        }
        attempts_at_a
    };
    let before: usize = (0..10).map(|i| attempts_at_a_in_one_second(&mut harness, &format!("x{i}-"))).sum();
    assert!(before > 0, "the endpoint is used before its maintenance");
    set_maintenance(&mut harness, "a", true);
    assert_eq!(
        (0..3).map(|i| attempts_at_a_in_one_second(&mut harness, &format!("y{i}-"))).sum::<usize>(),
        0
    );
    set_maintenance(&mut harness, "a", false);
    let after: Vec<usize> =
        (0..3).map(|i| attempts_at_a_in_one_second(&mut harness, &format!("z{i}-"))).collect();
    assert!(
        after.iter().sum::<usize>() > 0,
        "attempts in each of the first 3 s after maintenance: {after:?}"
    );
    // The load is 20 units a second at three endpoints. At 0.2 of its capacity an endpoint gets a fraction of a third.
    assert!(after[0] <= 4, "attempts in each second of slow start: {after:?}");
}

#[test]
fn slow_responses_of_endpoint_in_slow_start_do_not_raise_median_latency() {
    let mut harness = gateway_without_quota();
    // Sends 100 requests a second; all endpoints but "a" respond in 20 ms.
    let highest_median = |harness: &mut GatewayHarness, id_prefix: &str, response_time_of_a: f64| {
        let mut highest: f64 = 0.0;
        for i in 0..200 {
            harness.now += 0.01;
            for (request_id, endpoint) in started_attempts(&harness.send_request(&format!("{id_prefix}{i}")))
            {
                let elapsed = if &*endpoint == "a" { response_time_of_a } else { 0.02 };
                harness.handle(AttemptEnd::new(&request_id, &endpoint).elapsed(elapsed).event());
                // The limit on attempts in flight is derived from the median.
                highest = highest.max(harness.gateway.snapshot().response_times.median);
            }
        }
        highest
    };
    let before = highest_median(&mut harness, "p", 0.02);
    set_maintenance(&mut harness, "a", true);
    set_maintenance(&mut harness, "a", false);
    let after = highest_median(&mut harness, "q", 0.5);
    assert!(
        (after - before).abs() < 1e-9,
        "median of {after} s with one endpoint in slow start, {before} s before"
    );
}
