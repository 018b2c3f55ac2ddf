//! Polls of discovery: the simultaneous start of a fleet, backoff while discovery is unavailable, and the interval
//! after failed polls.

mod common;
use common::{GatewayHarness, fleet, running_endpoints, settings};
use oliverack::{Action, Event, ListKind};
use std::collections::{BTreeSet, VecDeque};

/// Calls that discovery processes per second, one after another.
const CALLS_PER_SECOND: f64 = 30.0;
/// Time after which a gateway abandons a call, in seconds. Discovery still processes the call.
const CALL_TIMEOUT: f64 = 2.0;
/// Length of the queue at which discovery rejects further calls.
const MAX_QUEUE_LENGTH: usize = 60;

/// Result of the simultaneous start of a fleet.
struct FleetStart {
    /// Seconds until the last gateway has the endpoint list; infinite if that takes longer than 60 s.
    seconds: f64,
    /// Calls of all gateways together, failed ones included.
    calls: usize,
}

/// Starts `gateway_count` gateways at one moment and simulates the first 60 s.
fn start_fleet(gateway_count: u32) -> FleetStart {
    let mut settings = settings();
    settings.discovery_is_polled = true;
    settings.max_poll_interval = 10.0;
    let mut gateways = fleet(gateway_count, &settings, &running_endpoints(9));
    let mut timers: Vec<(f64, usize, u64)> = Vec::new();
    let mut queue: VecDeque<(f64, usize)> = VecDeque::new();
    let mut discovery_idle_at: f64 = 100.0;
    let mut calls = 0;
    let mut gateways_with_list = BTreeSet::new();
    let scheduled_timers = |index: usize, actions: Vec<Action>| {
        actions.into_iter().filter_map(move |action| match action {
            Action::SetTimer { token, at } => Some((at, index, token)),
            _ => None,
        })
    };
    let contains_poll = |actions: &[Action]| actions.contains(&Action::PollEndpoints);
    let mut polls: Vec<usize> = Vec::new();
    for (index, harness) in gateways.iter_mut().enumerate() {
        let actions = std::mem::take(&mut harness.actions);
        polls.extend(contains_poll(&actions).then_some(index));
        timers.extend(scheduled_timers(index, actions));
    }
    for step in 0..6000 {
        let now = 100.0 + f64::from(step) * 0.01;
        let (due, later) = timers.into_iter().partition::<Vec<_>, _>(|(due_at, ..)| *due_at <= now);
        timers = later;
        for (_, index, token) in due {
            gateways[index].now = now;
            let actions = gateways[index].handle(Event::Timer { token });
            polls.extend(contains_poll(&actions).then_some(index));
            timers.extend(scheduled_timers(index, actions));
        }
        let mut failed = Vec::new();
        for index in std::mem::take(&mut polls) {
            calls += 1;
            if queue.len() < MAX_QUEUE_LENGTH { queue.push_back((now, index)) } else { failed.push(index) }
        }
        while let Some((called_at, index)) = queue.front().copied().filter(|_| discovery_idle_at <= now) {
            queue.pop_front();
            discovery_idle_at = now.max(discovery_idle_at) + 1.0 / CALLS_PER_SECOND;
            if now - called_at > CALL_TIMEOUT {
                failed.push(index);
                continue;
            }
            gateways_with_list.insert(index);
            gateways[index].now = now;
            gateways[index].update_endpoints(ListKind::Full, running_endpoints(9));
        }
        if gateways_with_list.len() == gateway_count as usize {
            return FleetStart { seconds: now - 100.0, calls };
        }
        for index in failed {
            gateways[index].now = now;
            let actions = gateways[index]
                .handle(Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() });
            polls.extend(contains_poll(&actions).then_some(index));
            timers.extend(scheduled_timers(index, actions));
        }
    }
    FleetStart { seconds: f64::INFINITY, calls }
}

#[test]
fn simultaneous_start_does_not_overload_discovery() {
    for gateway_count in [1, 3, 12, 30, 100] {
        let FleetStart { seconds: seconds_to_last, calls } = start_fleet(gateway_count);
        assert!(
            seconds_to_last <= 0.1 * f64::from(gateway_count).max(3.0),
            "{gateway_count} gateways: the last has the list after {seconds_to_last} s"
        );
        assert!(calls <= 2 * gateway_count as usize, "{gateway_count} gateways: {calls} calls");
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
        let timers = harness.actions.drain(..).filter_map(|action| match action {
            Action::SetTimer { token, at } => Some((at, token)),
            _ => None,
        });
        let mut timers: Vec<_> = timers.collect();
        timers.sort_by(|first, second| first.0.total_cmp(&second.0));
        for (due_at, token) in timers {
            harness.now = harness.now.max(due_at);
            if harness.handle(Event::Timer { token }).contains(&Action::PollEndpoints) {
                calls += 1;
                harness.handle(Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() });
            }
        }
    }
    assert!((8..=60).contains(&calls), "{calls} calls in 60 s");
}

#[test]
fn failed_polls_are_repeated_within_notification_limit() {
    // A gateway counts as notified of a change after 6 s. A call that is refused takes no time, one over a slow
    // connection 1.5 s.
    let max_interval = 6.0 - 1.5;
    for gateway_count in [1, 3, 12, 30, 100, 350, 1024] {
        for seed in 0..20 {
            let mut settings = settings();
            settings.discovery_is_polled = true;
            settings.max_poll_interval = 10.0;
            settings.gateway_count = gateway_count;
            let mut harness =
                GatewayHarness::builder(settings).seed(seed).endpoints(running_endpoints(9)).build();
            for _ in 0..12 {
                let scheduled_timer = |action: &Action| {
                    if let Action::SetTimer { token, at } = action { Some((*token, *at)) } else { None }
                };
                // Only the earliest timer is a poll; the one that evicts idle customers is due later.
                let earliest = harness
                    .actions
                    .drain(..)
                    .filter_map(|action| scheduled_timer(&action))
                    .min_by(|first, second| first.1.total_cmp(&second.1));
                let (token, due_at) = earliest.expect("a timer for the next poll");
                assert!(
                    due_at - harness.now < max_interval,
                    "{gateway_count} gateways: next poll after {} s",
                    due_at - harness.now
                );
                harness.now = due_at;
                assert!(harness.handle(Event::Timer { token }).contains(&Action::PollEndpoints));
                harness.update_endpoints(ListKind::Failed, Vec::new());
            }
        }
    }
}
