//! Drives the policy of one gateway without any I/O: endpoints and counter respond at once.

use super::Error;
use oliverack::{
    Action, Class, CustomerId, Endpoint, EndpointId, Event, Gateway, Lifecycle, ListKind, LoadReport, Plan,
    Request, RequestId, Seconds, Settings, Status, Time,
};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The seed of every gateway, so that runs differ only in their times.
const SEED: u64 = 1;
/// Virtual time between two requests. The policy forgets a tenant that is idle for 26 s, so with the two durations below
/// this has to be short enough for 32,000 tenants to take turns in that time.
const REQUEST_SPACING: Seconds = 0.0001;
/// Virtual time until an endpoint responds.
const RESPONSE_TIME: Seconds = 0.0003;
/// Virtual time that a counter call takes.
const COUNTER_TIME: Seconds = 0.0001;
/// Virtual time until the deadline of a request.
const CLIENT_DEADLINE: Seconds = 5.0;
/// Gateways that serve a tenant, unless there are fewer.
const GATEWAYS_PER_TENANT: u32 = 3;
/// Index of the plan without a quota.
const PLAN_FREE: usize = 0;
/// Index of the plan with a quota.
const PLAN_METERED: usize = 1;

/// A gateway, its clock, and the actions that are pending.
#[derive(Debug)]
pub struct Driver {
    gateway: Gateway,
    now: Time,
    is_metered: bool,
    tenant_gateway_count: u32,
    requests: u64,
    tenants: Vec<CustomerId>,
    counter_totals: HashMap<u64, f64>,
    /// Timers that were set and have not been delivered, oldest first.
    timers: VecDeque<u64>,
    /// Attempts in flight.
    attempts_in_flight: Vec<AttemptInFlight>,
    actions: Vec<Action>,
}

#[derive(Debug)]
struct AttemptInFlight {
    request_id: RequestId,
    endpoint: EndpointId,
}

/// The settings and the load of a driver.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Gateways in the settings.
    pub gateways: u32,
    /// Tenants, which take turns.
    pub tenants: usize,
    /// True if the tenants have a quota and there is a counter.
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

/// Id of an endpoint, in the format of real lists.
fn endpoint_id(number: usize) -> EndpointId {
    format!("s-{number:08x}").into()
}

/// The list entry of the endpoint with this number.
fn endpoint(number: usize, lifecycle: Lifecycle) -> Endpoint {
    Endpoint { id: endpoint_id(number), zone: 0, cell: 0, started: 0.0, lifecycle }
}

impl Driver {
    /// A gateway without endpoints.
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

    /// Notifies the gateway of a complete list, as at its start. This also sets the timer of its sweeps, which
    /// [`Driver::deliver_timer`] delivers first.
    pub fn update_list(&mut self, endpoints: usize) {
        let endpoints = (0..endpoints).map(|number| endpoint(number, Lifecycle::Running)).collect();
        self.handle(Event::EndpointsUpdated { kind: ListKind::Stale, endpoints });
    }

    /// Notifies the gateway of the change of one entry.
    pub fn change_endpoint(&mut self, number: usize, lifecycle: Lifecycle) {
        self.now += REQUEST_SPACING;
        let endpoints = vec![endpoint(number, lifecycle)];
        self.handle(Event::EndpointsUpdated { kind: ListKind::Changes, endpoints });
    }

    /// One request, from its arrival to its response. Returns whether it was served.
    pub fn complete_request(&mut self) -> bool {
        self.open_request();
        self.now += RESPONSE_TIME;
        self.serve_all(None)
    }

    /// Like [`Driver::complete_request`]; adds the endpoints that were reached.
    pub fn complete_request_and_record(&mut self, reached: &mut BTreeSet<EndpointId>) -> bool {
        self.open_request();
        self.now += RESPONSE_TIME;
        self.serve_all(Some(reached))
    }

    /// A request arrives, and its attempts stay in flight. Returns how many attempts are in flight.
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

    /// All attempts in flight are served. Returns whether there were any.
    fn serve_all(&mut self, mut reached: Option<&mut BTreeSet<EndpointId>>) -> bool {
        let served = !self.attempts_in_flight.is_empty();
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
        served
    }

    /// Advances the clock.
    pub fn advance(&mut self, seconds: Seconds) {
        self.now += seconds;
    }

    /// Delivers the oldest timer. Returns false if there is none.
    pub fn deliver_timer(&mut self) -> bool {
        let Some(token) = self.timers.pop_front() else { return false };
        self.handle(Event::Timer { token });
        true
    }

    /// How many timers have not been delivered.
    pub fn pending_timers(&self) -> usize {
        self.timers.len()
    }

    /// Frees the unused capacity of the driver, so that it is not measured as state of the gateway.
    pub fn shrink(&mut self) {
        self.actions = Vec::new();
        self.counter_totals.shrink_to_fit();
        self.timers.shrink_to_fit();
        self.attempts_in_flight.shrink_to_fit();
    }

    /// Notifies the gateway of an event, and responds to the counter calls that result.
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
        self.now += COUNTER_TIME;
        let total = self.counter_totals.entry(counter).or_default();
        *total += amount;
        Event::CounterReplied { counter, status: Status::Ok, total: *total, elapsed: COUNTER_TIME }
    }
}
