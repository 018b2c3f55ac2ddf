//! The `process policy` benchmark: measures the policy alone, inside this process.

use super::{
    Error,
    bounds::{self, Bound},
    policy_driver::{Driver, Scenario},
    policy_memory,
    program_row::MICROSECONDS_PER_SECOND,
    report::{Axis, Metric, Report, RowKey},
    rounds::{CHECK_POSITION, RoundArguments, TENANT_ROW_ENDPOINTS},
};
use cpu_time::ThreadTime;
use oliverack::{Lifecycle, Seconds};
use std::time::Duration;

/// Number of endpoints in the measurement of open requests.
const OPEN_REQUEST_ENDPOINTS: usize = 1000;
/// Number of requests before the measured ones. The policy learns the latencies of its endpoints from them.
const WARM_UP_REQUESTS: usize = 100;
/// Number of sweeps over the tenants in a batch.
const SWEEP_COUNT: usize = 20;
/// Processor time after which a batch stops, however few repetitions are done.
const BATCH_TIME_LIMIT: Duration = Duration::from_millis(400);
/// Number of repetitions between two readings of the clock. A reading takes as long as some of the measured work.
const CLOCK_READ_INTERVAL: usize = 16;
/// Virtual time after which the timers of requests have expired.
const TIMER_DELAY: Seconds = 1.0;

/// Arguments of `process policy`.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    #[command(flatten)]
    round_arguments: RoundArguments,
    /// Numbers of gateways in the settings. Rows of endpoints are measured at each number, rows of tenants at the
    /// highest.
    #[arg(long, value_delimiter = ',', default_value = "1,100,680")]
    gateways: Vec<u32>,
    /// Number of rounds. Each round measures every row once, on a new gateway.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Most requests over which a value is averaged.
    #[arg(long, default_value_t = 4000)]
    requests: usize,
    /// Most one-entry changes over which a value is averaged.
    #[arg(long, default_value_t = 200)]
    changes: usize,
    /// Fails if a row fails or if, at 9,200 endpoints and any number of gateways, a change takes more than 0.2 ms of
    /// processor time, or an endpoint outside the gateway's subset takes 150 bytes or more. Requires 100 and 9200 among
    /// `--workers` and a number above 1 among `--gateways`.
    #[arg(long, display_order = CHECK_POSITION)]
    check: bool,
}

impl Arguments {
    fn check_values(&self) -> Result<(), Error> {
        if self.rounds == 0 || self.requests == 0 || self.changes == 0 {
            return Err(Error::InvalidArgument("rounds, requests and changes must be above 0"));
        }
        self.round_arguments.check_sizes()?;
        if self.gateways.is_empty() || self.gateways.contains(&0) {
            return Err(Error::InvalidArgument("counts of gateways must be above 0"));
        }
        if self.check { self.check_covers_bounds() } else { Ok(()) }
    }

    /// Checks that the run measures everything that has a bound.
    fn check_covers_bounds(&self) -> Result<(), Error> {
        self.round_arguments.check_includes_bounded_rows()?;
        // A single gateway has all endpoints in its subset, so none is outside it.
        if self.gateways.iter().all(|gateways| *gateways == 1) {
            return Err(Error::InvalidArgument("a checked run needs a count of gateways above 1"));
        }
        Ok(())
    }

    fn row_keys(&self) -> Vec<RowKey> {
        let mut row_keys = Vec::new();
        for size in &self.round_arguments.endpoints {
            let row_key = |gateways: &u32| RowKey { axis: Axis::Endpoints, gateways: *gateways, size: *size };
            row_keys.extend(self.gateways.iter().map(row_key));
        }
        let gateways = self.gateways.iter().copied().max().unwrap_or(1);
        let row_key = |size: &usize| RowKey { axis: Axis::Tenants, gateways, size: *size };
        row_keys.extend(self.round_arguments.tenants.iter().map(row_key));
        row_keys
    }

    /// Returns the bounds of a checked run.
    fn bounds(&self) -> Vec<(RowKey, Bound)> {
        let mut bounds = Vec::new();
        for gateways in &self.gateways {
            let row_key = bounds::bounded_row_key(*gateways);
            bounds.push((row_key, bounds::CHANGE));
            // A single gateway has all endpoints in its subset, so none is outside it.
            if *gateways > 1 {
                bounds.push((row_key, bounds::OUTSIDE_STATE));
            }
        }
        bounds
    }
}

/// Measures the policy and publishes the report.
///
/// # Errors
/// An argument is invalid, the report cannot be written, or a checked run violates a bound or has a failed row.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    arguments.check_values()?;
    let report = measure(arguments);
    arguments.round_arguments.publish("policy", &report, arguments.check.then(|| arguments.bounds()))
}

fn measure(arguments: &Arguments) -> Report {
    let measure_row = |round, row_key, report: &mut Report| {
        // The state is the same in every round.
        measure_row(arguments, row_key, round == 0, report)
    };
    let mut report = arguments.round_arguments.measure(arguments.rounds, &arguments.row_keys(), measure_row);
    if policy_memory::is_allocation_counted() {
        if let Err(error) = policy_memory::measure_open_requests(OPEN_REQUEST_ENDPOINTS, &mut report) {
            let row_key = RowKey { axis: Axis::Endpoints, gateways: 1, size: OPEN_REQUEST_ENDPOINTS };
            report.record_failure(row_key, &error);
        }
    }
    report
}

/// Measures the processor times of one row, and with `measures_memory` also the bytes of state.
fn measure_row(
    arguments: &Arguments,
    row_key: RowKey,
    measures_memory: bool,
    report: &mut Report,
) -> Result<(), Error> {
    let is_metered = row_key.axis == Axis::Tenants;
    let (endpoints, tenants) =
        if is_metered { (TENANT_ROW_ENDPOINTS, row_key.size) } else { (row_key.size, 1) };
    let mut driver = Driver::new(Scenario { gateways: row_key.gateways, tenants, is_metered })?;
    driver.update_list(endpoints);
    let warm_up = if is_metered { tenants } else { WARM_UP_REQUESTS };
    for _ in 0..warm_up {
        driver.complete_request();
    }
    measure_requests(arguments, row_key, &mut driver, report);
    if is_metered {
        measure_sweeps(row_key, &mut driver, report);
    } else {
        measure_changes(arguments, row_key, &mut driver, report);
    }
    match (measures_memory && policy_memory::is_allocation_counted(), row_key.axis) {
        (true, Axis::Endpoints) => policy_memory::measure_endpoints(row_key, report),
        (true, Axis::Tenants) => policy_memory::measure_tenants(row_key, TENANT_ROW_ENDPOINTS, report),
        (false, _) => Ok(()),
    }
}

/// Repeats `work` up to `max_repetitions` times or until [`BATCH_TIME_LIMIT`]. Returns the mean processor time of a
/// repetition, in microseconds.
fn measure_batch(max_repetitions: usize, mut work: impl FnMut(usize)) -> f64 {
    let started = ThreadTime::now();
    let mut done = 0;
    while done < max_repetitions {
        work(done);
        done += 1;
        if done % CLOCK_READ_INTERVAL == 0 && started.elapsed() >= BATCH_TIME_LIMIT {
            break;
        }
    }
    started.elapsed().as_secs_f64() * MICROSECONDS_PER_SECOND / done.max(1) as f64
}

/// Measures requests from arrival to response, and then the timers that they have set.
fn measure_requests(arguments: &Arguments, row_key: RowKey, driver: &mut Driver, report: &mut Report) {
    let (mut served, mut sent) = (0_u64, 0_u64);
    let micros = measure_batch(arguments.requests, |_| {
        served += u64::from(driver.complete_request());
        sent += 1;
    });
    report.record(row_key, Metric::RequestProcessorMicros, micros);
    report.record(row_key, Metric::ServedShare, served as f64 / sent as f64);
    driver.advance(TIMER_DELAY);
    // The oldest timer triggers the sweep over the tenants and was set at the start. The sweep sets its next timer.
    driver.deliver_timer();
    let timers = driver.pending_timers().saturating_sub(1);
    if timers > 0 {
        let micros = measure_batch(timers, |_| {
            driver.deliver_timer();
        });
        report.record(row_key, Metric::TimerProcessorMicros, micros);
    }
    while driver.pending_timers() > 1 && driver.deliver_timer() {}
}

/// Measures changes of one entry: endpoints spread over the list begin to drain, and then run again.
fn measure_changes(arguments: &Arguments, row_key: RowKey, driver: &mut Driver, report: &mut Report) {
    let micros = measure_batch(arguments.changes, |change| {
        let number = change / 2 * row_key.size / arguments.changes.div_ceil(2);
        let lifecycle = if change % 2 == 0 { Lifecycle::Draining } else { Lifecycle::Running };
        driver.change_endpoint(number, lifecycle);
    });
    report.record(row_key, Metric::ChangeProcessorMicros, micros);
}

/// Measures sweeps over the tenants. The only timer left triggers a sweep, and each sweep sets it again.
fn measure_sweeps(row_key: RowKey, driver: &mut Driver, report: &mut Report) {
    let micros = measure_batch(SWEEP_COUNT, |_| {
        driver.deliver_timer();
    });
    report.record(row_key, Metric::SweepProcessorMicros, micros);
}
