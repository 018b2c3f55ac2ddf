//! The run itself: takes events from the clock one by one and lets the models act on them.

mod actions;
mod attempts;
mod clients;
mod counting;
mod incidents;
mod lists;

use super::clock::{EventQueue, START};
use super::configuration::{Configuration, DiscoveryMode};
use super::counter::Counter;
use super::counter_calls::{CallEnd, CallKey};
use super::discovery::{Discovery, SharedList};
use super::faults::{self, Incident};
use super::gatekeepers::{self, Address, Gatekeeper};
use super::measures::Measures;
use super::processor::ProcessorTimes;
use super::randomness::{Stream, between, stream};
use super::requests::{AttemptKey, RequestTable, Wish};
use super::tenants::{self, Tenant};
use super::workers::Worker;
use oliverack::{Endpoint, EndpointId, Event, Lifecycle, ListKind, SettingsError, Status, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::sync::Arc;

/// Seconds that a run goes on after the longest deadline, for outcomes that are still owed.
const LAST_OUTCOMES: f64 = 1.0;

/// What the clock gives out.
#[derive(Debug)]
enum Occurrence {
    /// A tenant may make a request.
    Candidate(usize),
    /// A client comes again.
    Retry(Box<Wish>),
    /// A client gives up.
    Deadline(u64),
    /// An attempt reaches its worker.
    AttemptArrives { attempt: AttemptKey, worker: usize, work: f64 },
    /// A worker has done its work for an attempt.
    ServiceEnds { attempt: AttemptKey, worker: usize, life: u32 },
    /// A worker's answer, or its failure, reaches the gatekeeper.
    AttemptEnds { attempt: AttemptKey, status: Status },
    /// A call reaches the counter.
    CallArrives { from: Address, call: CallKey, amount: f64, life: f64 },
    /// The counter has served a call.
    CallServed { from: Address, call: CallKey, amount: f64, life: f64 },
    /// A call's end reaches the gatekeeper.
    CallEnds { to: Address, call: CallKey, end: CallEnd },
    /// A timer of the policy is due.
    Timer { to: Address, token: u64 },
    /// A call for the list reaches the service.
    ListAsked(Address),
    /// The service's answer to such a call is ready. `false`: it failed.
    ListAnswered { to: Address, served: bool },
    /// News of the workers reaches the gatekeeper.
    ListArrives { to: Address, kind: ListKind, list: Arc<SharedList> },
    /// A gatekeeper starts anew.
    Start(usize),
    /// Something happens to the fleet.
    Incident(Incident),
    /// The policy is told an event that follows from its own action.
    Told { to: Address, event: Box<Event> },
}

/// Independent random numbers for the parts that draw during a run.
#[derive(Debug)]
struct Generators {
    policies: ChaCha8Rng,
    arrivals: ChaCha8Rng,
    clients: ChaCha8Rng,
    counter: ChaCha8Rng,
}

/// A fleet and its surroundings.
#[derive(Debug)]
pub struct Simulation {
    configuration: Configuration,
    queue: EventQueue<Occurrence>,
    generators: Generators,
    gatekeepers: Vec<Gatekeeper>,
    workers: Vec<Worker>,
    /// Ids of the workers, by index, and indices by id.
    worker_ids: Vec<EndpointId>,
    worker_index: HashMap<EndpointId, usize>,
    discovery: Discovery,
    counter: Option<Counter>,
    /// By zone, whether it is out of reach, and whether it is cut off from the counter.
    zones_lost: Vec<bool>,
    zones_cut: Vec<bool>,
    tenants: Vec<Tenant>,
    requests: RequestTable,
    measures: Measures,
    times: ProcessorTimes,
}

/// The end of a run, from which reports are made.
#[derive(Debug)]
pub struct Outcome {
    /// What was run.
    pub configuration: Configuration,
    /// The gatekeepers.
    pub gatekeepers: Vec<Gatekeeper>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// Names that the counter holds.
    pub counter_names: usize,
    /// What was counted.
    pub measures: Measures,
    /// Processor times.
    pub times: ProcessorTimes,
    /// The clock's last time.
    pub end: Time,
}

/// A worker's id: a number that tells nothing of its place in the list.
fn worker_id(index: usize) -> EndpointId {
    format!("s-{:08x}", (index as u32).wrapping_mul(0x9E37_79B1)).into()
}

impl Simulation {
    /// Builds a fleet.
    ///
    /// # Errors
    /// Settings that the policy refuses.
    pub fn new(configuration: Configuration, seed: u64) -> Result<Self, SettingsError> {
        let zones = configuration.topology.zones;
        let worker = |number| Worker::new(&configuration.workers, number % zones, 0.0);
        let workers: Vec<Worker> = (0..configuration.workers.count).map(worker).collect();
        let worker_ids: Vec<EndpointId> = (0..workers.len()).map(worker_id).collect();
        let worker_index = worker_ids.iter().enumerate().map(|(i, id)| (id.clone(), i)).collect();
        let cells = configuration.workers.cells;
        let listed = |(index, worker): (usize, &Worker)| endpoint(&worker_ids[index], index, worker, cells);
        let initial = workers.iter().enumerate().map(listed).collect();
        let mut simulation = Self {
            queue: EventQueue::default(),
            generators: Generators {
                policies: stream(seed, Stream::Policies),
                arrivals: stream(seed, Stream::Arrivals),
                clients: stream(seed, Stream::Clients),
                counter: stream(seed, Stream::Counter),
            },
            gatekeepers: Vec::new(),
            discovery: Discovery::new(&configuration.discovery, initial),
            counter: configuration.counter.as_ref().map(Counter::new),
            zones_lost: vec![false; zones as usize],
            zones_cut: vec![false; zones as usize],
            tenants: tenants::draw(&configuration, &mut stream(seed, Stream::Tenants)),
            requests: RequestTable::default(),
            measures: Measures::default(),
            times: ProcessorTimes::new(),
            workers,
            worker_ids,
            worker_index,
            configuration,
        };
        simulation.add_gatekeepers(seed)?;
        simulation.schedule_beginnings(seed);
        Ok(simulation)
    }

    fn add_gatekeepers(&mut self, seed: u64) -> Result<(), SettingsError> {
        let mut lateness = stream(seed, Stream::Discovery);
        for number in 0..self.configuration.gatekeepers.count {
            let zone = number % self.configuration.topology.zones;
            let settings = gatekeepers::settings(&self.configuration, number, zone);
            let late = between(&mut lateness, self.configuration.discovery.lateness);
            let seed = self.generators.policies.random();
            self.gatekeepers.push(Gatekeeper::new(settings, seed, late, START)?);
        }
        Ok(())
    }

    fn schedule_beginnings(&mut self, seed: u64) {
        for gatekeeper in 0..self.gatekeepers.len() {
            self.begin_life(gatekeeper);
        }
        for planned in faults::plan(&self.configuration, &mut stream(seed, Stream::Faults)) {
            self.queue.schedule(planned.at, Occurrence::Incident(planned.incident));
        }
        for tenant in 0..self.tenants.len() {
            self.schedule_candidate(tenant);
        }
    }

    /// Runs to the end.
    ///
    /// # Errors
    /// Settings that the policy refuses at a restart.
    pub fn run(mut self) -> Result<Outcome, SettingsError> {
        let longest = self.configuration.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        let end = START + self.configuration.seconds + longest + LAST_OUTCOMES;
        while let Some(occurrence) = self.queue.next_until(end) {
            self.occur(occurrence)?;
        }
        Ok(self.finish())
    }

    fn finish(mut self) -> Outcome {
        let end = self.queue.now();
        for gatekeeper in 0..self.gatekeepers.len() {
            self.count_watches(gatekeeper, end);
        }
        Outcome {
            configuration: self.configuration,
            gatekeepers: self.gatekeepers,
            tenants: self.tenants,
            counter_names: self.counter.as_ref().map_or(0, Counter::names),
            measures: self.measures,
            times: self.times,
            end,
        }
    }

    fn occur(&mut self, occurrence: Occurrence) -> Result<(), SettingsError> {
        match occurrence {
            Occurrence::Candidate(tenant) => self.candidate(tenant),
            Occurrence::Retry(wish) => self.try_wish(*wish),
            Occurrence::Deadline(request) => self.deadline(request),
            Occurrence::AttemptArrives { attempt, worker, work } => {
                self.attempt_arrives(attempt, worker, work);
            }
            Occurrence::ServiceEnds { attempt, worker, life } => self.service_ends(attempt, worker, life),
            Occurrence::AttemptEnds { attempt, status } => self.attempt_ends(attempt, status),
            Occurrence::CallArrives { from, call, amount, life } => {
                self.call_arrives(from, call, amount, life);
            }
            Occurrence::CallServed { from, call, amount, life } => self.call_served(from, call, amount, life),
            Occurrence::CallEnds { to, call, end } => self.call_ends(to, call, end),
            Occurrence::Timer { to, token } => self.tell(to, Event::Timer { token }),
            Occurrence::ListAsked(from) => self.list_asked(from),
            Occurrence::ListAnswered { to, served } => self.list_answered(to, served),
            Occurrence::ListArrives { to, kind, list } => self.list_arrives(to, kind, &list),
            Occurrence::Start(gatekeeper) => return self.start(gatekeeper),
            Occurrence::Incident(incident) => self.incident(incident),
            Occurrence::Told { to, event } => self.tell(to, *event),
        }
        Ok(())
    }

    /// Gives an event to a policy and carries out what it wants done.
    fn tell(&mut self, to: Address, event: Event) {
        let now = self.queue.now();
        let gatekeeper = &mut self.gatekeepers[to.gatekeeper];
        if !gatekeeper.lives(to.life) {
            return;
        }
        for action in gatekeeper.handle(now, event, &mut self.times) {
            self.carry_out(to, action);
        }
    }

    /// Gives an event to a policy once it is done with what it does now.
    fn tell_later(&mut self, to: Address, event: Event) {
        let event = Box::new(event);
        self.queue.schedule(self.queue.now(), Occurrence::Told { to, event });
    }

    /// The present life of a gatekeeper.
    fn address(&self, gatekeeper: usize) -> Address {
        Address { gatekeeper, life: self.gatekeepers[gatekeeper].life }
    }

    /// Delay between two zones.
    fn delay(&self, one: u32, other: u32) -> f64 {
        let topology = &self.configuration.topology;
        let region = |zone: u32| zone * topology.regions / topology.zones;
        if one == other {
            topology.delay_in_zone
        } else if region(one) == region(other) {
            topology.delay_in_region
        } else {
            topology.delay_between_regions
        }
    }

    fn must_ask(&self) -> bool {
        self.configuration.discovery.mode == DiscoveryMode::Ask
    }
}

/// A worker as the list shows it.
fn endpoint(id: &EndpointId, index: usize, worker: &Worker, cells: u32) -> Endpoint {
    Endpoint {
        id: id.clone(),
        zone: worker.zone,
        cell: (index % cells as usize) as u32,
        started: worker.started,
        lifecycle: Lifecycle::Running,
    }
}
