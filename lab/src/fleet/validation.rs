//! Validates a configuration before a run, so that values out of range cause an error and not a panic.

use super::configuration::{Configuration, Fault, Range};
use oliverack::Seconds;

/// Maximum number of gateways in a run.
pub const MAX_GATEWAYS: u32 = 1_024;
/// Maximum number of endpoints at the start of a run.
pub const MAX_ENDPOINTS: u32 = 16_384;
/// Maximum number of tenants in a run.
pub const MAX_TENANTS: u32 = 65_536;
/// Maximum number of zones in a run.
pub const MAX_ZONES: u32 = 64;
/// Longest run, and maximum of most other durations and times in a configuration, in simulated seconds.
pub const MAX_SECONDS: f64 = 3_600.0;
/// Maximum units of a request.
pub const MAX_UNITS: u32 = 1_000;
/// Maximum expected load of all tenants together, in requests a second.
pub const MAX_REQUESTS_PER_SECOND: f64 = 1_000_000.0;
/// Maximum of values without a limit of their own, such as rates, bursts, weights and factors.
const MAX_VALUE: f64 = 1e9;
/// Maximum size of a body that the protocol allows.
const MAX_BODY_BYTES: u64 = 65_536;
/// Maximum number of restarts in one fault.
const MAX_RESTARTS: u32 = 100_000;

/// Value in a configuration that is out of range.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{key} is {value}, but must be {expected}")]
pub struct InvalidValue {
    /// Key in the file with its section, or a description of a computed value.
    pub key: &'static str,
    /// Value that was found.
    pub value: f64,
    /// Expected range or relation.
    pub expected: &'static str,
}

type Check = Result<(), InvalidValue>;

fn require(holds: bool, key: &'static str, value: f64, expected: &'static str) -> Check {
    if holds { Ok(()) } else { Err(InvalidValue { key, value, expected }) }
}

fn check_count(key: &'static str, value: u32, max: u32) -> Check {
    require((1..=max).contains(&value), key, f64::from(value), "from 1 to the limit (see --help)")
}

fn check_positive(key: &'static str, value: f64) -> Check {
    require(value > 0.0 && value <= MAX_VALUE, key, value, "above 0 and at most 1e9")
}

fn check_not_negative(key: &'static str, value: f64) -> Check {
    require((0.0..=MAX_VALUE).contains(&value), key, value, "from 0 to 1e9")
}

fn check_share(key: &'static str, value: f64) -> Check {
    require((0.0..=1.0).contains(&value), key, value, "from 0 to 1")
}

fn check_seconds(key: &'static str, value: f64) -> Check {
    require((0.0..=MAX_SECONDS).contains(&value), key, value, "from 0 to 3600 seconds")
}

fn check_range(key: &'static str, range: Range<f64>) -> Check {
    check_not_negative(key, range.min)?;
    check_not_negative(key, range.max)?;
    require(range.min <= range.max, key, range.min, "a range [least, most] in ascending order")
}

fn check_weights(key: &'static str, mut values: impl Iterator<Item = f64>) -> Check {
    let sum = values.try_fold(0.0, |sum, value| check_not_negative(key, value).map(|()| sum + value))?;
    require(sum > 0.0, key, sum, "above 0 in total over all entries")
}

/// Checks all values of a configuration.
///
/// # Errors
/// Returns the first value that is out of range.
pub fn check(configuration: &Configuration) -> Check {
    require(configuration.seconds > 0.0, "seconds", configuration.seconds, "above 0")?;
    check_seconds("seconds", configuration.seconds)?;
    check_topology(configuration)?;
    check_endpoints(configuration)?;
    check_services(configuration)?;
    check_tenants(configuration)?;
    check_clients(configuration)?;
    check_classes(configuration)?;
    check_plans(configuration)?;
    check_usage(configuration)?;
    check_load(configuration)?;
    configuration.faults.iter().try_for_each(|fault| check_fault(configuration, fault))
}

fn check_topology(configuration: &Configuration) -> Check {
    let topology = &configuration.topology;
    check_count("topology.zones", topology.zones, MAX_ZONES)?;
    check_count("topology.regions", topology.regions, topology.zones)?;
    check_seconds("topology.delay_in_zone", topology.delay_in_zone)?;
    check_seconds("topology.delay_in_region", topology.delay_in_region)?;
    check_seconds("topology.delay_between_regions", topology.delay_between_regions)?;
    check_count("gatekeepers.count", configuration.gateways.count, MAX_GATEWAYS)?;
    check_seconds("gatekeepers.restart_seconds", configuration.gateways.restart_seconds)?;
    require(configuration.policy.counter_timeout > 0.0, "policy.count_limit", 0.0, "above 0")?;
    check_seconds("policy.count_limit", configuration.policy.counter_timeout)?;
    check_count("policy.max_attempts", configuration.policy.max_attempts, 100)?;
    check_seconds("policy.max_retry_after", configuration.policy.max_retry_after)
}

fn check_endpoints(configuration: &Configuration) -> Check {
    let endpoints = &configuration.endpoints;
    check_count("workers.count", endpoints.count, MAX_ENDPOINTS)?;
    check_count("workers.cells", endpoints.cells, MAX_ENDPOINTS)?;
    check_count("workers.slots", endpoints.slots, 10_000)?;
    require(endpoints.queue <= 1_000_000, "workers.queue", f64::from(endpoints.queue), "at most 1000000")?;
    check_seconds("workers.service_seconds", endpoints.service_seconds)?;
    check_seconds("workers.service_seconds_per_unit", endpoints.service_seconds_per_unit)?;
    check_share("workers.service_variation", endpoints.service_variation)?;
    require(
        endpoints.slow_start_initial_share > 0.0,
        "workers.cold_from",
        endpoints.slow_start_initial_share,
        "above 0",
    )?;
    check_share("workers.cold_from", endpoints.slow_start_initial_share)?;
    check_seconds("workers.cold_seconds", endpoints.slow_start_window)?;
    check_not_negative("workers.fall_multiple", endpoints.overload_multiple)?;
    check_seconds("workers.fall_seconds", endpoints.overload_window)
}

fn check_services(configuration: &Configuration) -> Check {
    let discovery = &configuration.discovery;
    check_range("discovery.lateness", discovery.propagation_delay)?;
    check_positive("discovery.calls_per_second", discovery.calls_per_second)?;
    check_seconds("discovery.give_up_after", discovery.poll_timeout)?;
    check_positive("discovery.watch_seconds", discovery.watch_hold)?;
    let Some(counter) = &configuration.counter else { return Ok(()) };
    check_count("counter.parts", counter.shards, 1_000)?;
    check_positive("counter.calls_per_second", counter.calls_per_second)?;
    check_seconds("counter.delay", counter.delay)
}

fn check_tenants(configuration: &Configuration) -> Check {
    let tenants = &configuration.tenants;
    check_count("tenants.count", tenants.count, MAX_TENANTS)?;
    check_count("tenants.max_units", tenants.max_units, MAX_UNITS)?;
    let Range { min, max } = tenants.gateways_per_tenant;
    require(min >= 1, "tenants.spread", f64::from(min), "at least 1")?;
    require(min <= max, "tenants.spread", f64::from(min), "a range [least, most] in ascending order")?;
    let gateway_count = configuration.gateways.count;
    require(max <= gateway_count, "tenants.spread", f64::from(max), "no more than gatekeepers.count")?;
    check_range("tenants.skew", tenants.skew)
}

fn check_clients(configuration: &Configuration) -> Check {
    let clients = &configuration.clients;
    require(clients.max_retries <= 100, "clients.max_retries", clients.max_retries.into(), "at most 100")?;
    check_share("clients.retry_share", clients.retry_share)?;
    check_seconds("clients.retry_seconds", clients.default_backoff)?;
    check_seconds("clients.front_notices_after", clients.failure_detection_delay)?;
    for (key, body) in [
        ("clients.request_body", clients.request_body_bytes),
        ("clients.answer_body", clients.response_body_bytes),
    ] {
        require(body <= MAX_BODY_BYTES, key, body as f64, "at most 65536 bytes")?;
    }
    Ok(())
}

fn check_classes(configuration: &Configuration) -> Check {
    check_weights("classes.share", configuration.classes.iter().map(|c| c.share))?;
    for class in &configuration.classes {
        check_positive("classes.aim", class.latency_objective)?;
        check_share("classes.late_worth", class.late_weight_share)?;
        check_positive("classes.deadline", class.deadline)?;
        check_seconds("classes.deadline", class.deadline)?;
        check_not_negative("classes.worth", class.unit_weight)?;
        check_seconds("classes.window", class.idempotency_window)?;
    }
    Ok(())
}

fn check_plans(configuration: &Configuration) -> Check {
    check_weights("plans.share", configuration.plans.iter().map(|p| p.share))?;
    let max_units = f64::from(configuration.tenants.max_units);
    for plan in &configuration.plans {
        check_positive("plans.rate", plan.rate)?;
        check_not_negative("plans.burst", plan.burst)?;
        require(plan.burst >= max_units, "plans.burst", plan.burst, "at least tenants.max_units")?;
        check_not_negative("plans.pays", plan.priority_weight)?;
        check_not_negative("plans.excess_worth", plan.over_quota_weight_share)?;
        check_not_negative("plans.overrun_cost", plan.over_quota_cost_share)?;
        check_not_negative("plans.ceiling_rate", plan.ceiling_rate)?;
        check_not_negative("plans.ceiling_burst", plan.ceiling_burst)?;
        let has_burst = plan.ceiling_rate == 0.0 || plan.ceiling_burst > 0.0;
        require(has_burst, "plans.ceiling_burst", plan.ceiling_burst, "above 0 if ceiling_rate is above 0")?;
    }
    Ok(())
}

fn check_usage(configuration: &Configuration) -> Check {
    check_weights("usage.share", configuration.usage.iter().map(|u| u.share))?;
    for usage in &configuration.usage {
        check_range("usage.of_rate", usage.load_factor)?;
        require(usage.spike_factor >= 1.0, "usage.spike_factor", usage.spike_factor, "at least 1")?;
        check_positive("usage.spike_factor", usage.spike_factor)?;
        check_seconds("usage.spike_every", usage.spike_every)?;
        let fits = (0.0..=usage.spike_every).contains(&usage.spike_seconds);
        require(fits, "usage.spike_seconds", usage.spike_seconds, "from 0 to usage.spike_every")?;
    }
    Ok(())
}

/// Returns the weighted mean of pairs of a weight and a value.
fn weighted_mean(values: impl Iterator<Item = (f64, f64)>) -> f64 {
    let (weighted_sum, total_weight) =
        values.fold((0.0, 0.0), |(sum, total), (weight, value)| (sum + weight * value, total + weight));
    weighted_sum / total_weight
}

fn check_load(configuration: &Configuration) -> Check {
    let mean_rate = weighted_mean(configuration.plans.iter().map(|plan| (plan.share, plan.rate)));
    let mean_load_factor = weighted_mean(configuration.usage.iter().map(|usage| {
        let spike_share_of_time =
            if usage.spike_every > 0.0 { usage.spike_seconds / usage.spike_every } else { 0.0 };
        let mean_outside_spikes = (usage.load_factor.min + usage.load_factor.max) / 2.0;
        (usage.share, mean_outside_spikes * (1.0 + spike_share_of_time * (usage.spike_factor - 1.0)))
    }));
    let mean_units = f64::from(1 + configuration.tenants.max_units) / 2.0;
    let requests_per_second =
        f64::from(configuration.tenants.count) * mean_rate * mean_load_factor / mean_units;
    let fits = requests_per_second <= MAX_REQUESTS_PER_SECOND;
    require(fits, "the expected load", requests_per_second, "at most 1000000 requests a second")
}

fn check_span(start: Seconds, end: Seconds) -> Check {
    check_seconds("faults.at", start)?;
    check_seconds("faults.until", end)?;
    require(start <= end, "faults.until", end, "no earlier than the start of the fault")
}

fn check_zone(configuration: &Configuration, zone: u32) -> Check {
    let zone_exists = zone < configuration.topology.zones;
    require(zone_exists, "faults.zone", f64::from(zone), "below topology.zones")
}

fn check_fault(configuration: &Configuration, fault: &Fault) -> Check {
    match *fault {
        Fault::RestartAtOnce { at, share: value } | Fault::LoseCounterEntries { at, share: value } => {
            check_seconds("faults.at", at)?;
            check_share("faults.share", value)
        }
        Fault::RestartOneByOne { from, until, count } => {
            check_span(from, until)?;
            require(count <= MAX_RESTARTS, "faults.count", f64::from(count), "at most 100000")
        }
        Fault::ReplaceEndpoints { from, until, count } => {
            check_span(from, until)?;
            let fits = count <= configuration.endpoints.count;
            require(fits, "faults.count", f64::from(count), "no more than workers.count")
        }
        Fault::LoseZone { at, until, zone } | Fault::CutCounter { at, until, zone } => {
            check_span(at, until)?;
            check_zone(configuration, zone)
        }
        Fault::SlowCounter { at, until, factor } => {
            check_span(at, until)?;
            check_positive("faults.factor", factor)
        }
        Fault::SilenceCounter { at, until } => check_span(at, until),
        Fault::CrashEndpoints { at, until, share: value }
        | Fault::HangEndpoints { at, until, share: value }
        | Fault::DrainEndpoints { at, until, share: value } => {
            check_span(at, until)?;
            check_share("faults.share", value)
        }
    }
}
