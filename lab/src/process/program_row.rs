//! One row of the program's benchmark: a new process, a list of workers, requests, and changes of the list.

use super::{
    Error,
    child::{ChildProgram, Configuration},
    load::{Load, Outcome},
    report::{Axis, Metric, Report, Subject},
    settling::Settling,
    stand_in_counter::StandInCounter,
    stand_in_discovery::{Entry, Form, List, Seen, StandInDiscovery, State},
    stand_in_workers::StandInWorkers,
};
use std::{
    path::Path,
    time::{Duration, Instant},
};

/// Workers in the configuration's list; the rest come by discovery.
const KNOWN_WORKERS: usize = 10;
/// Workers in the rows of tenants.
const TENANT_ROW_WORKERS: usize = 100;
/// An event of discovery that takes longer is given up.
const EVENT_LIMIT: Duration = Duration::from_secs(10);
/// Requests before those that are measured: connections come up, and the program learns its workers' times.
const WARM_UP_REQUESTS: u64 = 1000;
/// Requests in a batch of the tenants' warm-up.
const BATCH_REQUESTS: u64 = 1000;
/// The tenants' warm-up ends after this at the latest: the program raises its rate of counter calls, over a second or
/// two from a low start.
const SETTLE_LIMIT: Duration = Duration::from_secs(3);
/// Least calls of the counter a request: with fewer, a row of tenants does not show what a lease costs.
const LEAST_CALLS_PER_REQUEST: f64 = 0.01;
/// Connections on which each tenant comes once: many, as the program forgets a tenant that is idle for 26 s.
const TENANT_CONNECTIONS: u64 = 32;
/// Least share of requests that has to be served.
const LEAST_SERVED: f64 = 0.9;

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
    fn workers(&self) -> usize {
        match self.subject.axis {
            Axis::Workers => self.subject.size,
            Axis::Tenants => TENANT_ROW_WORKERS,
        }
    }

    fn metered_tenants(&self) -> Option<u64> {
        match self.subject.axis {
            Axis::Workers => None,
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
pub struct Surroundings {
    entries: Vec<Entry>,
    discovery: StandInDiscovery,
    counter: Option<StandInCounter>,
    _workers: StandInWorkers,
    /// The program.
    pub child: ChildProgram,
}

impl Surroundings {
    /// Starts the stand-ins and the program, and waits until that follows discovery.
    ///
    /// # Errors
    /// One of them does not start, or the program does not follow discovery.
    pub fn start(row: &Row<'_>) -> Result<Self, Error> {
        let workers = StandInWorkers::start()?;
        let entry = |number| Entry::new(number, workers.address(number), State::Serving);
        let entries: Vec<Entry> = (0..row.workers()).map(entry).collect();
        let counter = row.metered_tenants().map(|_| StandInCounter::start()).transpose()?;
        let known = &entries[..entries.len().min(KNOWN_WORKERS)];
        let discovery = StandInDiscovery::start(known.to_vec())?;
        let configuration = Configuration {
            discovery: discovery.address,
            counter: counter.as_ref().map(|counter| counter.address),
            known: serde_json::json!(List { version: 0, full: true, endpoints: known }),
            gateways: row.subject.gateways,
            memory_mb: row.memory_mb,
        };
        let child = ChildProgram::start(row.program, &configuration)?;
        let surroundings = Self { entries, discovery, counter, _workers: workers, child };
        surroundings.wait_for_watch()?;
        Ok(surroundings)
    }

    /// Has the program take the whole list in; how long that took.
    ///
    /// # Errors
    /// It does not.
    pub fn take_list(&self, form: Form) -> Result<Duration, Error> {
        let version = self.discovery.replace(self.entries.clone(), form);
        self.wait_until_taken(version)
    }

    /// Waits until the program watches from any version.
    fn wait_for_watch(&self) -> Result<(), Error> {
        while !matches!(self.next_seen("a watch")?, Seen::Call { from: Some(_), .. }) {}
        Ok(())
    }

    /// Waits until the answer that leads to `version` has been written and the next watch has come; the time
    /// between the two.
    fn wait_until_taken(&self, version: u64) -> Result<Duration, Error> {
        let mut written = None;
        loop {
            match (self.next_seen("a watch")?, written) {
                (Seen::Answer { version: answered, at }, _) if answered >= version => written = Some(at),
                (Seen::Call { from, at }, Some(begun)) => {
                    if from.is_none_or(|from| from < version) {
                        return Err(Error::ListNotTaken(self.child.last_line()));
                    }
                    return Ok(at.duration_since(begun));
                }
                _ => {}
            }
        }
    }

    fn next_seen(&self, event: &'static str) -> Result<Seen, Error> {
        self.discovery.seen.recv_timeout(EVENT_LIMIT).map_err(|_| Error::Late(event, EVENT_LIMIT))
    }
}

/// A row that is being measured.
struct Bench<'a> {
    row: &'a Row<'a>,
    report: &'a mut Report,
    around: Surroundings,
    /// Requests sent.
    sent: u64,
}

/// Measures one row into the report.
///
/// # Errors
/// What could not be done; what was measured before that is in the report.
pub fn measure(row: &Row<'_>, report: &mut Report) -> Result<(), Error> {
    let around = Surroundings::start(row)?;
    let mut bench = Bench { row, report, around, sent: 0 };
    match row.subject.axis {
        Axis::Workers => bench.measure_workers(),
        Axis::Tenants => bench.measure_tenants(),
    }
}

impl Bench<'_> {
    fn measure_workers(&mut self) -> Result<(), Error> {
        self.measure_list(
            Form::Compact,
            [Metric::CompactListElapsedMillis, Metric::CompactListProcessorMillis],
        )?;
        self.send(self.row.load(WARM_UP_REQUESTS, self.sent))?;
        self.measure_requests()?;
        self.measure_changes()?;
        let peak = self.around.child.memory()?.peak;
        self.record(Metric::PeakResidentKibibytes, peak as f64 / 1024.0);
        self.check_memory()?;
        self.measure_list(
            Form::Indented,
            [Metric::IndentedListElapsedMillis, Metric::IndentedListProcessorMillis],
        )?;
        let peak = self.around.child.memory()?.peak;
        self.record(Metric::PeakIndentedKibibytes, peak as f64 / 1024.0);
        self.check_memory()
    }

    fn measure_tenants(&mut self) -> Result<(), Error> {
        self.around.take_list(Form::Compact)?;
        // Each tenant comes once, so that all are known when the measurement begins.
        let load = self.row.load(self.row.subject.size as u64, self.sent);
        self.send(Load { connections: TENANT_CONNECTIONS, ..load })?;
        self.settle_counter_calls()?;
        self.measure_requests()?;
        let peak = self.around.child.memory()?.peak;
        self.record(Metric::PeakResidentKibibytes, peak as f64 / 1024.0);
        self.check_memory()
    }

    fn record(&mut self, metric: Metric, value: f64) {
        self.report.record(self.row.subject, metric, value);
    }

    fn check_memory(&self) -> Result<(), Error> {
        let limit = (self.row.memory_mb as u64) << 20;
        let peak = self.around.child.memory()?.peak;
        if peak > limit { Err(Error::OverMemory { peak, limit }) } else { Ok(()) }
    }

    /// Takes the whole list in, and records the elapsed and the processor time.
    fn measure_list(&mut self, form: Form, [elapsed, processor]: [Metric; 2]) -> Result<(), Error> {
        let before = self.around.child.processor_time()?;
        let taken = self.around.take_list(form)?;
        let spent = self.around.child.processor_time()? - before;
        self.record(elapsed, taken.as_secs_f64() * 1e3);
        self.record(processor, spent.as_secs_f64() * 1e3);
        Ok(())
    }

    fn measure_requests(&mut self) -> Result<(), Error> {
        let calls_before = self.counter_calls();
        let before = self.around.child.processor_time()?;
        let outcome = self.send(self.row.load(self.row.requests, self.sent))?;
        let spent = self.around.child.processor_time()? - before;
        let share = outcome.served as f64 / outcome.sent as f64;
        self.record(Metric::ServedShare, share);
        if share < LEAST_SERVED {
            return Err(Error::FewServed { served: outcome.served, sent: outcome.sent });
        }
        self.record(Metric::RequestProcessorMicros, spent.as_secs_f64() * 1e6 / outcome.sent as f64);
        let resident = self.around.child.memory()?.resident;
        self.record(Metric::ResidentKibibytes, resident as f64 / 1024.0);
        let metered = self.around.counter.is_some();
        if metered {
            self.record_counter_calls(self.counter_calls() - calls_before, outcome.sent)
        } else {
            Ok(())
        }
    }

    fn record_counter_calls(&mut self, calls: u64, sent: u64) -> Result<(), Error> {
        let calls_per_request = calls as f64 / sent as f64;
        self.record(Metric::CounterCallsPerRequest, calls_per_request);
        let least = LEAST_CALLS_PER_REQUEST;
        if calls_per_request < least { Err(Error::FewCounterCalls { calls, sent, least }) } else { Ok(()) }
    }

    /// Sends requests until calls of the counter a request have settled, or for [`SETTLE_LIMIT`].
    fn settle_counter_calls(&mut self) -> Result<(), Error> {
        let begun = Instant::now();
        let mut settling = Settling::default();
        while begun.elapsed() < SETTLE_LIMIT {
            let calls_before = self.counter_calls();
            let outcome = self.send(self.row.load(BATCH_REQUESTS, self.sent))?;
            let calls_per_request = (self.counter_calls() - calls_before) as f64 / outcome.sent as f64;
            if settling.note(calls_per_request, LEAST_CALLS_PER_REQUEST) {
                break;
            }
        }
        Ok(())
    }

    fn send(&mut self, load: Load) -> Result<Outcome, Error> {
        let outcome = load.run(self.around.child.address)?;
        self.sent += outcome.sent;
        Ok(outcome)
    }

    /// Calls of the counter; 0 in a row without.
    fn counter_calls(&self) -> u64 {
        self.around.counter.as_ref().map_or(0, StandInCounter::calls)
    }

    /// Drains workers all over the list and takes each back, one entry at a time.
    fn measure_changes(&mut self) -> Result<(), Error> {
        let (changes, workers) = (self.row.changes, self.around.entries.len());
        let mut elapsed = Vec::with_capacity(changes);
        let before = self.around.child.processor_time()?;
        for change in 0..changes {
            let number = change / 2 * workers / changes.div_ceil(2);
            let state = if change % 2 == 0 { State::Draining } else { State::Serving };
            let version = self.around.discovery.change(number, state);
            elapsed.push(self.around.wait_until_taken(version)?.as_secs_f64() * 1e6);
        }
        let spent = self.around.child.processor_time()? - before;
        elapsed.sort_by(f64::total_cmp);
        self.record(Metric::ChangeElapsedMicros, elapsed[changes / 2]);
        self.record(Metric::ChangeProcessorMicros, spent.as_secs_f64() * 1e6 / changes as f64);
        Ok(())
    }
}
