//! Clients of all tenants, and the load balancer that forwards their requests to the gateways.

use super::context::RunContext;
use super::event::ScheduledEvent;
use super::gateway_fleet::GatewayFleet;
use crate::fleet::event_queue::RUN_START;
use crate::fleet::measures::{DemandOutcome, ForwardedSubmission};
use crate::fleet::randomness::{Stream, exponential, stream, weighted_index};
use crate::fleet::requests::{Demand, RequestTable, policy_request_id};
use crate::fleet::tenants::{self, Tenant};
use crate::fleet::wire_size::{self, QuotaHeaders};
use oliverack::{Request, Seconds};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Time after the deadline for which a client still accepts a response. The last attempt may time out at the deadline
/// itself, and its result must be handled before the client leaves.
const CLIENT_DEADLINE_GRACE: Seconds = 0.01;

/// Decision of the load balancer on a request.
enum Route {
    /// Forward to this gateway, which is running.
    Gateway(usize),
    /// The request is lost: its gateway is down and the load balancer has not detected this yet, or all gateways of
    /// the tenant are down.
    Unavailable,
}

/// Tenants with their clients and true quotas.
#[derive(Debug)]
pub struct ClientModel {
    tenants: Vec<Tenant>,
    /// Draws the arrivals and properties of demands.
    arrival_generator: ChaCha8Rng,
    /// Draws the routes of requests and the decisions of clients.
    choice_generator: ChaCha8Rng,
}

impl ClientModel {
    /// Draws the tenants of a run.
    pub fn new(context: &RunContext, seed: u64) -> Self {
        Self {
            tenants: tenants::draw_tenants(&context.configuration, &mut stream(seed, Stream::Tenants)),
            arrival_generator: stream(seed, Stream::Arrivals),
            choice_generator: stream(seed, Stream::Clients),
        }
    }

    /// Schedules the first arrival candidate of each tenant.
    pub fn schedule_first_arrivals(&mut self, context: &mut RunContext) {
        for tenant in 0..self.tenants.len() {
            self.schedule_arrival(context, tenant);
        }
    }

    fn schedule_arrival(&mut self, context: &mut RunContext, tenant: usize) {
        let arrivals_end_at = RUN_START + context.configuration.seconds;
        let candidate_time =
            self.tenants[tenant].next_arrival_candidate(context.now(), &mut self.arrival_generator);
        if let Some(arrival_time) = candidate_time.filter(|time| *time < arrivals_end_at) {
            context.schedule_at(arrival_time, ScheduledEvent::ArrivalCandidate(tenant));
        }
    }

    /// Handles an arrival candidate of a tenant: schedules the next one, and returns the demand if this one is
    /// accepted.
    pub fn handle_arrival_candidate(&mut self, context: &mut RunContext, tenant: usize) -> Option<Demand> {
        self.schedule_arrival(context, tenant);
        if !self.tenants[tenant].accepts_candidate(context.now(), &mut self.arrival_generator) {
            return None;
        }
        let demand = self.draw_demand(context, tenant);
        context.measures.count_demand(context.now(), demand.in_quota_weight());
        Some(demand)
    }

    fn draw_demand(&mut self, context: &RunContext, tenant: usize) -> Demand {
        let configuration = &context.configuration;
        let now = context.now();
        let generator = &mut self.arrival_generator;
        let class_shares: Vec<f64> = configuration.classes.iter().map(|class| class.share).collect();
        let class_index = weighted_index(generator, &class_shares);
        let units = f64::from(generator.random_range(1..=configuration.tenants.max_units));
        let endpoints = &configuration.endpoints;
        let mean_seconds = endpoints.service_seconds + endpoints.service_seconds_per_unit * units;
        let varying_seconds = exponential(generator, mean_seconds * endpoints.service_variation);
        let class = &configuration.classes[class_index];
        let plan = &configuration.plans[self.tenants[tenant].plan];
        Demand {
            tenant,
            class: class_index,
            units,
            submitted_at: now,
            deadline: now + class.deadline,
            service_seconds: mean_seconds * (1.0 - endpoints.service_variation) + varying_seconds,
            weight: class.unit_weight * plan.priority_weight * units,
            is_within_quota: self.tenants[tenant].submitted_quota.try_take(now, units),
            retries: 0,
        }
    }

    /// Chooses one of the tenant's gateways by weight, and skips those that the load balancer has detected as down.
    fn route(&mut self, context: &RunContext, gateways: &GatewayFleet, tenant: usize) -> Route {
        let detection_delay = context.configuration.clients.failure_detection_delay;
        let tenant = &self.tenants[tenant];
        let first_offset = weighted_index(&mut self.choice_generator, &tenant.gateway_weights);
        let gateway_count = tenant.gateway_count as usize;
        for step in 0..gateway_count {
            let offset = (first_offset + step) % gateway_count;
            let gateway = (tenant.first_gateway as usize + offset) % gateways.len();
            let Some(down_since) = gateways.down_since(gateway) else { return Route::Gateway(gateway) };
            if context.now() - down_since < detection_delay {
                return Route::Unavailable;
            }
        }
        Route::Unavailable
    }

    /// Submits a demand for the first time or as a retry, and opens a request for it. Returns `None` if the demand is
    /// lost because its gateway is down.
    pub fn submit(
        &mut self,
        context: &mut RunContext,
        gateways: &mut GatewayFleet,
        requests: &mut RequestTable,
        demand: Demand,
    ) -> Option<Submission> {
        let Route::Gateway(gateway) = self.route(context, gateways, demand.tenant) else {
            count_outcome(context, &demand, DemandOutcome::Lost);
            return None;
        };
        let number = requests.insert(demand, gateway);
        context.measures.submissions += 1;
        context.measures.max_open_requests = context.measures.max_open_requests.max(requests.len());
        let bytes = self.request_bytes(context, &demand);
        context.measures.traffic.gateways[gateway].count(bytes);
        gateways.request_opened(gateway, demand.tenant);
        let gives_up_at = demand.deadline + CLIENT_DEADLINE_GRACE;
        context.schedule_at(gives_up_at, ScheduledEvent::ClientDeadline(number));
        let tenant = &self.tenants[demand.tenant];
        let request = Request {
            id: policy_request_id(number),
            units: demand.units,
            deadline: demand.deadline,
            plan: tenant.plan,
            customer_gateway_count: tenant.gateway_count,
            first_gateway: tenant.first_gateway,
            class: demand.class,
            customer: tenant.id.clone(),
            is_retry: demand.retries > 0,
        };
        Some(Submission { gateway, request })
    }

    fn request_bytes(&self, context: &RunContext, demand: &Demand) -> u64 {
        let tenant = &self.tenants[demand.tenant];
        let quota = QuotaHeaders {
            plan: &context.configuration.plans[tenant.plan].name,
            units: demand.units,
            gateway_count: tenant.gateway_count,
            first_gateway: tenant.first_gateway,
            is_retry: demand.retries > 0,
        };
        wire_size::client_request(&context.request_head(demand), &quota)
    }

    /// Charges the tenant's true quota and ceiling for a submission whose first attempt is being sent.
    pub fn charge_quota(&mut self, context: &mut RunContext, demand: &Demand) {
        let now = context.now();
        let tenant = &mut self.tenants[demand.tenant];
        let is_within_quota = tenant.forwarded_quota.try_take(now, demand.units);
        if let Some(ceiling) = &mut tenant.ceiling {
            tenant.lowest_ceiling_level =
                tenant.lowest_ceiling_level.min(ceiling.overdraw(now, demand.units));
        }
        let over_quota_cost_share = context.configuration.plans[tenant.plan].over_quota_cost_share;
        let forwarded = ForwardedSubmission {
            units: demand.units,
            weight: demand.weight,
            over_quota_cost_share,
            is_within_quota,
        };
        context.measures.count_forwarded(now, forwarded);
    }

    /// Handles a rejection at the client, which schedules a retry or gives up.
    pub fn handle_rejection(&mut self, context: &mut RunContext, demand: Demand, retry_after: Seconds) {
        let clients = &context.configuration.clients;
        let backoff = if retry_after > 0.0 { retry_after } else { clients.default_backoff };
        let will_retry = demand.retries < clients.max_retries
            && context.now() + backoff < demand.deadline
            && self.choice_generator.random::<f64>() < clients.retry_share;
        if will_retry {
            let retry = Box::new(Demand { retries: demand.retries + 1, ..demand });
            context.schedule_after(backoff, ScheduledEvent::ClientRetry(retry));
        } else {
            count_outcome(context, &demand, DemandOutcome::Rejected);
        }
    }

    /// Returns the tenants at the end of a run.
    pub fn into_tenants(self) -> Vec<Tenant> {
        self.tenants
    }
}

/// Request that a gateway has received.
pub struct Submission {
    /// Index of the gateway.
    pub gateway: usize,
    /// Request of which the policy of the gateway is notified.
    pub request: Request,
}

/// Records that a client has got the response of an endpoint.
pub fn record_served(context: &mut RunContext, demand: &Demand) {
    let latency = context.now() - demand.submitted_at;
    let is_late = latency > context.configuration.classes[demand.class].latency_objective;
    context.measures.record_latency(latency);
    let outcome = if is_late { DemandOutcome::ServedLate } else { DemandOutcome::Served };
    count_outcome(context, demand, outcome);
}

/// Counts the outcome of a demand.
pub fn count_outcome(context: &mut RunContext, demand: &Demand, outcome: DemandOutcome) {
    let now = context.now();
    context.measures.count_outcome(now, outcome, demand.in_quota_weight());
}
