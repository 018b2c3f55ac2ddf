//! Drives one gateway's policy without any I/O: endpoints and counter answer at once.

use super::Error;
use oliverack::{
    Action, Class, CustomerId, Endpoint, EndpointId, Event, Gateway, Lifecycle, ListKind, LoadReport, Plan,
    Request, RequestId, Settings, Status,
};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The seed of every gateway, so that runs differ in nothing but time.
const SEED: u64 = 1;
/// Seconds of virtual time between two requests. With the two below: a policy forgets a tenant that has been idle for
/// 26 s, and has to know 32,000 of them at a time.
const REQUEST_SPACING: f64 = 0.0001;
/// Seconds of virtual time that an endpoint's answer takes.
const RESPONSE_TIME: f64 = 0.0003;
/// Seconds of virtual time that a counter call takes.
const COUNTER_TIME: f64 = 0.0001;
/// Seconds of virtual time that a client waits.
const CLIENT_DEADLINE: f64 = 5.0;
/// Gateways that carry a tenant's requests, where there are so many.
const GATEWAYS_PER_TENANT: u32 = 3;
/// Index of the plan without a quota.
const PLAN_FREE: usize = 0;
/// Index of the plan with one.
const PLAN_METERED: usize = 1;

/// A gateway, its clock, and what it has asked for.
#[derive(Debug)]
pub struct Driver {
    gateway: Gateway,
    now: f64,
    metered: bool,
    customer_gateway_count: u32,
    requests: u64,
    tenants: Vec<CustomerId>,
    counts: HashMap<u64, f64>,
    /// Timers that were asked for and are not yet delivered.
    timers: VecDeque<u64>,
    /// Attempts that are out.
    open: Vec<AttemptInFlight>,
    actions: Vec<Action>,
}

#[derive(Debug)]
struct AttemptInFlight {
    request_id: RequestId,
    endpoint: EndpointId,
}

/// What a driver is built for.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Gateways in the settings.
    pub gateways: u32,
    /// Tenants that requests come from in turn.
    pub tenants: usize,
    /// The tenants have a quota, and there is a counter.
    pub metered: bool,
}

impl Scenario {
    fn settings(self) -> Settings {
        let mut class = Class::default();
        class.latency_objective = 2.0;
        let mut metered = Plan::default();
        metered.rate = 1000.0;
        metered.burst = 2000.0;
        metered.priority_weight = 1.0;
        metered.over_quota_cost_share = 1.0;
        let mut settings = Settings::default();
        settings.gateway_count = self.gateways;
        settings.classes = vec![class];
        settings.plans = vec![Plan::default(), metered];
        settings.has_counter = self.metered;
        settings.hedging_enabled = true;
        settings.max_attempts = 3;
        settings
    }
}

/// The name of an endpoint, as the real lists have them.
fn name(number: usize) -> EndpointId {
    format!("s-{number:08x}").into()
}

/// The entry of an endpoint by its number.
fn endpoint(number: usize, lifecycle: Lifecycle) -> Endpoint {
    Endpoint { id: name(number), zone: 0, cell: 0, started: 0.0, lifecycle }
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
            metered: scenario.metered,
            customer_gateway_count: GATEWAYS_PER_TENANT.min(scenario.gateways),
            requests: 0,
            tenants,
            counts: HashMap::new(),
            timers: VecDeque::new(),
            open: Vec::new(),
            actions: Vec::new(),
        })
    }

    /// Gives the gateway a whole list, as known at its start, which also starts its sweeps. The timer that it asks
    /// for is the oldest of [`Driver::deliver_timer`].
    pub fn list(&mut self, endpoints: usize) {
        let endpoints = (0..endpoints).map(|number| endpoint(number, Lifecycle::Running)).collect();
        self.handle(Event::EndpointsUpdated { kind: ListKind::Stale, endpoints });
    }

    /// Changes one endpoint's entry.
    pub fn change(&mut self, number: usize, lifecycle: Lifecycle) {
        self.now += REQUEST_SPACING;
        let endpoints = vec![endpoint(number, lifecycle)];
        self.handle(Event::EndpointsUpdated { kind: ListKind::Changes, endpoints });
    }

    /// One request, from its arrival to its answer; whether it was served.
    pub fn request(&mut self) -> bool {
        self.open_request();
        self.now += RESPONSE_TIME;
        self.answer_all(None)
    }

    /// The same; adds the endpoints that it was sent to.
    pub fn request_and_record(&mut self, reached: &mut BTreeSet<EndpointId>) -> bool {
        self.open_request();
        self.now += RESPONSE_TIME;
        self.answer_all(Some(reached))
    }

    /// A request arrives; its attempts stay out. How many are out in all.
    pub fn open_request(&mut self) -> usize {
        self.now += REQUEST_SPACING;
        let tenant = (self.requests % self.tenants.len().max(1) as u64) as usize;
        self.requests += 1;
        let request = Request {
            id: format!("{:016x}", self.requests).into(),
            units: 1.0,
            deadline: self.now + CLIENT_DEADLINE,
            plan: if self.metered { PLAN_METERED } else { PLAN_FREE },
            customer_gateway_count: self.customer_gateway_count,
            first_gateway: 0,
            class: 0,
            customer: self.tenants[tenant].clone(),
            is_retry: false,
        };
        self.handle(Event::Request(request));
        self.open.len()
    }

    /// Every attempt that is out is answered 200; whether there was any.
    fn answer_all(&mut self, mut reached: Option<&mut BTreeSet<EndpointId>>) -> bool {
        let served = !self.open.is_empty();
        for AttemptInFlight { request_id, endpoint } in std::mem::take(&mut self.open) {
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

    /// Moves the clock on by so many seconds.
    pub fn advance(&mut self, seconds: f64) {
        self.now += seconds;
    }

    /// Delivers the oldest timer; `false` where there is none.
    pub fn deliver_timer(&mut self) -> bool {
        let Some(token) = self.timers.pop_front() else { return false };
        self.handle(Event::Timer { token });
        true
    }

    /// Timers that are not yet delivered.
    pub fn timers(&self) -> usize {
        self.timers.len()
    }

    /// Frees what the driver itself holds for later use, so that it does not count as the gateway's state.
    pub fn shrink(&mut self) {
        self.actions = Vec::new();
        self.counts.shrink_to_fit();
        self.timers.shrink_to_fit();
        self.open.shrink_to_fit();
    }

    /// Hands the event over, and answers the counter calls that come of it.
    fn handle(&mut self, event: Event) {
        let mut event = Some(event);
        let mut calls = VecDeque::new();
        while let Some(next) = event.take() {
            self.gateway.handle(self.now, next, &mut self.actions);
            for action in self.actions.drain(..) {
                match action {
                    Action::StartAttempt { request_id, endpoint, .. } => {
                        self.open.push(AttemptInFlight { request_id, endpoint })
                    }
                    Action::SetTimer { token, .. } => self.timers.push_back(token),
                    Action::AddToCounter { counter, amount, .. } => calls.push_back((counter, amount)),
                    _ => {}
                }
            }
            event = calls.pop_front().map(|(counter, amount)| self.count(counter, amount));
        }
    }

    fn count(&mut self, counter: u64, amount: f64) -> Event {
        self.now += COUNTER_TIME;
        let total = self.counts.entry(counter).or_default();
        *total += amount;
        Event::CounterReplied { counter, status: Status::Ok, total: *total, elapsed: COUNTER_TIME }
    }
}
