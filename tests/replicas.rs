//! Processes of one gateway side by side, as the module deals with them.

mod common;
use common::*;
use oliverack::*;

fn quiet(plan: Plan) -> Rig {
    let mut settings = settings();
    settings.has_counter = false;
    settings.plans = vec![plan];
    Rig::new(settings)
}

fn share(rig: &mut Rig, place: u32, of: u32) {
    rig.event(Event::ReplicasChanged { index: place, count: of });
}

/// How many of `n` requests, each answered at once, are sent.
fn sent(rig: &mut Rig, tag: &str, n: usize) -> usize {
    Counter::default().ask_many(rig, tag, n)
}

#[test]
fn two_replicas_have_even_share_of_one() {
    let mut alone = quiet(plan(10.0, 20.0));
    let whole = sent(&mut alone, "a", 30);
    assert_eq!(whole, 10, "half of the burst, as two gateways carry it");
    let mut old = quiet(plan(10.0, 20.0));
    share(&mut old, 0, 2);
    let mut new = quiet(plan(10.0, 20.0));
    new.event(Event::SnapshotReceived(old.gateway.snapshot()));
    share(&mut new, 1, 2);
    let both = |old: &mut Rig, new: &mut Rig, tag: &str| sent(old, tag, 30) + sent(new, tag, 30);
    assert!(both(&mut old, &mut new, "b") <= whole);
    (old.now, new.now) = (old.now + 100.0, new.now + 100.0);
    assert_eq!(both(&mut old, &mut new, "c"), whole, "and no less for long");
    // The old one has gone: the new one has all.
    share(&mut new, 0, 1);
    new.now += 100.0;
    assert_eq!(sent(&mut new, "d", 30), whole);
}

#[test]
fn concurrency_limit_is_divided_among_replicas() {
    let open = |place, of| {
        let mut plan = plan(1000.0, 1000.0);
        plan.max_concurrent_attempts = 8;
        let mut rig = quiet(plan);
        share(&mut rig, place, of);
        (0..8).map(|i| sends(&rig.ask(&format!("j{i}"))).len()).sum::<usize>()
    };
    // Eight over two gateways.
    assert_eq!((open(0, 1), open(0, 2) + open(1, 2), open(0, 3) + open(1, 3) + open(2, 3)), (4, 4, 4));
}

#[test]
fn predecessor_snapshot_of_endpoints_applies_in_successor() {
    let mut settings = settings();
    settings.plans = vec![plan(0.0, 0.0)];
    let mut old = Rig::new(settings.clone());
    old.event(Event::MaintenanceChanged { endpoint: "a".into(), in_maintenance: true });
    old.event(Event::MaintenanceChanged { endpoint: "b".into(), in_maintenance: true });
    old.event(Event::MaintenanceChanged { endpoint: "b".into(), in_maintenance: false });
    let memory = old.gateway.snapshot();
    let cold = memory.endpoints.iter().find(|s| &*s.id == "b").expect("it is listed");
    assert_eq!(cold.warming_up_since, old.now);
    // Also where the new process hears of the workers only later.
    for known in [true, false] {
        let mut new = if known { Rig::new(settings.clone()) } else { Rig::empty(settings.clone()) };
        new.event(Event::SnapshotReceived(memory.clone()));
        let endpoints = ["a", "b", "c"].map(|n| endpoint(n, Lifecycle::Running, 0.0)).to_vec();
        new.list(ListKind::Full, endpoints);
        let to = |id: &str, rig: &mut Rig, tag: &str| {
            let went: Vec<_> = (0..9).flat_map(|i| sends(&rig.ask(&format!("{tag}{i}")))).collect();
            went.iter().filter(|(_, s)| &**s == id).count()
        };
        assert_eq!(to("a", &mut new, "x"), 0, "left out");
        assert!(to("b", &mut new, "y") <= 1, "cold");
        assert_eq!(new.gateway.snapshot().in_maintenance, memory.in_maintenance);
    }
}
