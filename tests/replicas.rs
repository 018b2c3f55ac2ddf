//! Replicas: several processes of one gateway side by side, as in a hot restart.

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

/// Sends `n` requests whose attempts succeed at once; returns the number of attempts.
fn send_requests(harness: &mut GatewayHarness, tag: &str, n: usize) -> usize {
    FakeCounter::default().send_requests(harness, tag, n)
}

#[test]
fn two_replicas_have_even_share_of_one() {
    let mut alone = gateway_without_counter(plan(10.0, 20.0));
    let whole = send_requests(&mut alone, "a", 30);
    assert_eq!(whole, 10, "half of the burst, as two gateways carry it");
    let mut predecessor = gateway_without_counter(plan(10.0, 20.0));
    set_replica(&mut predecessor, 0, 2);
    let mut successor = gateway_without_counter(plan(10.0, 20.0));
    successor.handle(Event::SnapshotReceived(predecessor.gateway.snapshot()));
    set_replica(&mut successor, 1, 2);
    let both = |predecessor: &mut GatewayHarness, successor: &mut GatewayHarness, tag: &str| {
        send_requests(predecessor, tag, 30) + send_requests(successor, tag, 30)
    };
    assert!(both(&mut predecessor, &mut successor, "b") <= whole);
    predecessor.now += 100.0;
    successor.now += 100.0;
    assert_eq!(both(&mut predecessor, &mut successor, "c"), whole, "and no less for long");
    // Once the predecessor has ended, the successor has the complete share.
    set_replica(&mut successor, 0, 1);
    successor.now += 100.0;
    assert_eq!(send_requests(&mut successor, "d", 30), whole);
}

#[test]
fn concurrency_limit_is_divided_among_replicas() {
    let started_by_replica = |index, count| {
        let plan = PlanBuilder::new(1000.0, 1000.0).max_concurrent_attempts(8).build();
        let mut harness = gateway_without_counter(plan);
        set_replica(&mut harness, index, count);
        (0..8).map(|i| started_attempts(&harness.send_request(&format!("j{i}"))).len()).sum::<usize>()
    };
    // Eight slots at two gateways.
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
fn predecessor_snapshot_of_endpoints_applies_in_successor() {
    let mut settings = settings();
    settings.plans = vec![plan(0.0, 0.0)];
    let mut predecessor = GatewayHarness::new(settings.clone());
    predecessor.handle(Event::MaintenanceChanged { endpoint: "a".into(), in_maintenance: true });
    predecessor.handle(Event::MaintenanceChanged { endpoint: "b".into(), in_maintenance: true });
    predecessor.handle(Event::MaintenanceChanged { endpoint: "b".into(), in_maintenance: false });
    let snapshot = predecessor.gateway.snapshot();
    let cold = snapshot.endpoints.iter().find(|endpoint| &*endpoint.id == "b").expect("it is listed");
    assert_eq!(cold.warming_up_since, predecessor.now);
    // Also if the successor receives the endpoint list only later.
    for known in [true, false] {
        let mut successor = if known {
            GatewayHarness::new(settings.clone())
        } else {
            GatewayHarness::without_endpoints(settings.clone())
        };
        successor.handle(Event::SnapshotReceived(snapshot.clone()));
        let endpoints = ["a", "b", "c"].map(|n| endpoint(n, Lifecycle::Running, 0.0)).to_vec();
        successor.update_endpoints(ListKind::Full, endpoints);
        let to = |id: &str, harness: &mut GatewayHarness, tag: &str| {
            let went: Vec<_> =
                (0..9).flat_map(|i| started_attempts(&harness.send_request(&format!("{tag}{i}")))).collect();
            went.iter().filter(|(_, endpoint)| &**endpoint == id).count()
        };
        assert_eq!(to("a", &mut successor, "x"), 0, "in maintenance");
        assert!(to("b", &mut successor, "y") <= 1, "in slow start");
        assert_eq!(successor.gateway.snapshot().in_maintenance, snapshot.in_maintenance);
    }
}
