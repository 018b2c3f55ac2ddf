//! The run itself: takes events from the clock one by one and lets the models act on them.

mod actions;
mod attempts;
mod clients;
mod counting;
mod incidents;
mod lists;

use super::configuration::{Configuration, DiscoveryMode};
use super::counter::Counter;
use super::counter_calls::{CallEnd, CallKey};
use super::discovery::{Discovery, SharedList};
use super::endpoints::SimulatedEndpoint;
use super::event_queue::{EventQueue, RUN_START};
use super::gateways::{self, GatewayAddress, SimulatedGateway};
use super::incident_plan::{self, Incident};
use super::measures::Measures;
use super::processor::ProcessorTimes;
use super::randomness::{Stream, stream, uniform};
use super::requests::{AttemptKey, Demand, RequestTable};
use super::tenants::{self, Tenant};
use oliverack::{Endpoint, EndpointId, Event, Lifecycle, ListKind, SettingsError, Status, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::sync::Arc;

/// Seconds that a run goes on after the longest deadline, for outcomes that are still owed.
const DRAIN_WINDOW: f64 = 1.0;

/// What the clock gives out.
#[derive(Debug)]
enum ScheduledEvent {
    /// A tenant may make a request.
    ArrivalCandidate(usize),
    /// A client comes again.
    ClientRetry(Box<Demand>),
    /// A client gives up.
    ClientDeadline(u64),
    /// An attempt reaches its endpoint.
    AttemptArrived { attempt: AttemptKey, endpoint: usize, work: f64 },
    /// A endpoint has done its work for an attempt.
    ServiceCompleted { attempt: AttemptKey, endpoint: usize, incarnation: u32 },
    /// A endpoint's answer, or its failure, reaches the gateway.
    AttemptEnded { attempt: AttemptKey, status: Status },
    /// A call reaches the counter.
    CounterCallArrived { from: GatewayAddress, call: CallKey, amount: f64, incarnation: f64 },
    /// The counter has served a call.
    CounterCallServed { from: GatewayAddress, call: CallKey, amount: f64, incarnation: f64 },
    /// A call's end reaches the gateway.
    CounterCallEnded { to: GatewayAddress, call: CallKey, end: CallEnd },
    /// A timer of the policy is due.
    PolicyTimer { to: GatewayAddress, token: u64 },
    /// A call for the list reaches the service.
    PollArrived(GatewayAddress),
    /// The service's answer to such a call is ready. `false`: it failed.
    PollAnswered { to: GatewayAddress, served: bool },
    /// News of the endpoints reaches the gateway.
    EndpointListArrived { to: GatewayAddress, kind: ListKind, list: Arc<SharedList> },
    /// A gateway starts anew.
    GatewayStarted(usize),
    /// Something happens to the fleet.
    Incident(Incident),
    /// The policy is told an event that follows from its own action.
    DeferredNotification { to: GatewayAddress, event: Box<Event> },
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
    queue: EventQueue<ScheduledEvent>,
    generators: Generators,
    gateways: Vec<SimulatedGateway>,
    endpoints: Vec<SimulatedEndpoint>,
    /// Ids of the endpoints, by index, and indices by id.
    endpoint_ids: Vec<EndpointId>,
    endpoint_index: HashMap<EndpointId, usize>,
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
pub struct RunResult {
    /// What was run.
    pub configuration: Configuration,
    /// The gateways.
    pub gateways: Vec<SimulatedGateway>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// Names that the counter holds.
    pub counter_entries: usize,
    /// What was counted.
    pub measures: Measures,
    /// Processor times.
    pub times: ProcessorTimes,
    /// The clock's last time.
    pub end: Time,
}

/// A endpoint's id: a number that tells nothing of its place in the list.
fn endpoint_id(index: usize) -> EndpointId {
    format!("s-{:08x}", (index as u32).wrapping_mul(0x9E37_79B1)).into()
}

impl Simulation {
    /// Builds a fleet.
    ///
    /// # Errors
    /// Settings that the policy refuses.
    pub fn new(configuration: Configuration, seed: u64) -> Result<Self, SettingsError> {
        let zones = configuration.topology.zones;
        let endpoint = |number| SimulatedEndpoint::new(&configuration.endpoints, number % zones, 0.0);
        let endpoints: Vec<SimulatedEndpoint> = (0..configuration.endpoints.count).map(endpoint).collect();
        let endpoint_ids: Vec<EndpointId> = (0..endpoints.len()).map(endpoint_id).collect();
        let endpoint_index = endpoint_ids.iter().enumerate().map(|(i, id)| (id.clone(), i)).collect();
        let cells = configuration.endpoints.cells;
        let listed = |(index, endpoint): (usize, &SimulatedEndpoint)| {
            list_entry(&endpoint_ids[index], index, endpoint, cells)
        };
        let initial = endpoints.iter().enumerate().map(listed).collect();
        let mut simulation = Self {
            queue: EventQueue::default(),
            generators: Generators {
                policies: stream(seed, Stream::Policies),
                arrivals: stream(seed, Stream::Arrivals),
                clients: stream(seed, Stream::Clients),
                counter: stream(seed, Stream::Counter),
            },
            gateways: Vec::new(),
            discovery: Discovery::new(&configuration.discovery, initial),
            counter: configuration.counter.as_ref().map(Counter::new),
            zones_lost: vec![false; zones as usize],
            zones_cut: vec![false; zones as usize],
            tenants: tenants::draw(&configuration, &mut stream(seed, Stream::Tenants)),
            requests: RequestTable::default(),
            measures: Measures::default(),
            times: ProcessorTimes::new(),
            endpoints,
            endpoint_ids,
            endpoint_index,
            configuration,
        };
        simulation.add_gateways(seed)?;
        simulation.schedule_beginnings(seed);
        Ok(simulation)
    }

    fn add_gateways(&mut self, seed: u64) -> Result<(), SettingsError> {
        let mut lateness = stream(seed, Stream::Discovery);
        for number in 0..self.configuration.gateways.count {
            let zone = number % self.configuration.topology.zones;
            let settings = gateways::settings(&self.configuration, number, zone);
            let late = uniform(&mut lateness, self.configuration.discovery.propagation_delay);
            let seed = self.generators.policies.random();
            self.gateways.push(SimulatedGateway::new(settings, seed, late, RUN_START)?);
        }
        Ok(())
    }

    fn schedule_beginnings(&mut self, seed: u64) {
        for gateway in 0..self.gateways.len() {
            self.begin_incarnation(gateway);
        }
        for planned in incident_plan::plan(&self.configuration, &mut stream(seed, Stream::Faults)) {
            self.queue.schedule(planned.at, ScheduledEvent::Incident(planned.incident));
        }
        for tenant in 0..self.tenants.len() {
            self.schedule_candidate(tenant);
        }
    }

    /// Runs to the end.
    ///
    /// # Errors
    /// Settings that the policy refuses at a restart.
    pub fn run(mut self) -> Result<RunResult, SettingsError> {
        let longest = self.configuration.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        let end = RUN_START + self.configuration.seconds + longest + DRAIN_WINDOW;
        while let Some(event) = self.queue.pop_until(end) {
            self.dispatch(event)?;
        }
        Ok(self.finish())
    }

    fn finish(mut self) -> RunResult {
        let end = self.queue.now();
        for gateway in 0..self.gateways.len() {
            self.count_watches(gateway, end);
        }
        RunResult {
            configuration: self.configuration,
            gateways: self.gateways,
            tenants: self.tenants,
            counter_entries: self.counter.as_ref().map_or(0, Counter::names),
            measures: self.measures,
            times: self.times,
            end,
        }
    }

    fn dispatch(&mut self, event: ScheduledEvent) -> Result<(), SettingsError> {
        match event {
            ScheduledEvent::ArrivalCandidate(tenant) => self.candidate(tenant),
            ScheduledEvent::ClientRetry(demand) => self.submit(*demand),
            ScheduledEvent::ClientDeadline(request) => self.deadline(request),
            ScheduledEvent::AttemptArrived { attempt, endpoint, work } => {
                self.attempt_arrived(attempt, endpoint, work);
            }
            ScheduledEvent::ServiceCompleted { attempt, endpoint, incarnation } => {
                self.service_completed(attempt, endpoint, incarnation)
            }
            ScheduledEvent::AttemptEnded { attempt, status } => self.attempt_ended(attempt, status),
            ScheduledEvent::CounterCallArrived { from, call, amount, incarnation } => {
                self.counter_call_arrived(from, call, amount, incarnation);
            }
            ScheduledEvent::CounterCallServed { from, call, amount, incarnation } => {
                self.counter_call_served(from, call, amount, incarnation)
            }
            ScheduledEvent::CounterCallEnded { to, call, end } => self.counter_call_ended(to, call, end),
            ScheduledEvent::PolicyTimer { to, token } => self.notify(to, Event::Timer { token }),
            ScheduledEvent::PollArrived(from) => self.poll_arrived(from),
            ScheduledEvent::PollAnswered { to, served } => self.poll_answered(to, served),
            ScheduledEvent::EndpointListArrived { to, kind, list } => {
                self.endpoint_list_arrived(to, kind, &list)
            }
            ScheduledEvent::GatewayStarted(gateway) => return self.start(gateway),
            ScheduledEvent::Incident(incident) => self.incident(incident),
            ScheduledEvent::DeferredNotification { to, event } => self.notify(to, *event),
        }
        Ok(())
    }

    /// Gives an event to a policy and carries out what it wants done.
    fn notify(&mut self, to: GatewayAddress, event: Event) {
        let now = self.queue.now();
        let gateway = &mut self.gateways[to.gateway];
        if !gateway.is_incarnation(to.incarnation) {
            return;
        }
        for action in gateway.handle(now, event, &mut self.times) {
            self.execute(to, action);
        }
    }

    /// Gives an event to a policy once it is done with what it does now.
    fn notify_deferred(&mut self, to: GatewayAddress, event: Event) {
        let event = Box::new(event);
        self.queue.schedule(self.queue.now(), ScheduledEvent::DeferredNotification { to, event });
    }

    /// The present incarnation of a gateway.
    fn address(&self, gateway: usize) -> GatewayAddress {
        GatewayAddress { gateway, incarnation: self.gateways[gateway].incarnation }
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

    fn discovery_is_polled(&self) -> bool {
        self.configuration.discovery.mode == DiscoveryMode::Poll
    }
}

/// A endpoint as the list shows it.
fn list_entry(id: &EndpointId, index: usize, endpoint: &SimulatedEndpoint, cells: u32) -> Endpoint {
    Endpoint {
        id: id.clone(),
        zone: endpoint.zone,
        cell: (index % cells as usize) as u32,
        started: endpoint.started,
        lifecycle: Lifecycle::Running,
    }
}
