//! Replicas: several processes that serve one gateway side by side, as in a hot restart.

mod common;
use common::{FakeCounter, GatewayHarness, PlanBuilder, endpoint, plan, settings, started_attempts};
use oliverack::{Event, Lifecycle, ListKind, Plan};

fn gateway_without_counter(plan: Plan) -> GatewayHarness {
    let mut settings = settings();
    settings.has_counter = false;
    settings.plans = vec![plan];
    GatewayHarness::new(settings)
}

fn set_replica(harness: &mut GatewayHarness, index: u32, count: u32) {
    harness.handle(Event::ReplicasChanged { index, count });
}

/// Sends `count` requests whose attempts succeed at once. Returns the number of attempts.
fn send_requests(harness: &mut GatewayHarness, id_prefix: &str, count: usize) -> usize {
    FakeCounter::default().send_requests(harness, id_prefix, count)
}

#[test]
fn two_replicas_admit_together_as_much_as_one_process() {
    let mut only_process = gateway_without_counter(plan(10.0, 20.0));
    let complete_share = send_requests(&mut only_process, "a", 30);
    assert_eq!(complete_share, 10, "one of two gateways admits half of the burst");
    let mut predecessor = gateway_without_counter(plan(10.0, 20.0));
    set_replica(&mut predecessor, 0, 2);
    let mut successor = gateway_without_counter(plan(10.0, 20.0));
    successor.handle(Event::SnapshotReceived(predecessor.gateway.snapshot()));
    set_replica(&mut successor, 1, 2);
    let sent_by_both = |predecessor: &mut GatewayHarness, successor: &mut GatewayHarness, id_prefix: &str| {
        send_requests(predecessor, id_prefix, 30) + send_requests(successor, id_prefix, 30)
    };
    assert!(sent_by_both(&mut predecessor, &mut successor, "b") <= complete_share);
    predecessor.now += 100.0;
    successor.now += 100.0;
    assert_eq!(
        sent_by_both(&mut predecessor, &mut successor, "c"),
        complete_share,
        "two replicas admit the complete share between them"
    );
    // The successor has the complete share once the predecessor has ended.
    set_replica(&mut successor, 0, 1);
    successor.now += 100.0;
    assert_eq!(send_requests(&mut successor, "d", 30), complete_share);
}

#[test]
fn concurrency_limit_is_divided_among_replicas() {
    let started_by_replica = |index, count| {
        let plan = PlanBuilder::new(1000.0, 1000.0).max_concurrent_attempts(8).build();
        let mut harness = gateway_without_counter(plan);
        set_replica(&mut harness, index, count);
        (0..8).map(|i| started_attempts(&harness.send_request(&format!("j{i}"))).len()).sum::<usize>()
    };
    // Each of two gateways has four of the eight slots.
    assert_eq!(
        (
            started_by_replica(0, 1),
            started_by_replica(0, 2) + started_by_replica(1, 2),
            started_by_replica(0, 3) + started_by_replica(1, 3) + started_by_replica(2, 3)
        ),
        (4, 4, 4)
    );
}

#[test]
fn successor_keeps_maintenance_and_slow_start_of_snapshot() {
    let mut settings = settings();
    settings.plans = vec![plan(0.0, 0.0)];
    let mut predecessor = GatewayHarness::new(settings.clone());
    predecessor.handle(Event::MaintenanceChanged { endpoint: "a".into(), in_maintenance: true });
    predecessor.handle(Event::MaintenanceChanged { endpoint: "b".into(), in_maintenance: true });
    predecessor.handle(Event::MaintenanceChanged { endpoint: "b".into(), in_maintenance: false });
    let snapshot = predecessor.gateway.snapshot();
    let after_maintenance =
        snapshot.endpoints.iter().find(|endpoint| &*endpoint.id == "b").expect("endpoint b in the snapshot");
    assert_eq!(after_maintenance.warming_up_since, predecessor.now);
    // The snapshot may arrive before or after the successor's first endpoint list.
    for has_endpoints in [true, false] {
        let mut successor = if has_endpoints {
            GatewayHarness::new(settings.clone())
        } else {
            GatewayHarness::without_endpoints(settings.clone())
        };
        successor.handle(Event::SnapshotReceived(snapshot.clone()));
        let endpoints = ["a", "b", "c"].map(|name| endpoint(name, Lifecycle::Running, 0.0)).to_vec();
        successor.update_endpoints(ListKind::Full, endpoints);
        let attempts_at = |id: &str, harness: &mut GatewayHarness, id_prefix: &str| {
            let attempts: Vec<_> = (0..9)
                .flat_map(|i| started_attempts(&harness.send_request(&format!("{id_prefix}{i}"))))
                .collect();
            attempts.iter().filter(|(_, endpoint)| &**endpoint == id).count()
        };
        assert_eq!(attempts_at("a", &mut successor, "x"), 0, "endpoint a is in maintenance");
        assert!(attempts_at("b", &mut successor, "y") <= 1, "endpoint b is in slow start");
        assert_eq!(successor.gateway.snapshot().in_maintenance, snapshot.in_maintenance);
    }
}
