//! Workers that operators have left out, to the module alone.

mod common;
use common::*;
use oliverack::*;

fn by_hand(rig: &mut Rig, name: &str, out: bool) {
    rig.event(Event::MaintenanceChanged { endpoint: name.into(), in_maintenance: out });
}

/// Sends `n` requests that stay open; where they went.
fn send(rig: &mut Rig, tag: &str, n: usize) -> Vec<EndpointId> {
    (0..n).flat_map(|i| sends(&rig.ask(&format!("{tag}{i}")))).map(|(_, endpoint)| endpoint).collect()
}

fn rig() -> Rig {
    let mut settings = settings();
    settings.plans = vec![plan(0.0, 0.0)];
    Rig::new(settings)
}

#[test]
fn endpoint_list_update_does_not_end_maintenance() {
    let mut rig = rig();
    by_hand(&mut rig, "a", true);
    by_hand(&mut rig, "a", true);
    let full = |started| ["a", "b", "c"].map(|n| endpoint(n, Lifecycle::Running, started)).to_vec();
    for (kind, endpoints) in [
        (ListKind::Full, full(0.0)),
        (ListKind::Changes, vec![endpoint("a", Lifecycle::Draining, 0.0)]),
        (ListKind::Changes, vec![endpoint("a", Lifecycle::Running, rig.now - 1.0)]),
        (ListKind::Changes, vec![endpoint("a", Lifecycle::Gone, 0.0)]),
        (ListKind::Full, full(rig.now - 0.5)),
    ] {
        rig.list(kind, endpoints);
        let went = send(&mut rig, "j", 2);
        assert!(went.iter().all(|id| &**id != "a"), "{kind:?}: {went:?}");
        rig.now += 1.0;
    }
    assert!(rig.gateway.knows_endpoint(&"a".into()) && !rig.gateway.knows_endpoint(&"nobody".into()));
    // For two calls out one call back.
    by_hand(&mut rig, "a", false);
    assert_eq!(rig.gateway.in_maintenance().count(), 0);
}

#[test]
fn retry_avoids_endpoint_put_into_maintenance_meanwhile() {
    let mut rig = rig();
    let out = rig.ask("j");
    let [(request_id, first)] = &sends(&out)[..] else { panic!("one send") };
    let others: Vec<&str> = ["a", "b", "c"].into_iter().filter(|n| *n != &**first).collect();
    by_hand(&mut rig, others[0], true);
    let out = rig.outcome(request_id, 0, first, Status::ConnectFailed);
    assert_eq!(sends(&out).iter().map(|(_, s)| &**s).collect::<Vec<_>>(), [others[1]]);
}

#[test]
fn endpoint_out_of_maintenance_starts_slowly_and_is_used_within_seconds() {
    let mut rig = rig();
    let ask = |rig: &mut Rig, tag: &str| {
        // Twenty requests a second, each answered at once.
        let mut to_a = 0;
        for i in 0..20 {
            rig.now += 0.05;
            for (request_id, endpoint) in sends(&rig.ask(&format!("{tag}{i}"))) {
                to_a += usize::from(&*endpoint == "a");
                rig.outcome(&request_id, 0, &endpoint, Status::Ok);
            }
        }
        to_a
    };
    let before: usize = (0..10).map(|i| ask(&mut rig, &format!("x{i}-"))).sum();
    assert!(before > 0, "it was used");
    by_hand(&mut rig, "a", true);
    assert_eq!((0..3).map(|i| ask(&mut rig, &format!("y{i}-"))).sum::<usize>(), 0);
    by_hand(&mut rig, "a", false);
    let cold: Vec<usize> = (0..3).map(|i| ask(&mut rig, &format!("z{i}-"))).collect();
    assert!(cold.iter().sum::<usize>() > 0, "used within 3 s: {cold:?}");
    // Twenty units a second over three endpoints; at 0.2 of its capacity it surely bears a third of that.
    assert!(cold[0] <= 4, "spared while it is cold: {cold:?}");
}

#[test]
fn slow_responses_of_endpoint_in_slow_start_do_not_raise_median_latency() {
    let mut rig = rig();
    // A hundred requests a second, answered quickly by all but "a".
    let answer = |rig: &mut Rig, tag: &str, slow: f64| {
        let mut most: f64 = 0.0;
        for i in 0..200 {
            rig.now += 0.01;
            for (request_id, endpoint) in sends(&rig.ask(&format!("{tag}{i}"))) {
                let elapsed = if &*endpoint == "a" { slow } else { 0.02 };
                let (attempt, status, is_finished, actual_units) = (0, Status::Ok, true, None);
                let load = LoadReport::default();
                rig.event(Event::AttemptEnded {
                    request_id,
                    attempt,
                    endpoint,
                    status,
                    elapsed,
                    is_finished,
                    actual_units,
                    load,
                });
                // The middle answer's time, which the bound on what is out goes by.
                most = most.max(rig.gateway.snapshot().response_times.median);
            }
        }
        most
    };
    let quick = answer(&mut rig, "p", 0.02);
    by_hand(&mut rig, "a", true);
    by_hand(&mut rig, "a", false);
    let cold = answer(&mut rig, "q", 0.5);
    assert!((cold - quick).abs() < 1e-9, "{cold} s after {quick} s, with one cold worker");
}
