//! Settings that a gateway gets when it starts, and their serialized form.

mod document;
mod options;

pub use document::SettingsDocument;
pub use options::{Options, OptionsError};

use crate::interface::Seconds;
use thiserror::Error;

/// Group of endpoints that remember a request by its idempotency key and discard a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// Every endpoint.
    All,
    /// Endpoints of the zone that the request was first sent to.
    Zone,
    /// Endpoints of the cell that the request was first sent to.
    Cell,
}

/// Effect of sending a request more than once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// The request may run any number of times.
    Idempotent,
    /// Endpoints discard a retry by its idempotency key.
    IdempotencyKey {
        /// Endpoints that remember the key.
        scope: IdempotencyScope,
        /// Time that they remember the key after the first attempt that may have run.
        window: Seconds,
    },
    /// The request must not run more than once.
    AtMostOnce,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct Class {
    /// Time within which a response counts in full.
    pub latency_objective: Seconds,
    /// Share of its weight that a later response counts for, from 0 to 1.
    pub late_weight_share: f64,
    /// Effect of sending a request more than once.
    pub effect: Effect,
    /// True if responses are streams.
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

/// A customer's plan. The limits apply to each customer over all gateways together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[non_exhaustive]
pub struct Plan {
    /// Rate of the quota in units per second; 0 if there is no quota.
    pub rate: f64,
    /// Burst of the quota in units.
    pub burst: f64,
    /// Most attempts in flight at once; 0 if there is no limit.
    pub max_concurrent_attempts: u32,
    /// Weight of a unit relative to the other plans.
    pub priority_weight: f64,
    /// Share of its weight that a request beyond the quota counts for.
    pub over_quota_weight_share: f64,
    /// Share of its weight that a request beyond the quota costs.
    pub over_quota_cost_share: f64,
    /// Rate of the hard ceiling in units per second; 0 if there is no ceiling.
    pub ceiling_rate: f64,
    /// Burst of the hard ceiling in units.
    pub ceiling_burst: f64,
}

/// Settings of a gateway. Start from `Settings::default()` and set the fields.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct Settings {
    /// Index of this gateway among all gateways, from 0.
    pub gateway_index: u32,
    /// Number of gateways.
    pub gateway_count: u32,
    /// Index of the zone that this gateway runs in.
    pub zone: u32,
    /// Request classes, by index.
    pub classes: Vec<Class>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// True if there is a counter.
    pub has_counter: bool,
    /// Time after which a counter call has failed.
    pub counter_timeout: Seconds,
    /// Most units of one request.
    pub max_units: f64,
    /// True if the units of a request are only an estimate until its response reports the actual ones.
    pub units_settled_after_response: bool,
    /// True if endpoints may be sent health checks.
    pub health_checks_enabled: bool,
    /// True if attempts may be cancelled.
    pub cancellation_enabled: bool,
    /// True if two attempts of one request may be in flight at once.
    pub hedging_enabled: bool,
    /// Most attempts per request.
    pub max_attempts: u32,
    /// Most open requests of this gateway.
    pub max_open_requests: u32,
    /// Most customers that this gateway keeps state for.
    pub max_customers: usize,
    /// True if rejected clients are told how long to wait.
    pub retry_after_enabled: bool,
    /// Longest `Retry-After` that clients obey.
    pub max_retry_after: Seconds,
    /// True if the gateway polls the endpoint list; otherwise discovery pushes it.
    pub discovery_is_polled: bool,
    /// Longest time between two polls. A gateway that has not polled for this long counts as notified of
    /// all changes.
    pub max_poll_interval: Seconds,
    /// Least share of its capacity that a newly started endpoint has, from 0 to 1.
    pub slow_start_initial_share: f64,
    /// Longest time that a newly started endpoint takes to reach its full capacity.
    pub slow_start_window: Seconds,
    /// Load that overloads an endpoint that is warming up, as a multiple of its present capacity.
    pub overload_multiple: f64,
    /// Time of overload after which an endpoint that is warming up fails.
    pub overload_window: Seconds,
    /// Shortest time between two batches of events.
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
    /// There are no gateways, the gateway's index is out of range, or a number is negative or not finite.
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        if self.gateway_count == 0 {
            return Err(SettingsError::NoGateways);
        }
        if self.gateway_index >= self.gateway_count {
            return Err(SettingsError::GatewayIndexOutOfRange);
        }
        let is_invalid = |(_, value): &(&'static str, f64)| !value.is_finite() || *value < 0.0;
        match self.numbers().into_iter().find(is_invalid) {
            Some((name, _)) => Err(SettingsError::InvalidNumber(name)),
            None => Ok(()),
        }
    }

    /// Returns every number that must be finite and not negative, with the name of its field.
    fn numbers(&self) -> Vec<(&'static str, f64)> {
        let mut numbers = vec![
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
            numbers.push(("latency_objective", class.latency_objective));
            numbers.push(("late_weight_share", class.late_weight_share));
        }
        for plan in &self.plans {
            numbers.extend([
                ("rate", plan.rate),
                ("burst", plan.burst),
                ("over_quota_weight_share", plan.over_quota_weight_share),
                ("over_quota_cost_share", plan.over_quota_cost_share),
                ("ceiling_rate", plan.ceiling_rate),
                ("ceiling_burst", plan.ceiling_burst),
                ("priority_weight", plan.priority_weight),
            ]);
        }
        numbers
    }
}

/// Reason why a gateway can't work with its settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The number of gateways is 0.
    #[error("there are no gateways")]
    NoGateways,
    /// The gateway's index is not below the number of gateways.
    #[error("this gateway's number is out of range")]
    GatewayIndexOutOfRange,
    /// The named number is negative, infinite or not a number.
    #[error("{0} is not a usable number")]
    InvalidNumber(&'static str),
}
