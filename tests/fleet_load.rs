//! Distribution of requests and rate of counter calls in a fleet whose gateways each have little load.

mod common;
use common::{
    AttemptEnd, GatewayHarness, endpoint, fleet, rejected_count, request, running_endpoints, settings,
    started_attempts,
};
use oliverack::{Action, Endpoint, EndpointId, Event, Lifecycle, ListKind, Plan, Request, Status};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Sends one request, whose attempt succeeds at once. Returns the endpoint of the attempt, or `None` if there was none.
fn send_successful_request(
    harness: &mut GatewayHarness,
    request_id: &str,
    gateway_count: u32,
) -> Option<EndpointId> {
    let request = Request { customer_gateway_count: gateway_count, ..request(request_id, harness.now) };
    let actions = harness.handle(Event::Request(request));
    let (request_id, endpoint) = started_attempts(&actions).pop()?;
    harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok);
    Some(endpoint)
}

#[test]
fn restarted_endpoint_is_not_overloaded_by_fleet_of_200() {
    let mut settings = settings();
    settings.plans = vec![Plan::default()];
    let (gateway_count, endpoints) = (200, running_endpoints(9));
    let mut gateways = fleet(gateway_count, &settings, &endpoints);
    let mut sent_before = 0.0;
    let mut sent_to_restarted = 0.0;
    for step in 0..80 {
        let now = 100.0 + f64::from(step) * 0.1;
        for (index, harness) in gateways.iter_mut().enumerate() {
            harness.now = now;
            if step == 70 {
                harness.update_endpoints(ListKind::Changes, vec![endpoint("s000", Lifecycle::Running, now)]);
            }
            if (index + step as usize) % 5 == 0 {
                let endpoint = send_successful_request(harness, &format!("{index}-{step}"), gateway_count);
                sent_before += f64::from(u8::from(endpoint.is_some() && step < 70));
                sent_to_restarted += f64::from(u8::from(endpoint.as_deref() == Some("s000") && step >= 70));
            }
        }
    }
    let units_per_endpoint_second = sent_before / 7.0 / 9.0;
    let allowance = settings.overload_multiple
        * settings.slow_start_initial_share
        * units_per_endpoint_second
        * settings.overload_window;
    assert!(sent_to_restarted > 0.0, "an endpoint in slow start gets attempts");
    assert!(
        sent_to_restarted <= allowance,
        "{sent_to_restarted} sent in the overload window, more than {allowance} would overload the endpoint"
    );
}

#[test]
fn gateway_of_large_fleet_uses_small_subset_of_endpoints() {
    let mut settings = settings();
    settings.plans = vec![Plan::default()];
    let mut gateways = fleet(100, &settings, &running_endpoints(60));
    let endpoints_of_one_gateway: BTreeSet<EndpointId> =
        (0..200).filter_map(|i| send_successful_request(&mut gateways[3], &format!("j{i}"), 1)).collect();
    assert!(
        (2..=12).contains(&endpoints_of_one_gateway.len()),
        "one gateway uses {} of 60 endpoints",
        endpoints_of_one_gateway.len()
    );
    let first_endpoints: BTreeSet<EndpointId> =
        gateways.iter_mut().filter_map(|harness| send_successful_request(harness, "first", 1)).collect();
    assert!(
        first_endpoints.len() >= 30,
        "all gateways together use {} of 60 endpoints",
        first_endpoints.len()
    );
}

/// Returns how many of 300 requests one gateway rejects at once when `lost_in_ten` of ten attempts get no response.
fn rejected_count_with_lost_responses(lost_in_ten: usize) -> usize {
    let mut settings = settings();
    settings.plans = vec![Plan::default()];
    settings.gateway_count = 20;
    let mut harness = GatewayHarness::new(settings);
    let mut rejected = 0;
    for i in 0..300 {
        harness.now += 0.1;
        let actions = harness.send_request(&format!("j{i}"));
        rejected += rejected_count(&actions);
        for (request_id, endpoint) in started_attempts(&actions) {
            let (status, elapsed) =
                if i * 3 % 10 < lost_in_ten { (Status::Timeout, 1.0) } else { (Status::Ok, 0.03) };
            harness.handle(AttemptEnd::new(&request_id, &endpoint).status(status).elapsed(elapsed).event());
        }
    }
    rejected
}

#[test]
fn load_is_shed_when_most_attempts_time_out_but_not_when_some_do() {
    assert!(
        rejected_count_with_lost_responses(4) <= 3,
        "{} rejected at once when four in ten time out",
        rejected_count_with_lost_responses(4)
    );
    let rejected = rejected_count_with_lost_responses(8);
    assert!(rejected >= 30, "{rejected} rejected at once when eight in ten time out");
}

/// Rates of attempts at one endpoint, per second.
struct EndpointRates {
    /// Mean over the endpoints in slow start.
    mean_in_slow_start: f64,
    /// Highest rate at an endpoint in slow start.
    highest_in_slow_start: f64,
    /// Mean over all endpoints before the replacement.
    mean_before: f64,
}

/// Returns the rates at which `gateway_count` gateways send attempts before and after `replaced_count` of
/// `endpoint_count` endpoints are replaced at one moment.
fn rates_before_and_in_slow_start(
    gateway_count: u32,
    endpoint_count: u32,
    replaced_count: u32,
) -> EndpointRates {
    let mut settings = settings();
    settings.plans = vec![Plan::default()];
    let mut gateways = fleet(gateway_count, &settings, &running_endpoints(endpoint_count));
    let (mut sent_before, mut sent_in_slow_start) = (0, BTreeMap::new());
    let mut random = fastrand::Rng::with_seed(7);
    for step in 0..120 {
        let now = 100.0 + f64::from(step) * 0.1;
        let replaced = (0..replaced_count).flat_map(|index| {
            let gone =
                endpoint(&format!("s{:03}", index * endpoint_count / replaced_count), Lifecycle::Gone, 0.0);
            [gone, endpoint(&format!("t{index:03}"), Lifecycle::Running, now)]
        });
        let changes: Vec<Endpoint> = if step == 60 { replaced.collect() } else { Vec::new() };
        for (index, harness) in gateways.iter_mut().enumerate() {
            harness.now = now;
            if step == 60 {
                harness.update_endpoints(ListKind::Changes, changes.clone());
            }
            for turn in 0..(100 / gateway_count).max(1) {
                let request_id = format!("{index}-{step}-{turn}");
                let sent_to =
                    started_attempts(&harness.send_request(&request_id)).pop().map(|(_, endpoint)| endpoint);
                sent_before += u32::from(sent_to.is_some() && (30..60).contains(&step));
                // Responses take 50 to 140 ms, in slow start or not.
                let elapsed = 0.05 + 0.09 * random.f64();
                if let Some(endpoint) = sent_to.clone() {
                    harness.handle(AttemptEnd::new(&request_id, &endpoint).elapsed(elapsed).event());
                }
                if let Some(id) = sent_to.filter(|id| id.starts_with('t') && step >= 90) {
                    *sent_in_slow_start.entry(id).or_insert(0) += 1;
                }
            }
        }
    }
    let seconds = 3.0;
    EndpointRates {
        mean_in_slow_start: f64::from(sent_in_slow_start.values().sum::<u32>())
            / seconds
            / f64::from(replaced_count),
        highest_in_slow_start: f64::from(sent_in_slow_start.values().copied().max().unwrap_or(0)) / seconds,
        mean_before: f64::from(sent_before) / seconds / f64::from(endpoint_count),
    }
}

#[test]
fn endpoints_in_slow_start_get_their_share_at_every_fleet_size() {
    for (gateway_count, endpoint_count, replaced_count) in [(3, 9, 5), (12, 20, 12), (100, 60, 36)] {
        let rates = rates_before_and_in_slow_start(gateway_count, endpoint_count, replaced_count);
        let (mean, highest) = (rates.mean_in_slow_start, rates.highest_in_slow_start);
        let before = rates.mean_before;
        // From 3 s to 6 s after its start, in a window of 10 s, an endpoint has 0.44 to 0.68 of its capacity.
        assert!(
            mean >= 0.2 * before,
            "{gateway_count} gateways: {mean} a second in slow start, {before} before"
        );
        assert!(
            highest <= 2.0 * 0.44 * before * 2.0,
            "{gateway_count} gateways: at most {highest} a second in slow start, {before} before"
        );
    }
}

#[test]
fn fleet_distributes_load_evenly_over_endpoints() {
    let mut settings = settings();
    settings.plans = vec![Plan::default()];
    for (gateway_count, endpoint_count) in [(1, 9), (3, 9), (12, 20), (100, 60)] {
        let mut sent = BTreeMap::new();
        for (index, harness) in
            fleet(gateway_count, &settings, &running_endpoints(endpoint_count)).iter_mut().enumerate()
        {
            for turn in 0..3000 / gateway_count {
                harness.now += 0.5;
                *sent
                    .entry(send_successful_request(harness, &format!("{index}-{turn}"), gateway_count))
                    .or_insert(0) += 1;
            }
        }
        let mean = f64::from(sent.values().sum::<u32>()) / f64::from(endpoint_count);
        let bounds = 0.65 * mean..=1.35 * mean;
        assert_eq!(sent.len(), endpoint_count as usize, "{gateway_count} gateways use all endpoints");
        assert!(
            sent.values().all(|count| bounds.contains(&f64::from(*count))),
            "{gateway_count} gateways: mean {mean}, requests per endpoint {sent:?}"
        );
    }
}

/// A call in the queue of the counter.
struct QueuedCall {
    made_at: f64,
    gateway: usize,
    counter: u64,
}

/// Simulates 20 s of `gateway_count` gateways that call a counter with a capacity of 250 calls a second. Returns, for
/// the last 10 s, the share of the calls that got a reply in time and the number of these replies.
fn replies_in_time(gateway_count: u32) -> (f64, u32) {
    let mut settings = settings();
    settings.counter_timeout = 0.08;
    let mut gateways = fleet(gateway_count, &settings, &running_endpoints(9));
    let mut queue: VecDeque<QueuedCall> = VecDeque::new();
    let mut counter_idle_at: f64 = 100.0;
    let (mut calls, mut in_time, mut request_number) = (0, 0, 0);
    for step in 0..2000 {
        let now = 100.0 + f64::from(step) * 0.01;
        let mut results = Vec::new();
        while counter_idle_at <= now {
            let Some(call) = queue.pop_front() else { break };
            counter_idle_at = counter_idle_at.max(call.made_at) + 1.0 / 250.0;
            let elapsed = (now - call.made_at).max(0.002);
            // The counter also processes calls that timed out, whose result was reported before.
            if elapsed <= settings.counter_timeout {
                results.push((call.gateway, call.counter, Status::Ok, elapsed));
                in_time += u32::from(step >= 1000);
            }
        }
        let has_just_timed_out = |made_at: f64| {
            (now - made_at > settings.counter_timeout) && (now - made_at <= settings.counter_timeout + 0.01)
        };
        let timed_out = queue.iter().filter(|call| has_just_timed_out(call.made_at));
        results.extend(
            timed_out.map(|call| (call.gateway, call.counter, Status::Timeout, settings.counter_timeout)),
        );
        let mut actions: Vec<(usize, Action)> = Vec::new();
        for (index, counter, status, elapsed) in results {
            gateways[index].now = now;
            let event = Event::CounterReplied { counter, status, total: 1.0, elapsed };
            actions.extend(gateways[index].handle(event).into_iter().map(|action| (index, action)));
        }
        // Sends 800 requests a second, each of a new customer.
        for _ in 0..8 {
            request_number += 1;
            let index = request_number % gateway_count as usize;
            gateways[index].now = now;
            let request = Request {
                customer: format!("c{request_number}").into(),
                ..request(&format!("j{request_number}"), now)
            };
            actions.extend(
                gateways[index].handle(Event::Request(request)).into_iter().map(|action| (index, action)),
            );
        }
        for (index, action) in actions {
            match action {
                Action::AddToCounter { counter, .. } => {
                    calls += u32::from(step >= 1000);
                    queue.push_back(QueuedCall { made_at: now, gateway: index, counter });
                }
                Action::StartAttempt { request_id, endpoint, .. } => {
                    drop(gateways[index].attempt_ended(&request_id, 0, &endpoint, Status::Ok));
                }
                _ => {}
            }
        }
    }
    (f64::from(in_time) / f64::from(calls), in_time)
}

#[test]
fn overloaded_counter_gets_limited_call_rate() {
    for gateway_count in [1, 3, 12, 100] {
        let (share, in_time) = replies_in_time(gateway_count);
        assert!(share >= 0.5, "{gateway_count} gateways: {share} of all calls get a reply in time");
        assert!(in_time >= 500, "{gateway_count} gateways: {in_time} replies in time of 2500 possible");
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
    // More requests arrive at once than the call rate permits calls. Those without a call are admitted by the even
    // share, and their units are not reported yet.
    let mut unreported = 0.0;
    for i in 0..30 {
        for (request_id, endpoint) in started_attempts(&send(&mut harness, i)) {
            unreported += 1.0;
            harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok);
        }
    }
    assert!(unreported >= 20.0, "{unreported} units sent unreported");
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
        "{reported} of {unreported} unreported units reported"
    );
}
