//! The units that a whole fleet sends for customers with a ceiling stay under it, through counter faults and
//! simultaneous restarts of any number of gateways.

mod common;
use common::{
    GatewayHarness, plan, request, running_endpoints, settings,
    simulation::{CounterModel, Simulation},
};
use oliverack::{CustomerId, Event, RequestId, Settings, Time};
use std::collections::BTreeMap;

const START: Time = 100.0;
const SECONDS: f64 = 30.0;
const STEP: f64 = 0.01;
/// When the counter fault begins and the gateways restart.
const FAULT_TIME: Time = 115.0;
/// How long a silent counter stays silent, in seconds.
const SILENCE: f64 = 6.0;
/// The largest request, in units.
const LARGEST: u32 = 4;
/// Allowed excess, as a share of the ceiling's burst; at least one largest request.
const SLACK: f64 = 0.1;

#[derive(Debug, Clone, Copy, PartialEq)]
enum CounterFault {
    None,
    Silent,
    Emptied,
}

/// The arrival pattern of a customer's requests.
#[derive(Debug, Clone, Copy)]
enum Pattern {
    /// Four times the quota all the time, at any of its gateways.
    Heavy,
    /// The same, two thirds of it at one gateway.
    Skewed,
    /// A third of the quota, and twenty times it for the two seconds round the trouble.
    Spike,
    /// Nothing before the trouble, and ten times the quota behind it.
    Late,
}

impl Pattern {
    /// Units asked for at `now`, over the quota's rate.
    fn usage(self, now: Time) -> f64 {
        match self {
            Self::Heavy | Self::Skewed => 4.0,
            Self::Spike if (now - FAULT_TIME).abs() < 1.0 => 20.0,
            Self::Spike => 0.3,
            Self::Late if now >= FAULT_TIME => 10.0,
            Self::Late => 0.0,
        }
    }
}

struct Customer {
    id: CustomerId,
    pattern: Pattern,
    spread: u32,
    first: u32,
    /// The true ceiling's level, and the lowest that it came to.
    level: f64,
    lowest: f64,
    sent: f64,
}

fn ceiling_settings(n: u32, has_counter: bool) -> Settings {
    let mut settings = settings();
    settings.gateway_count = n;
    settings.has_counter = has_counter;
    settings.max_units = f64::from(LARGEST);
    settings.counter_timeout = 0.15;
    settings.plans = vec![plan(7.0, 40.0)];
    // The lowest ceiling that operators configure, 1.6 times the quota.
    settings.plans[0].ceiling_rate = 11.2;
    settings.plans[0].ceiling_burst = 64.0;
    settings
}

/// Customers of each pattern: at the largest number of gateways that suits the ceiling's burst, and at all gateways.
fn customers(n: u32, settings: &Settings, dice: &mut fastrand::Rng) -> Vec<Customer> {
    let usual = n.min((settings.plans[0].ceiling_burst / f64::from(2 * LARGEST)) as u32);
    let mut all = Vec::new();
    for spread in [usual, n] {
        for pattern in [Pattern::Heavy, Pattern::Skewed, Pattern::Spike, Pattern::Late] {
            let level = settings.plans[0].ceiling_burst;
            let (id, first) = (format!("c{}", all.len()).into(), dice.u32(0..n));
            all.push(Customer { id, pattern, spread, first, level, lowest: level, sent: 0.0 });
        }
    }
    all
}

fn gateway(settings: &Settings, index: u32, now: Time) -> GatewayHarness {
    GatewayHarness::builder(settings.clone())
        .gateway_index(index)
        .seed(u64::from(index) * 7919 + now as u64)
        .now(now)
        .endpoints(running_endpoints(60))
        .build()
}

/// Simulates a fleet; a share `restarted` of the gateways restarts when the fault begins.
fn play(n: u32, settings: &Settings, fault: CounterFault, restarted: f64) -> Vec<Customer> {
    let mut dice = fastrand::Rng::with_seed(u64::from(n));
    let mut customers = customers(n, settings, &mut dice);
    let gateways = (0..n).map(|index| gateway(settings, index, START)).collect();
    let mut simulation =
        Simulation::new(gateways, CounterModel::new(1000.0, 0.003, 0.2, settings.counter_timeout));
    let mut requested: BTreeMap<RequestId, (usize, f64)> = BTreeMap::new();
    let plan = settings.plans[0];
    let (mut number, mut troubled) = (0, false);
    let steps = (SECONDS / STEP) as u32;
    for step in 0..steps {
        let now = START + f64::from(step) * STEP;
        if now >= FAULT_TIME && !troubled {
            troubled = true;
            match fault {
                CounterFault::None => {}
                CounterFault::Silent => simulation.counter.silent_until = now + SILENCE,
                CounterFault::Emptied => simulation.counter.clear_totals(),
            }
            for index in 0..n {
                if f64::from(index) < restarted * f64::from(n) {
                    simulation.restart(index as usize, gateway(settings, index, now));
                }
            }
        }
        let mut sent = simulation.advance(now);
        for (c, customer) in customers.iter().enumerate() {
            let mut due = customer.pattern.usage(now) * plan.rate * STEP;
            while due > 0.0 {
                let units = f64::from(dice.u32(1..=LARGEST));
                let comes = dice.f64() < due / units;
                due -= units;
                if !comes {
                    continue;
                }
                number += 1;
                let alone = matches!(customer.pattern, Pattern::Skewed) && dice.u32(0..3) > 0;
                let place = if alone { 0 } else { dice.u32(0..customer.spread) };
                let mut request = request(&format!("j{number}"), now);
                request.units = units;
                request.customer_gateway_count = customer.spread;
                request.first_gateway = customer.first;
                request.customer = customer.id.clone();
                requested.insert(request.id.clone(), (c, units));
                let gateway = ((customer.first + place) % n) as usize;
                sent.extend(simulation.handle(gateway, now, Event::Request(request)));
            }
        }
        for customer in &mut customers {
            customer.level = (customer.level + plan.ceiling_rate * STEP).min(plan.ceiling_burst);
        }
        for request_id in sent {
            let (c, units) = requested[&request_id];
            let customer = &mut customers[c];
            customer.level -= units;
            customer.sent += units;
            customer.lowest = customer.lowest.min(customer.level);
        }
    }
    customers
}

/// Asserts that no ceiling is exceeded by more than the slack, and that heavy customers are still served.
fn assert_ceilings_hold(n: u32, has_counter: bool) {
    let settings = ceiling_settings(n, has_counter);
    let plan = &settings.plans[0];
    let slack = (SLACK * plan.ceiling_burst).max(f64::from(LARGEST));
    let faults: &[CounterFault] = if has_counter {
        &[CounterFault::None, CounterFault::Silent, CounterFault::Emptied]
    } else {
        &[CounterFault::None]
    };
    for fault in faults {
        for restarted in [0.0, 0.7, 1.0] {
            for customer in play(n, &settings, *fault, restarted) {
                let what = format!(
                    "{n} gateways, counter {has_counter}, {fault:?}, {restarted} restarted, {:?} over {}",
                    customer.pattern, customer.spread
                );
                assert!(customer.lowest >= -slack, "{what}: {:.1} below the ceiling", -customer.lowest);
                // A share of the burst below one request admits little, so customers of many gateways are only held
                // to the ceiling.
                if matches!(customer.pattern, Pattern::Heavy) && customer.spread < 9 {
                    let quota = plan.rate * SECONDS;
                    assert!(customer.sent >= 0.6 * quota, "{what}: {} of {quota} sent", customer.sent);
                }
            }
        }
    }
}

#[test]
fn small_fleet_with_counter_stays_under_ceilings() {
    for n in [1, 3, 30] {
        assert_ceilings_hold(n, true);
    }
}

#[test]
fn fleet_of_100_with_counter_stays_under_ceilings() {
    assert_ceilings_hold(100, true);
}

#[test]
fn fleet_of_327_with_counter_stays_under_ceilings() {
    assert_ceilings_hold(327, true);
}

#[test]
fn fleet_of_680_with_counter_stays_under_ceilings() {
    assert_ceilings_hold(680, true);
}

#[test]
fn fleets_without_counter_stay_under_ceilings() {
    for n in [1, 3, 60, 680] {
        assert_ceilings_hold(n, false);
    }
}
