//! The cost of the units that a whole fleet sends beyond its customers' quotas on an ordinary day. The allowance is
//! 0.1 of the weight requested inside quotas above the cost of a policy that sees the true state late; no delay is
//! specified, so that cost is taken as 0.

mod common;
use common::{
    AttemptEnd, PlanBuilder, fleet, request, running_endpoints, settings,
    simulation::{CounterModel, Simulation},
    started_attempts,
};
use oliverack::{CustomerId, EndpointId, Event, Plan, Request, RequestId, Time};
use std::collections::BTreeMap;

const SECONDS: f64 = 12.0;
const STEP: f64 = 0.002;
/// Calls a second that the counter sustains.
const COUNTER_CALLS_PER_SECOND: f64 = 1000.0;
/// Network time of a counter call, in seconds.
const COUNTER_ROUND_TRIP: f64 = 0.003;
/// Queueing time beyond which the counter rejects calls, in seconds.
const COUNTER_MAX_QUEUE_TIME: f64 = 0.2;
/// Highest allowed cost, as a share of the weight requested inside quotas.
const MAX_COST_SHARE: f64 = 0.1;

/// An exact token bucket.
struct TokenBucket {
    level: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// A full bucket.
    fn new(plan: &Plan) -> Self {
        Self { level: plan.burst, updated_at: 100.0 }
    }

    /// Takes `units` if the bucket holds as many.
    fn take(&mut self, now: Time, plan: &Plan, units: f64) -> bool {
        self.level = (self.level + plan.rate * (now - self.updated_at)).min(plan.burst);
        self.updated_at = now;
        let inside = self.level >= units;
        self.level -= if inside { units } else { 0.0 };
        inside
    }
}

/// A customer with two exact token buckets: one for a single gateway that sees all requests, one for what the fleet
/// sends.
struct Customer {
    id: CustomerId,
    plan: usize,
    gateway_count: u32,
    first_gateway: u32,
    /// Requests a second.
    rate: f64,
    /// Factor of the rate during a spike of two seconds.
    spike_factor: f64,
    /// Second of every fifteen at which the spike starts.
    spike_start: f64,
    single_gateway_bucket: TokenBucket,
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

fn customers(n: u32, rng: &mut fastrand::Rng) -> Vec<Customer> {
    let plans = plans();
    // Each gateway receives some 14 requests of 2.5 units a second.
    let (mut left, mut all) = (14.0 * f64::from(n), Vec::new());
    while left > 0.0 {
        let plan = rng.usize(0..plans.len());
        // Most customers use a part of their quota, some nearly all of it, some request far more.
        let usage = match rng.u32(0..100) {
            0..10 => 1.9 + 2.0 * rng.f64(),
            10..27 => 0.95,
            _ => 0.18 + 0.21 * rng.f64(),
        };
        let rate = usage * plans[plan].rate / 2.5;
        left -= rate;
        let (gateway_count, first_gateway) =
            (1.max((f64::from(n) * (0.5 + 0.5 * rng.f64())) as u32), rng.u32(0..n));
        let spike_factor = if rng.u32(0..100) < 16 { 5.0 } else { 1.0 };
        let spike_start = 15.0 * rng.f64();
        let id = format!("c{}", all.len()).into();
        let single_gateway_bucket = TokenBucket::new(&plans[plan]);
        let fleet_bucket = TokenBucket::new(&plans[plan]);
        all.push(Customer {
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
    all
}

/// The cost of what `n` gateways send beyond quotas, and the weight that they send inside quotas, both as a share of
/// the weight requested inside quotas.
fn over_quota(n: u32) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut customers = customers(n, &mut rng);
    let mut settings = settings();
    settings.plans = plans();
    settings.gateway_count = n;
    settings.max_units = 4.0;
    settings.counter_timeout = 0.08;
    let gateways = fleet(settings.gateway_count, &settings, &running_endpoints(9.max(n * 2 / 3)));
    let mut requested: BTreeMap<RequestId, (usize, f64)> = BTreeMap::new();
    let counter = CounterModel::new(
        COUNTER_CALLS_PER_SECOND,
        COUNTER_ROUND_TRIP,
        COUNTER_MAX_QUEUE_TIME,
        settings.counter_timeout,
    );
    let mut simulation = Simulation::new(gateways, counter);
    let (mut number, mut paid, mut served, mut offered) = (0, 0.0, 0.0, 0.0);
    let mut now: f64 = 100.0;
    while now < 100.0 + SECONDS {
        let mut sent = simulation.advance(now);
        for (c, customer) in customers.iter_mut().enumerate() {
            let spike = customer.spike_start..customer.spike_start + 2.0;
            let spikes = spike.contains(&((now - 100.0) % 15.0));
            if rng.f64() >= customer.rate * STEP * if spikes { customer.spike_factor } else { 1.0 } {
                continue;
            }
            number += 1;
            let (plan, units) = (&settings.plans[customer.plan], f64::from(rng.u32(1..=4)));
            offered += if customer.single_gateway_bucket.take(now, plan, units) {
                units * plan.priority_weight
            } else {
                0.0
            };
            // Uneven: a third of a customer's requests arrive at the first of its gateways.
            let position = if rng.u32(0..3) == 0 { 0 } else { rng.u32(0..customer.gateway_count) };
            let gateway = ((customer.first_gateway + position) % n) as usize;
            let request = Request {
                units,
                plan: customer.plan,
                customer_gateway_count: customer.gateway_count,
                first_gateway: customer.first_gateway,
                customer: customer.id.clone(),
                ..request(&format!("j{number}"), now)
            };
            requested.insert(request.id.clone(), (c, units));
            sent.extend(simulation.handle(gateway, now, Event::Request(request)));
        }
        for request_id in sent {
            let (c, units) = requested.remove(&request_id).expect("a request that was made");
            let customer = &mut customers[c];
            let plan = &settings.plans[customer.plan];
            if customer.fleet_bucket.take(now, plan, units) {
                served += units * plan.priority_weight;
            } else {
                paid += plan.over_quota_cost_share * units * plan.priority_weight;
            }
        }
        now += STEP;
    }
    (paid / offered, served / offered)
}

fn assert_over_quota_cost(fleets: &[u32]) {
    for n in fleets {
        let (cost, share) = over_quota(*n);
        eprintln!("{n} gateways: {cost:.3} of the weight, {share:.3} sent");
        assert!(
            cost <= MAX_COST_SHARE,
            "{n} gateways: cost of {cost:.3} of the weight requested inside quotas"
        );
        assert!(share >= 0.5, "{n} gateways send {share:.3} of it");
    }
}

#[test]
fn small_fleet_over_quota_cost_stays_within_limit() {
    assert_over_quota_cost(&[1, 3, 12]);
}

#[test]
fn large_fleet_over_quota_cost_stays_within_limit() {
    assert_over_quota_cost(&[30, 100, 300]);
}

/// One customer sends `rate` requests a second to `n` gateways with a concurrency limit of three; responses take 50
/// ms. Over the second 30 s: the share of attempts started while three were running, and the share of requests sent.
fn over_concurrency_limit(n: u32, rate: f64) -> (f64, f64) {
    let mut settings = settings();
    settings.has_counter = false;
    settings.gateway_count = n;
    settings.plans = vec![Plan::default()];
    settings.plans[0].max_concurrent_attempts = 3;
    let mut rng = fastrand::Rng::with_seed(7);
    let mut gateways = fleet(settings.gateway_count, &settings, &running_endpoints(9));
    let mut running: Vec<(Time, usize, RequestId, EndpointId)> = Vec::new();
    let (mut requested, mut sent, mut beyond) = (0, 0, 0);
    for step in 0..60_000 {
        let now = 100.0 + f64::from(step) * 0.001;
        if step == 30_000 {
            requested = 0;
            sent = 0;
            beyond = 0;
        }
        while let Some(position) = running.iter().position(|(at, ..)| *at <= now) {
            let (_, i, request_id, endpoint) = running.remove(position);
            gateways[i].now = now;
            let event = AttemptEnd::new(&request_id, &endpoint).elapsed(0.05).event();
            // A queued request is sent now.
            for (request_id, endpoint) in started_attempts(&gateways[i].handle(event)) {
                sent += 1;
                beyond += u32::from(running.len() >= 3);
                running.push((now + 0.05, i, request_id, endpoint));
            }
        }
        if rng.f64() >= rate * 0.001 {
            continue;
        }
        requested += 1;
        let i = rng.usize(0..n as usize);
        gateways[i].now = now;
        let request = Request { customer_gateway_count: n, ..request(&format!("j{step}"), now) };
        for (request_id, endpoint) in started_attempts(&gateways[i].handle(Event::Request(request))) {
            sent += 1;
            beyond += u32::from(running.len() >= 3);
            running.push((now + 0.05, i, request_id, endpoint));
        }
        gateways[i].actions.clear();
    }
    (f64::from(beyond) / f64::from(sent), f64::from(sent) / f64::from(requested))
}

#[test]
fn concurrency_limit_below_gateway_count_holds_on_average_and_admits_light_customers() {
    for n in [30, 100, 300] {
        // Four times the rate that would use the concurrency limit fully.
        let (beyond, sent) = over_concurrency_limit(n, 240.0);
        assert!(beyond <= 0.25, "{n} gateways: {beyond:.2} of the attempts exceed the concurrency limit");
        assert!(sent >= 0.05, "{n} gateways: {sent:.2} is sent");
        let (beyond, sent) = over_concurrency_limit(n, 8.0);
        assert!(sent >= 0.9, "{n} gateways: {sent:.2} of a light customer's is sent");
        assert!(beyond <= 0.02, "{n} gateways: {beyond:.2} of its attempts exceed the concurrency limit");
    }
}
