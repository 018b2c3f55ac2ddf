//! Clients, the front that deals out their requests, and the answers that they get.

use super::{ScheduledEvent, Simulation};
use crate::fleet::event_queue::RUN_START;
use crate::fleet::gateways::GatewayAddress;
use crate::fleet::measures::{DemandOutcome, Forwarded};
use crate::fleet::randomness::{exponential, weighted_index};
use crate::fleet::requests::{Demand, request_id_of};
use crate::fleet::wire_size::{self, Quota, RequestHead};
use oliverack::{Event, Request};
use rand::Rng;

/// Seconds past its deadline that a client still takes an answer: that to a time-out that ends with the deadline.
const CLIENT_DEADLINE_GRACE: f64 = 0.01;

/// Where the front sends a request.
enum Route {
    /// To this gateway.
    Up(usize),
    /// Nowhere: the gateway is down and the front has not noticed, or all of them are down.
    Lost,
}

/// The worth of a demand, where the quota holds it.
fn in_quota_weight(demand: &Demand) -> f64 {
    if demand.within_quota { demand.weight } else { 0.0 }
}

impl Simulation {
    pub(super) fn schedule_candidate(&mut self, tenant: usize) {
        let now = self.queue.now();
        let next = self.tenants[tenant].next_candidate(now, &mut self.generators.arrivals);
        if let Some(at) = next.filter(|at| *at < RUN_START + self.configuration.seconds) {
            self.queue.schedule(at, ScheduledEvent::ArrivalCandidate(tenant));
        }
    }

    pub(super) fn candidate(&mut self, tenant: usize) {
        let now = self.queue.now();
        self.schedule_candidate(tenant);
        if self.tenants[tenant].accepts(now, &mut self.generators.arrivals) {
            let demand = self.draw_demand(tenant);
            self.measures.count_demand(now, in_quota_weight(&demand));
            self.submit(demand);
        }
    }

    fn draw_demand(&mut self, tenant: usize) -> Demand {
        let now = self.queue.now();
        let generator = &mut self.generators.arrivals;
        let shares: Vec<f64> = self.configuration.classes.iter().map(|class| class.share).collect();
        let class = weighted_index(generator, &shares);
        let units = f64::from(generator.random_range(1..=self.configuration.tenants.max_units));
        let endpoints = &self.configuration.endpoints;
        let mean = endpoints.service_seconds + endpoints.service_seconds_per_unit * units;
        let varied = exponential(generator, mean * endpoints.service_variation);
        let figures = &self.configuration.classes[class];
        let plan = &self.configuration.plans[self.tenants[tenant].plan];
        Demand {
            tenant,
            class,
            units,
            submitted_at: now,
            deadline: now + figures.deadline,
            work: mean * (1.0 - endpoints.service_variation) + varied,
            weight: figures.unit_weight * plan.priority_weight * units,
            within_quota: self.tenants[tenant].submitted.try_take(now, units),
            retries: 0,
        }
    }

    /// Chooses a gateway of the tenant's set; the front goes past those that it knows to be down.
    fn route(&mut self, tenant: usize) -> Route {
        let now = self.queue.now();
        let count = self.gateways.len();
        let tenant = &self.tenants[tenant];
        let start = weighted_index(&mut self.generators.clients, &tenant.weights);
        let spread = tenant.spread as usize;
        for step in 0..spread {
            let gateway = (tenant.first as usize + (start + step) % spread) % count;
            match self.gateways[gateway].down_since {
                None => return Route::Up(gateway),
                Some(since) if now - since < self.configuration.clients.failure_detection_delay => {
                    return Route::Lost;
                }
                Some(_) => {}
            }
        }
        Route::Lost
    }

    /// A client's try, the first or a later one.
    pub(super) fn submit(&mut self, demand: Demand) {
        let now = self.queue.now();
        let Route::Up(gateway) = self.route(demand.tenant) else {
            return self.measures.count_outcome(now, DemandOutcome::Lost, in_quota_weight(&demand));
        };
        self.measures.submissions += 1;
        let number = self.requests.open(demand, gateway);
        self.measures.max_open = self.measures.max_open.max(self.requests.len());
        let bytes = self.client_request_bytes(&demand);
        self.gateways[gateway].traffic.count(bytes);
        self.gateways[gateway].note_request(demand.tenant);
        self.queue.schedule(demand.deadline + CLIENT_DEADLINE_GRACE, ScheduledEvent::ClientDeadline(number));
        let tenant = &self.tenants[demand.tenant];
        let request = Request {
            id: request_id_of(number),
            units: demand.units,
            deadline: demand.deadline,
            plan: tenant.plan,
            customer_gateway_count: tenant.spread,
            first_gateway: tenant.first,
            class: demand.class,
            customer: tenant.id.clone(),
            is_retry: demand.retries > 0,
        };
        let to: GatewayAddress = self.address(gateway);
        self.notify(to, Event::Request(request));
    }

    pub(super) fn request_head(&self, demand: &Demand) -> RequestHead<'_> {
        let class = &self.configuration.classes[demand.class];
        RequestHead {
            class: &class.name,
            repeat: class.repeat_effect,
            remaining: demand.deadline - self.queue.now(),
            body: self.configuration.clients.request_body,
        }
    }

    fn client_request_bytes(&self, demand: &Demand) -> u64 {
        let tenant = &self.tenants[demand.tenant];
        let quota = Quota {
            plan: &self.configuration.plans[tenant.plan].name,
            units: demand.units,
            spread: tenant.spread,
            first: tenant.first,
            resent: demand.retries > 0,
        };
        wire_size::client_request(&self.request_head(demand), &quota)
    }

    /// Draws on the true quota and the true ceiling for a try that is sent on for the first time.
    pub(super) fn draw_on_quota(&mut self, demand: &Demand) {
        let now = self.queue.now();
        let tenant = &mut self.tenants[demand.tenant];
        let within_quota = tenant.sent.try_take(now, demand.units);
        if let Some(ceiling) = &mut tenant.ceiling {
            tenant.lowest_ceiling = tenant.lowest_ceiling.min(ceiling.draw(now, demand.units));
        }
        let over_quota_cost_share = self.configuration.plans[tenant.plan].over_quota_cost_share;
        let sent =
            Forwarded { units: demand.units, weight: demand.weight, over_quota_cost_share, within_quota };
        self.measures.count_forwarded(now, sent);
    }

    /// Marks a request as answered with so many bytes. `None`: it had its answer.
    fn answer(&mut self, number: u64, bytes: u64) -> Option<Demand> {
        let request = self.requests.get_mut(number).filter(|request| !request.answered)?;
        request.answered = true;
        let (demand, gateway) = (request.demand, request.gateway);
        self.gateways[gateway].traffic.count(bytes);
        Some(demand)
    }

    pub(super) fn serve(&mut self, number: u64) {
        let now = self.queue.now();
        let bytes = wire_size::served(self.configuration.clients.answer_body);
        let Some(demand) = self.answer(number, bytes) else { return };
        let late = now - demand.submitted_at > self.configuration.classes[demand.class].latency_objective;
        self.measures.count_latency(now - demand.submitted_at);
        let outcome = if late { DemandOutcome::ServedLate } else { DemandOutcome::Served };
        self.measures.count_outcome(now, outcome, in_quota_weight(&demand));
    }

    pub(super) fn reject(&mut self, number: u64, retry_after: f64) {
        let now = self.queue.now();
        let Some(demand) = self.answer(number, wire_size::rejected(retry_after)) else { return };
        self.close_if_finished(number);
        let clients = &self.configuration.clients;
        let wait = if retry_after > 0.0 { retry_after } else { clients.retry_seconds };
        let again = demand.retries < clients.max_retries
            && now + wait < demand.deadline
            && self.generators.clients.random::<f64>() < clients.retry_share;
        if again {
            let demand = Box::new(Demand { retries: demand.retries + 1, ..demand });
            self.queue.schedule(now + wait, ScheduledEvent::ClientRetry(demand));
        } else {
            self.measures.count_outcome(now, DemandOutcome::Rejected, in_quota_weight(&demand));
        }
    }

    pub(super) fn fail(&mut self, number: u64) {
        if let Some(demand) = self.answer(number, wire_size::failed()) {
            self.close_if_finished(number);
            self.measures.count_outcome(self.queue.now(), DemandOutcome::Failed, in_quota_weight(&demand));
        }
    }

    /// A client that has no answer by now leaves.
    pub(super) fn deadline(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(number).filter(|r| !r.answered) else { return };
        request.answered = true;
        let (demand, gateway) = (request.demand, request.gateway);
        self.measures.count_outcome(self.queue.now(), DemandOutcome::Abandoned, in_quota_weight(&demand));
        let to = self.address(gateway);
        self.notify(to, Event::ClientDisconnected { request_id: request_id_of(number) });
        self.close_if_finished(number);
    }

    /// Counts a request that was lost with its gateway.
    pub(super) fn lose(&mut self, demand: &Demand) {
        self.measures.count_outcome(self.queue.now(), DemandOutcome::Lost, in_quota_weight(demand));
    }

    pub(super) fn close_if_finished(&mut self, number: u64) {
        let gateway = self.requests.get(number).map(|request| request.gateway);
        if self.requests.close_if_finished(number) {
            if let Some(gateway) = gateway {
                self.gateways[gateway].open -= 1;
            }
        }
    }
}
