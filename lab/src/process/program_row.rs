//! One row of the program's benchmark: a new process, a list of endpoints, requests, and changes of the list.

use super::{
    Error,
    child::{ChildProgram, Configuration},
    load::{Load, LoadResult},
    report::{Axis, Metric, Report, Subject},
    stand_in_counter::StandInCounter,
    stand_in_discovery::{DiscoveryEvent, EntryState, ListEntry, ListFormat, ListResponse, StandInDiscovery},
    stand_in_endpoints::StandInEndpoints,
    steady_state::SteadyState,
};
use std::{
    path::Path,
    time::{Duration, Instant},
};

/// Endpoints in the configuration's list; the rest come by discovery.
const CONFIGURED_ENDPOINTS: usize = 10;
/// Endpoints in the rows of tenants.
const TENANT_ROW_ENDPOINTS: usize = 100;
/// An event of discovery that takes longer is given up.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests before those that are measured: connections come up, and the program learns its endpoints' times.
const WARM_UP_REQUESTS: u64 = 1000;
/// Requests in a batch of the tenants' warm-up.
const BATCH_REQUESTS: u64 = 1000;
/// The tenants' warm-up ends after this at the latest: the program raises its rate of counter calls, over a second or
/// two from a low start.
const STEADY_STATE_TIMEOUT: Duration = Duration::from_secs(3);
/// Least calls of the counter a request: with fewer, a row of tenants does not show what a lease costs.
const MIN_CALLS_PER_REQUEST: f64 = 0.01;
/// Connections on which each tenant comes once: many, as the program forgets a tenant that is idle for 26 s.
const TENANT_CONNECTIONS: u64 = 32;
/// Least share of requests that has to be served.
const MIN_SERVED_SHARE: f64 = 0.9;

/// What a row does.
#[derive(Debug)]
pub struct Row<'a> {
    /// The built program.
    pub program: &'a Path,
    /// What the row measures.
    pub subject: Subject,
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
        match self.subject.axis {
            Axis::Endpoints => self.subject.size,
            Axis::Tenants => TENANT_ROW_ENDPOINTS,
        }
    }

    fn metered_tenants(&self) -> Option<u64> {
        match self.subject.axis {
            Axis::Endpoints => None,
            Axis::Tenants => Some(self.subject.size as u64),
        }
    }

    /// So many requests, after those sent before.
    pub fn load(&self, requests: u64, before: u64) -> Load {
        let (connections, gateways) = (self.connections, self.subject.gateways);
        Load { requests, before, connections, metered_tenants: self.metered_tenants(), gateways }
    }
}

/// The program, running, and what stands round it.
#[derive(Debug)]
pub struct TestBed {
    entries: Vec<ListEntry>,
    discovery: StandInDiscovery,
    counter: Option<StandInCounter>,
    _workers: StandInEndpoints,
    /// The program.
    pub child: ChildProgram,
}

impl TestBed {
    /// Starts the stand-ins and the program, and waits until that follows discovery.
    ///
    /// # Errors
    /// One of them does not start, or the program does not follow discovery.
    pub fn start(row: &Row<'_>) -> Result<Self, Error> {
        let endpoints = StandInEndpoints::start()?;
        let entry = |number| ListEntry::new(number, endpoints.address(number), EntryState::Serving);
        let entries: Vec<ListEntry> = (0..row.endpoints()).map(entry).collect();
        let counter = row.metered_tenants().map(|_| StandInCounter::start()).transpose()?;
        let known = &entries[..entries.len().min(CONFIGURED_ENDPOINTS)];
        let discovery = StandInDiscovery::start(known.to_vec())?;
        let configuration = Configuration {
            discovery: discovery.address,
            counter: counter.as_ref().map(|counter| counter.address),
            known: serde_json::json!(ListResponse { version: 0, full: true, endpoints: known }),
            gateways: row.subject.gateways,
            memory_mb: row.memory_mb,
        };
        let child = ChildProgram::start(row.program, &configuration)?;
        let surroundings = Self { entries, discovery, counter, _workers: endpoints, child };
        surroundings.wait_for_watch()?;
        Ok(surroundings)
    }

    /// Has the program take the whole list in; how long that took.
    ///
    /// # Errors
    /// It does not.
    pub fn take_list(&self, format: ListFormat) -> Result<Duration, Error> {
        let version = self.discovery.replace(self.entries.clone(), format);
        self.wait_until_taken(version)
    }

    /// Waits until the program watches from any version.
    fn wait_for_watch(&self) -> Result<(), Error> {
        while !matches!(self.next_event("a watch")?, DiscoveryEvent::Call { from: Some(_), .. }) {}
        Ok(())
    }

    /// Waits until the answer that leads to `version` has been written and the next watch has come; the time
    /// between the two.
    fn wait_until_taken(&self, version: u64) -> Result<Duration, Error> {
        let mut written = None;
        loop {
            match (self.next_event("a watch")?, written) {
                (DiscoveryEvent::Answer { version: answered, at }, _) if answered >= version => {
                    written = Some(at)
                }
                (DiscoveryEvent::Call { from, at }, Some(started)) => {
                    if from.is_none_or(|from| from < version) {
                        return Err(Error::ListNotTaken(self.child.last_line()));
                    }
                    return Ok(at.duration_since(started));
                }
                _ => {}
            }
        }
    }

    fn next_event(&self, event: &'static str) -> Result<DiscoveryEvent, Error> {
        self.discovery.events.recv_timeout(EVENT_TIMEOUT).map_err(|_| Error::TimedOut(event, EVENT_TIMEOUT))
    }
}

/// A row that is being measured.
struct RowBenchmark<'a> {
    row: &'a Row<'a>,
    report: &'a mut Report,
    test_bed: TestBed,
    /// Requests sent.
    sent: u64,
}

/// Measures one row into the report.
///
/// # Errors
/// What could not be done; what was measured before that is in the report.
pub fn measure(row: &Row<'_>, report: &mut Report) -> Result<(), Error> {
    let test_bed = TestBed::start(row)?;
    let mut benchmark = RowBenchmark { row, report, test_bed, sent: 0 };
    match row.subject.axis {
        Axis::Endpoints => benchmark.measure_endpoints(),
        Axis::Tenants => benchmark.measure_tenants(),
    }
}

impl RowBenchmark<'_> {
    fn measure_endpoints(&mut self) -> Result<(), Error> {
        self.measure_list(
            ListFormat::Compact,
            [Metric::CompactListElapsedMillis, Metric::CompactListProcessorMillis],
        )?;
        self.send(self.row.load(WARM_UP_REQUESTS, self.sent))?;
        self.measure_requests()?;
        self.measure_changes()?;
        let peak = self.test_bed.child.memory()?.peak;
        self.record(Metric::PeakResidentKibibytes, peak as f64 / 1024.0);
        self.check_memory()?;
        self.measure_list(
            ListFormat::Indented,
            [Metric::IndentedListElapsedMillis, Metric::IndentedListProcessorMillis],
        )?;
        let peak = self.test_bed.child.memory()?.peak;
        self.record(Metric::PeakIndentedKibibytes, peak as f64 / 1024.0);
        self.check_memory()
    }

    fn measure_tenants(&mut self) -> Result<(), Error> {
        self.test_bed.take_list(ListFormat::Compact)?;
        // Each tenant comes once, so that all are known when the measurement begins.
        let load = self.row.load(self.row.subject.size as u64, self.sent);
        self.send(Load { connections: TENANT_CONNECTIONS, ..load })?;
        self.wait_for_steady_counter_calls()?;
        self.measure_requests()?;
        let peak = self.test_bed.child.memory()?.peak;
        self.record(Metric::PeakResidentKibibytes, peak as f64 / 1024.0);
        self.check_memory()
    }

    fn record(&mut self, metric: Metric, value: f64) {
        self.report.record(self.row.subject, metric, value);
    }

    fn check_memory(&self) -> Result<(), Error> {
        let limit = (self.row.memory_mb as u64) << 20;
        let peak = self.test_bed.child.memory()?.peak;
        if peak > limit { Err(Error::MemoryLimitExceeded { peak, limit }) } else { Ok(()) }
    }

    /// Takes the whole list in, and records the elapsed and the processor time.
    fn measure_list(&mut self, format: ListFormat, [elapsed, processor]: [Metric; 2]) -> Result<(), Error> {
        let before = self.test_bed.child.processor_time()?;
        let taken = self.test_bed.take_list(format)?;
        let processor_time = self.test_bed.child.processor_time()? - before;
        self.record(elapsed, taken.as_secs_f64() * 1e3);
        self.record(processor, processor_time.as_secs_f64() * 1e3);
        Ok(())
    }

    fn measure_requests(&mut self) -> Result<(), Error> {
        let calls_before = self.counter_calls();
        let before = self.test_bed.child.processor_time()?;
        let outcome = self.send(self.row.load(self.row.requests, self.sent))?;
        let processor_time = self.test_bed.child.processor_time()? - before;
        let share = outcome.served as f64 / outcome.sent as f64;
        self.record(Metric::ServedShare, share);
        if share < MIN_SERVED_SHARE {
            return Err(Error::TooFewServed { served: outcome.served, sent: outcome.sent });
        }
        self.record(Metric::RequestProcessorMicros, processor_time.as_secs_f64() * 1e6 / outcome.sent as f64);
        let resident = self.test_bed.child.memory()?.resident;
        self.record(Metric::ResidentKibibytes, resident as f64 / 1024.0);
        let metered = self.test_bed.counter.is_some();
        if metered {
            self.record_counter_calls(self.counter_calls() - calls_before, outcome.sent)
        } else {
            Ok(())
        }
    }

    fn record_counter_calls(&mut self, calls: u64, sent: u64) -> Result<(), Error> {
        let calls_per_request = calls as f64 / sent as f64;
        self.record(Metric::CounterCallsPerRequest, calls_per_request);
        let least = MIN_CALLS_PER_REQUEST;
        if calls_per_request < least { Err(Error::TooFewCounterCalls { calls, sent, least }) } else { Ok(()) }
    }

    /// Sends requests until calls of the counter a request have settled, or for [`STEADY_STATE_TIMEOUT`].
    fn wait_for_steady_counter_calls(&mut self) -> Result<(), Error> {
        let started = Instant::now();
        let mut steady_state = SteadyState::default();
        while started.elapsed() < STEADY_STATE_TIMEOUT {
            let calls_before = self.counter_calls();
            let outcome = self.send(self.row.load(BATCH_REQUESTS, self.sent))?;
            let calls_per_request = (self.counter_calls() - calls_before) as f64 / outcome.sent as f64;
            if steady_state.note(calls_per_request, MIN_CALLS_PER_REQUEST) {
                break;
            }
        }
        Ok(())
    }

    fn send(&mut self, load: Load) -> Result<LoadResult, Error> {
        let outcome = load.run(self.test_bed.child.address)?;
        self.sent += outcome.sent;
        Ok(outcome)
    }

    /// Calls of the counter; 0 in a row without.
    fn counter_calls(&self) -> u64 {
        self.test_bed.counter.as_ref().map_or(0, StandInCounter::calls)
    }

    /// Drains endpoints all over the list and takes each back, one entry at a time.
    fn measure_changes(&mut self) -> Result<(), Error> {
        let (changes, endpoints) = (self.row.changes, self.test_bed.entries.len());
        let mut elapsed = Vec::with_capacity(changes);
        let before = self.test_bed.child.processor_time()?;
        for change in 0..changes {
            let number = change / 2 * endpoints / changes.div_ceil(2);
            let state = if change % 2 == 0 { EntryState::Draining } else { EntryState::Serving };
            let version = self.test_bed.discovery.change(number, state);
            elapsed.push(self.test_bed.wait_until_taken(version)?.as_secs_f64() * 1e6);
        }
        let processor_time = self.test_bed.child.processor_time()? - before;
        elapsed.sort_by(f64::total_cmp);
        self.record(Metric::ChangeElapsedMicros, elapsed[changes / 2]);
        self.record(Metric::ChangeProcessorMicros, processor_time.as_secs_f64() * 1e6 / changes as f64);
        Ok(())
    }
}
