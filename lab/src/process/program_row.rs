//! One row of the program's benchmark: a new process, a list of endpoints, requests, and changes of the list.

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

/// Endpoints listed in the configuration; discovery lists the others.
const CONFIGURED_ENDPOINTS: usize = 10;
/// Longest wait for an event of discovery.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests before those that are measured, in which connections are opened and the program learns the latencies of its
/// endpoints.
const WARM_UP_REQUESTS: u64 = 1000;
/// Requests in a batch of the warm-up of tenants.
const BATCH_REQUESTS: u64 = 1000;
/// Longest warm-up of tenants. The program raises its rate of counter calls over a second or two, from a low start.
const STEADY_STATE_TIMEOUT: Duration = Duration::from_secs(3);
/// Fewest counter calls a request; with fewer, a row of tenants does not show the cost of a lease.
const MIN_CALLS_PER_REQUEST: f64 = 0.01;
/// Connections on which each tenant sends its first request. Many, as the program forgets a tenant that is idle for 26 s.
const TENANT_CONNECTIONS: u64 = 32;
/// Lowest share of requests that has to be served.
const MIN_SERVED_SHARE: f64 = 0.9;

const BYTES_PER_KIBIBYTE: f64 = 1024.0;
const BYTES_PER_MEBIBYTE: u64 = 1024 * 1024;
const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// Microseconds in a second.
pub const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// What a row measures and with what load.
#[derive(Debug)]
pub struct Row<'a> {
    /// The built program.
    pub program: &'a Path,
    /// Its place in the report.
    pub row_key: RowKey,
    /// Requests that are measured.
    pub requests: u64,
    /// Connections that they come on.
    pub connections: u64,
    /// One-entry changes.
    pub changes: usize,
    /// The program's limit on memory, in MB.
    pub memory_mb: usize,
}

impl Row<'_> {
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

    /// A load of so many requests, after those that were sent before.
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

/// The running program and the stand-ins that it is connected to.
#[derive(Debug)]
pub struct TestBed {
    entries: Vec<ListEntry>,
    discovery: StandInDiscovery,
    counter: Option<StandInCounter>,
    _stand_in_endpoints: StandInEndpoints,
    /// The running program.
    pub child: ChildProgram,
}

impl TestBed {
    /// Starts the stand-ins and the program, and waits until the program watches discovery.
    ///
    /// # Errors
    /// One of them does not start, or the program does not watch discovery.
    pub fn start(row: &Row<'_>) -> Result<Self, Error> {
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
    /// The program does not apply the list.
    pub fn send_list(&self, format: ListFormat) -> Result<Duration, Error> {
        let version = self.discovery.replace(self.entries.clone(), format);
        self.wait_until_applied(version)
    }

    /// Waits until the program watches for changes of any version.
    fn wait_for_watch(&self) -> Result<(), Error> {
        while !matches!(self.next_event("a watch")?, DiscoveryEvent::Call { from: Some(_), .. }) {}
        Ok(())
    }

    /// Waits until the response that leads to `version` was written and the next watch has come. Returns the time between
    /// the two.
    fn wait_until_applied(&self, version: u64) -> Result<Duration, Error> {
        let mut written = None;
        loop {
            match (self.next_event("a watch")?, written) {
                (DiscoveryEvent::Response { version: answered, at }, _) if answered >= version => {
                    written = Some(at);
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

/// A row that is being measured.
struct RowBenchmark<'a> {
    row: &'a Row<'a>,
    report: &'a mut Report,
    test_bed: TestBed,
    /// Requests sent so far.
    sent: u64,
}

/// Measures one row into the report.
///
/// # Errors
/// A measurement could not be made; the results of earlier ones are in the report.
pub fn measure(row: &Row<'_>, report: &mut Report) -> Result<(), Error> {
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
        // Each tenant sends one request, so that the program knows all of them when the measurement begins.
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

    /// Sends the complete list, and records how long the program took to apply it, and its processor time.
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

    /// Sends requests until the rate of counter calls a request is steady, or for [`STEADY_STATE_TIMEOUT`].
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

    /// Counter calls so far; 0 in a row without a counter.
    fn counter_calls(&self) -> u64 {
        self.test_bed.counter.as_ref().map_or(0, StandInCounter::calls)
    }

    /// Measures changes of one entry: endpoints all over the list drain and are back.
    fn measure_changes(&mut self) -> Result<(), Error> {
        let changes = self.row.changes;
        let endpoints = self.test_bed.entries.len();
        let mut elapsed = Vec::with_capacity(changes);
        let before = self.test_bed.child.processor_time()?;
        for change in 0..changes {
            let number = change / 2 * endpoints / changes.div_ceil(2);
            let state = if change % 2 == 0 { EntryState::Draining } else { EntryState::Serving };
            let version = self.test_bed.discovery.change(number, state);
            elapsed.push(self.test_bed.wait_until_applied(version)?.as_secs_f64() * MICROSECONDS_PER_SECOND);
        }
        let processor_time = self.test_bed.child.processor_time()? - before;
        elapsed.sort_by(f64::total_cmp);
        self.record(Metric::ChangeElapsedMicros, elapsed[changes / 2]);
        self.record(
            Metric::ChangeProcessorMicros,
            processor_time.as_secs_f64() * MICROSECONDS_PER_SECOND / changes as f64,
        );
        Ok(())
    }
}
