//! Runs the policy of one gateway on a virtual clock without any I/O. Endpoints and the counter respond to every call.

use super::Error;
use oliverack::{
    Action, Class, CustomerId, Endpoint, EndpointId, Event, Gateway, Lifecycle, ListKind, LoadReport, Plan,
    Request, RequestId, Seconds, Settings, Status, Time,
};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Seed of every gateway, the same so that runs differ only in the measured times.
const SEED: u64 = 1;
/// Virtual time between two requests. The policy evicts a tenant that is idle for 26 s, so this time and the next two
/// have to be short enough that each of 32,000 tenants gets its turn within 26 s.
const REQUEST_SPACING: Seconds = 0.0001;
/// Virtual time from the start of an attempt to its response.
const RESPONSE_TIME: Seconds = 0.0003;
/// Virtual time that a counter call takes.
const COUNTER_CALL_DURATION: Seconds = 0.0001;
/// Virtual time from the arrival of a request to its deadline.
const CLIENT_DEADLINE: Seconds = 5.0;
/// Number of gateways that serve a tenant, unless there are fewer.
const GATEWAYS_PER_TENANT: u32 = 3;
/// Index in the settings of the plan without a quota.
const PLAN_FREE: usize = 0;
/// Index in the settings of the plan with a quota.
const PLAN_METERED: usize = 1;

/// Policy of one gateway with its virtual clock, pending timers and attempts in flight.
#[derive(Debug)]
pub struct Driver {
    gateway: Gateway,
    now: Time,
    is_metered: bool,
    tenant_gateway_count: u32,
    requests: u64,
    tenants: Vec<CustomerId>,
    counter_totals: HashMap<u64, f64>,
    /// Tokens of the timers that were set and have not been delivered, in the order in which they were set.
    timers: VecDeque<u64>,
    attempts_in_flight: Vec<AttemptInFlight>,
    actions: Vec<Action>,
}

#[derive(Debug)]
struct AttemptInFlight {
    request_id: RequestId,
    endpoint: EndpointId,
}

/// Values that differ between drivers.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Number of gateways in the settings.
    pub gateways: u32,
    /// Number of tenants, which take turns.
    pub tenants: usize,
    /// True if the tenants have a quota, which the counter enforces; false for no quota and no counter.
    pub is_metered: bool,
}

impl Scenario {
    fn settings(self) -> Settings {
        let mut class = Class::default();
        class.latency_objective = 2.0;
        let mut metered_plan = Plan::default();
        metered_plan.rate = 1000.0;
        metered_plan.burst = 2000.0;
        metered_plan.priority_weight = 1.0;
        metered_plan.over_quota_cost_share = 1.0;
        let mut settings = Settings::default();
        settings.gateway_count = self.gateways;
        settings.classes = vec![class];
        settings.plans = vec![Plan::default(), metered_plan];
        settings.has_counter = self.is_metered;
        settings.hedging_enabled = true;
        settings.max_attempts = 3;
        settings
    }
}

/// Returns the id of an endpoint, in the format of real lists.
fn endpoint_id(number: usize) -> EndpointId {
    format!("s-{number:08x}").into()
}

/// Returns the list entry of the endpoint with this number.
fn endpoint(number: usize, lifecycle: Lifecycle) -> Endpoint {
    Endpoint { id: endpoint_id(number), zone: 0, cell: 0, started: 0.0, lifecycle }
}

impl Driver {
    /// Creates a gateway without endpoints.
    ///
    /// # Errors
    /// The policy rejects the settings.
    pub fn new(scenario: Scenario) -> Result<Self, Error> {
        let gateway = Gateway::new(scenario.settings(), SEED)?;
        let tenants = (0..scenario.tenants).map(|number| format!("{number:016x}").into()).collect();
        Ok(Self {
            gateway,
            now: 1.0,
            is_metered: scenario.is_metered,
            tenant_gateway_count: GATEWAYS_PER_TENANT.min(scenario.gateways),
            requests: 0,
            tenants,
            counter_totals: HashMap::new(),
            timers: VecDeque::new(),
            attempts_in_flight: Vec::new(),
            actions: Vec::new(),
        })
    }

    /// Delivers a complete list with this number of endpoints, marked as stale like the list at a gateway's start. The
    /// gateway then sets the timer of its sweeps, so that [`Driver::deliver_timer`] delivers this timer first.
    pub fn update_list(&mut self, endpoints: usize) {
        let endpoints = (0..endpoints).map(|number| endpoint(number, Lifecycle::Running)).collect();
        self.handle(Event::EndpointsUpdated { kind: ListKind::Stale, endpoints });
    }

    /// Delivers the change of one entry of the list.
    pub fn change_endpoint(&mut self, number: usize, lifecycle: Lifecycle) {
        self.now += REQUEST_SPACING;
        let endpoints = vec![endpoint(number, lifecycle)];
        self.handle(Event::EndpointsUpdated { kind: ListKind::Changes, endpoints });
    }

    /// Delivers a request and the response to its attempts. Returns whether the request was served.
    pub fn complete_request(&mut self) -> bool {
        self.open_request();
        self.now += RESPONSE_TIME;
        self.serve_all(None)
    }

    /// Does the same as [`Driver::complete_request`] and adds the endpoints that served the request to `reached`.
    pub fn complete_request_and_record(&mut self, reached: &mut BTreeSet<EndpointId>) -> bool {
        self.open_request();
        self.now += RESPONSE_TIME;
        self.serve_all(Some(reached))
    }

    /// Delivers a request and leaves its attempts in flight. Returns the number of attempts in flight.
    pub fn open_request(&mut self) -> usize {
        self.now += REQUEST_SPACING;
        let tenant = (self.requests % self.tenants.len().max(1) as u64) as usize;
        self.requests += 1;
        let request = Request {
            id: format!("{:016x}", self.requests).into(),
            units: 1.0,
            deadline: self.now + CLIENT_DEADLINE,
            plan: if self.is_metered { PLAN_METERED } else { PLAN_FREE },
            customer_gateway_count: self.tenant_gateway_count,
            first_gateway: 0,
            class: 0,
            customer: self.tenants[tenant].clone(),
            is_retry: false,
        };
        self.handle(Event::Request(request));
        self.attempts_in_flight.len()
    }

    /// Delivers successful responses to all attempts in flight. Returns whether there were any.
    fn serve_all(&mut self, mut reached: Option<&mut BTreeSet<EndpointId>>) -> bool {
        let had_attempts = !self.attempts_in_flight.is_empty();
        for AttemptInFlight { request_id, endpoint } in std::mem::take(&mut self.attempts_in_flight) {
            if let Some(reached) = &mut reached {
                reached.insert(endpoint.clone());
            }
            self.handle(Event::AttemptEnded {
                request_id,
                attempt: 0,
                endpoint,
                status: Status::Ok,
                elapsed: RESPONSE_TIME,
                is_finished: true,
                actual_units: None,
                load: LoadReport::default(),
            });
        }
        had_attempts
    }

    /// Advances the virtual clock.
    pub fn advance(&mut self, seconds: Seconds) {
        self.now += seconds;
    }

    /// Delivers the timer that was set first, whatever the clock says. Returns whether there was one.
    pub fn deliver_timer(&mut self) -> bool {
        let Some(token) = self.timers.pop_front() else { return false };
        self.handle(Event::Timer { token });
        true
    }

    /// Returns the number of timers that have not been delivered.
    pub fn pending_timers(&self) -> usize {
        self.timers.len()
    }

    /// Frees the unused capacity of the driver's collections, so that it is not measured as state of the gateway.
    pub fn shrink(&mut self) {
        self.actions = Vec::new();
        self.counter_totals.shrink_to_fit();
        self.timers.shrink_to_fit();
        self.attempts_in_flight.shrink_to_fit();
    }

    /// Delivers an event and the replies to the counter calls that result from it.
    fn handle(&mut self, event: Event) {
        let mut event = Some(event);
        let mut calls = VecDeque::new();
        while let Some(next) = event.take() {
            self.gateway.handle(self.now, next, &mut self.actions);
            for action in self.actions.drain(..) {
                match action {
                    Action::StartAttempt { request_id, endpoint, .. } => {
                        self.attempts_in_flight.push(AttemptInFlight { request_id, endpoint });
                    }
                    Action::SetTimer { token, .. } => self.timers.push_back(token),
                    Action::AddToCounter { counter, amount, .. } => calls.push_back((counter, amount)),
                    _ => {}
                }
            }
            event = calls.pop_front().map(|(counter, amount)| self.counter_reply(counter, amount));
        }
    }

    fn counter_reply(&mut self, counter: u64, amount: f64) -> Event {
        self.now += COUNTER_CALL_DURATION;
        let total = self.counter_totals.entry(counter).or_default();
        *total += amount;
        Event::CounterReplied { counter, status: Status::Ok, total: *total, elapsed: COUNTER_CALL_DURATION }
    }
}
