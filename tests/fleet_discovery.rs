//! Many gateways that poll discovery together.

mod common;
use common::{GatewayHarness, fleet, running_endpoints, settings};
use oliverack::{Action, Event, ListKind};
use std::collections::{BTreeSet, VecDeque};

/// Starts `n` gateways at one moment; returns after how many seconds the last has the endpoint list, and the number
/// of calls. Discovery answers 30 calls a second in turn, works also on calls that timed out after 2 s in its queue,
/// and rejects calls beyond a queue of 60.
fn start_fleet(n: u32) -> (f64, usize) {
    let mut settings = settings();
    settings.discovery_is_polled = true;
    settings.max_poll_interval = 10.0;
    let mut gateways = fleet(n, &settings, &running_endpoints(9));
    let (mut due, mut line) = (Vec::new(), VecDeque::new());
    let (mut calls, mut has, mut free) = (0, BTreeSet::new(), 100.0);
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
            if line.len() < 60 { line.push_back((now, i)) } else { failed.push(i) }
        }
        while let Some((since, i)) = line.front().copied().filter(|_| free <= now) {
            line.pop_front();
            free = now.max(free) + 1.0 / 30.0;
            if now - since > 2.0 {
                failed.push(i);
                continue;
            }
            has.insert(i);
            gateways[i].now = now;
            gateways[i].update_endpoints(ListKind::Full, running_endpoints(9));
        }
        if has.len() == n as usize {
            return (now - 100.0, calls);
        }
        for i in failed {
            gateways[i].now = now;
            let actions =
                gateways[i].handle(Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() });
            polls.extend(wants_poll(&actions).then_some(i));
            due.extend(timers(i, actions));
        }
    }
    (f64::INFINITY, calls)
}

#[test]
fn simultaneous_start_does_not_overload_discovery() {
    for n in [1, 3, 12, 30, 100] {
        let (last, calls) = start_fleet(n);
        assert!(last <= 0.1 * f64::from(n).max(3.0), "{n} gateways: the last is told after {last} s");
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
    // Told after 6 s; a call that is refused takes none of them, a connection that comes up late 1.5 s.
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
                // Beside the one that looks for customers to forget, which is due later.
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
