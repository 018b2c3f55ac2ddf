//! Event loop of a run: takes events from the queue one by one and passes them to the models and the policies.

mod clients;
mod context;
mod counter_service;
mod discovery_service;
mod endpoint_fleet;
mod event;
mod gateway_fleet;

use super::configuration::Configuration;
use super::event_queue::RUN_START;
use super::gateways::{GatewayAddress, SimulatedGateway};
use super::incident_plan::{self, Incident};
use super::measures::{DemandOutcome, Measures};
use super::processor::ProcessorTimes;
use super::randomness::{Stream, stream};
use super::requests::{AttemptKey, Demand, RequestTable, policy_request_id, request_number};
use super::tenants::Tenant;
use super::wire_size;
use clients::{ClientModel, count_outcome, record_served};
use context::RunContext;
use counter_service::CounterService;
use discovery_service::DiscoveryService;
use endpoint_fleet::EndpointFleet;
use event::ScheduledEvent;
use gateway_fleet::GatewayFleet;
use oliverack::{
    Action, Endpoint, EndpointId, Event, ListKind, LoadReport, Seconds, SettingsError, Status, Time,
};

/// Time for which a run continues after the longest deadline, so that every attempt in flight ends.
const DRAIN_WINDOW: Seconds = 1.0;

/// Simulated fleet with the models of its clients and services.
#[derive(Debug)]
pub struct Simulation {
    context: RunContext,
    clients: ClientModel,
    gateways: GatewayFleet,
    endpoints: EndpointFleet,
    discovery: DiscoveryService,
    counter: CounterService,
    requests: RequestTable,
    /// Whether each zone is lost, by zone number. The gateways of a lost zone are down and its endpoints unreachable.
    zone_is_lost: Vec<bool>,
}

/// State and counts at the end of a run.
#[derive(Debug)]
pub struct RunResult {
    /// Configuration of the run.
    pub configuration: Configuration,
    /// Gateways in their final state.
    pub gateways: Vec<SimulatedGateway>,
    /// Tenants with the final levels of their quotas and ceilings.
    pub tenants: Vec<Tenant>,
    /// Number of entries that the counter holds.
    pub counter_entries: usize,
    /// Counts of the run.
    pub measures: Measures,
    /// Processor times of the policies.
    pub processor_times: ProcessorTimes,
    /// Time of the last event.
    pub ended_at: Time,
}

impl Simulation {
    /// Builds a fleet and schedules its first events.
    ///
    /// # Errors
    /// The policy rejects its settings.
    pub fn new(configuration: Configuration, seed: u64) -> Result<Self, SettingsError> {
        let context = RunContext::new(configuration);
        let endpoints = EndpointFleet::new(&context.configuration);
        let mut simulation = Self {
            clients: ClientModel::new(&context, seed),
            gateways: GatewayFleet::new(&context.configuration, seed)?,
            discovery: DiscoveryService::new(&context, seed, endpoints.list_entries()),
            counter: CounterService::new(&context, seed),
            requests: RequestTable::default(),
            zone_is_lost: vec![false; context.configuration.topology.zones as usize],
            endpoints,
            context,
        };
        simulation.schedule_first_events(seed);
        Ok(simulation)
    }

    fn schedule_first_events(&mut self, seed: u64) {
        for gateway in 0..self.gateways.len() {
            self.discovery.gateway_started(&mut self.context, self.gateways.address(gateway));
        }
        let mut generator = stream(seed, Stream::Faults);
        for planned in incident_plan::plan(&self.context.configuration, &mut generator) {
            self.context.schedule_at(planned.at, ScheduledEvent::Incident(planned.incident));
        }
        self.clients.schedule_first_arrivals(&mut self.context);
    }

    /// Runs the simulation to its end.
    ///
    /// # Errors
    /// The policy rejects its settings at a restart.
    pub fn run(mut self) -> Result<RunResult, SettingsError> {
        let configuration = &self.context.configuration;
        let deadlines = configuration.classes.iter().map(|class| class.deadline);
        let ends_at = RUN_START + configuration.seconds + deadlines.fold(0.0, f64::max) + DRAIN_WINDOW;
        while let Some(event) = self.context.next_event(ends_at) {
            self.dispatch(event)?;
        }
        Ok(self.into_result())
    }

    fn into_result(mut self) -> RunResult {
        self.discovery.count_all_idle_watches(&mut self.context);
        let ended_at = self.context.now();
        let (gateways, processor_times) = self.gateways.into_parts();
        RunResult {
            configuration: self.context.configuration,
            gateways,
            tenants: self.clients.into_tenants(),
            counter_entries: self.counter.entry_count(),
            measures: self.context.measures,
            processor_times,
            ended_at,
        }
    }

    fn dispatch(&mut self, event: ScheduledEvent) -> Result<(), SettingsError> {
        match event {
            ScheduledEvent::ArrivalCandidate(tenant) => {
                if let Some(demand) = self.clients.handle_arrival_candidate(&mut self.context, tenant) {
                    self.submit(demand);
                }
            }
            ScheduledEvent::ClientRetry(demand) => self.submit(*demand),
            ScheduledEvent::ClientDeadline(number) => self.handle_client_deadline(number),
            ScheduledEvent::AttemptArrived { attempt, endpoint } => {
                self.endpoints.attempt_arrived(&mut self.context, &self.requests, attempt, endpoint);
            }
            ScheduledEvent::ServiceCompleted { attempt, endpoint, incarnation } => {
                let (context, requests) = (&mut self.context, &self.requests);
                self.endpoints.service_completed(context, requests, attempt, endpoint, incarnation);
            }
            ScheduledEvent::AttemptEnded { attempt, status } => self.attempt_ended(attempt, status),
            ScheduledEvent::CounterCallArrived(call) => {
                self.counter.call_arrived(&mut self.context, &self.gateways, call);
            }
            ScheduledEvent::CounterCallServed(call) => {
                self.counter.call_served(&mut self.context, &self.gateways, call);
            }
            ScheduledEvent::CounterCallEnded { to, call, result } => {
                for event in self.counter.call_ended(&mut self.context, &self.gateways, to, call, result) {
                    self.notify(to, event);
                }
            }
            ScheduledEvent::PolicyTimer { to, token } => self.notify(to, Event::Timer { token }),
            ScheduledEvent::PollArrived(from) => self.discovery.poll_arrived(&mut self.context, from),
            ScheduledEvent::PollCompleted { to, is_answered } => self.poll_completed(to, is_answered),
            ScheduledEvent::EndpointListArrived { to, kind, list } => {
                if self.gateways.is_running(to) {
                    let event = self.discovery.list_arrived(&mut self.context, to, kind, &list);
                    self.notify(to, event);
                }
            }
            ScheduledEvent::GatewayStarted(gateway) => self.start_gateway(gateway)?,
            ScheduledEvent::Incident(incident) => self.apply_incident(incident),
            ScheduledEvent::DeferredNotification { to, event } => self.notify(to, *event),
        }
        Ok(())
    }

    /// Notifies the policy of a gateway of an event and executes the actions that it returns.
    fn notify(&mut self, to: GatewayAddress, event: Event) {
        for action in self.gateways.notify(self.context.now(), to, event) {
            self.execute(to, action);
        }
    }

    fn execute(&mut self, from: GatewayAddress, action: Action) {
        match action {
            Action::StartAttempt { request_id, endpoint, timeout, .. } => {
                self.start_attempt(from, request_number(&request_id), endpoint, timeout);
            }
            Action::Reject { request_id, retry_after, .. } => {
                self.reject(request_number(&request_id), retry_after);
            }
            Action::Fail { request_id } => self.fail(request_number(&request_id)),
            Action::SetTimer { token, at } => {
                self.context.schedule_at(at, ScheduledEvent::PolicyTimer { to: from, token });
            }
            Action::AddToCounter { counter, amount, ttl } => {
                self.counter.start_call(&mut self.context, from, counter, amount, ttl);
            }
            Action::PollEndpoints => self.discovery.poll(&mut self.context, from),
            // `Action` is non-exhaustive: the models ignore any action that they do not simulate.
            _ => {}
        }
    }

    fn submit(&mut self, demand: Demand) {
        let (context, requests) = (&mut self.context, &mut self.requests);
        if let Some(submission) = self.clients.submit(context, &mut self.gateways, requests, demand) {
            let to = self.gateways.address(submission.gateway);
            self.notify(to, Event::Request(submission.request));
        }
    }

    /// Starts an attempt and schedules both its arrival and its timeout. The attempt ends at once with
    /// [`Status::NotSent`] if the client no longer waits or the endpoint is unknown.
    fn start_attempt(&mut self, from: GatewayAddress, number: u64, id: EndpointId, timeout: Seconds) {
        let now = self.context.now();
        let endpoint = self.endpoints.index_of(&id);
        let Some(started) = self.requests.start_attempt(number, id, now) else { return };
        let attempt = started.key;
        let Some(endpoint) = endpoint.filter(|_| !started.request_is_answered) else {
            let status = Status::NotSent;
            return self.context.schedule_at(now, ScheduledEvent::AttemptEnded { attempt, status });
        };
        if attempt.is_first() {
            self.clients.charge_quota(&mut self.context, &started.demand);
        }
        self.context.measures.attempts.sent += 1;
        self.context.measures.second(now).attempts += 1;
        let bytes = wire_size::attempt(&self.context.request_head(&started.demand));
        self.context.measures.traffic.gateways[from.gateway].count(bytes);
        let gateway_zone = self.context.gateway_zone(from.gateway);
        let delay = self.context.network_delay(gateway_zone, self.endpoints.zone(endpoint));
        self.context.schedule_after(delay, ScheduledEvent::AttemptArrived { attempt, endpoint });
        let times_out_at = (now + timeout).min(started.demand.deadline);
        let status = Status::Timeout;
        self.context.schedule_at(times_out_at, ScheduledEvent::AttemptEnded { attempt, status });
    }

    /// Ends an attempt at its gateway by a response, a failure or the timeout, and notifies the policy. Does nothing
    /// if the attempt has ended before.
    fn attempt_ended(&mut self, key: AttemptKey, status: Status) {
        let now = self.context.now();
        let Some(ended) = self.requests.end_attempt(key) else { return };
        self.context.measures.attempts.count(status);
        let body_bytes = self.context.configuration.clients.response_body_bytes;
        if let Some(bytes) = wire_size::attempt_response(status, body_bytes) {
            self.context.measures.traffic.gateways[ended.gateway].count(bytes);
        }
        if status == Status::Ok {
            self.serve(key.request);
        }
        let event = Event::AttemptEnded {
            request_id: policy_request_id(key.request),
            attempt: key.attempt,
            endpoint: ended.endpoint,
            status,
            elapsed: now - ended.sent_at,
            is_finished: self.requests.is_answered(key.request),
            actual_units: None,
            load: LoadReport::default(),
        };
        self.notify(self.gateways.address(ended.gateway), event);
        self.close_if_finished(key.request);
    }

    /// Sends a final response to the client and returns the client's demand. Returns `None` if the client has had a
    /// response or no longer waits.
    fn answer(&mut self, number: u64, response_bytes: u64) -> Option<Demand> {
        let answered = self.requests.answer(number)?;
        self.context.measures.traffic.gateways[answered.gateway].count(response_bytes);
        Some(answered.demand)
    }

    fn serve(&mut self, number: u64) {
        let bytes = wire_size::served(self.context.configuration.clients.response_body_bytes);
        if let Some(demand) = self.answer(number, bytes) {
            record_served(&mut self.context, &demand);
        }
    }

    fn reject(&mut self, number: u64, retry_after: Seconds) {
        if let Some(demand) = self.answer(number, wire_size::rejected(retry_after)) {
            self.close_if_finished(number);
            self.clients.handle_rejection(&mut self.context, demand, retry_after);
        }
    }

    fn fail(&mut self, number: u64) {
        if let Some(demand) = self.answer(number, wire_size::failed()) {
            self.close_if_finished(number);
            count_outcome(&mut self.context, &demand, DemandOutcome::Failed);
        }
    }

    /// Abandons a request whose client has no response by its deadline.
    fn handle_client_deadline(&mut self, number: u64) {
        let Some(answered) = self.requests.answer(number) else { return };
        count_outcome(&mut self.context, &answered.demand, DemandOutcome::Abandoned);
        let to = self.gateways.address(answered.gateway);
        self.notify(to, Event::ClientDisconnected { request_id: policy_request_id(number) });
        self.close_if_finished(number);
    }

    fn close_if_finished(&mut self, number: u64) {
        if let Some(gateway) = self.requests.close_if_finished(number) {
            self.gateways.request_closed(gateway);
        }
    }

    fn poll_completed(&mut self, to: GatewayAddress, is_answered: bool) {
        if !self.gateways.is_running(to) {
            return;
        }
        if is_answered {
            self.discovery.poll_succeeded(&mut self.context, to);
        } else {
            self.context.measures.fleet.polls_failed += 1;
            self.notify(to, Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() });
        }
    }

    fn apply_incident(&mut self, incident: Incident) {
        match incident {
            Incident::RestartGateway(gateway) => self.restart_gateway(gateway),
            Incident::LoseZone(zone) => self.lose_zone(zone),
            Incident::RestoreZone(zone) => self.restore_zone(zone),
            Incident::SetCounterCut { zone, is_cut } => self.counter.set_zone_cut(zone, is_cut),
            Incident::SlowCounter(factor) => self.counter.set_slowdown(factor),
            Incident::SilenceCounter(is_silent) => self.counter.set_silent(is_silent),
            Incident::LoseCounterEntries(share) => self.counter.lose_entries(&mut self.context, share),
            Incident::CrashEndpoint(endpoint) => {
                let change = self.endpoints.crash(&mut self.context, &self.requests, endpoint);
                self.publish(change);
            }
            Incident::StartEndpoint(endpoint) => {
                let zone_is_lost = self.zone_is_lost[self.endpoints.zone(endpoint) as usize];
                let change = self.endpoints.restart(&self.context, endpoint, zone_is_lost);
                self.publish(change);
            }
            Incident::HangEndpoint(endpoint) => self.endpoints.hang(endpoint),
            Incident::ResumeEndpoint(endpoint) => self.endpoints.resume(endpoint),
            Incident::DrainEndpoint(endpoint) => {
                let change = self.endpoints.drain(endpoint);
                self.publish(change);
            }
            Incident::RemoveEndpoint(endpoint) => {
                let change = self.endpoints.remove(&mut self.context, &self.requests, endpoint);
                self.publish(change);
            }
            Incident::AddEndpoint => {
                let change = self.endpoints.add(&self.context);
                self.publish(Some(change));
            }
        }
    }

    fn publish(&mut self, change: Option<Endpoint>) {
        if let Some(change) = change {
            self.discovery.publish(&mut self.context, change);
        }
    }

    fn restart_gateway(&mut self, gateway: usize) {
        if self.gateways.down_since(gateway).is_some() {
            return;
        }
        self.context.measures.fleet.restarts += 1;
        self.stop_gateway(gateway);
        let delay = self.context.configuration.gateways.restart_seconds;
        self.context.schedule_after(delay, ScheduledEvent::GatewayStarted(gateway));
    }

    /// Ends the incarnation of a gateway. Its unanswered requests are lost.
    fn stop_gateway(&mut self, gateway: usize) {
        self.discovery.gateway_stopped(&mut self.context, gateway);
        self.counter.gateway_stopped(gateway);
        self.gateways.stop(self.context.now(), gateway);
        for request in self.requests.remove_all_at(gateway) {
            if !request.is_answered {
                count_outcome(&mut self.context, &request.demand, DemandOutcome::Lost);
            }
        }
    }

    /// Starts a gateway that is down. A gateway in a lost zone starts when the zone is restored.
    fn start_gateway(&mut self, gateway: usize) -> Result<(), SettingsError> {
        let zone_is_lost = self.zone_is_lost[self.context.gateway_zone(gateway) as usize];
        if zone_is_lost || self.gateways.down_since(gateway).is_none() {
            return Ok(());
        }
        let address = self.gateways.start(&self.context.configuration, gateway)?;
        self.discovery.gateway_started(&mut self.context, address);
        Ok(())
    }

    fn lose_zone(&mut self, zone: u32) {
        self.zone_is_lost[zone as usize] = true;
        for gateway in self.gateways.in_zone(zone) {
            if self.gateways.down_since(gateway).is_none() {
                self.stop_gateway(gateway);
            }
        }
        self.endpoints.lose_zone(zone);
    }

    fn restore_zone(&mut self, zone: u32) {
        self.zone_is_lost[zone as usize] = false;
        for gateway in self.gateways.in_zone(zone) {
            self.context.schedule_after(0.0, ScheduledEvent::GatewayStarted(gateway));
        }
        for change in self.endpoints.restore_zone(&self.context, zone) {
            self.discovery.publish(&mut self.context, change);
        }
    }
}
