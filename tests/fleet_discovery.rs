//! Many gateways that poll discovery together.

mod common;
use common::{GatewayHarness, fleet, running_endpoints, settings};
use oliverack::{Action, Event, ListKind};
use std::collections::{BTreeSet, VecDeque};

/// Calls a second that discovery answers, in turn.
const CALLS_PER_SECOND: f64 = 30.0;
/// Time after which a gateway abandons a call, in seconds. Discovery works on it all the same.
const CALL_TIMEOUT: f64 = 2.0;
/// Length of the queue beyond which discovery rejects calls.
const MAX_QUEUE: usize = 60;

/// A simultaneous start of a fleet.
struct FleetStart {
    /// Seconds until the last gateway has the endpoint list.
    seconds: f64,
    calls: usize,
}

/// Starts `n` gateways at one moment.
fn start_fleet(n: u32) -> FleetStart {
    let mut settings = settings();
    settings.discovery_is_polled = true;
    settings.max_poll_interval = 10.0;
    let mut gateways = fleet(n, &settings, &running_endpoints(9));
    let mut due: Vec<(f64, usize, u64)> = Vec::new();
    let mut queue: VecDeque<(f64, usize)> = VecDeque::new();
    let mut idle_at: f64 = 100.0;
    let mut calls = 0;
    let mut gateways_with_list = BTreeSet::new();
    let timers = |i: usize, actions: Vec<Action>| {
        actions.into_iter().filter_map(move |a| match a {
            Action::SetTimer { token, at } => Some((at, i, token)),
            _ => None,
        })
    };
    let wants_poll = |actions: &[Action]| actions.contains(&Action::PollEndpoints);
    let mut polls: Vec<usize> = Vec::new();
    for (i, harness) in gateways.iter_mut().enumerate() {
        let actions = std::mem::take(&mut harness.actions);
        polls.extend(wants_poll(&actions).then_some(i));
        due.extend(timers(i, actions));
    }
    for step in 0..6000 {
        let now = 100.0 + f64::from(step) * 0.01;
        let (ready, later) = due.into_iter().partition::<Vec<_>, _>(|(at, ..)| *at <= now);
        due = later;
        for (_, i, token) in ready {
            gateways[i].now = now;
            let actions = gateways[i].handle(Event::Timer { token });
            polls.extend(wants_poll(&actions).then_some(i));
            due.extend(timers(i, actions));
        }
        let mut failed = Vec::new();
        for i in std::mem::take(&mut polls) {
            calls += 1;
            if queue.len() < MAX_QUEUE { queue.push_back((now, i)) } else { failed.push(i) }
        }
        while let Some((called_at, i)) = queue.front().copied().filter(|_| idle_at <= now) {
            queue.pop_front();
            idle_at = now.max(idle_at) + 1.0 / CALLS_PER_SECOND;
            if now - called_at > CALL_TIMEOUT {
                failed.push(i);
                continue;
            }
            gateways_with_list.insert(i);
            gateways[i].now = now;
            gateways[i].update_endpoints(ListKind::Full, running_endpoints(9));
        }
        if gateways_with_list.len() == n as usize {
            return FleetStart { seconds: now - 100.0, calls };
        }
        for i in failed {
            gateways[i].now = now;
            let actions =
                gateways[i].handle(Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() });
            polls.extend(wants_poll(&actions).then_some(i));
            due.extend(timers(i, actions));
        }
    }
    FleetStart { seconds: f64::INFINITY, calls }
}

#[test]
fn simultaneous_start_does_not_overload_discovery() {
    for n in [1, 3, 12, 30, 100] {
        let FleetStart { seconds: last, calls } = start_fleet(n);
        assert!(last <= 0.1 * f64::from(n).max(3.0), "{n} gateways: the last has the list after {last} s");
        assert!(calls <= 2 * n as usize, "{n} gateways: {calls} calls");
    }
}

#[test]
fn unavailable_discovery_is_polled_with_backoff() {
    let mut settings = settings();
    settings.discovery_is_polled = true;
    settings.max_poll_interval = 10.0;
    settings.gateway_count = 1;
    let mut harness = GatewayHarness::new(settings);
    let mut calls = 0;
    while harness.now < 160.0 {
        let next = harness.actions.drain(..).filter_map(|a| match a {
            Action::SetTimer { token, at } => Some((at, token)),
            _ => None,
        });
        let mut next: Vec<_> = next.collect();
        next.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, token) in next {
            harness.now = harness.now.max(at);
            if harness.handle(Event::Timer { token }).contains(&Action::PollEndpoints) {
                calls += 1;
                harness.handle(Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() });
            }
        }
    }
    assert!((8..=60).contains(&calls), "{calls} calls in a minute");
}

#[test]
fn repeated_poll_failures_keep_next_poll_within_notification_limit() {
    // A change counts as notified after 6 s; a refused call takes no time, a slow connection 1.5 s.
    let most = 6.0 - 1.5;
    for n in [1, 3, 12, 30, 100, 350, 1024] {
        for seed in 0..20 {
            let mut settings = settings();
            settings.discovery_is_polled = true;
            settings.max_poll_interval = 10.0;
            settings.gateway_count = n;
            let mut harness =
                GatewayHarness::builder(settings).seed(seed).endpoints(running_endpoints(9)).build();
            for _ in 0..12 {
                let turn = |a: &Action| {
                    if let Action::SetTimer { token, at } = a { Some((*token, *at)) } else { None }
                };
                // The earliest, as the timer that expires customers is due later.
                let next =
                    harness.actions.drain(..).filter_map(|a| turn(&a)).min_by(|a, b| a.1.total_cmp(&b.1));
                let (token, at) = next.expect("a turn");
                assert!(at - harness.now < most, "{n} gateways: {} s", at - harness.now);
                harness.now = at;
                assert!(harness.handle(Event::Timer { token }).contains(&Action::PollEndpoints));
                harness.update_endpoints(ListKind::Failed, Vec::new());
            }
        }
    }
}
