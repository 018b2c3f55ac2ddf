//! Many gateways that poll discovery together.

mod common;
use common::*;
use oliverack::*;
use std::collections::{BTreeSet, VecDeque};

/// Of `n` gateways that start at one moment, when the last has the list, and how many calls that took. One
/// service answers 30 calls a second in turn; it works also on those that have waited for 2 s and have failed, and
/// turns away what would be the 61st.
fn told(n: u32) -> (f64, usize) {
    let mut s = settings();
    (s.discovery_is_polled, s.max_poll_interval) = (true, 10.0);
    let mut rigs = fleet(n, &s, &endpoints(9));
    let (mut due, mut line) = (Vec::new(), VecDeque::new());
    let (mut calls, mut has, mut free) = (0, BTreeSet::new(), 100.0);
    let timers = |i: usize, out: Vec<Action>| {
        out.into_iter().filter_map(move |a| match a {
            Action::SetTimer { token, at } => Some((at, i, token)),
            _ => None,
        })
    };
    let wants = |out: &[Action]| out.contains(&Action::PollEndpoints);
    let mut asks: Vec<usize> = Vec::new();
    for (i, rig) in rigs.iter_mut().enumerate() {
        let out = std::mem::take(&mut rig.actions);
        asks.extend(wants(&out).then_some(i));
        due.extend(timers(i, out));
    }
    for step in 0..6000 {
        let now = 100.0 + f64::from(step) * 0.01;
        let (ready, later) = due.into_iter().partition::<Vec<_>, _>(|(at, ..)| *at <= now);
        due = later;
        for (_, i, token) in ready {
            rigs[i].now = now;
            let out = rigs[i].event(Event::Timer { token });
            asks.extend(wants(&out).then_some(i));
            due.extend(timers(i, out));
        }
        let mut failed = Vec::new();
        for i in std::mem::take(&mut asks) {
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
            rigs[i].now = now;
            rigs[i].list(ListKind::Full, endpoints(9));
        }
        if has.len() == n as usize {
            return (now - 100.0, calls);
        }
        for i in failed {
            rigs[i].now = now;
            let out =
                rigs[i].event(Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() });
            asks.extend(wants(&out).then_some(i));
            due.extend(timers(i, out));
        }
    }
    (f64::INFINITY, calls)
}

#[test]
fn simultaneous_start_does_not_overload_discovery() {
    for n in [1, 3, 12, 30, 100] {
        let (last, calls) = told(n);
        assert!(last <= 0.1 * f64::from(n).max(3.0), "{n} gateways: the last is told after {last} s");
        assert!(calls <= 2 * n as usize, "{n} gateways: {calls} calls");
    }
}

#[test]
fn unavailable_discovery_is_polled_with_backoff() {
    let mut s = settings();
    (s.discovery_is_polled, s.max_poll_interval, s.gateway_count) = (true, 10.0, 1);
    let mut rig = Rig::new(s);
    let mut calls = 0;
    while rig.now < 160.0 {
        let next = rig.actions.drain(..).filter_map(|a| match a {
            Action::SetTimer { token, at } => Some((at, token)),
            _ => None,
        });
        let mut next: Vec<_> = next.collect();
        next.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, token) in next {
            rig.now = rig.now.max(at);
            if rig.event(Event::Timer { token }).contains(&Action::PollEndpoints) {
                calls += 1;
                rig.event(Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() });
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
            let mut s = settings();
            (s.discovery_is_polled, s.max_poll_interval, s.gateway_count) = (true, 10.0, n);
            let gateway = Gateway::new(s, seed).expect("usable settings");
            let mut rig = Rig { gateway, now: 100.0, actions: Vec::new() };
            rig.list(ListKind::Stale, endpoints(9));
            for _ in 0..12 {
                let turn = |a: &Action| {
                    if let Action::SetTimer { token, at } = a { Some((*token, *at)) } else { None }
                };
                // Beside the one that looks for customers to forget, which is due later.
                let next = rig.actions.drain(..).filter_map(|a| turn(&a)).min_by(|a, b| a.1.total_cmp(&b.1));
                let (token, at) = next.expect("a turn");
                assert!(at - rig.now < most, "{n} gateways: {} s", at - rig.now);
                rig.now = at;
                assert!(rig.event(Event::Timer { token }).contains(&Action::PollEndpoints));
                rig.list(ListKind::Failed, Vec::new());
            }
        }
    }
}
