//! Bytes of the policy's state, by what the counting allocator has given out.
//!
//! The binary installs `stats_alloc` as its global allocator. Where a program does not, nothing is counted and
//! nothing is measured. The figures are the sizes that were asked for, without the allocator's own overhead.

use super::{
    Error,
    policy_driver::{Driver, Scenario},
    report::{Axis, Metric, Report, Subject},
};
use stats_alloc::INSTRUMENTED_SYSTEM;
use std::collections::BTreeSet;

/// Requests that show which endpoints a gateway sends to, for each endpoint it may reach at most.
const REQUESTS_PER_ENDPOINT: usize = 12;
/// Requests at least.
const MIN_REQUESTS: usize = 500;
/// Requests at most.
const MAX_REQUESTS: usize = 6000;
/// Open requests that the state is taken over.
const OPEN_REQUESTS: usize = 200;

/// Bytes that are allocated now; `None` where the allocator does not count.
fn allocated() -> Option<isize> {
    let stats = INSTRUMENTED_SYSTEM.stats();
    (stats.allocations > 0).then(|| stats.bytes_allocated.wrapping_sub(stats.bytes_deallocated) as isize)
}

/// Bytes allocated by `work`, and not freed.
fn growth(work: impl FnOnce()) -> Option<f64> {
    let before = allocated()?;
    work();
    Some((allocated()? - before) as f64)
}

/// Whether bytes are counted in this program.
pub fn counts() -> bool {
    allocated().is_some()
}

/// Records the bytes an endpoint inside and outside the gateway's subset.
///
/// # Errors
/// The policy rejects the settings.
pub fn measure_endpoints(subject: Subject, report: &mut Report) -> Result<(), Error> {
    let scenario = Scenario { gateways: subject.gateways, tenants: 1, metered: false };
    // A gateway that is alone keeps to all endpoints.
    let mut alone = Driver::new(Scenario { gateways: 1, ..scenario })?;
    let Some(all_inside) = growth(|| alone.list(subject.size)) else { return Ok(()) };
    let inside = all_inside / subject.size as f64;
    let mut driver = Driver::new(scenario)?;
    let Some(idle) = growth(|| driver.list(subject.size)) else { return Ok(()) };
    let (reached, answered) = reach_subset(subject, driver);
    report.record(subject, Metric::EndpointInsideBytes, inside);
    report.record(subject, Metric::EndpointAnsweredBytes, inside + answered / reached.max(1) as f64);
    if reached < subject.size && subject.gateways > 1 {
        let outside = (idle - reached as f64 * inside) / (subject.size - reached) as f64;
        report.record(subject, Metric::EndpointOutsideBytes, outside);
    }
    Ok(())
}

/// Sends requests until the whole subset has been reached, by all odds; its size, and the bytes that it grew by.
fn reach_subset(subject: Subject, mut driver: Driver) -> (usize, f64) {
    let requests = (REQUESTS_PER_ENDPOINT * subject.size).clamp(MIN_REQUESTS, MAX_REQUESTS);
    let mut reached = BTreeSet::new();
    // One tenant and its plan are known before the measurement begins.
    driver.request();
    let before = allocated().unwrap_or_default();
    for _ in 0..requests {
        driver.request_noting(&mut reached);
    }
    driver.advance(1.0);
    while driver.timers() > 1 && driver.deliver_timer() {}
    driver.shrink();
    let count = reached.len();
    drop(reached);
    (count, (allocated().unwrap_or_default() - before) as f64)
}

/// Records the bytes a tenant.
///
/// # Errors
/// The policy rejects the settings.
pub fn measure_tenants(subject: Subject, endpoints: usize, report: &mut Report) -> Result<(), Error> {
    let mut driver =
        Driver::new(Scenario { gateways: subject.gateways, tenants: subject.size, metered: true })?;
    driver.list(endpoints);
    let grown = growth(|| {
        for _ in 0..subject.size {
            driver.request();
        }
        driver.shrink();
    });
    if let Some(grown) = grown {
        report.record(subject, Metric::TenantBytes, grown / subject.size as f64);
    }
    Ok(())
}

/// Records the bytes an open request, in a gateway that is alone and so may have many out.
///
/// # Errors
/// The policy rejects the settings.
pub fn measure_open_requests(endpoints: usize, report: &mut Report) -> Result<(), Error> {
    let subject = Subject { axis: Axis::Endpoints, gateways: 1, size: endpoints };
    let mut driver = Driver::new(Scenario { gateways: 1, tenants: 1, metered: false })?;
    driver.list(endpoints);
    for _ in 0..OPEN_REQUESTS {
        driver.request();
    }
    let mut out = 0;
    let grown = growth(|| {
        for _ in 0..OPEN_REQUESTS {
            out = driver.open_request();
        }
    });
    if let (Some(grown), 1..) = (grown, out) {
        report.record(subject, Metric::OpenRequestBytes, grown / out as f64);
    }
    Ok(())
}
