//! The cost of the units that a whole fleet sends beyond its customers' quotas, and the attempts that it starts beyond
//! their concurrency limits, without faults.
//!
//! The allowed cost is 0.1 of the weight requested inside quotas above the cost of a policy that sees the true state
//! with a delay. As no delay is specified, that cost is taken as 0.

mod common;
use common::{
    AttemptEnd, PlanBuilder, fleet, request, running_endpoints, settings,
    simulation::{CounterModel, Simulation},
    started_attempts,
};
use oliverack::{CustomerId, EndpointId, Event, Plan, Request, RequestId, Time};
use std::collections::BTreeMap;

/// Duration of a simulation, in seconds.
const DURATION: f64 = 12.0;
/// Length of a simulation step, in seconds.
const STEP: f64 = 0.002;
/// Calls that the counter processes per second.
const COUNTER_CALLS_PER_SECOND: f64 = 1000.0;
/// Network time of a counter call and its reply together, in seconds.
const COUNTER_ROUND_TRIP: f64 = 0.003;
/// Queueing time beyond which the counter rejects calls, in seconds.
const COUNTER_MAX_QUEUE_TIME: f64 = 0.2;
/// Highest allowed cost as a share of the weight requested inside quotas.
const MAX_COST_SHARE: f64 = 0.1;

/// An exact token bucket.
struct TokenBucket {
    level: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// Returns a full bucket with the burst of the plan.
    fn new(plan: &Plan) -> Self {
        Self { level: plan.burst, updated_at: 100.0 }
    }

    /// Refills the bucket and takes `units` if it holds as many. Returns whether it did.
    fn take(&mut self, now: Time, plan: &Plan, units: f64) -> bool {
        self.level = (self.level + plan.rate * (now - self.updated_at)).min(plan.burst);
        self.updated_at = now;
        let has_units = self.level >= units;
        self.level -= if has_units { units } else { 0.0 };
        has_units
    }
}

/// A customer with two exact token buckets.
struct Customer {
    id: CustomerId,
    plan: usize,
    gateway_count: u32,
    first_gateway: u32,
    /// Requests a second.
    rate: f64,
    /// Factor of the rate during a spike of two seconds.
    spike_factor: f64,
    /// Start of the spike within each period of 15 s, in seconds.
    spike_start: f64,
    /// Quota as a single gateway that receives all requests would account for it.
    single_gateway_bucket: TokenBucket,
    /// Quota left after the units that the fleet has sent.
    fleet_bucket: TokenBucket,
}

fn plans() -> Vec<Plan> {
    vec![
        PlanBuilder::new(1.6, 8.0).priority_weight(0.55).over_quota(0.6, 0.0).build(),
        PlanBuilder::new(3.2, 14.0).priority_weight(0.8).over_quota(0.0, 0.2).build(),
        PlanBuilder::new(9.5, 19.0).priority_weight(1.3).over_quota(0.8, 0.0).build(),
        PlanBuilder::new(24.0, 50.0).priority_weight(1.4).over_quota(1.2, 0.0).build(),
    ]
}

fn customers(fleet_size: u32, random: &mut fastrand::Rng) -> Vec<Customer> {
    let plans = plans();
    // Each gateway receives about 14 requests a second, of 2.5 units in the mean.
    let (mut remaining_rate, mut customers) = (14.0 * f64::from(fleet_size), Vec::new());
    while remaining_rate > 0.0 {
        let plan = random.usize(0..plans.len());
        // Most customers use a part of their quota, some use nearly all of it, and some request far more.
        let usage = match random.u32(0..100) {
            0..10 => 1.9 + 2.0 * random.f64(),
            10..27 => 0.95,
            _ => 0.18 + 0.21 * random.f64(),
        };
        let rate = usage * plans[plan].rate / 2.5;
        remaining_rate -= rate;
        let (gateway_count, first_gateway) =
            (1.max((f64::from(fleet_size) * (0.5 + 0.5 * random.f64())) as u32), random.u32(0..fleet_size));
        let spike_factor = if random.u32(0..100) < 16 { 5.0 } else { 1.0 };
        let spike_start = 15.0 * random.f64();
        let id = format!("c{}", customers.len()).into();
        let single_gateway_bucket = TokenBucket::new(&plans[plan]);
        let fleet_bucket = TokenBucket::new(&plans[plan]);
        customers.push(Customer {
            id,
            plan,
            gateway_count,
            first_gateway,
            rate,
            spike_factor,
            spike_start,
            single_gateway_bucket,
            fleet_bucket,
        });
    }
    customers
}

/// Returns the cost of the units that a fleet sends beyond quotas and the weight that it sends inside quotas, both as a
/// share of the weight requested inside quotas.
fn over_quota_cost_and_sent_share(fleet_size: u32) -> (f64, f64) {
    let mut random = fastrand::Rng::with_seed(7);
    let mut customers = customers(fleet_size, &mut random);
    let mut settings = settings();
    settings.plans = plans();
    settings.gateway_count = fleet_size;
    settings.max_units = 4.0;
    settings.counter_timeout = 0.08;
    let gateways = fleet(settings.gateway_count, &settings, &running_endpoints(9.max(fleet_size * 2 / 3)));
    let mut requested: BTreeMap<RequestId, (usize, f64)> = BTreeMap::new();
    let counter = CounterModel::new(
        COUNTER_CALLS_PER_SECOND,
        COUNTER_ROUND_TRIP,
        COUNTER_MAX_QUEUE_TIME,
        settings.counter_timeout,
    );
    let mut simulation = Simulation::new(gateways, counter);
    let (mut request_number, mut cost, mut sent_weight, mut weight_inside_quotas) = (0, 0.0, 0.0, 0.0);
    let mut now: f64 = 100.0;
    while now < 100.0 + DURATION {
        let mut sent = simulation.advance(now);
        for (customer_index, customer) in customers.iter_mut().enumerate() {
            let spike = customer.spike_start..customer.spike_start + 2.0;
            let is_spike = spike.contains(&((now - 100.0) % 15.0));
            if random.f64() >= customer.rate * STEP * if is_spike { customer.spike_factor } else { 1.0 } {
                continue;
            }
            request_number += 1;
            let (plan, units) = (&settings.plans[customer.plan], f64::from(random.u32(1..=4)));
            weight_inside_quotas += if customer.single_gateway_bucket.take(now, plan, units) {
                units * plan.priority_weight
            } else {
                0.0
            };
            // A third of a customer's requests arrive at the first of its gateways, more than at each of the others.
            let position = if random.u32(0..3) == 0 { 0 } else { random.u32(0..customer.gateway_count) };
            let gateway = ((customer.first_gateway + position) % fleet_size) as usize;
            let request = Request {
                units,
                plan: customer.plan,
                customer_gateway_count: customer.gateway_count,
                first_gateway: customer.first_gateway,
                customer: customer.id.clone(),
                ..request(&format!("j{request_number}"), now)
            };
            requested.insert(request.id.clone(), (customer_index, units));
            sent.extend(simulation.handle(gateway, now, Event::Request(request)));
        }
        for request_id in sent {
            let (customer_index, units) =
                requested.remove(&request_id).expect("a request that was sent to a gateway");
            let customer = &mut customers[customer_index];
            let plan = &settings.plans[customer.plan];
            if customer.fleet_bucket.take(now, plan, units) {
                sent_weight += units * plan.priority_weight;
            } else {
                cost += plan.over_quota_cost_share * units * plan.priority_weight;
            }
        }
        now += STEP;
    }
    (cost / weight_inside_quotas, sent_weight / weight_inside_quotas)
}

fn assert_over_quota_cost_is_allowed(fleet_sizes: &[u32]) {
    for fleet_size in fleet_sizes {
        let (cost, share) = over_quota_cost_and_sent_share(*fleet_size);
        eprintln!(
            "{fleet_size} gateways: cost {cost:.3}, sent {share:.3} of the weight requested inside quotas"
        );
        assert!(
            cost <= MAX_COST_SHARE,
            "{fleet_size} gateways: cost {cost:.3} of the weight requested inside quotas, {MAX_COST_SHARE} allowed"
        );
        assert!(share >= 0.5, "{fleet_size} gateways: sent {share:.3} of the weight requested inside quotas");
    }
}

#[test]
fn small_fleet_over_quota_cost_stays_within_limit() {
    assert_over_quota_cost_is_allowed(&[1, 3, 12]);
}

#[test]
fn large_fleet_over_quota_cost_stays_within_limit() {
    assert_over_quota_cost_is_allowed(&[30, 100, 300]);
}

/// Simulates 60 s of a customer with a concurrency limit of three that sends `rate` requests a second to a fleet.
/// Responses take 50 ms. Returns, for the last 30 s, the share of attempts started while at least three were in
/// flight and the share of requests that were sent.
fn over_limit_and_sent_shares(fleet_size: u32, rate: f64) -> (f64, f64) {
    let mut settings = settings();
    settings.has_counter = false;
    settings.gateway_count = fleet_size;
    settings.plans = vec![Plan::default()];
    settings.plans[0].max_concurrent_attempts = 3;
    let mut random = fastrand::Rng::with_seed(7);
    let mut gateways = fleet(settings.gateway_count, &settings, &running_endpoints(9));
    let mut running: Vec<(Time, usize, RequestId, EndpointId)> = Vec::new();
    let (mut requested, mut sent, mut over_limit) = (0, 0, 0);
    for step in 0..60_000 {
        let now = 100.0 + f64::from(step) * 0.001;
        if step == 30_000 {
            requested = 0;
            sent = 0;
            over_limit = 0;
        }
        while let Some(position) = running.iter().position(|(ends_at, ..)| *ends_at <= now) {
            let (_, gateway, request_id, endpoint) = running.remove(position);
            gateways[gateway].now = now;
            let event = AttemptEnd::new(&request_id, &endpoint).elapsed(0.05).event();
            // The freed slot may go to a queued request.
            for (request_id, endpoint) in started_attempts(&gateways[gateway].handle(event)) {
                sent += 1;
                over_limit += u32::from(running.len() >= 3);
                running.push((now + 0.05, gateway, request_id, endpoint));
            }
        }
        if random.f64() >= rate * 0.001 {
            continue;
        }
        requested += 1;
        let gateway = random.usize(0..fleet_size as usize);
        gateways[gateway].now = now;
        let request = Request { customer_gateway_count: fleet_size, ..request(&format!("j{step}"), now) };
        for (request_id, endpoint) in started_attempts(&gateways[gateway].handle(Event::Request(request))) {
            sent += 1;
            over_limit += u32::from(running.len() >= 3);
            running.push((now + 0.05, gateway, request_id, endpoint));
        }
        gateways[gateway].actions.clear();
    }
    (f64::from(over_limit) / f64::from(sent), f64::from(sent) / f64::from(requested))
}

#[test]
fn concurrency_limit_below_fleet_size_holds_on_average_and_admits_light_load() {
    for fleet_size in [30, 100, 300] {
        // This rate is four times the rate that keeps all three slots in use.
        let (over_limit, sent) = over_limit_and_sent_shares(fleet_size, 240.0);
        assert!(
            over_limit <= 0.25,
            "{fleet_size} gateways: {over_limit:.2} of the attempts exceed the limit"
        );
        assert!(sent >= 0.05, "{fleet_size} gateways: {sent:.2} of the requests are sent");
        let (over_limit, sent) = over_limit_and_sent_shares(fleet_size, 8.0);
        assert!(sent >= 0.9, "{fleet_size} gateways: {sent:.2} of the requests are sent at light load");
        assert!(
            over_limit <= 0.02,
            "{fleet_size} gateways: {over_limit:.2} of the attempts exceed the limit at light load"
        );
    }
}
