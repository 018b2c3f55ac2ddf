//! Subsets of long endpoint lists: even use, stability, and the number of entries that an event reads.

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

/// Size of the fleet that the gateway is designed for.
const GATEWAYS: u32 = 680;
const ENDPOINTS: u32 = 9200;

fn settings(gateway_index: u32, gateway_count: u32) -> Settings {
    let classes = vec![Class::default()];
    let plans = vec![Plan::default()];
    Settings {
        gateway_index,
        gateway_count,
        classes,
        plans,
        max_attempts: 3,
        slow_start_window: 10.0,
        ..Settings::default()
    }
}

fn gateway(gateway_index: u32, gateway_count: u32, seed: u64) -> Gateway {
    Gateway::new(settings(gateway_index, gateway_count), seed).expect("valid settings")
}

/// Returns a running endpoint. The identifiers of a zone's endpoints are adjacent in their order, as in real
/// deployments.
fn endpoint(number: u32) -> Endpoint {
    let zone = number % 4;
    let id = format!("zone-{zone}-{number:05}").into();
    Endpoint { id, zone, cell: number % 40, started: 0.0, lifecycle: Lifecycle::Running }
}

fn endpoints(count: u32) -> Vec<Endpoint> {
    (0..count).map(endpoint).collect()
}

fn handle_event(gateway: &mut Gateway, now: Time, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    gateway.handle(now, event, &mut actions);
    actions
}

fn update_list(gateway: &mut Gateway, kind: ListKind, endpoints: Vec<Endpoint>) {
    handle_event(gateway, 1.0, Event::EndpointsUpdated { kind, endpoints });
}

fn change_lifecycle(gateway: &mut Gateway, number: u32, lifecycle: Lifecycle) {
    update_list(gateway, ListKind::Changes, vec![Endpoint { lifecycle, ..endpoint(number) }]);
}

fn usable_count(gateway: &Gateway) -> usize {
    gateway.backends.router.usable_count()
}

fn subset_size(gateway: &Gateway, gateway_count: u32) -> usize {
    Subset::size(usable_count(gateway), gateway_count)
}

/// Returns the identifier of the usable endpoint at an index. The endpoints of the gateway's subset come
/// first.
fn id_at(gateway: &Gateway, index: usize) -> EndpointId {
    let router = &gateway.backends.router;
    router.endpoints.id(router.subset.handle_at(index, &router.endpoints)).clone()
}

/// Returns the endpoints of a gateway's subset.
fn subset(gateway: &Gateway) -> BTreeSet<EndpointId> {
    (0..subset_size(gateway, GATEWAYS)).map(|index| id_at(gateway, index)).collect()
}

fn swap_endpoints(first: &mut Gateway, second: &mut Gateway) {
    std::mem::swap(&mut first.backends.router.endpoints, &mut second.backends.router.endpoints);
}

/// Returns the subsets of all gateways, given the endpoint list of `gateway_with_list`.
fn subsets(gateway_with_list: &mut Gateway) -> Vec<BTreeSet<EndpointId>> {
    let subset_of = |gateway_index| {
        let mut gateway = gateway(gateway_index, GATEWAYS, u64::from(gateway_index));
        swap_endpoints(&mut gateway, gateway_with_list);
        let subset = subset(&gateway);
        swap_endpoints(&mut gateway, gateway_with_list);
        subset
    };
    (0..GATEWAYS).map(subset_of).collect()
}

/// Returns the fewest and the most gateways that use one endpoint.
fn gateways_per_endpoint(subsets: &[BTreeSet<EndpointId>], gateway_with_list: &Gateway) -> (usize, usize) {
    let mut counts: BTreeMap<&EndpointId, usize> = BTreeMap::new();
    let endpoints = &gateway_with_list.backends.router.endpoints;
    counts.extend(endpoints.usable().iter().map(|handle| (endpoints.id(*handle), 0)));
    subsets.iter().flatten().for_each(|id| *counts.get_mut(id).expect("a usable endpoint") += 1);
    (*counts.values().min().expect("endpoints"), *counts.values().max().expect("endpoints"))
}

#[test]
fn endpoints_are_used_evenly_with_and_without_a_zone() {
    let mut gateway_with_list = gateway(0, GATEWAYS, 1);
    update_list(&mut gateway_with_list, ListKind::Stale, endpoints(ENDPOINTS));
    let all_zones = subsets(&mut gateway_with_list);
    let (fewest, most) = gateways_per_endpoint(&all_zones, &gateway_with_list);
    assert!(fewest >= 18 && most <= 22, "used by {fewest} to {most} gateways");
    // The list loses the second zone.
    update_list(
        &mut gateway_with_list,
        ListKind::Full,
        endpoints(ENDPOINTS).into_iter().filter(|entry| entry.zone != 1).collect(),
    );
    let (fewest, most) = gateways_per_endpoint(&subsets(&mut gateway_with_list), &gateway_with_list);
    assert!(fewest >= 18 && most <= 22, "used by {fewest} to {most} gateways without a zone");
    // The zone returns, and each gateway uses the same subset as before.
    update_list(&mut gateway_with_list, ListKind::Full, endpoints(ENDPOINTS));
    assert!(subsets(&mut gateway_with_list) == all_zones, "the subsets have changed");
}

#[test]
fn restarted_gateway_uses_the_same_subset() {
    for gateway_index in [0, 1, 339, 679] {
        let mut before = gateway(gateway_index, GATEWAYS, 1);
        update_list(&mut before, ListKind::Stale, endpoints(ENDPOINTS));
        // The list comes in another order, in two parts and with another seed.
        let mut after = gateway(gateway_index, GATEWAYS, 2);
        let mut entries = endpoints(ENDPOINTS);
        fastrand::Rng::with_seed(3).shuffle(&mut entries);
        let rest = entries.split_off(5000);
        update_list(&mut after, ListKind::Stale, entries);
        update_list(&mut after, ListKind::Changes, rest);
        assert_eq!(subset(&before), subset(&after));
        assert_eq!(subset_size(&before, GATEWAYS), 270);
    }
}

#[test]
fn change_of_one_endpoint_changes_subsets_little() {
    let mut gateway_with_list = gateway(0, GATEWAYS, 1);
    update_list(&mut gateway_with_list, ListKind::Stale, endpoints(ENDPOINTS));
    let mut before = subsets(&mut gateway_with_list);
    for (number, lifecycle) in [
        (0, Lifecycle::Draining),
        (4600, Lifecycle::Gone),
        (9199, Lifecycle::Gone),
        (4600, Lifecycle::Running),
        (9200, Lifecycle::Running),
    ] {
        change_lifecycle(&mut gateway_with_list, number, lifecycle);
        let after = subsets(&mut gateway_with_list);
        let added: Vec<usize> =
            before.iter().zip(&after).map(|(before, after)| after.difference(before).count()).collect();
        let (total, most) = (added.iter().sum::<usize>(), added.iter().max().expect("gateways"));
        assert!(
            *most <= 2 && total <= GATEWAYS as usize,
            "endpoint {number}: {total} added in all, {most} at one gateway"
        );
        before = after;
    }
}

#[test]
fn lists_of_any_length_are_applied() {
    for count in [0, 1, 2, 100, 1024, ENDPOINTS, 10_000] {
        let mut gateway = gateway(7, GATEWAYS, 1);
        for kind in [ListKind::Stale, ListKind::Full] {
            update_list(&mut gateway, kind, endpoints(count));
            let expected = EndpointCounts { listed: count as usize, avoided: 0 };
            assert_eq!(gateway.endpoint_counts(1.0), expected, "{kind:?} of {count}");
        }
        assert!(subset(&gateway).len() <= count as usize);
        assert_eq!(serves(&mut gateway, "before"), count > 0, "of {count}");
        // The last endpoint leaves the list, a new one joins, and then the list becomes empty.
        change_lifecycle(&mut gateway, count.saturating_sub(1), Lifecycle::Gone);
        change_lifecycle(&mut gateway, count, Lifecycle::Running);
        let usable = usable_count(&gateway);
        assert_eq!(usable, count.max(1) as usize, "of {count}");
        assert!(serves(&mut gateway, "between"));
        update_list(&mut gateway, ListKind::Full, vec![]);
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

/// Returns the end of each attempt among these actions.
fn attempt_ends(actions: Vec<Action>, status: Status) -> Vec<Event> {
    let attempt_end = |action| {
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
    actions.into_iter().filter_map(attempt_end).collect()
}

/// Sends a request and the end of its attempt. Returns whether an attempt was started.
fn serves(gateway: &mut Gateway, request_id: &str) -> bool {
    let sent = handle_event(gateway, 1.0, request(request_id));
    let attempt_ends = attempt_ends(sent, Status::Ok);
    let is_served = !attempt_ends.is_empty();
    for event in attempt_ends {
        handle_event(gateway, 1.0, event);
    }
    is_served
}

/// Returns a gateway of a fleet that is so large that each gateway has the smallest subset.
fn gateway_with_smallest_subset(endpoint_count: u32) -> Gateway {
    gateway(0, GATEWAYS_PER_ENDPOINT as u32 * endpoint_count, 1)
}

#[test]
fn event_reads_few_endpoints_however_many_are_listed() {
    // The selection reads each of six endpoints a few times, and a binary search one entry per step.
    const MAX_READS: usize = 150;
    for count in [100, 1024, 10_000] {
        let mut gateway = gateway_with_smallest_subset(count);
        update_list(&mut gateway, ListKind::Stale, endpoints(count));
        let gateway_count = GATEWAYS_PER_ENDPOINT as u32 * count;
        assert_eq!(subset_size(&gateway, gateway_count), MIN_SUBSET);
        for step in 0..300_u32 {
            let now = 2.0 + f64::from(step) * 0.01;
            let mut actions = Vec::new();
            let reads =
                count_entry_reads(|| actions = handle_event(&mut gateway, now, request(&format!("j{step}"))));
            assert!(reads <= MAX_READS, "request: {reads} reads with {count} endpoints");
            let statuses = [Status::Ok, Status::ConnectFailed, Status::Error, Status::Timeout];
            for event in attempt_ends(actions, statuses[step as usize % 4]) {
                let reads = count_entry_reads(|| drop(handle_event(&mut gateway, now, event)));
                assert!(reads <= MAX_READS, "end of an attempt: {reads} reads with {count} endpoints");
            }
            let lifecycle = [Lifecycle::Draining, Lifecycle::Gone, Lifecycle::Running][step as usize % 3];
            let reads = count_entry_reads(|| change_lifecycle(&mut gateway, step / 3 * 7 % count, lifecycle));
            assert!(reads <= MAX_READS, "change of the list: {reads} reads with {count} endpoints");
            let in_maintenance = step % 2 == 0;
            let event = Event::MaintenanceChanged { endpoint: endpoint(step % count).id, in_maintenance };
            let reads = count_entry_reads(|| drop(handle_event(&mut gateway, now, event)));
            assert!(reads <= MAX_READS, "maintenance: {reads} reads with {count} endpoints");
        }
    }
}

#[test]
fn list_is_scanned_once_while_all_endpoints_are_warming_up() {
    let mut gateway = gateway_with_smallest_subset(10_000);
    let warming_up = endpoints(10_000).into_iter().map(|entry| Endpoint { started: 1.0, ..entry }).collect();
    update_list(&mut gateway, ListKind::Stale, warming_up);
    let mut full_scans = 0;
    for step in 0..200_u32 {
        let event = request(&format!("j{step}"));
        let reads =
            count_entry_reads(|| drop(handle_event(&mut gateway, 2.0 + f64::from(step) * 0.01, event)));
        full_scans += usize::from(reads > 1000);
    }
    assert_eq!(full_scans, 1);
    // Once the endpoints are warm, those outside the subset are considered again.
    let actions = handle_event(&mut gateway, 20.0, request("warm"));
    assert!(actions.iter().any(|action| matches!(action, Action::StartAttempt { .. })));
}
