//! The units that a whole fleet sends for a customer stay under the ceiling of the customer's plan, also during counter
//! faults and simultaneous restarts of gateways.

mod common;
use common::{
    GatewayHarness, PlanBuilder, request, running_endpoints, settings,
    simulation::{CounterModel, Simulation},
};
use oliverack::{CustomerId, Event, Request, RequestId, Settings, Time};
use std::collections::BTreeMap;

/// Time at which a simulation starts.
const START_TIME: Time = 100.0;
/// Duration of a simulation, in seconds.
const DURATION: f64 = 30.0;
/// Length of a simulation step, in seconds.
const STEP: f64 = 0.01;
/// Time at which the counter fault begins and gateways restart.
const FAULT_TIME: Time = 115.0;
/// Time for which a silent counter does not reply, in seconds.
const SILENCE_DURATION: f64 = 6.0;
/// Most units of one request.
const MAX_REQUEST_UNITS: u32 = 4;
/// Allowed excess as a share of the ceiling's burst. At least [`MAX_REQUEST_UNITS`] are allowed.
const ALLOWED_EXCESS_SHARE: f64 = 0.1;

#[derive(Debug, Clone, Copy, PartialEq)]
enum CounterFault {
    None,
    /// The counter does not reply for [`SILENCE_DURATION`].
    Silent,
    /// The counter loses all counts.
    CountsLost,
}

/// The arrival pattern of a customer's requests.
#[derive(Debug, Clone, Copy)]
enum ArrivalPattern {
    /// Four times the quota all the time, spread over the gateways of the customer.
    Heavy,
    /// Four times the quota all the time, two thirds of it at one gateway.
    Skewed,
    /// 0.3 of the quota, and 20 times the quota for 2 s around the counter fault.
    Spike,
    /// Nothing before the counter fault, and ten times the quota after.
    Late,
}

impl ArrivalPattern {
    /// Returns the requested rate at `now` as a multiple of the quota's rate.
    fn rate_multiple(self, now: Time) -> f64 {
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
    pattern: ArrivalPattern,
    gateway_count: u32,
    first_gateway: u32,
    /// Units left in an exact token bucket with the rate and burst of the ceiling.
    level: f64,
    lowest_level: f64,
    units_sent: f64,
}

fn ceiling_settings(fleet_size: u32, has_counter: bool) -> Settings {
    let mut settings = settings();
    settings.gateway_count = fleet_size;
    settings.has_counter = has_counter;
    settings.max_units = f64::from(MAX_REQUEST_UNITS);
    settings.counter_timeout = 0.15;
    // The lowest ceiling that operators configure: 1.6 times the quota.
    settings.plans = vec![PlanBuilder::new(7.0, 40.0).ceiling(11.2, 64.0).build()];
    settings
}

/// Returns two customers with each arrival pattern. One uses all gateways. The other uses at most so many that each
/// gateway's share of the ceiling's burst holds two of the largest requests.
fn customers(fleet_size: u32, settings: &Settings, random: &mut fastrand::Rng) -> Vec<Customer> {
    let suitable_gateway_count =
        fleet_size.min((settings.plans[0].ceiling_burst / f64::from(2 * MAX_REQUEST_UNITS)) as u32);
    let mut customers = Vec::new();
    for gateway_count in [suitable_gateway_count, fleet_size] {
        for pattern in
            [ArrivalPattern::Heavy, ArrivalPattern::Skewed, ArrivalPattern::Spike, ArrivalPattern::Late]
        {
            let level = settings.plans[0].ceiling_burst;
            customers.push(Customer {
                id: format!("c{}", customers.len()).into(),
                pattern,
                gateway_count,
                first_gateway: random.u32(0..fleet_size),
                level,
                lowest_level: level,
                units_sent: 0.0,
            });
        }
    }
    customers
}

fn gateway(settings: &Settings, index: u32, now: Time) -> GatewayHarness {
    GatewayHarness::builder(settings.clone())
        .gateway_index(index)
        .seed(u64::from(index) * 7919 + now as u64)
        .now(now)
        .endpoints(running_endpoints(60))
        .build()
}

/// Simulates a fleet with a counter fault; the first `restarted_share` of the gateways restarts when the fault begins.
/// Returns the customers with the units sent for them.
fn simulate_fleet(
    fleet_size: u32,
    settings: &Settings,
    fault: CounterFault,
    restarted_share: f64,
) -> Vec<Customer> {
    let mut random = fastrand::Rng::with_seed(u64::from(fleet_size));
    let mut customers = customers(fleet_size, settings, &mut random);
    let gateways = (0..fleet_size).map(|index| gateway(settings, index, START_TIME)).collect();
    let mut simulation =
        Simulation::new(gateways, CounterModel::new(1000.0, 0.003, 0.2, settings.counter_timeout));
    let mut requested: BTreeMap<RequestId, (usize, f64)> = BTreeMap::new();
    let plan = settings.plans[0];
    let (mut request_number, mut fault_has_begun) = (0, false);
    let steps = (DURATION / STEP) as u32;
    for step in 0..steps {
        let now = START_TIME + f64::from(step) * STEP;
        if now >= FAULT_TIME && !fault_has_begun {
            fault_has_begun = true;
            match fault {
                CounterFault::None => {}
                CounterFault::Silent => simulation.counter.silent_until = now + SILENCE_DURATION,
                CounterFault::CountsLost => simulation.counter.clear_totals(),
            }
            for index in 0..fleet_size {
                if f64::from(index) < restarted_share * f64::from(fleet_size) {
                    simulation.restart(index as usize, gateway(settings, index, now));
                }
            }
        }
        let mut sent = simulation.advance(now);
        for (customer_index, customer) in customers.iter().enumerate() {
            let mut due_units = customer.pattern.rate_multiple(now) * plan.rate * STEP;
            while due_units > 0.0 {
                let units = f64::from(random.u32(1..=MAX_REQUEST_UNITS));
                let arrives = random.f64() < due_units / units;
                due_units -= units;
                if !arrives {
                    continue;
                }
                request_number += 1;
                let is_at_first_gateway =
                    matches!(customer.pattern, ArrivalPattern::Skewed) && random.u32(0..3) > 0;
                let position = if is_at_first_gateway { 0 } else { random.u32(0..customer.gateway_count) };
                let request = Request {
                    units,
                    customer_gateway_count: customer.gateway_count,
                    first_gateway: customer.first_gateway,
                    customer: customer.id.clone(),
                    ..request(&format!("j{request_number}"), now)
                };
                requested.insert(request.id.clone(), (customer_index, units));
                let gateway = ((customer.first_gateway + position) % fleet_size) as usize;
                sent.extend(simulation.handle(gateway, now, Event::Request(request)));
            }
        }
        for customer in &mut customers {
            customer.level = (customer.level + plan.ceiling_rate * STEP).min(plan.ceiling_burst);
        }
        for request_id in sent {
            let (customer_index, units) = requested[&request_id];
            let customer = &mut customers[customer_index];
            customer.level -= units;
            customer.units_sent += units;
            customer.lowest_level = customer.lowest_level.min(customer.level);
        }
    }
    customers
}

/// Asserts that no ceiling is exceeded by more than the allowed excess, and that customers with a heavy load are
/// served.
fn assert_ceilings_hold(fleet_size: u32, has_counter: bool) {
    let settings = ceiling_settings(fleet_size, has_counter);
    let plan = &settings.plans[0];
    let allowed_excess = (ALLOWED_EXCESS_SHARE * plan.ceiling_burst).max(f64::from(MAX_REQUEST_UNITS));
    let faults: &[CounterFault] = if has_counter {
        &[CounterFault::None, CounterFault::Silent, CounterFault::CountsLost]
    } else {
        &[CounterFault::None]
    };
    for fault in faults {
        for restarted_share in [0.0, 0.7, 1.0] {
            for customer in simulate_fleet(fleet_size, &settings, *fault, restarted_share) {
                let context = format!(
                    "{fleet_size} gateways, counter: {has_counter}, fault: {fault:?}, restarted share: {restarted_share}, {:?} load at {} gateways",
                    customer.pattern, customer.gateway_count
                );
                assert!(
                    customer.lowest_level >= -allowed_excess,
                    "{context}: {:.1} units beyond the ceiling",
                    -customer.lowest_level
                );
                // With many gateways each share of the burst is below one request, so little is admitted. For those
                // customers only the ceiling is checked.
                if matches!(customer.pattern, ArrivalPattern::Heavy) && customer.gateway_count < 9 {
                    let quota = plan.rate * DURATION;
                    assert!(
                        customer.units_sent >= 0.6 * quota,
                        "{context}: {} of {quota} units sent",
                        customer.units_sent
                    );
                }
            }
        }
    }
}

#[test]
fn small_fleet_with_counter_stays_under_ceilings() {
    for fleet_size in [1, 3, 30] {
        assert_ceilings_hold(fleet_size, true);
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
    for fleet_size in [1, 3, 60, 680] {
        assert_ceilings_hold(fleet_size, false);
    }
}
