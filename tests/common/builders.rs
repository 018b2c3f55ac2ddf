//! Builds plans, settings, endpoints, requests and events with defaults that suit most tests.

use oliverack::{
    Class, Effect, Endpoint, EndpointId, Event, Lifecycle, LoadReport, Plan, Request, RequestId, Seconds,
    Settings, Status, Time,
};

/// Builder of a [`Plan`].
pub struct PlanBuilder(Plan);

impl PlanBuilder {
    /// Starts with a quota of `rate` units a second and a burst of `burst` units; a rate of 0 means no quota.
    pub fn new(rate: f64, burst: f64) -> Self {
        let mut plan = Plan::default();
        plan.rate = rate;
        plan.burst = burst;
        plan.priority_weight = 1.0;
        Self(plan)
    }

    /// Sets the ceiling: units a second, and the burst in units.
    pub fn ceiling(mut self, rate: f64, burst: f64) -> Self {
        self.0.ceiling_rate = rate;
        self.0.ceiling_burst = burst;
        self
    }

    /// Sets the concurrency limit.
    pub fn max_concurrent_attempts(mut self, count: u32) -> Self {
        self.0.max_concurrent_attempts = count;
        self
    }

    /// Sets the weight of a unit relative to other plans; 1 by default.
    pub fn priority_weight(mut self, weight: f64) -> Self {
        self.0.priority_weight = weight;
        self
    }

    /// Sets the cost and the weight of a unit beyond the quota, both as shares of the priority weight.
    pub fn over_quota(mut self, cost_share: f64, weight_share: f64) -> Self {
        self.0.over_quota_cost_share = cost_share;
        self.0.over_quota_weight_share = weight_share;
        self
    }

    pub fn build(self) -> Plan {
        self.0
    }
}

/// Returns a plan with a quota and no other limit.
pub fn plan(rate: f64, burst: f64) -> Plan {
    PlanBuilder::new(rate, burst).build()
}

/// Returns settings of one of two gateways with a counter, one idempotent class and one plan with a quota.
pub fn settings() -> Settings {
    let mut settings = Settings::default();
    settings.gateway_count = 2;
    settings.has_counter = true;
    settings.hedging_enabled = true;
    settings.max_attempts = 3;
    settings.cancellation_enabled = true;
    settings.slow_start_window = 10.0;
    settings.slow_start_initial_share = 0.2;
    settings.overload_multiple = 2.0;
    settings.overload_window = 1.0;
    settings.classes = vec![Class::default()];
    settings.plans = vec![plan(10.0, 20.0)];
    settings
}

/// Returns [`settings`] without a quota and with the given effect of the class.
pub fn settings_without_quota(effect: Effect) -> Settings {
    let mut settings = settings();
    settings.plans = vec![Plan::default()];
    settings.classes[0].effect = effect;
    settings
}

pub fn endpoint(name: &str, lifecycle: Lifecycle, started: Time) -> Endpoint {
    Endpoint { id: name.into(), zone: 0, cell: 0, started, lifecycle }
}

/// Returns endpoints `s000`, `s001` and so on, which started long ago.
pub fn running_endpoints(count: u32) -> Vec<Endpoint> {
    (0..count).map(|index| endpoint(&format!("s{index:03}"), Lifecycle::Running, 0.0)).collect()
}

/// Returns a request of one unit with a deadline in 3 s.
pub fn request(request_id: &str, now: Time) -> Request {
    Request {
        id: request_id.into(),
        units: 1.0,
        deadline: now + 3.0,
        plan: 0,
        customer_gateway_count: 2,
        first_gateway: 0,
        class: 0,
        customer: "c".into(),
        is_retry: false,
    }
}

/// Builder of [`Event::AttemptEnded`]; by default for the first attempt of a request, successful after 0.1 s.
pub struct AttemptEnd {
    request_id: RequestId,
    endpoint: EndpointId,
    attempt: u32,
    status: Status,
    elapsed: Seconds,
    actual_units: Option<f64>,
}

impl AttemptEnd {
    pub fn new(request_id: &str, endpoint: &EndpointId) -> Self {
        Self {
            request_id: request_id.into(),
            endpoint: endpoint.clone(),
            attempt: 0,
            status: Status::Ok,
            elapsed: 0.1,
            actual_units: None,
        }
    }

    /// Sets the index of the attempt among the request's attempts, from 0.
    pub fn attempt(mut self, attempt: u32) -> Self {
        self.attempt = attempt;
        self
    }

    pub fn status(mut self, status: Status) -> Self {
        self.status = status;
        self
    }

    pub fn elapsed(mut self, elapsed: Seconds) -> Self {
        self.elapsed = elapsed;
        self
    }

    pub fn actual_units(mut self, units: Option<f64>) -> Self {
        self.actual_units = units;
        self
    }

    /// Returns the event. Only a successful attempt finishes its request.
    pub fn event(self) -> Event {
        Event::AttemptEnded {
            request_id: self.request_id,
            attempt: self.attempt,
            endpoint: self.endpoint,
            status: self.status,
            elapsed: self.elapsed,
            is_finished: self.status == Status::Ok,
            actual_units: self.actual_units,
            load: LoadReport::default(),
        }
    }
}
