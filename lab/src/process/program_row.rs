//! Measures one row of the `process program` benchmark: starts a new process, and sends it a list of endpoints,
//! requests, and changes of the list.

use super::{
    Error,
    child::{ChildProgram, Configuration},
    load::{Load, LoadResult},
    report::{Axis, Metric, Report, RowKey},
    rounds::TENANT_ROW_ENDPOINTS,
    stand_in_counter::StandInCounter,
    stand_in_discovery::{DiscoveryEvent, EntryState, ListEntry, ListFormat, ListResponse, StandInDiscovery},
    stand_in_endpoints::StandInEndpoints,
    steady_state::SteadyState,
};
use std::{
    path::Path,
    time::{Duration, Instant},
};

/// Number of endpoints in the configuration's list. Discovery adds the others.
const CONFIGURED_ENDPOINTS: usize = 10;
/// Longest wait for a call to the stand-in for discovery or for its response.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of requests before the measured ones. The program opens connections and learns the latencies of its endpoints
/// from them.
const WARM_UP_REQUESTS: u64 = 1000;
/// Number of requests in a batch of the tenants' warm-up.
const BATCH_REQUESTS: u64 = 1000;
/// Longest warm-up of tenants. The program starts with a low rate of counter calls and raises it over a second or two.
const STEADY_STATE_TIMEOUT: Duration = Duration::from_secs(3);
/// Lowest accepted number of counter calls per request. With fewer, a row of tenants does not show the cost of a lease.
const MIN_CALLS_PER_REQUEST: f64 = 0.01;
/// Number of connections for the first request of each tenant. High, so that the load finishes before the program
/// evicts its first tenants, which it does after 26 s without a request.
const TENANT_CONNECTIONS: u64 = 32;
/// Lowest accepted share of requests that are served.
const MIN_SERVED_SHARE: f64 = 0.9;

const BYTES_PER_KIBIBYTE: f64 = 1024.0;
const BYTES_PER_MEBIBYTE: u64 = 1024 * 1024;
const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// Microseconds in a second.
pub const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Program, load and limits of a row.
#[derive(Debug)]
pub struct ProgramRow<'a> {
    /// Path of the built program.
    pub program: &'a Path,
    /// Key of the row in the report.
    pub row_key: RowKey,
    /// Number of measured requests.
    pub requests: u64,
    /// Number of connections on which the requests are sent.
    pub connections: u64,
    /// Number of one-entry changes of the list.
    pub changes: usize,
    /// Memory limit of the program, in MiB.
    pub memory_mb: usize,
}

impl ProgramRow<'_> {
    fn endpoints(&self) -> usize {
        match self.row_key.axis {
            Axis::Endpoints => self.row_key.size,
            Axis::Tenants => TENANT_ROW_ENDPOINTS,
        }
    }

    fn metered_tenants(&self) -> Option<u64> {
        match self.row_key.axis {
            Axis::Endpoints => None,
            Axis::Tenants => Some(self.row_key.size as u64),
        }
    }

    /// Returns a load of `requests` requests, which follow `sent_before` earlier ones.
    pub fn load(&self, requests: u64, sent_before: u64) -> Load {
        Load {
            requests,
            sent_before,
            connections: self.connections,
            metered_tenants: self.metered_tenants(),
            gateways: self.row_key.gateways,
        }
    }
}

/// Running program and the stand-ins that it is connected to.
#[derive(Debug)]
pub struct TestBed {
    entries: Vec<ListEntry>,
    discovery: StandInDiscovery,
    counter: Option<StandInCounter>,
    _stand_in_endpoints: StandInEndpoints,
    /// Running program.
    pub child: ChildProgram,
}

impl TestBed {
    /// Starts the stand-ins and the program, and waits until the program watches discovery.
    ///
    /// # Errors
    /// A stand-in or the program does not start, or the program does not watch discovery in time.
    pub fn start(row: &ProgramRow<'_>) -> Result<Self, Error> {
        let endpoints = StandInEndpoints::start()?;
        let entry = |number| ListEntry::new(number, endpoints.address(number), EntryState::Serving);
        let entries: Vec<ListEntry> = (0..row.endpoints()).map(entry).collect();
        let counter = row.metered_tenants().map(|_| StandInCounter::start()).transpose()?;
        let initial_list = &entries[..entries.len().min(CONFIGURED_ENDPOINTS)];
        let discovery = StandInDiscovery::start(initial_list.to_vec())?;
        let configuration = Configuration {
            discovery: discovery.address,
            counter: counter.as_ref().map(|counter| counter.address),
            initial_list: serde_json::json!(ListResponse { version: 0, full: true, endpoints: initial_list }),
            gateways: row.row_key.gateways,
            memory_mb: row.memory_mb,
        };
        let child = ChildProgram::start(row.program, &configuration)?;
        let test_bed = Self { entries, discovery, counter, _stand_in_endpoints: endpoints, child };
        test_bed.wait_for_watch()?;
        Ok(test_bed)
    }

    /// Sends the complete list to the program. Returns how long the program took to apply it.
    ///
    /// # Errors
    /// The program does not apply the list in time.
    pub fn send_list(&self, format: ListFormat) -> Result<Duration, Error> {
        let version = self.discovery.replace(self.entries.clone(), format);
        self.wait_until_applied(version)
    }

    /// Waits until the program watches for changes, whatever the version of its list.
    fn wait_for_watch(&self) -> Result<(), Error> {
        while !matches!(self.next_event("a watch")?, DiscoveryEvent::Call { from: Some(_), .. }) {}
        Ok(())
    }

    /// Waits for the start of the response that leads to `version`, and for the next watch, which shows whether the
    /// program has applied the list. Returns the time between the two.
    fn wait_until_applied(&self, version: u64) -> Result<Duration, Error> {
        let mut write_started = None;
        loop {
            match (self.next_event("a watch")?, write_started) {
                (DiscoveryEvent::Response { version: sent_version, at }, _) if sent_version >= version => {
                    write_started = Some(at);
                }
                (DiscoveryEvent::Call { from, at }, Some(started)) => {
                    if from.is_none_or(|from| from < version) {
                        return Err(Error::ListNotApplied(self.child.last_log_line()));
                    }
                    return Ok(at.duration_since(started));
                }
                _ => {}
            }
        }
    }

    fn next_event(&self, event: &'static str) -> Result<DiscoveryEvent, Error> {
        self.discovery
            .events
            .recv_timeout(EVENT_TIMEOUT)
            .map_err(|_| Error::TimedOut { event, limit: EVENT_TIMEOUT })
    }
}

/// Row that is being measured.
struct RowBenchmark<'a> {
    row: &'a ProgramRow<'a>,
    report: &'a mut Report,
    test_bed: TestBed,
    /// Number of requests sent so far.
    sent: u64,
}

/// Measures one row and records the values in the report.
///
/// # Errors
/// A measurement could not be made. The values of earlier measurements stay in the report.
pub fn measure(row: &ProgramRow<'_>, report: &mut Report) -> Result<(), Error> {
    let test_bed = TestBed::start(row)?;
    let mut benchmark = RowBenchmark { row, report, test_bed, sent: 0 };
    match row.row_key.axis {
        Axis::Endpoints => benchmark.measure_endpoints(),
        Axis::Tenants => benchmark.measure_tenants(),
    }
}

impl RowBenchmark<'_> {
    fn measure_endpoints(&mut self) -> Result<(), Error> {
        self.measure_list(ListFormat::Compact)?;
        self.send(self.row.load(WARM_UP_REQUESTS, self.sent))?;
        self.measure_requests()?;
        self.measure_changes()?;
        let peak_bytes = self.test_bed.child.memory()?.peak_bytes;
        self.record(Metric::PeakResidentKibibytes, peak_bytes as f64 / BYTES_PER_KIBIBYTE);
        self.check_memory()?;
        self.measure_list(ListFormat::Indented)?;
        let peak_bytes = self.test_bed.child.memory()?.peak_bytes;
        self.record(Metric::PeakIndentedKibibytes, peak_bytes as f64 / BYTES_PER_KIBIBYTE);
        self.check_memory()
    }

    fn measure_tenants(&mut self) -> Result<(), Error> {
        self.test_bed.send_list(ListFormat::Compact)?;
        // One request per tenant, so that the program has the state of all tenants before the measurement.
        let load = self.row.load(self.row.row_key.size as u64, self.sent);
        self.send(Load { connections: TENANT_CONNECTIONS, ..load })?;
        self.wait_for_steady_counter_calls()?;
        self.measure_requests()?;
        let peak_bytes = self.test_bed.child.memory()?.peak_bytes;
        self.record(Metric::PeakResidentKibibytes, peak_bytes as f64 / BYTES_PER_KIBIBYTE);
        self.check_memory()
    }

    fn record(&mut self, metric: Metric, value: f64) {
        self.report.record(self.row.row_key, metric, value);
    }

    fn check_memory(&self) -> Result<(), Error> {
        let limit_bytes = self.row.memory_mb as u64 * BYTES_PER_MEBIBYTE;
        let peak_bytes = self.test_bed.child.memory()?.peak_bytes;
        if peak_bytes > limit_bytes {
            Err(Error::MemoryLimitExceeded { peak_bytes, limit_bytes })
        } else {
            Ok(())
        }
    }

    /// Sends the complete list, and records the elapsed time and the processor time that the program took to apply it.
    fn measure_list(&mut self, format: ListFormat) -> Result<(), Error> {
        let (elapsed_metric, processor_metric) = match format {
            ListFormat::Compact => (Metric::CompactListElapsedMillis, Metric::CompactListProcessorMillis),
            ListFormat::Indented => (Metric::IndentedListElapsedMillis, Metric::IndentedListProcessorMillis),
        };
        let before = self.test_bed.child.processor_time()?;
        let elapsed = self.test_bed.send_list(format)?;
        let processor_time = self.test_bed.child.processor_time()? - before;
        self.record(elapsed_metric, elapsed.as_secs_f64() * MILLISECONDS_PER_SECOND);
        self.record(processor_metric, processor_time.as_secs_f64() * MILLISECONDS_PER_SECOND);
        Ok(())
    }

    fn measure_requests(&mut self) -> Result<(), Error> {
        let calls_before = self.counter_calls();
        let before = self.test_bed.child.processor_time()?;
        let result = self.send(self.row.load(self.row.requests, self.sent))?;
        let processor_time = self.test_bed.child.processor_time()? - before;
        let share = result.served as f64 / result.sent as f64;
        self.record(Metric::ServedShare, share);
        if share < MIN_SERVED_SHARE {
            return Err(Error::TooFewServed { served: result.served, sent: result.sent });
        }
        self.record(
            Metric::RequestProcessorMicros,
            processor_time.as_secs_f64() * MICROSECONDS_PER_SECOND / result.sent as f64,
        );
        let resident_bytes = self.test_bed.child.memory()?.resident_bytes;
        self.record(Metric::ResidentKibibytes, resident_bytes as f64 / BYTES_PER_KIBIBYTE);
        if self.test_bed.counter.is_some() {
            self.record_counter_calls(self.counter_calls() - calls_before, result.sent)
        } else {
            Ok(())
        }
    }

    fn record_counter_calls(&mut self, calls: u64, sent: u64) -> Result<(), Error> {
        let calls_per_request = calls as f64 / sent as f64;
        self.record(Metric::CounterCallsPerRequest, calls_per_request);
        let min_calls_per_request = MIN_CALLS_PER_REQUEST;
        if calls_per_request < min_calls_per_request {
            Err(Error::TooFewCounterCalls { calls, sent, min_calls_per_request })
        } else {
            Ok(())
        }
    }

    /// Sends requests until the number of counter calls per request is steady, or until [`STEADY_STATE_TIMEOUT`].
    fn wait_for_steady_counter_calls(&mut self) -> Result<(), Error> {
        let started = Instant::now();
        let mut steady_state = SteadyState::default();
        while started.elapsed() < STEADY_STATE_TIMEOUT {
            let calls_before = self.counter_calls();
            let result = self.send(self.row.load(BATCH_REQUESTS, self.sent))?;
            let calls_per_request = (self.counter_calls() - calls_before) as f64 / result.sent as f64;
            if steady_state.add(calls_per_request, MIN_CALLS_PER_REQUEST) {
                break;
            }
        }
        Ok(())
    }

    fn send(&mut self, load: Load) -> Result<LoadResult, Error> {
        let result = load.run(self.test_bed.child.address)?;
        self.sent += result.sent;
        Ok(result)
    }

    /// Returns the number of counter calls so far; 0 in a row without a counter.
    fn counter_calls(&self) -> u64 {
        self.test_bed.counter.as_ref().map_or(0, StandInCounter::calls)
    }

    /// Measures changes of one entry: endpoints spread over the list begin to drain, and then serve again.
    fn measure_changes(&mut self) -> Result<(), Error> {
        let changes = self.row.changes;
        let endpoints = self.test_bed.entries.len();
        let mut elapsed_micros = Vec::with_capacity(changes);
        let before = self.test_bed.child.processor_time()?;
        for change in 0..changes {
            let number = change / 2 * endpoints / changes.div_ceil(2);
            let state = if change % 2 == 0 { EntryState::Draining } else { EntryState::Serving };
            let version = self.test_bed.discovery.change(number, state);
            elapsed_micros
                .push(self.test_bed.wait_until_applied(version)?.as_secs_f64() * MICROSECONDS_PER_SECOND);
        }
        let processor_time = self.test_bed.child.processor_time()? - before;
        elapsed_micros.sort_by(f64::total_cmp);
        self.record(Metric::ChangeElapsedMicros, elapsed_micros[changes / 2]);
        self.record(
            Metric::ChangeProcessorMicros,
            processor_time.as_secs_f64() * MICROSECONDS_PER_SECOND / changes as f64,
        );
        Ok(())
    }
}
