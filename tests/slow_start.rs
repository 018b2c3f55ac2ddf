//! What many gateways together send to endpoints that have just started: in sum it stays under what the settings allow,
//! without a channel between them.

mod common;
use common::*;
use oliverack::*;
use std::collections::BTreeMap;

/// A fleet, its endpoints and what is asked of them.
#[derive(Debug, Clone, Copy)]
struct Day {
    gateways: u32,
    endpoints: u32,
    /// What a warm endpoint does a second, and the share of it that is asked for.
    capacity: f64,
    load: f64,
    /// Every so-manieth endpoint is restarted.
    every: u32,
    /// For some seconds after that so many times as much is asked for, and one warm endpoint of eight errs.
    surge: f64,
}

/// A small fixed generator, so that a day is the same each time.
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

fn rules() -> Settings {
    let mut s = settings();
    s.plans = vec![Plan::default()];
    (s.overload_multiple, s.overload_window, s.slow_start_initial_share, s.slow_start_window) =
        (3.0, 1.5, 0.22, 17.0);
    s
}

fn gateway(me: u32, day: Day, seed: u64, now: Time, endpoints: &[Endpoint]) -> Rig {
    let mut s = rules();
    (s.gateway_index, s.gateway_count) = (me, day.gateways);
    let gateway = Gateway::new(s, seed).expect("usable settings");
    let mut rig = Rig { gateway, now, actions: Vec::new() };
    rig.list(ListKind::Stale, endpoints.to_vec());
    rig
}

/// The times at which each cold endpoint was sent something on such a day: some endpoints are restarted at one moment, the
/// gateways hear of it 0.8 to 4.9 s later, and a quarter of them are restarted 1 s after that.
fn sent_to_cold(day: Day, seed: u64) -> BTreeMap<EndpointId, Vec<Time>> {
    let mut dice = Dice(fastrand::Rng::with_seed(seed));
    let list = |started: Time| -> Vec<Endpoint> {
        let endpoint = |i: u32| {
            let started = if i % day.every == 0 { started } else { 0.0 };
            endpoint(&format!("s{i:03}"), Lifecycle::Running, started)
        };
        (0..day.endpoints).map(endpoint).collect()
    };
    let (warm, cold) = (list(0.0), list(RESTART));
    let mut rigs: Vec<Rig> =
        (0..day.gateways).map(|me| gateway(me, day, u64::from(me) * 7919 + seed, 100.0, &warm)).collect();
    // Some see several times the mean.
    let weights: Vec<f64> = rigs.iter().map(|_| [0.4, 0.6, 0.8, 1.0, 2.2][dice.0.usize(0..5)]).collect();
    let rate = day.load * day.capacity * f64::from(day.endpoints) / weights.iter().sum::<f64>();
    let told: Vec<Time> = rigs.iter().map(|_| RESTART + 0.8 + 4.1 * dice.0.f64()).collect();
    let (mut sent, mut number): (BTreeMap<EndpointId, Vec<Time>>, u64) = (BTreeMap::new(), 0);
    let mut now = 100.0;
    while now < RESTART + 18.0 {
        let surges = (RESTART + 2.0..RESTART + 8.0).contains(&now);
        for i in 0..rigs.len() {
            if i % 4 == 0 && (now - told[i] - 1.0).abs() < STEP / 2.0 {
                rigs[i] = gateway(i as u32, day, seed ^ (i as u64) << 20, now, &cold);
            }
            let rig = &mut rigs[i];
            rig.now = now;
            if (now - told[i]).abs() <= STEP / 2.0 {
                rig.list(ListKind::Full, cold.clone());
            }
            for _ in 0..dice.poisson(rate * weights[i] * STEP * if surges { day.surge } else { 1.0 }) {
                number += 1;
                let mut out = rig.ask(&format!("j{number}"));
                // A further attempt follows on one that ended badly.
                for attempt in 0.. {
                    let Some((request_id, endpoint)) = sends(&out).pop() else { break };
                    let place: u32 = endpoint[1..].parse().expect("its number");
                    let cold = place % day.every == 0;
                    if cold && now >= told[i] {
                        sent.entry(endpoint.clone()).or_default().push(now);
                    }
                    let errs = surges && day.surge > 1.0 && !cold && place % 8 == 1;
                    out = rig.outcome(
                        &request_id,
                        attempt,
                        &endpoint,
                        if errs { Status::Error } else { Status::Ok },
                    );
                }
            }
            rig.actions.clear();
        }
        now += STEP;
    }
    sent
}

/// The most by which a window's requests pass its budget and what is put down to chance, and what a cold endpoint is
/// sent beside what each endpoint is asked for.
fn worst(day: Day) -> (f64, f64) {
    let s = rules();
    let sent = sent_to_cold(day, 7);
    let mut worst = f64::NEG_INFINITY;
    for times in sent.values() {
        for (i, from) in times.iter().enumerate() {
            let warmth = s.slow_start_initial_share
                + (1.0 - s.slow_start_initial_share) * (from - RESTART) / s.slow_start_window;
            let budget = s.overload_multiple * warmth.min(1.0) * day.capacity * s.overload_window;
            let got = times[i..].iter().take_while(|t| **t < from + s.overload_window).count() as f64;
            worst = worst.max(got - budget - 2.0 * budget.sqrt() - 2.0);
        }
    }
    let total = sent.values().map(Vec::len).sum::<usize>() as f64;
    let asked = 18.0 * day.load * day.capacity * f64::from(day.endpoints.div_ceil(day.every));
    (worst, total / asked)
}

/// Fleets small and large, each with endpoints that do much or little.
fn fleets(every: u32, load: f64, surge: f64) {
    for (gateways, endpoints) in
        [(1, 9), (3, 9), (12, 12), (30, 9), (30, 40), (100, 60), (300, 200), (680, 450)]
    {
        for capacity in [2.0, 20.0] {
            let day = Day { gateways, endpoints, capacity, load, every, surge };
            let (worst, share) = worst(day);
            assert!(worst <= 0.0, "{day:?}: {worst} more than its budget and chance");
            assert!(share >= 0.05, "{day:?}: a cold endpoint is sent {share} of what is asked of one");
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
