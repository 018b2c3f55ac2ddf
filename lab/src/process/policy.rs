//! The second part: the policy alone, inside this process.

use super::{
    Error,
    bounds::{self, BOUND_SIZE, Bound},
    policy_driver::{Driver, Scenario},
    policy_memory,
    report::{Axis, Metric, Report, Subject, check_sizes},
};
use cpu_time::ThreadTime;
use oliverack::Lifecycle;
use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

/// Endpoints in the rows of tenants.
const TENANT_ROW_ENDPOINTS: usize = 100;
/// Endpoints of the gateway whose open requests are weighed.
const OPEN_REQUEST_ENDPOINTS: usize = 1000;
/// Requests before those that are measured: the policy learns its endpoints' times.
const WARM_UP_REQUESTS: usize = 100;
/// Sweeps that a value is taken over.
const SWEEP_COUNT: usize = 20;
/// A batch stops after so much processor time, whatever its count.
const BATCH_TIME_LIMIT: Duration = Duration::from_millis(400);
/// The clock is read once in so many repetitions.
const CLOCK_READ_INTERVAL: usize = 16;
/// Seconds of virtual time after which the timers of requests are due.
const TIMER_DELAY: f64 = 1.0;

/// Arguments of `process policy`.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// Counts of listed workers.
    #[arg(
        long = "workers",
        value_name = "WORKERS",
        value_delimiter = ',',
        default_value = "10,100,1000,3000,9200"
    )]
    endpoints: Vec<usize>,
    /// Counts of tenants with a quota, served by 100 workers and a counter.
    #[arg(long, value_delimiter = ',', default_value = "100,1000,10000,32000")]
    tenants: Vec<usize>,
    /// Counts of gateways in the settings; the rows of workers are measured at each, those of tenants at the largest.
    #[arg(long, value_delimiter = ',', default_value = "1,100,680")]
    gateways: Vec<u32>,
    /// Rounds; each measures every row once, on a new gateway.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Requests at most that a value is taken over.
    #[arg(long, default_value_t = 4000)]
    requests: usize,
    /// One-entry changes at most that a value is taken over.
    #[arg(long, default_value_t = 200)]
    changes: usize,
    /// No row begins after so many seconds; those left out are reported as failed.
    #[arg(long, default_value_t = 600)]
    time_limit: u64,
    /// Fails where a row has failed, or, at 9,200 workers and any of the counts of gateways, a change takes more than
    /// 0.2 ms of processor time, or a worker outside the gateway's subset holds 150 bytes or more. Sizes 100 and 9200
    /// have to be among the workers, and a count above 1 among the gateways.
    #[arg(long)]
    check: bool,
    /// Writes the report to this file, too, as JSON lines.
    #[arg(long)]
    json: Option<PathBuf>,
}

impl Arguments {
    fn check_values(&self) -> Result<(), Error> {
        if self.rounds == 0 || self.requests == 0 || self.changes == 0 {
            return Err(Error::Argument("rounds, requests and changes must be above 0"));
        }
        check_sizes(self.endpoints.iter().chain(&self.tenants))?;
        if self.gateways.is_empty() || self.gateways.contains(&0) {
            return Err(Error::Argument("counts of gateways must be above 0"));
        }
        let bounded = [super::report::BASE_SIZE, BOUND_SIZE];
        if self.check && !bounded.iter().all(|size| self.endpoints.contains(size)) {
            return Err(Error::Argument("a checked run needs 100 and 9200 among the workers"));
        }
        // A gateway that is alone keeps to all endpoints.
        if self.check && self.gateways.iter().all(|gateways| *gateways == 1) {
            return Err(Error::Argument("a checked run needs a count of gateways above 1"));
        }
        Ok(())
    }

    fn subjects(&self) -> Vec<Subject> {
        let mut subjects = Vec::new();
        for size in &self.endpoints {
            let subject =
                |gateways: &u32| Subject { axis: Axis::Endpoints, gateways: *gateways, size: *size };
            subjects.extend(self.gateways.iter().map(subject));
        }
        let gateways = self.gateways.iter().copied().max().unwrap_or(1);
        let subject = |size: &usize| Subject { axis: Axis::Tenants, gateways, size: *size };
        subjects.extend(self.tenants.iter().map(subject));
        subjects
    }
}

/// Measures the policy and publishes the report.
///
/// # Errors
/// Arguments that cannot be used, a report that cannot be written, and, in a checked run, bounds that were violated.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    arguments.check_values()?;
    let report = measure(arguments);
    report.publish("policy", arguments.json.as_deref())?;
    if !arguments.check {
        return Ok(());
    }
    let failures = bounds::check(&report, bounds_at(&arguments.gateways));
    if failures.is_empty() { Ok(()) } else { Err(Error::CheckFailed(failures)) }
}

fn measure(arguments: &Arguments) -> Report {
    let limit = Duration::from_secs(arguments.time_limit);
    let started = Instant::now();
    let mut report = Report::default();
    let subjects = arguments.subjects();
    for round in 0..arguments.rounds {
        for subject in &subjects {
            if started.elapsed() >= limit {
                report.fail(*subject, &Error::TimedOut("the row's turn", limit));
            } else if let Err(error) = measure_row(arguments, *subject, round == 0, &mut report) {
                report.fail(*subject, &error);
            }
        }
    }
    if policy_memory::counts() {
        if let Err(error) = policy_memory::measure_open_requests(OPEN_REQUEST_ENDPOINTS, &mut report) {
            let subject = Subject { axis: Axis::Endpoints, gateways: 1, size: OPEN_REQUEST_ENDPOINTS };
            report.fail(subject, &error);
        }
    }
    report
}

/// Measures the times of one row, and its state where `measures_memory` asks for it: that is the same in every round.
fn measure_row(
    arguments: &Arguments,
    subject: Subject,
    measures_memory: bool,
    report: &mut Report,
) -> Result<(), Error> {
    let metered = subject.axis == Axis::Tenants;
    let (endpoints, tenants) = if metered { (TENANT_ROW_ENDPOINTS, subject.size) } else { (subject.size, 1) };
    let mut driver = Driver::new(Scenario { gateways: subject.gateways, tenants, metered })?;
    driver.list(endpoints);
    let warm_up = if metered { tenants } else { WARM_UP_REQUESTS };
    for _ in 0..warm_up {
        driver.request();
    }
    measure_requests(arguments, subject, &mut driver, report);
    if metered {
        measure_sweeps(subject, &mut driver, report);
    } else {
        measure_changes(arguments, subject, &mut driver, report);
    }
    match (measures_memory && policy_memory::counts(), subject.axis) {
        (true, Axis::Endpoints) => policy_memory::measure_endpoints(subject, report),
        (true, Axis::Tenants) => policy_memory::measure_tenants(subject, TENANT_ROW_ENDPOINTS, report),
        (false, _) => Ok(()),
    }
}

/// Repeats `work` up to `most` times within the limit of a batch; microseconds of processor time each took.
fn batch(most: usize, mut work: impl FnMut(usize)) -> f64 {
    let started = ThreadTime::now();
    let mut done = 0;
    while done < most {
        work(done);
        done += 1;
        if done % CLOCK_READ_INTERVAL == 0 && started.elapsed() >= BATCH_TIME_LIMIT {
            break;
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / done.max(1) as f64
}

/// Requests from arrival to answer, and then the timers that they have set.
fn measure_requests(arguments: &Arguments, subject: Subject, driver: &mut Driver, report: &mut Report) {
    let (mut served, mut sent) = (0_u64, 0_u64);
    let micros = batch(arguments.requests, |_| {
        served += u64::from(driver.request());
        sent += 1;
    });
    report.record(subject, Metric::RequestProcessorMicros, micros);
    report.record(subject, Metric::ServedShare, served as f64 / sent as f64);
    driver.advance(TIMER_DELAY);
    // The first is the sweep, which the start has set; it sets the next.
    driver.deliver_timer();
    let timers = driver.timers().saturating_sub(1);
    if timers > 0 {
        let micros = batch(timers, |_| {
            driver.deliver_timer();
        });
        report.record(subject, Metric::TimerProcessorMicros, micros);
    }
    while driver.timers() > 1 && driver.deliver_timer() {}
}

/// Drains endpoints all over the list and takes each back, one entry at a time.
fn measure_changes(arguments: &Arguments, subject: Subject, driver: &mut Driver, report: &mut Report) {
    let micros = batch(arguments.changes, |change| {
        let number = change / 2 * subject.size / arguments.changes.div_ceil(2);
        let lifecycle = if change % 2 == 0 { Lifecycle::Draining } else { Lifecycle::Running };
        driver.change(number, lifecycle);
    });
    report.record(subject, Metric::ChangeProcessorMicros, micros);
}

/// Sweeps over the tenants: the one timer that is left, which each sweep sets anew.
fn measure_sweeps(subject: Subject, driver: &mut Driver, report: &mut Report) {
    let micros = batch(SWEEP_COUNT, |_| {
        driver.deliver_timer();
    });
    report.record(subject, Metric::SweepProcessorMicros, micros);
}

/// What a checked run holds against the report.
fn bounds_at(gateways: &[u32]) -> Vec<(Subject, Bound)> {
    let mut history = Vec::new();
    for gateways in gateways {
        let subject = bounds::bounded_subject(*gateways);
        history.push((subject, bounds::CHANGE));
        // A gateway that is alone keeps to all endpoints.
        if *gateways > 1 {
            history.push((subject, bounds::OUTSIDE_STATE));
        }
    }
    history
}
