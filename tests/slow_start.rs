//! Slow start across a fleet: the attempts of all gateways at a restarted endpoint together stay within the allowance
//! of the endpoint, though the gateways do not communicate.

mod common;
use common::{GatewayHarness, endpoint, settings, started_attempts};
use oliverack::{Endpoint, EndpointId, Lifecycle, ListKind, Plan, Settings, Status, Time};
use std::collections::BTreeMap;

/// A fleet, its endpoints and their load.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    gateway_count: u32,
    endpoint_count: u32,
    /// Units per second that an endpoint serves after its slow start.
    capacity: f64,
    /// Requested share of the capacity of all endpoints.
    load: f64,
    /// Restarts every n-th endpoint.
    restart_stride: u32,
    /// Factor of the load from 2 s to 8 s after the restart. If it is above 1, every eighth endpoint fails meanwhile,
    /// unless it was restarted.
    surge_factor: f64,
}

/// Random numbers with a fixed seed, so that a scenario is the same each time.
struct Random(fastrand::Rng);

impl Random {
    /// Returns a Poisson-distributed number with the given mean.
    fn poisson(&mut self, mean: f64) -> u32 {
        let (mut remaining, mut count) = ((-mean).exp(), 0);
        loop {
            remaining /= self.0.f64().max(1e-12);
            if remaining >= 1.0 {
                return count;
            }
            count += 1;
        }
    }
}

/// Length of a simulation step, in seconds.
const STEP: f64 = 0.02;
/// Time at which endpoints restart.
const RESTART_TIME: f64 = 110.0;

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
    settings.gateway_count = scenario.gateway_count;
    GatewayHarness::builder(settings)
        .gateway_index(index)
        .seed(seed)
        .now(now)
        .endpoints(endpoints.to_vec())
        .build()
}

/// Returns the times of the attempts at each restarted endpoint. Some endpoints restart at one moment, the gateways are
/// notified 0.8 s to 4.9 s later, and a quarter of the gateways restarts 1 s after that.
fn attempts_at_restarted_endpoints(scenario: Scenario, seed: u64) -> BTreeMap<EndpointId, Vec<Time>> {
    let mut random = Random(fastrand::Rng::with_seed(seed));
    let list = |started: Time| -> Vec<Endpoint> {
        let endpoint = |i: u32| {
            let started = if i % scenario.restart_stride == 0 { started } else { 0.0 };
            endpoint(&format!("s{i:03}"), Lifecycle::Running, started)
        };
        (0..scenario.endpoint_count).map(endpoint).collect()
    };
    let (list_before, list_after) = (list(0.0), list(RESTART_TIME));
    let mut gateways: Vec<GatewayHarness> = (0..scenario.gateway_count)
        .map(|index| gateway(index, scenario, u64::from(index) * 7919 + seed, 100.0, &list_before))
        .collect();
    // Some gateways receive several times as many requests as others.
    let weights: Vec<f64> =
        gateways.iter().map(|_| [0.4, 0.6, 0.8, 1.0, 2.2][random.0.usize(0..5)]).collect();
    let rate =
        scenario.load * scenario.capacity * f64::from(scenario.endpoint_count) / weights.iter().sum::<f64>();
    let notified_at: Vec<Time> = gateways.iter().map(|_| RESTART_TIME + 0.8 + 4.1 * random.0.f64()).collect();
    let (mut attempts, mut request_number): (BTreeMap<EndpointId, Vec<Time>>, u64) = (BTreeMap::new(), 0);
    let mut now = 100.0;
    while now < RESTART_TIME + 18.0 {
        let is_surge = (RESTART_TIME + 2.0..RESTART_TIME + 8.0).contains(&now);
        for i in 0..gateways.len() {
            if i % 4 == 0 && (now - notified_at[i] - 1.0).abs() < STEP / 2.0 {
                gateways[i] = gateway(i as u32, scenario, seed ^ (i as u64) << 20, now, &list_after);
            }
            let harness = &mut gateways[i];
            harness.now = now;
            if (now - notified_at[i]).abs() <= STEP / 2.0 {
                harness.update_endpoints(ListKind::Full, list_after.clone());
            }
            for _ in 0..random
                .poisson(rate * weights[i] * STEP * if is_surge { scenario.surge_factor } else { 1.0 })
            {
                request_number += 1;
                let mut actions = harness.send_request(&format!("j{request_number}"));
                // A retry follows a failed attempt.
                for attempt in 0.. {
                    let Some((request_id, endpoint)) = started_attempts(&actions).pop() else { break };
                    let number: u32 = endpoint[1..].parse().expect("a number after `s`");
                    let is_restarted = number % scenario.restart_stride == 0;
                    if is_restarted && now >= notified_at[i] {
                        attempts.entry(endpoint.clone()).or_default().push(now);
                    }
                    let fails = is_surge && scenario.surge_factor > 1.0 && !is_restarted && number % 8 == 1;
                    actions = harness.attempt_ended(
                        &request_id,
                        attempt,
                        &endpoint,
                        if fails { Status::Error } else { Status::Ok },
                    );
                }
            }
            harness.actions.clear();
        }
        now += STEP;
    }
    attempts
}

/// Returns the largest number of attempts in a window beyond the allowance and a margin for chance, and the
/// attempts at restarted endpoints as a share of the load requested for as many endpoints.
fn excess_and_share(scenario: Scenario) -> (f64, f64) {
    let settings = slow_start_settings();
    let attempts = attempts_at_restarted_endpoints(scenario, 7);
    let mut largest_excess = f64::NEG_INFINITY;
    for times in attempts.values() {
        for (i, window_start) in times.iter().enumerate() {
            let capacity_share = settings.slow_start_initial_share
                + (1.0 - settings.slow_start_initial_share) * (window_start - RESTART_TIME)
                    / settings.slow_start_window;
            let allowance = settings.overload_multiple
                * capacity_share.min(1.0)
                * scenario.capacity
                * settings.overload_window;
            let attempts_in_window =
                times[i..].iter().take_while(|time| **time < window_start + settings.overload_window).count()
                    as f64;
            largest_excess =
                largest_excess.max(attempts_in_window - allowance - 2.0 * allowance.sqrt() - 2.0);
        }
    }
    let total = attempts.values().map(Vec::len).sum::<usize>() as f64;
    let requested = 18.0
        * scenario.load
        * scenario.capacity
        * f64::from(scenario.endpoint_count.div_ceil(scenario.restart_stride));
    (largest_excess, total / requested)
}

/// Asserts that small and large fleets with endpoints of high and low capacity keep the allowance.
fn assert_allowance_is_kept(restart_stride: u32, load: f64, surge_factor: f64) {
    for (gateway_count, endpoint_count) in
        [(1, 9), (3, 9), (12, 12), (30, 9), (30, 40), (100, 60), (300, 200), (680, 450)]
    {
        for capacity in [2.0, 20.0] {
            let scenario =
                Scenario { gateway_count, endpoint_count, capacity, load, restart_stride, surge_factor };
            let (largest_excess, share) = excess_and_share(scenario);
            assert!(
                largest_excess <= 0.0,
                "{scenario:?}: {largest_excess} attempts beyond the allowance and the margin for chance"
            );
            assert!(
                share >= 0.05,
                "{scenario:?}: an endpoint in slow start gets {share} of the load of an endpoint"
            );
        }
    }
}

#[test]
fn allowance_is_kept_when_third_of_endpoints_restarts() {
    assert_allowance_is_kept(3, 0.6, 1.0);
}

#[test]
fn allowance_is_kept_when_all_endpoints_restart_during_surge() {
    assert_allowance_is_kept(1, 0.9, 2.0);
}

#[test]
fn allowance_is_kept_when_half_of_endpoints_restarts_during_surge_with_errors() {
    assert_allowance_is_kept(2, 0.9, 2.0);
}
