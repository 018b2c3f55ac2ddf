//! Measures the bytes of the policy's state with the counts of the global allocator.
//!
//! The lab's binary installs `stats_alloc` as its global allocator. In a program with another allocator nothing is
//! measured. Values are requested sizes, without the overhead of the allocator.

use super::{
    Error,
    policy_driver::{Driver, Scenario},
    report::{Axis, Metric, Report, RowKey},
};
use oliverack::Seconds;
use stats_alloc::INSTRUMENTED_SYSTEM;
use std::collections::BTreeSet;

/// Number of requests per listed endpoint, enough that each endpoint of the subset almost certainly receives one.
const REQUESTS_PER_ENDPOINT: usize = 12;
/// Lowest number of requests sent to reach the whole subset.
const MIN_REQUESTS: usize = 500;
/// Highest number of requests sent to reach the whole subset.
const MAX_REQUESTS: usize = 6000;
/// Number of open requests over which the bytes are averaged.
const OPEN_REQUESTS: usize = 200;
/// Virtual time after which the timers of requests have expired.
const TIMER_DELAY: Seconds = 1.0;

/// Returns the bytes that are allocated now; `None` if the allocator does not count them.
fn allocated_bytes() -> Option<isize> {
    let stats = INSTRUMENTED_SYSTEM.stats();
    (stats.allocations > 0).then(|| stats.bytes_allocated.wrapping_sub(stats.bytes_deallocated) as isize)
}

/// Returns the bytes that `work` allocates and does not free; `None` if the allocator does not count them.
fn measure_growth(work: impl FnOnce()) -> Option<f64> {
    let before = allocated_bytes()?;
    work();
    Some((allocated_bytes()? - before) as f64)
}

/// Returns whether the allocator of this program counts the allocated bytes.
pub fn is_allocation_counted() -> bool {
    allocated_bytes().is_some()
}

/// Records the bytes per endpoint inside and outside the gateway's subset.
///
/// # Errors
/// The policy rejects the settings.
pub fn measure_endpoints(row_key: RowKey, report: &mut Report) -> Result<(), Error> {
    let scenario = Scenario { gateways: row_key.gateways, tenants: 1, is_metered: false };
    // A single gateway has all endpoints in its subset.
    let mut single = Driver::new(Scenario { gateways: 1, ..scenario })?;
    let Some(total_bytes) = measure_growth(|| single.update_list(row_key.size)) else { return Ok(()) };
    let bytes_per_subset_endpoint = total_bytes / row_key.size as f64;
    let mut driver = Driver::new(scenario)?;
    let Some(idle_bytes) = measure_growth(|| driver.update_list(row_key.size)) else { return Ok(()) };
    let subset = reach_whole_subset(row_key, driver);
    let added_bytes_per_endpoint = subset.added_bytes / subset.size.max(1) as f64;
    report.record(row_key, Metric::EndpointInsideBytes, bytes_per_subset_endpoint);
    report.record(
        row_key,
        Metric::EndpointRespondedBytes,
        bytes_per_subset_endpoint + added_bytes_per_endpoint,
    );
    if subset.size < row_key.size && row_key.gateways > 1 {
        let bytes_per_other_endpoint = (idle_bytes - subset.size as f64 * bytes_per_subset_endpoint)
            / (row_key.size - subset.size) as f64;
        report.record(row_key, Metric::EndpointOutsideBytes, bytes_per_other_endpoint);
    }
    Ok(())
}

/// Endpoints that have responded to a gateway; almost certainly the gateway's whole subset.
struct RespondedSubset {
    size: usize,
    /// Bytes of state that the responses added.
    added_bytes: f64,
}

/// Sends enough requests that almost certainly each endpoint of the subset has responded.
fn reach_whole_subset(row_key: RowKey, mut driver: Driver) -> RespondedSubset {
    let requests = (REQUESTS_PER_ENDPOINT * row_key.size).clamp(MIN_REQUESTS, MAX_REQUESTS);
    let mut reached = BTreeSet::new();
    // The first request creates the state of the tenant and its plan, which must not be counted as state of endpoints.
    driver.complete_request();
    let before = allocated_bytes().unwrap_or_default();
    for _ in 0..requests {
        driver.complete_request_and_record(&mut reached);
    }
    driver.advance(TIMER_DELAY);
    while driver.pending_timers() > 1 && driver.deliver_timer() {}
    driver.shrink();
    let size = reached.len();
    // Frees the set of ids, which must not be counted as state of the gateway.
    drop(reached);
    RespondedSubset { size, added_bytes: (allocated_bytes().unwrap_or_default() - before) as f64 }
}

/// Records the bytes per tenant.
///
/// # Errors
/// The policy rejects the settings.
pub fn measure_tenants(row_key: RowKey, endpoints: usize, report: &mut Report) -> Result<(), Error> {
    let mut driver =
        Driver::new(Scenario { gateways: row_key.gateways, tenants: row_key.size, is_metered: true })?;
    driver.update_list(endpoints);
    let added_bytes = measure_growth(|| {
        for _ in 0..row_key.size {
            driver.complete_request();
        }
        driver.shrink();
    });
    if let Some(added_bytes) = added_bytes {
        report.record(row_key, Metric::TenantBytes, added_bytes / row_key.size as f64);
    }
    Ok(())
}

/// Records the bytes per open request of a single gateway, which may have many attempts in flight.
///
/// # Errors
/// The policy rejects the settings.
pub fn measure_open_requests(endpoints: usize, report: &mut Report) -> Result<(), Error> {
    let row_key = RowKey { axis: Axis::Endpoints, gateways: 1, size: endpoints };
    let mut driver = Driver::new(Scenario { gateways: 1, tenants: 1, is_metered: false })?;
    driver.update_list(endpoints);
    for _ in 0..OPEN_REQUESTS {
        driver.complete_request();
    }
    let mut in_flight = 0;
    let added_bytes = measure_growth(|| {
        for _ in 0..OPEN_REQUESTS {
            in_flight = driver.open_request();
        }
    });
    if let Some(added_bytes) = added_bytes.filter(|_| in_flight > 0) {
        report.record(row_key, Metric::OpenRequestBytes, added_bytes / in_flight as f64);
    }
    Ok(())
}
