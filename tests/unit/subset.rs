//! Long lists: which endpoints a gateway keeps to, and how many entries of the table an event looks at.

use super::{GATEWAYS_PER_ENDPOINT, MIN_SUBSET, Subset};
use crate::{
    interface::{
        Action, Endpoint, EndpointCounts, EndpointId, Event, Lifecycle, ListKind, LoadReport, Request,
        Status, Time,
    },
    policy::Gateway,
    primitives::ordered_table::tests::count_entry_reads,
    settings::{Class, Plan, Settings},
};
use std::collections::{BTreeMap, BTreeSet};

/// The design: so many gateways before so many endpoints.
const GATEWAYS: u32 = 680;
const ENDPOINTS: u32 = 9200;

fn settings(me: u32, gateways: u32) -> Settings {
    let classes = vec![Class::default()];
    let plans = vec![Plan::default()];
    Settings {
        gateway_index: me,
        gateway_count: gateways,
        classes,
        plans,
        max_attempts: 3,
        slow_start_window: 10.0,
        ..Settings::default()
    }
}

fn gateway(me: u32, gateways: u32, seed: u64) -> Gateway {
    Gateway::new(settings(me, gateways), seed).expect("usable settings")
}

/// The names of a zone's endpoints stand together in the order, as those of a site do.
fn endpoint(number: u32) -> Endpoint {
    let zone = number % 4;
    let id = format!("zone-{zone}-{number:05}").into();
    Endpoint { id, zone, cell: number % 40, started: 0.0, lifecycle: Lifecycle::Running }
}

fn endpoints(count: u32) -> Vec<Endpoint> {
    (0..count).map(endpoint).collect()
}

fn tell(gateway: &mut Gateway, now: Time, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    gateway.handle(now, event, &mut actions);
    actions
}

fn list(gateway: &mut Gateway, kind: ListKind, endpoints: Vec<Endpoint>) {
    tell(gateway, 1.0, Event::EndpointsUpdated { kind, endpoints });
}

fn change(gateway: &mut Gateway, number: u32, lifecycle: Lifecycle) {
    list(gateway, ListKind::Changes, vec![Endpoint { lifecycle, ..endpoint(number) }]);
}

fn usable_count(gateway: &Gateway) -> usize {
    gateway.backends.router.usable_count()
}

fn subset_size(gateway: &Gateway, gateway_count: u32) -> usize {
    Subset::size(usable_count(gateway), gateway_count)
}

/// The usable endpoint at an index; a gateway's subset comes first.
fn id_at(gateway: &Gateway, index: usize) -> EndpointId {
    let router = &gateway.backends.router;
    router.endpoints.id(router.subset.handle_at(index, &router.endpoints)).clone()
}

/// The endpoints of a gateway's subset.
fn subset(gateway: &Gateway) -> BTreeSet<EndpointId> {
    (0..subset_size(gateway, GATEWAYS)).map(|index| id_at(gateway, index)).collect()
}

fn swap_endpoints(one: &mut Gateway, other: &mut Gateway) {
    std::mem::swap(&mut one.backends.router.endpoints, &mut other.backends.router.endpoints);
}

/// The subsets of all gateways, which have heard the same list as `teller`.
fn subsets(teller: &mut Gateway) -> Vec<BTreeSet<EndpointId>> {
    let of = |me| {
        let mut gateway = gateway(me, GATEWAYS, u64::from(me));
        swap_endpoints(&mut gateway, teller);
        let subset = subset(&gateway);
        swap_endpoints(&mut gateway, teller);
        subset
    };
    (0..GATEWAYS).map(of).collect()
}

/// The fewest and the most gateways that an endpoint is met by.
fn spread(subsets: &[BTreeSet<EndpointId>], usable: &Gateway) -> (usize, usize) {
    let mut met: BTreeMap<&EndpointId, usize> = BTreeMap::new();
    let endpoints = &usable.backends.router.endpoints;
    met.extend(endpoints.usable().iter().map(|handle| (endpoints.id(*handle), 0)));
    subsets.iter().flatten().for_each(|id| *met.get_mut(id).expect("usable") += 1);
    (*met.values().min().expect("some"), *met.values().max().expect("some"))
}

#[test]
fn each_endpoint_is_used_by_about_as_many_gateways_even_without_a_zone() {
    let mut teller = gateway(0, GATEWAYS, 1);
    list(&mut teller, ListKind::Stale, endpoints(ENDPOINTS));
    let all = subsets(&mut teller);
    let (fewest, most) = spread(&all, &teller);
    assert!(fewest >= 18 && most <= 22, "met by {fewest} to {most}");
    // The second zone is gone.
    list(&mut teller, ListKind::Full, endpoints(ENDPOINTS).into_iter().filter(|s| s.zone != 1).collect());
    let (fewest, most) = spread(&subsets(&mut teller), &teller);
    assert!(fewest >= 18 && most <= 22, "met by {fewest} to {most} without a zone");
    // It is back, and so is each gateway's choice.
    list(&mut teller, ListKind::Full, endpoints(ENDPOINTS));
    assert!(subsets(&mut teller) == all, "the same as before");
}

#[test]
fn restarted_gateway_uses_the_same_subset() {
    for me in [0, 1, 339, 679] {
        let mut before = gateway(me, GATEWAYS, 1);
        list(&mut before, ListKind::Stale, endpoints(ENDPOINTS));
        // Told in another order, in parts, and with another seed.
        let mut after = gateway(me, GATEWAYS, 2);
        let mut told = endpoints(ENDPOINTS);
        fastrand::Rng::with_seed(3).shuffle(&mut told);
        let rest = told.split_off(5000);
        list(&mut after, ListKind::Stale, told);
        list(&mut after, ListKind::Changes, rest);
        assert_eq!(subset(&before), subset(&after));
        assert_eq!(subset_size(&before, GATEWAYS), 270);
    }
}

#[test]
fn one_endpoint_that_leaves_or_joins_moves_few_connections() {
    let mut teller = gateway(0, GATEWAYS, 1);
    list(&mut teller, ListKind::Stale, endpoints(ENDPOINTS));
    let mut before = subsets(&mut teller);
    for (number, lifecycle) in [
        (0, Lifecycle::Draining),
        (4600, Lifecycle::Gone),
        (9199, Lifecycle::Gone),
        (4600, Lifecycle::Running),
        (9200, Lifecycle::Running),
    ] {
        change(&mut teller, number, lifecycle);
        let after = subsets(&mut teller);
        let moved: Vec<usize> = before.iter().zip(&after).map(|(b, a)| a.difference(b).count()).collect();
        let (total, most) = (moved.iter().sum::<usize>(), moved.iter().max().expect("gateways"));
        assert!(*most <= 2 && total <= GATEWAYS as usize, "{total} in all, {most} at one, {number}");
        before = after;
    }
}

#[test]
fn lists_of_any_length_are_applied_completely_and_in_changes() {
    for count in [0, 1, 2, 100, 1024, ENDPOINTS, 10_000] {
        let mut gateway = gateway(7, GATEWAYS, 1);
        for kind in [ListKind::Stale, ListKind::Full] {
            list(&mut gateway, kind, endpoints(count));
            let all = EndpointCounts { listed: count as usize, avoided: 0 };
            assert_eq!(gateway.endpoint_counts(1.0), all, "{kind:?} of {count}");
        }
        assert!(subset(&gateway).len() <= count as usize);
        assert_eq!(serves(&mut gateway, "before"), count > 0, "of {count}");
        // The last goes, one more comes, and the rest go.
        change(&mut gateway, count.saturating_sub(1), Lifecycle::Gone);
        change(&mut gateway, count, Lifecycle::Running);
        let usable = usable_count(&gateway);
        assert_eq!(usable, count.max(1) as usize, "of {count}");
        assert!(serves(&mut gateway, "between"));
        list(&mut gateway, ListKind::Full, vec![]);
        assert!(!serves(&mut gateway, "after"));
    }
}

fn request(request_id: &str) -> Event {
    Event::Request(Request {
        id: request_id.into(),
        units: 1.0,
        deadline: 100.0,
        plan: 0,
        customer_gateway_count: 1,
        first_gateway: 0,
        class: 0,
        customer: "c".into(),
        is_retry: false,
    })
}

/// An answer to each attempt among these actions.
fn answers(actions: Vec<Action>, status: Status) -> Vec<Event> {
    let answer = |action| {
        let Action::StartAttempt { request_id, endpoint, .. } = action else { return None };
        let (attempt, elapsed, is_finished, actual_units, load) =
            (0, 0.02, true, None, LoadReport::default());
        Some(Event::AttemptEnded {
            request_id,
            attempt,
            endpoint,
            status,
            elapsed,
            is_finished,
            actual_units,
            load,
        })
    };
    actions.into_iter().filter_map(answer).collect()
}

/// Whether a request is sent to an endpoint, which answers it.
fn serves(gateway: &mut Gateway, request_id: &str) -> bool {
    let sent = tell(gateway, 1.0, request(request_id));
    let answers = answers(sent, Status::Ok);
    let served = !answers.is_empty();
    for event in answers {
        tell(gateway, 1.0, event);
    }
    served
}

/// So many gateways that each has the smallest subset.
fn thin(endpoints: u32) -> Gateway {
    gateway(0, GATEWAYS_PER_ENDPOINT as u32 * endpoints, 1)
}

#[test]
fn event_reads_few_endpoints_however_many_are_listed() {
    // The choice looks at each of six a few times; whatever is found by its name, at one in each halving.
    const FEW: usize = 150;
    for count in [100, 1024, 10_000] {
        let mut gateway = thin(count);
        list(&mut gateway, ListKind::Stale, endpoints(count));
        let gateways = GATEWAYS_PER_ENDPOINT as u32 * count;
        assert_eq!(subset_size(&gateway, gateways), MIN_SUBSET);
        for step in 0..300_u32 {
            let now = 2.0 + f64::from(step) * 0.01;
            let mut actions = Vec::new();
            let looked =
                count_entry_reads(|| actions = tell(&mut gateway, now, request(&format!("j{step}"))));
            assert!(looked <= FEW, "a request: {looked} of {count}");
            let statuses = [Status::Ok, Status::ConnectFailed, Status::Error, Status::Timeout];
            for event in answers(actions, statuses[step as usize % 4]) {
                let looked = count_entry_reads(|| drop(tell(&mut gateway, now, event)));
                assert!(looked <= FEW, "an outcome: {looked} of {count}");
            }
            let lifecycle = [Lifecycle::Draining, Lifecycle::Gone, Lifecycle::Running][step as usize % 3];
            let looked = count_entry_reads(|| change(&mut gateway, step / 3 * 7 % count, lifecycle));
            assert!(looked <= FEW, "a change: {looked} of {count}");
            let out = step % 2 == 0;
            let event =
                Event::MaintenanceChanged { endpoint: endpoint(step % count).id, in_maintenance: out };
            let looked = count_entry_reads(|| drop(tell(&mut gateway, now, event)));
            assert!(looked <= FEW, "a call by hand: {looked} of {count}");
        }
    }
}

#[test]
fn list_is_scanned_once_while_all_endpoints_are_warming_up() {
    let mut gateway = thin(10_000);
    let cold = endpoints(10_000).into_iter().map(|s| Endpoint { started: 1.0, ..s }).collect();
    list(&mut gateway, ListKind::Stale, cold);
    let mut walks = 0;
    for step in 0..200_u32 {
        let event = request(&format!("j{step}"));
        let looked = count_entry_reads(|| drop(tell(&mut gateway, 2.0 + f64::from(step) * 0.01, event)));
        walks += usize::from(looked > 1000);
    }
    assert_eq!(walks, 1);
    // Once they are warm, the others are looked at again.
    let warm = tell(&mut gateway, 20.0, request("warm"));
    assert!(warm.iter().any(|action| matches!(action, Action::StartAttempt { .. })));
}
