//! How a fleet of gateways with little load each distributes its requests and calls the counter.

mod common;
use common::{
    AttemptEnd, GatewayHarness, endpoint, fleet, rejected_count, request, running_endpoints, settings,
    started_attempts,
};
use oliverack::{Action, Endpoint, EndpointId, Event, Lifecycle, ListKind, Plan, Request, Status};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Sends one request, whose attempt succeeds at once; returns the endpoint, if it was sent.
fn send_one(harness: &mut GatewayHarness, request_id: &str, spread: u32) -> Option<EndpointId> {
    let request = Request { customer_gateway_count: spread, ..request(request_id, harness.now) };
    let actions = harness.handle(Event::Request(request));
    let (request_id, endpoint) = started_attempts(&actions).pop()?;
    harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok);
    Some(endpoint)
}

#[test]
fn endpoint_restart_seen_by_200_gateways_at_once_does_not_overload_it() {
    let mut settings = settings();
    settings.plans = vec![Plan::default()];
    let (n, warm) = (200, running_endpoints(9));
    let mut gateways = fleet(n, &settings, &warm);
    let mut sent = 0.0;
    let mut to_cold = 0.0;
    for step in 0..80 {
        let now = 100.0 + f64::from(step) * 0.1;
        for (i, harness) in gateways.iter_mut().enumerate() {
            harness.now = now;
            if step == 70 {
                harness.update_endpoints(ListKind::Changes, vec![endpoint("s000", Lifecycle::Running, now)]);
            }
            if (i + step as usize) % 5 == 0 {
                let endpoint = send_one(harness, &format!("{i}-{step}"), n);
                sent += f64::from(u8::from(endpoint.is_some() && step < 70));
                to_cold += f64::from(u8::from(endpoint.as_deref() == Some("s000") && step >= 70));
            }
        }
    }
    let units_per_endpoint_second = sent / 7.0 / 9.0;
    let may = settings.overload_multiple
        * settings.slow_start_initial_share
        * units_per_endpoint_second
        * settings.overload_window;
    assert!(to_cold > 0.0, "an endpoint in slow start is used");
    assert!(to_cold <= may, "{to_cold} sent in the overload window, {may} would overload it");
}

#[test]
fn gateway_of_large_fleet_uses_small_subset_of_endpoints() {
    let mut settings = settings();
    settings.plans = vec![Plan::default()];
    let mut gateways = fleet(100, &settings, &running_endpoints(60));
    let all: BTreeSet<EndpointId> =
        (0..200).filter_map(|i| send_one(&mut gateways[3], &format!("j{i}"), 1)).collect();
    assert!((2..=12).contains(&all.len()), "{} endpoints used", all.len());
    let firsts: BTreeSet<EndpointId> =
        gateways.iter_mut().filter_map(|harness| send_one(harness, "first", 1)).collect();
    assert!(firsts.len() >= 30, "together the gateways use most endpoints: {}", firsts.len());
}

/// How many of 300 requests one gateway rejects at once when `lost` in ten attempts get no response.
fn rejected_when_lost(lost: usize) -> usize {
    let mut settings = settings();
    settings.plans = vec![Plan::default()];
    settings.gateway_count = 20;
    let mut harness = GatewayHarness::new(settings);
    let mut total = 0;
    for i in 0..300 {
        harness.now += 0.1;
        let actions = harness.send_request(&format!("j{i}"));
        total += rejected_count(&actions);
        for (request_id, endpoint) in started_attempts(&actions) {
            let (status, elapsed) =
                if i * 3 % 10 < lost { (Status::Timeout, 1.0) } else { (Status::Ok, 0.03) };
            harness.handle(AttemptEnd::new(&request_id, &endpoint).status(status).elapsed(elapsed).event());
        }
    }
    total
}

#[test]
fn lost_responses_do_not_shed_load_but_timeouts_of_most_endpoints_do() {
    assert!(
        rejected_when_lost(4) <= 3,
        "four lost in ten cause nearly no rejection: {}",
        rejected_when_lost(4)
    );
    let rejected = rejected_when_lost(8);
    assert!(rejected >= 30, "{rejected} rejected at once when eight in ten time out");
}

/// Rates of requests to one endpoint, a second.
struct EndpointRates {
    mean_in_slow_start: f64,
    highest_in_slow_start: f64,
    mean_before: f64,
}

/// Requests that `n` gateways send a second after `new` of the `all` endpoints were replaced at one moment: to an
/// endpoint in slow start in the mean and at most, and to each endpoint before.
fn rates_to_endpoints_in_slow_start(n: u32, all: u32, new: u32) -> EndpointRates {
    let mut settings = settings();
    settings.plans = vec![Plan::default()];
    let mut gateways = fleet(n, &settings, &running_endpoints(all));
    let (mut before, mut cold) = (0, BTreeMap::new());
    let mut rng = fastrand::Rng::with_seed(7);
    for step in 0..120 {
        let now = 100.0 + f64::from(step) * 0.1;
        let replaced = (0..new).flat_map(|i| {
            let gone = endpoint(&format!("s{:03}", i * all / new), Lifecycle::Gone, 0.0);
            [gone, endpoint(&format!("t{i:03}"), Lifecycle::Running, now)]
        });
        let changes: Vec<Endpoint> = if step == 60 { replaced.collect() } else { Vec::new() };
        for (i, harness) in gateways.iter_mut().enumerate() {
            harness.now = now;
            if step == 60 {
                harness.update_endpoints(ListKind::Changes, changes.clone());
            }
            for turn in 0..(100 / n).max(1) {
                let request_id = format!("{i}-{step}-{turn}");
                let sent =
                    started_attempts(&harness.send_request(&request_id)).pop().map(|(_, endpoint)| endpoint);
                before += u32::from(sent.is_some() && (30..60).contains(&step));
                // Responses take 50 to 140 ms, in slow start or not.
                let elapsed = 0.05 + 0.09 * rng.f64();
                if let Some(endpoint) = sent.clone() {
                    harness.handle(AttemptEnd::new(&request_id, &endpoint).elapsed(elapsed).event());
                }
                if let Some(id) = sent.filter(|id| id.starts_with('t') && step >= 90) {
                    *cold.entry(id).or_insert(0) += 1;
                }
            }
        }
    }
    let seconds = 3.0;
    EndpointRates {
        mean_in_slow_start: f64::from(cold.values().sum::<u32>()) / seconds / f64::from(new),
        highest_in_slow_start: f64::from(cold.values().copied().max().unwrap_or(0)) / seconds,
        mean_before: f64::from(before) / seconds / f64::from(all),
    }
}

#[test]
fn endpoints_in_slow_start_carry_their_share_at_every_fleet_size() {
    for (n, all, new) in [(3, 9, 5), (12, 20, 12), (100, 60, 36)] {
        let rates = rates_to_endpoints_in_slow_start(n, all, new);
        let (mean, most) = (rates.mean_in_slow_start, rates.highest_in_slow_start);
        let before = rates.mean_before;
        // At an age of 3 to 6 s of the window of 10 s, an endpoint has 0.44 to 0.68 of its capacity.
        assert!(
            mean >= 0.2 * before,
            "{n} gateways: {mean} to an endpoint in slow start, {before} to any before"
        );
        assert!(most <= 2.0 * 0.44 * before * 2.0, "{n} gateways: {most} to one, {before} to any before");
    }
}

#[test]
fn fleet_distributes_load_evenly_over_endpoints() {
    let mut settings = settings();
    settings.plans = vec![Plan::default()];
    for (n, all) in [(1, 9), (3, 9), (12, 20), (100, 60)] {
        let mut sent = BTreeMap::new();
        for (i, harness) in fleet(n, &settings, &running_endpoints(all)).iter_mut().enumerate() {
            for turn in 0..3000 / n {
                harness.now += 0.5;
                *sent.entry(send_one(harness, &format!("{i}-{turn}"), n)).or_insert(0) += 1;
            }
        }
        let mean = f64::from(sent.values().sum::<u32>()) / f64::from(all);
        let bounds = 0.65 * mean..=1.35 * mean;
        assert_eq!(sent.len(), all as usize, "{n} gateways use them all");
        assert!(sent.values().all(|v| bounds.contains(&f64::from(*v))), "{n} gateways: {mean} of {sent:?}");
    }
}

/// A call in the queue of the counter.
struct QueuedCall {
    made_at: f64,
    gateway: usize,
    counter: u64,
}

/// Calls of `n` gateways to a counter that replies to 250 a second in turn: the share replied to in time in the last
/// 10 s of 20, and their number.
fn counted_in_time(n: u32) -> (f64, u32) {
    let mut settings = settings();
    settings.counter_timeout = 0.08;
    let mut gateways = fleet(n, &settings, &running_endpoints(9));
    let mut queue: VecDeque<QueuedCall> = VecDeque::new();
    let mut counter_idle_at: f64 = 100.0;
    let (mut calls, mut in_time, mut number) = (0, 0, 0);
    for step in 0..2000 {
        let now = 100.0 + f64::from(step) * 0.01;
        let mut reports = Vec::new();
        while counter_idle_at <= now {
            let Some(call) = queue.pop_front() else { break };
            counter_idle_at = counter_idle_at.max(call.made_at) + 1.0 / 250.0;
            let elapsed = (now - call.made_at).max(0.002);
            // A timed-out call was reported already, and the counter works on it all the same.
            if elapsed <= settings.counter_timeout {
                reports.push((call.gateway, call.counter, Status::Ok, elapsed));
                in_time += u32::from(step >= 1000);
            }
        }
        let late =
            |at: f64| (now - at > settings.counter_timeout) && (now - at <= settings.counter_timeout + 0.01);
        let lost = queue.iter().filter(|call| late(call.made_at));
        reports
            .extend(lost.map(|call| (call.gateway, call.counter, Status::Timeout, settings.counter_timeout)));
        let mut actions: Vec<(usize, Action)> = Vec::new();
        for (i, counter, status, elapsed) in reports {
            gateways[i].now = now;
            let event = Event::CounterReplied { counter, status, total: 1.0, elapsed };
            actions.extend(gateways[i].handle(event).into_iter().map(|a| (i, a)));
        }
        // 800 requests a second, each of a new customer.
        for _ in 0..8 {
            number += 1;
            let i = number % n as usize;
            gateways[i].now = now;
            let request =
                Request { customer: format!("c{number}").into(), ..request(&format!("j{number}"), now) };
            actions.extend(gateways[i].handle(Event::Request(request)).into_iter().map(|a| (i, a)));
        }
        for (i, action) in actions {
            match action {
                Action::AddToCounter { counter, .. } => {
                    calls += u32::from(step >= 1000);
                    queue.push_back(QueuedCall { made_at: now, gateway: i, counter });
                }
                Action::StartAttempt { request_id, endpoint, .. } => {
                    drop(gateways[i].attempt_ended(&request_id, 0, &endpoint, Status::Ok));
                }
                _ => {}
            }
        }
    }
    (f64::from(in_time) / f64::from(calls), in_time)
}

#[test]
fn overloaded_counter_gets_limited_call_rate() {
    for n in [1, 3, 12, 100] {
        let (share, in_time) = counted_in_time(n);
        assert!(share >= 0.5, "{n} gateways: {share} of their calls get a reply in time");
        assert!(in_time >= 500, "{n} gateways: {in_time} replies in time of 2500 possible");
    }
}

#[test]
fn unreported_units_are_reported_to_counter_once() {
    let mut settings = settings();
    settings.gateway_count = 100;
    let mut harness = GatewayHarness::new(settings);
    let send = |harness: &mut GatewayHarness, i: u32| {
        let request = Request {
            customer_gateway_count: 100,
            customer: format!("c{i}").into(),
            ..request(&format!("j{i}"), harness.now)
        };
        harness.handle(Event::Request(request))
    };
    // More requests at once than the call rate permits: the others are admitted by the even share, unreported.
    let mut unreported = 0.0;
    for i in 0..30 {
        for (request_id, endpoint) in started_attempts(&send(&mut harness, i)) {
            unreported += 1.0;
            harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok);
        }
    }
    assert!(unreported >= 20.0, "{unreported} sent unreported");
    let mut reported = 0.0;
    for i in 30..90 {
        harness.now += 0.5;
        for action in send(&mut harness, i) {
            let Action::AddToCounter { counter, amount, .. } = action else { continue };
            reported += amount - 1.0;
            for (request_id, endpoint) in
                started_attempts(&harness.counter_replied(counter, Status::Ok, amount + 0.5))
            {
                harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok);
            }
        }
    }
    assert!(
        (0.5 * unreported..=unreported + 1e-6).contains(&reported),
        "{reported} reported of {unreported}"
    );
}
