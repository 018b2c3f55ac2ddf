//! Slow start across a fleet: the requests of all gateways to a restarted endpoint stay within its allowance, though
//! the gateways do not communicate.

mod common;
use common::{GatewayHarness, endpoint, settings, started_attempts};
use oliverack::{Endpoint, EndpointId, Lifecycle, ListKind, Plan, Settings, Status, Time};
use std::collections::BTreeMap;

/// A fleet, its endpoints and their load.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    gateways: u32,
    endpoints: u32,
    /// What a warm endpoint does a second, and the share of it that is asked for.
    capacity: f64,
    load: f64,
    /// One of so many endpoints is restarted.
    every: u32,
    /// For some seconds after that so many times as much is asked for, and one warm endpoint of eight errs.
    surge: f64,
}

/// A small fixed generator, so that a scenario is the same each time.
struct Dice(fastrand::Rng);

impl Dice {
    /// How many of what comes `mean` times come.
    fn poisson(&mut self, mean: f64) -> u32 {
        let (mut left, mut count) = ((-mean).exp(), 0);
        loop {
            left /= self.0.f64().max(1e-12);
            if left >= 1.0 {
                return count;
            }
            count += 1;
        }
    }
}

const STEP: f64 = 0.02;
/// When the endpoints are restarted.
const RESTART: f64 = 110.0;

fn slow_start_settings() -> Settings {
    let mut settings = settings();
    settings.plans = vec![Plan::default()];
    settings.overload_multiple = 3.0;
    settings.overload_window = 1.5;
    settings.slow_start_initial_share = 0.22;
    settings.slow_start_window = 17.0;
    settings
}

fn gateway(index: u32, scenario: Scenario, seed: u64, now: Time, endpoints: &[Endpoint]) -> GatewayHarness {
    let mut settings = slow_start_settings();
    settings.gateway_count = scenario.gateways;
    GatewayHarness::builder(settings)
        .gateway_index(index)
        .seed(seed)
        .now(now)
        .endpoints(endpoints.to_vec())
        .build()
}

/// The times at which each restarted endpoint was sent an attempt: some endpoints restart at one moment, the
/// gateways are notified 0.8 to 4.9 s later, and a quarter of the gateways restarts 1 s after that.
fn sent_to_cold(scenario: Scenario, seed: u64) -> BTreeMap<EndpointId, Vec<Time>> {
    let mut dice = Dice(fastrand::Rng::with_seed(seed));
    let list = |started: Time| -> Vec<Endpoint> {
        let endpoint = |i: u32| {
            let started = if i % scenario.every == 0 { started } else { 0.0 };
            endpoint(&format!("s{i:03}"), Lifecycle::Running, started)
        };
        (0..scenario.endpoints).map(endpoint).collect()
    };
    let (warm, cold) = (list(0.0), list(RESTART));
    let mut gateways: Vec<GatewayHarness> = (0..scenario.gateways)
        .map(|index| gateway(index, scenario, u64::from(index) * 7919 + seed, 100.0, &warm))
        .collect();
    // Some gateways receive several times the mean.
    let weights: Vec<f64> = gateways.iter().map(|_| [0.4, 0.6, 0.8, 1.0, 2.2][dice.0.usize(0..5)]).collect();
    let rate =
        scenario.load * scenario.capacity * f64::from(scenario.endpoints) / weights.iter().sum::<f64>();
    let notified_at: Vec<Time> = gateways.iter().map(|_| RESTART + 0.8 + 4.1 * dice.0.f64()).collect();
    let (mut sent, mut number): (BTreeMap<EndpointId, Vec<Time>>, u64) = (BTreeMap::new(), 0);
    let mut now = 100.0;
    while now < RESTART + 18.0 {
        let surges = (RESTART + 2.0..RESTART + 8.0).contains(&now);
        for i in 0..gateways.len() {
            if i % 4 == 0 && (now - notified_at[i] - 1.0).abs() < STEP / 2.0 {
                gateways[i] = gateway(i as u32, scenario, seed ^ (i as u64) << 20, now, &cold);
            }
            let harness = &mut gateways[i];
            harness.now = now;
            if (now - notified_at[i]).abs() <= STEP / 2.0 {
                harness.update_endpoints(ListKind::Full, cold.clone());
            }
            for _ in 0..dice.poisson(rate * weights[i] * STEP * if surges { scenario.surge } else { 1.0 }) {
                number += 1;
                let mut actions = harness.send_request(&format!("j{number}"));
                // A retry follows a failed attempt.
                for attempt in 0.. {
                    let Some((request_id, endpoint)) = started_attempts(&actions).pop() else { break };
                    let place: u32 = endpoint[1..].parse().expect("its number");
                    let cold = place % scenario.every == 0;
                    if cold && now >= notified_at[i] {
                        sent.entry(endpoint.clone()).or_default().push(now);
                    }
                    let errs = surges && scenario.surge > 1.0 && !cold && place % 8 == 1;
                    actions = harness.attempt_ended(
                        &request_id,
                        attempt,
                        &endpoint,
                        if errs { Status::Error } else { Status::Ok },
                    );
                }
            }
            harness.actions.clear();
        }
        now += STEP;
    }
    sent
}

/// The largest excess of a window's attempts over the allowance with a margin for chance, and the attempts at a
/// restarted endpoint as a share of the load of an endpoint.
fn worst(scenario: Scenario) -> (f64, f64) {
    let settings = slow_start_settings();
    let sent = sent_to_cold(scenario, 7);
    let mut worst = f64::NEG_INFINITY;
    for times in sent.values() {
        for (i, from) in times.iter().enumerate() {
            let warmth = settings.slow_start_initial_share
                + (1.0 - settings.slow_start_initial_share) * (from - RESTART) / settings.slow_start_window;
            let budget =
                settings.overload_multiple * warmth.min(1.0) * scenario.capacity * settings.overload_window;
            let got = times[i..].iter().take_while(|t| **t < from + settings.overload_window).count() as f64;
            worst = worst.max(got - budget - 2.0 * budget.sqrt() - 2.0);
        }
    }
    let total = sent.values().map(Vec::len).sum::<usize>() as f64;
    let asked =
        18.0 * scenario.load * scenario.capacity * f64::from(scenario.endpoints.div_ceil(scenario.every));
    (worst, total / asked)
}

/// Asserts the allowance for small and large fleets, with endpoints of high and low capacity.
fn fleets(every: u32, load: f64, surge: f64) {
    for (gateways, endpoints) in
        [(1, 9), (3, 9), (12, 12), (30, 9), (30, 40), (100, 60), (300, 200), (680, 450)]
    {
        for capacity in [2.0, 20.0] {
            let scenario = Scenario { gateways, endpoints, capacity, load, every, surge };
            let (worst, share) = worst(scenario);
            assert!(worst <= 0.0, "{scenario:?}: {worst} more than its allowance and chance");
            assert!(
                share >= 0.05,
                "{scenario:?}: an endpoint in slow start gets {share} of the load of an endpoint"
            );
        }
    }
}

#[test]
fn third_of_endpoints_restarted_fleet_stays_within_slow_start_allowance() {
    fleets(3, 0.6, 1.0);
}

#[test]
fn all_endpoints_restarted_under_surge_fleet_stays_within_slow_start_allowance() {
    fleets(1, 0.9, 2.0);
}

#[test]
fn half_of_endpoints_restarted_under_surge_with_errors_fleet_stays_within_slow_start_allowance() {
    fleets(2, 0.9, 2.0);
}
