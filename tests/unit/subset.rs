//! Long lists: which servers a gateway keeps to, and how many entries of the table an event looks at.

use super::servers::{MIN_SUBSET, SUBSET_FACTOR};
use super::*;
use crate::ordered_table::tests::reads;
use std::collections::BTreeSet;

/// The design: so many gateways before so many servers.
const GATEWAYS: u32 = 680;
const SERVERS: u32 = 9200;

fn settings(me: u32, gateways: u32) -> Settings {
    let classes = vec![Class::default()];
    let plans = vec![Plan::default()];
    Settings { me, gateways, classes, plans, max_attempts: 3, cold: 10.0, ..Settings::default() }
}

fn gateway(me: u32, gateways: u32, seed: u64) -> Gateway {
    Gateway::new(settings(me, gateways), seed).expect("usable settings")
}

/// The names of a zone's servers stand together in the order, as those of a site do.
fn server(number: u32) -> Server {
    let zone = number % 4;
    let id = format!("zone-{zone}-{number:05}").into();
    Server { id, zone, cell: number % 40, started: 0.0, lifecycle: Lifecycle::Running }
}

fn servers(count: u32) -> Vec<Server> {
    (0..count).map(server).collect()
}

fn tell(gateway: &mut Gateway, now: Time, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    gateway.handle(now, event, &mut actions);
    actions
}

fn list(gateway: &mut Gateway, kind: ListKind, servers: Vec<Server>) {
    tell(gateway, 1.0, Event::List { kind, servers });
}

fn change(gateway: &mut Gateway, number: u32, lifecycle: Lifecycle) {
    list(gateway, ListKind::Changes, vec![Server { lifecycle, ..server(number) }]);
}

/// The addresses of the servers that a gateway keeps to.
fn subset(gateway: &Gateway) -> BTreeSet<ServerId> {
    let place = |i| gateway.servers.usable_from(gateway.subset_start, i);
    (0..gateway.subset_size()).map(|i| gateway.servers.id(place(i)).clone()).collect()
}

/// The subsets of all gateways, which have heard the same list as `teller`.
fn subsets(teller: &mut Gateway) -> Vec<BTreeSet<ServerId>> {
    let of = |me| {
        let mut gateway = gateway(me, GATEWAYS, u64::from(me));
        std::mem::swap(&mut gateway.servers, &mut teller.servers);
        let subset = subset(&gateway);
        std::mem::swap(&mut gateway.servers, &mut teller.servers);
        subset
    };
    (0..GATEWAYS).map(of).collect()
}

/// The fewest and the most gateways that a server is met by.
fn spread(subsets: &[BTreeSet<ServerId>], usable: &Gateway) -> (usize, usize) {
    let mut met: BTreeMap<&ServerId, usize> = BTreeMap::new();
    met.extend(usable.servers.usable().iter().map(|place| (usable.servers.id(*place), 0)));
    subsets.iter().flatten().for_each(|id| *met.get_mut(id).expect("usable") += 1);
    (*met.values().min().expect("some"), *met.values().max().expect("some"))
}

#[test]
fn each_server_is_met_by_about_as_many_gateways_also_after_a_zone_is_lost() {
    let mut teller = gateway(0, GATEWAYS, 1);
    list(&mut teller, ListKind::Stale, servers(SERVERS));
    let all = subsets(&mut teller);
    let (fewest, most) = spread(&all, &teller);
    assert!(fewest >= 18 && most <= 22, "met by {fewest} to {most}");
    // The second zone is gone.
    list(&mut teller, ListKind::Full, servers(SERVERS).into_iter().filter(|s| s.zone != 1).collect());
    let (fewest, most) = spread(&subsets(&mut teller), &teller);
    assert!(fewest >= 18 && most <= 22, "met by {fewest} to {most} without a zone");
    // It is back, and so is each gateway's choice.
    list(&mut teller, ListKind::Full, servers(SERVERS));
    assert!(subsets(&mut teller) == all, "the same as before");
}

#[test]
fn a_restarted_gateway_keeps_to_the_same_servers() {
    for me in [0, 1, 339, 679] {
        let mut before = gateway(me, GATEWAYS, 1);
        list(&mut before, ListKind::Stale, servers(SERVERS));
        // Told in another order, in parts, and with another seed.
        let mut after = gateway(me, GATEWAYS, 2);
        let mut told = servers(SERVERS);
        fastrand::Rng::with_seed(3).shuffle(&mut told);
        let rest = told.split_off(5000);
        list(&mut after, ListKind::Stale, told);
        list(&mut after, ListKind::Changes, rest);
        assert_eq!(subset(&before), subset(&after));
        assert_eq!(before.subset_size(), 270);
    }
}

#[test]
fn one_server_that_goes_or_comes_moves_few_connections() {
    let mut teller = gateway(0, GATEWAYS, 1);
    list(&mut teller, ListKind::Stale, servers(SERVERS));
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
fn lists_of_any_length_are_taken_in_whole_and_in_changes() {
    for count in [0, 1, 2, 100, 1024, SERVERS, 10_000] {
        let mut gateway = gateway(7, GATEWAYS, 1);
        for kind in [ListKind::Stale, ListKind::Full] {
            list(&mut gateway, kind, servers(count));
            let all = Targets { listed: count as usize, avoided: 0 };
            assert_eq!(gateway.targets(1.0), all, "{kind:?} of {count}");
        }
        assert!(subset(&gateway).len() <= count as usize);
        assert_eq!(serves(&mut gateway, "before"), count > 0, "of {count}");
        // The last goes, one more comes, and the rest go.
        change(&mut gateway, count.saturating_sub(1), Lifecycle::Gone);
        change(&mut gateway, count, Lifecycle::Running);
        let usable = gateway.servers.usable().len();
        assert_eq!(usable, count.max(1) as usize, "of {count}");
        assert!(serves(&mut gateway, "between"));
        list(&mut gateway, ListKind::Full, vec![]);
        assert!(!serves(&mut gateway, "after"));
    }
}

fn request(job: &str) -> Event {
    Event::Request(Request {
        job: job.into(),
        units: 1.0,
        expires: 100.0,
        plan: 0,
        spread: 1,
        first: 0,
        class: 0,
        customer: "c".into(),
        repeat: false,
    })
}

/// An answer to each attempt among these actions.
fn answers(actions: Vec<Action>, status: Status) -> Vec<Event> {
    let answer = |action| {
        let Action::Send { job, server, .. } = action else { return None };
        let (attempt, spent, over, settled, load) = (0, 0.02, true, None, Load::default());
        Some(Event::Outcome { job, attempt, server, status, spent, over, settled, load })
    };
    actions.into_iter().filter_map(answer).collect()
}

/// Whether a request is sent to a server, which answers it.
fn serves(gateway: &mut Gateway, job: &str) -> bool {
    let sent = tell(gateway, 1.0, request(job));
    let answers = answers(sent, Status::Ok);
    let served = !answers.is_empty();
    answers.into_iter().for_each(|event| drop(tell(gateway, 1.0, event)));
    served
}

/// So many gateways that each keeps to the least number of servers.
fn thin(servers: u32) -> Gateway {
    gateway(0, SUBSET_FACTOR as u32 * servers, 1)
}

#[test]
fn an_event_looks_at_a_few_servers_however_many_are_listed() {
    // The choice looks at each of six a few times; whatever is found by its name, at one in each halving.
    const FEW: usize = 150;
    for count in [100, 1024, 10_000] {
        let mut gateway = thin(count);
        list(&mut gateway, ListKind::Stale, servers(count));
        assert_eq!(gateway.subset_size(), MIN_SUBSET);
        for step in 0..300_u32 {
            let now = 2.0 + f64::from(step) * 0.01;
            let mut actions = Vec::new();
            let looked = reads(|| actions = tell(&mut gateway, now, request(&format!("j{step}"))));
            assert!(looked <= FEW, "a request: {looked} of {count}");
            let statuses = [Status::Ok, Status::ConnectFailed, Status::Error, Status::Timeout];
            for event in answers(actions, statuses[step as usize % 4]) {
                let looked = reads(|| drop(tell(&mut gateway, now, event)));
                assert!(looked <= FEW, "an outcome: {looked} of {count}");
            }
            let lifecycle = [Lifecycle::Draining, Lifecycle::Gone, Lifecycle::Running][step as usize % 3];
            let looked = reads(|| change(&mut gateway, step / 3 * 7 % count, lifecycle));
            assert!(looked <= FEW, "a change: {looked} of {count}");
            let out = step % 2 == 0;
            let event = Event::ByHand { server: server(step % count).id, out };
            let looked = reads(|| drop(tell(&mut gateway, now, event)));
            assert!(looked <= FEW, "a call by hand: {looked} of {count}");
        }
    }
}

#[test]
fn where_all_servers_are_cold_the_list_is_walked_once() {
    let mut gateway = thin(10_000);
    let cold = servers(10_000).into_iter().map(|s| Server { started: 1.0, ..s }).collect();
    list(&mut gateway, ListKind::Stale, cold);
    let mut walks = 0;
    for step in 0..200_u32 {
        let event = request(&format!("j{step}"));
        let looked = reads(|| drop(tell(&mut gateway, 2.0 + f64::from(step) * 0.01, event)));
        walks += usize::from(looked > 1000);
    }
    assert_eq!(walks, 1);
    // Once they are warm, the others are looked at again.
    let warm = tell(&mut gateway, 20.0, request("warm"));
    assert!(warm.iter().any(|action| matches!(action, Action::Send { .. })));
}
