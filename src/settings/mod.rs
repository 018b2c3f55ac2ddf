//! What a gateway is told when it starts.

mod document;
mod options;

pub use document::SettingsDocument;
pub use options::{Options, OptionsError};

use crate::interface::Seconds;
use thiserror::Error;

/// Which endpoints remember a request by its idempotency key, and so discard a retry of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// Every endpoint.
    All,
    /// The endpoints of the zone that the request was first sent to.
    Zone,
    /// The endpoints of the cell that the request was first sent to.
    Cell,
}

/// What happens when a request is sent more than once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// It may run any number of times.
    Idempotent,
    /// Endpoints discard a retry by its idempotency key.
    IdempotencyKey {
        /// The endpoints that remember the key.
        scope: IdempotencyScope,
        /// How long they remember it after the first attempt.
        window: Seconds,
    },
    /// It must not run more than once.
    AtMostOnce,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct Class {
    /// A response within this time counts in full.
    pub latency_objective: Seconds,
    /// Share of its weight that a later response counts for, from 0 to 1.
    pub late_weight_share: f64,
    /// What happens when a request is sent more than once.
    pub effect: Effect,
    /// The response is a stream.
    pub is_streamed: bool,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            latency_objective: 1.0,
            late_weight_share: 0.0,
            effect: Effect::Idempotent,
            is_streamed: false,
        }
    }
}

/// A customer's plan. Its limits hold for each customer over all gateways together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[non_exhaustive]
pub struct Plan {
    /// Units a second that refill the quota; 0 if there is no quota.
    pub rate: f64,
    /// Units that the quota holds.
    pub burst: f64,
    /// Attempts that may be in flight at once; 0 if there is no such limit.
    pub max_concurrent_attempts: u32,
    /// Weight of a unit, relative to the other plans.
    pub priority_weight: f64,
    /// Share of its weight that a request beyond the quota counts for.
    pub over_quota_weight_share: f64,
    /// Share of its weight that a request beyond the quota costs.
    pub over_quota_cost_share: f64,
    /// Units a second that refill the hard ceiling; 0 if there is no ceiling.
    pub ceiling_rate: f64,
    /// Units that the hard ceiling holds.
    pub ceiling_burst: f64,
}

/// What a gateway is told when it starts. Build one with `Settings::default()` and set the fields.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct Settings {
    /// Index of this gateway among all gateways, from 0.
    pub gateway_index: u32,
    /// How many gateways there are.
    pub gateway_count: u32,
    /// The zone that this gateway runs in.
    pub zone: u32,
    /// Request classes, by index.
    pub classes: Vec<Class>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// There is a counter service.
    pub has_counter: bool,
    /// A counter call that takes longer has failed.
    pub counter_timeout: Seconds,
    /// Most units that one request takes.
    pub max_units: f64,
    /// The true units of a request come with its response; its own are an estimate.
    pub units_settled_after_response: bool,
    /// Endpoints may be sent health checks.
    pub health_checks_enabled: bool,
    /// Attempts may be cancelled.
    pub cancellation_enabled: bool,
    /// Two attempts of one request may be in flight at once.
    pub hedging_enabled: bool,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Most requests that a gateway may have open.
    pub max_open_requests: u32,
    /// Most customers that a gateway may keep state for.
    pub max_customers: usize,
    /// Rejected clients are told how long to wait.
    pub retry_after_enabled: bool,
    /// The longest wait that clients honour.
    pub max_retry_after: Seconds,
    /// The endpoint list has to be polled; otherwise discovery pushes it.
    pub discovery_is_polled: bool,
    /// A gateway that has not polled for so long counts as notified of a change.
    pub max_poll_interval: Seconds,
    /// Share of its capacity that a newly started endpoint has at least, from 0 to 1.
    pub slow_start_initial_share: f64,
    /// A newly started endpoint has its full capacity after this time at most.
    pub slow_start_window: Seconds,
    /// A warming endpoint fails when it is sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: Seconds,
    /// Least time between two batches of events.
    pub event_interval: Seconds,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            gateway_index: 0,
            gateway_count: 1,
            zone: 0,
            classes: Vec::new(),
            plans: Vec::new(),
            has_counter: false,
            counter_timeout: 0.05,
            max_units: 1.0,
            units_settled_after_response: false,
            health_checks_enabled: false,
            cancellation_enabled: false,
            hedging_enabled: false,
            max_attempts: 1,
            max_open_requests: u32::MAX,
            max_customers: 1 << 20,
            retry_after_enabled: true,
            max_retry_after: 1.0,
            discovery_is_polled: false,
            max_poll_interval: 10.0,
            slow_start_initial_share: 1.0,
            slow_start_window: 0.0,
            overload_multiple: 1.0,
            overload_window: 1.0,
            event_interval: 0.001,
        }
    }
}

impl Settings {
    /// Checks that a gateway can work with these settings.
    ///
    /// # Errors
    /// The gateway's index is out of range, or a figure is negative or not finite.
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        if self.gateway_count == 0 {
            return Err(SettingsError::NoGateways);
        }
        if self.gateway_index >= self.gateway_count {
            return Err(SettingsError::GatewayIndexOutOfRange);
        }
        let is_invalid = |(_, value): &(&'static str, f64)| !value.is_finite() || *value < 0.0;
        match self.figures().into_iter().find(is_invalid) {
            Some((name, _)) => Err(SettingsError::InvalidNumber(name)),
            None => Ok(()),
        }
    }

    /// Every figure that must be finite and not negative, by its field's name.
    fn figures(&self) -> Vec<(&'static str, f64)> {
        let mut figures = vec![
            ("counter_timeout", self.counter_timeout),
            ("max_retry_after", self.max_retry_after),
            ("slow_start_initial_share", self.slow_start_initial_share),
            ("slow_start_window", self.slow_start_window),
            ("event_interval", self.event_interval),
            ("overload_window", self.overload_window),
            ("overload_multiple", self.overload_multiple),
            ("max_poll_interval", self.max_poll_interval),
        ];
        for class in &self.classes {
            figures.push(("latency_objective", class.latency_objective));
            figures.push(("late_weight_share", class.late_weight_share));
        }
        for plan in &self.plans {
            figures.extend([
                ("rate", plan.rate),
                ("burst", plan.burst),
                ("over_quota_weight_share", plan.over_quota_weight_share),
                ("over_quota_cost_share", plan.over_quota_cost_share),
                ("ceiling_rate", plan.ceiling_rate),
                ("ceiling_burst", plan.ceiling_burst),
                ("priority_weight", plan.priority_weight),
            ]);
        }
        figures
    }
}

/// Settings that no gateway can work with.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There are no gateways.
    #[error("there are no gateways")]
    NoGateways,
    /// This gateway's index is not below the number of gateways.
    #[error("this gateway's number is out of range")]
    GatewayIndexOutOfRange,
    /// The named figure is negative, infinite or not a number.
    #[error("{0} is not a usable number")]
    InvalidNumber(&'static str),
}
