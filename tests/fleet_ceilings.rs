//! The units that a whole fleet sends for customers with a ceiling stay under it, through counter faults and
//! simultaneous restarts of any number of gateways.

mod common;
use common::{
    GatewayHarness, PlanBuilder, request, running_endpoints, settings,
    simulation::{CounterModel, Simulation},
};
use oliverack::{CustomerId, Event, Request, RequestId, Settings, Time};
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
    /// A third of the quota, and twenty times it for the two seconds around the counter fault.
    Spike,
    /// Nothing before the counter fault, and ten times the quota after it.
    Late,
}

impl Pattern {
    /// Requested units at `now`, as a multiple of the quota's rate.
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
    gateway_count: u32,
    first_gateway: u32,
    /// Units left in an exact token bucket of the ceiling.
    level: f64,
    lowest_level: f64,
    units_sent: f64,
}

fn ceiling_settings(n: u32, has_counter: bool) -> Settings {
    let mut settings = settings();
    settings.gateway_count = n;
    settings.has_counter = has_counter;
    settings.max_units = f64::from(LARGEST);
    settings.counter_timeout = 0.15;
    // The lowest ceiling that operators configure, 1.6 times the quota.
    settings.plans = vec![PlanBuilder::new(7.0, 40.0).ceiling(11.2, 64.0).build()];
    settings
}

/// Customers of each pattern: at the largest number of gateways that suits the ceiling's burst, and at all gateways.
fn customers(n: u32, settings: &Settings, random: &mut fastrand::Rng) -> Vec<Customer> {
    let usual = n.min((settings.plans[0].ceiling_burst / f64::from(2 * LARGEST)) as u32);
    let mut all = Vec::new();
    for gateway_count in [usual, n] {
        for pattern in [Pattern::Heavy, Pattern::Skewed, Pattern::Spike, Pattern::Late] {
            let level = settings.plans[0].ceiling_burst;
            all.push(Customer {
                id: format!("c{}", all.len()).into(),
                pattern,
                gateway_count,
                first_gateway: random.u32(0..n),
                level,
                lowest_level: level,
                units_sent: 0.0,
            });
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
    let mut random = fastrand::Rng::with_seed(u64::from(n));
    let mut customers = customers(n, settings, &mut random);
    let gateways = (0..n).map(|index| gateway(settings, index, START)).collect();
    let mut simulation =
        Simulation::new(gateways, CounterModel::new(1000.0, 0.003, 0.2, settings.counter_timeout));
    let mut requested: BTreeMap<RequestId, (usize, f64)> = BTreeMap::new();
    let plan = settings.plans[0];
    let (mut number, mut fault_has_begun) = (0, false);
    let steps = (SECONDS / STEP) as u32;
    for step in 0..steps {
        let now = START + f64::from(step) * STEP;
        if now >= FAULT_TIME && !fault_has_begun {
            fault_has_begun = true;
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
            let mut due_units = customer.pattern.usage(now) * plan.rate * STEP;
            while due_units > 0.0 {
                let units = f64::from(random.u32(1..=LARGEST));
                let arrives = random.f64() < due_units / units;
                due_units -= units;
                if !arrives {
                    continue;
                }
                number += 1;
                let at_first_gateway = matches!(customer.pattern, Pattern::Skewed) && random.u32(0..3) > 0;
                let position = if at_first_gateway { 0 } else { random.u32(0..customer.gateway_count) };
                let request = Request {
                    units,
                    customer_gateway_count: customer.gateway_count,
                    first_gateway: customer.first_gateway,
                    customer: customer.id.clone(),
                    ..request(&format!("j{number}"), now)
                };
                requested.insert(request.id.clone(), (c, units));
                let gateway = ((customer.first_gateway + position) % n) as usize;
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
            customer.units_sent += units;
            customer.lowest_level = customer.lowest_level.min(customer.level);
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
                    customer.pattern, customer.gateway_count
                );
                assert!(
                    customer.lowest_level >= -slack,
                    "{what}: {:.1} below the ceiling",
                    -customer.lowest_level
                );
                // A share of the burst below one request admits little, so customers of many gateways are only held
                // to the ceiling.
                if matches!(customer.pattern, Pattern::Heavy) && customer.gateway_count < 9 {
                    let quota = plan.rate * SECONDS;
                    assert!(
                        customer.units_sent >= 0.6 * quota,
                        "{what}: {} of {quota} sent",
                        customer.units_sent
                    );
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
