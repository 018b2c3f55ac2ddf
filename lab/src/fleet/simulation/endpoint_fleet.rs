//! All endpoints of a run: arrivals of attempts, service, and faults.

use super::context::RunContext;
use super::event::ScheduledEvent;
use crate::fleet::configuration::Configuration;
use crate::fleet::endpoints::{Admission, EndpointState, SimulatedEndpoint};
use crate::fleet::requests::{AttemptKey, RequestTable};
use crate::fleet::wire_size;
use oliverack::{Endpoint, EndpointId, Lifecycle, Status};
use std::collections::HashMap;

/// Endpoints, by index; the index of an endpoint never changes.
#[derive(Debug)]
pub struct EndpointFleet {
    endpoints: Vec<SimulatedEndpoint>,
    ids: Vec<EndpointId>,
    index_by_id: HashMap<EndpointId, usize>,
    cells: u32,
}

/// Returns the id of an endpoint. The index is scrambled, so that the order of the ids differs from that of the
/// indices.
fn endpoint_id(index: usize) -> EndpointId {
    const GOLDEN_RATIO_BITS: u32 = 0x9E37_79B1;
    format!("s-{:08x}", (index as u32).wrapping_mul(GOLDEN_RATIO_BITS)).into()
}

impl EndpointFleet {
    /// Returns the endpoints at the start of a run, all past their slow start.
    pub fn new(configuration: &Configuration) -> Self {
        let mut fleet = Self {
            endpoints: Vec::new(),
            ids: Vec::new(),
            index_by_id: HashMap::new(),
            cells: configuration.endpoints.cells,
        };
        for index in 0..configuration.endpoints.count {
            let zone = index % configuration.topology.zones;
            fleet.push(SimulatedEndpoint::new(&configuration.endpoints, zone, 0.0));
        }
        fleet
    }

    fn push(&mut self, endpoint: SimulatedEndpoint) {
        let index = self.endpoints.len();
        let id = endpoint_id(index);
        self.endpoints.push(endpoint);
        self.ids.push(id.clone());
        self.index_by_id.insert(id, index);
    }

    /// Returns the index of an endpoint; `None` if the id is unknown.
    pub fn index_of(&self, id: &EndpointId) -> Option<usize> {
        self.index_by_id.get(id).copied()
    }

    /// Returns the zone of an endpoint.
    pub fn zone(&self, endpoint: usize) -> u32 {
        self.endpoints[endpoint].zone
    }

    /// Returns an endpoint list with all endpoints as running.
    pub fn list_entries(&self) -> Vec<Endpoint> {
        (0..self.endpoints.len()).map(|endpoint| self.list_entry(endpoint, Lifecycle::Running)).collect()
    }

    fn list_entry(&self, endpoint: usize, lifecycle: Lifecycle) -> Endpoint {
        Endpoint {
            id: self.ids[endpoint].clone(),
            zone: self.endpoints[endpoint].zone,
            cell: (endpoint % self.cells as usize) as u32,
            started: self.endpoints[endpoint].started,
            lifecycle,
        }
    }

    /// Handles the arrival of an attempt at its endpoint. Does nothing if the attempt has ended at its gateway.
    pub fn attempt_arrived(
        &mut self,
        context: &mut RunContext,
        requests: &RequestTable,
        attempt: AttemptKey,
        endpoint: usize,
    ) {
        let Some(demand) = requests.demand_of_attempt_in_flight(attempt) else { return };
        let admission = self.endpoints[endpoint].receive(attempt);
        if self.endpoints[endpoint].reads_requests() {
            let bytes = wire_size::attempt(&context.request_head(&demand));
            context.measures.traffic.endpoints.count(bytes);
        }
        match admission {
            Admission::Started => self.start_service(context, attempt, endpoint, demand.service_seconds),
            Admission::Rejected(status) => self.respond(context, requests, attempt, endpoint, status),
            Admission::Queued | Admission::NoResponse => {}
        }
    }

    fn start_service(&self, context: &mut RunContext, attempt: AttemptKey, endpoint: usize, seconds: f64) {
        let simulated_endpoint = &self.endpoints[endpoint];
        let capacity = simulated_endpoint.capacity(context.now(), &context.configuration.endpoints);
        let incarnation = simulated_endpoint.incarnation();
        let event = ScheduledEvent::ServiceCompleted { attempt, endpoint, incarnation };
        context.schedule_after(seconds / capacity, event);
    }

    /// Completes the service of an attempt: the endpoint responds and takes the next attempt from its queue. Does
    /// nothing if an earlier incarnation of the endpoint started the service.
    pub fn service_completed(
        &mut self,
        context: &mut RunContext,
        requests: &RequestTable,
        attempt: AttemptKey,
        endpoint: usize,
        incarnation: u32,
    ) {
        if self.endpoints[endpoint].incarnation() != incarnation {
            return;
        }
        self.endpoints[endpoint].finish(attempt);
        self.respond(context, requests, attempt, endpoint, Status::Ok);
        // The gateway closes the connection of an attempt that it no longer waits for, so the endpoint skips it.
        let is_awaited = |key| requests.is_in_flight(key);
        if let Some(next_attempt) = self.endpoints[endpoint].start_next(is_awaited) {
            let seconds =
                requests.get(next_attempt.request).map_or(0.0, |request| request.demand.service_seconds);
            self.start_service(context, next_attempt, endpoint, seconds);
        }
    }

    /// Sends a response, or the failure of the connection, to the gateway. Drops a response to an attempt that has
    /// ended at the gateway.
    fn respond(
        &self,
        context: &mut RunContext,
        requests: &RequestTable,
        attempt: AttemptKey,
        endpoint: usize,
        status: Status,
    ) {
        if let Some(bytes) =
            wire_size::attempt_response(status, context.configuration.clients.response_body_bytes)
        {
            if !requests.is_in_flight(attempt) {
                return;
            }
            context.measures.traffic.endpoints.count(bytes);
        }
        let Some(request) = requests.get(attempt.request) else { return };
        let gateway_zone = context.gateway_zone(request.gateway);
        let delay = context.network_delay(self.endpoints[endpoint].zone, gateway_zone);
        context.schedule_after(delay, ScheduledEvent::AttemptEnded { attempt, status });
    }

    /// Crashes a serving endpoint and returns the change of its list entry. Returns `None` if it is not serving.
    pub fn crash(
        &mut self,
        context: &mut RunContext,
        requests: &RequestTable,
        endpoint: usize,
    ) -> Option<Endpoint> {
        let is_serving = self.endpoints[endpoint].state == EndpointState::Serving;
        is_serving.then(|| self.shut_down(context, requests, endpoint, EndpointState::Down))
    }

    /// Shuts a draining endpoint down and returns the change of its list entry. Returns `None` if it is not draining.
    pub fn remove(
        &mut self,
        context: &mut RunContext,
        requests: &RequestTable,
        endpoint: usize,
    ) -> Option<Endpoint> {
        let is_draining = self.endpoints[endpoint].state == EndpointState::Draining;
        is_draining.then(|| self.shut_down(context, requests, endpoint, EndpointState::Gone))
    }

    /// Stops an endpoint, resets the connections of its attempts, and returns the change of its list entry.
    fn shut_down(
        &mut self,
        context: &mut RunContext,
        requests: &RequestTable,
        endpoint: usize,
        state: EndpointState,
    ) -> Endpoint {
        for attempt in self.endpoints[endpoint].stop(state) {
            self.respond(context, requests, attempt, endpoint, Status::Reset);
        }
        self.list_entry(endpoint, Lifecycle::Gone)
    }

    /// Starts a crashed endpoint again and returns the change of its list entry. Returns `None` if the endpoint has
    /// not crashed, or if its zone is lost; then it starts when the zone is restored.
    pub fn restart(&mut self, context: &RunContext, endpoint: usize, zone_is_lost: bool) -> Option<Endpoint> {
        let simulated_endpoint = &mut self.endpoints[endpoint];
        if simulated_endpoint.state != EndpointState::Down {
            return None;
        }
        if zone_is_lost {
            simulated_endpoint.state = EndpointState::Unreachable;
            return None;
        }
        simulated_endpoint.resume(Some(context.now()));
        Some(self.list_entry(endpoint, Lifecycle::Running))
    }

    /// Hangs a serving endpoint. Its attempts get no response.
    pub fn hang(&mut self, endpoint: usize) {
        if self.endpoints[endpoint].state == EndpointState::Serving {
            self.endpoints[endpoint].stop(EndpointState::Hung);
        }
    }

    /// Lets a hung endpoint serve again.
    pub fn resume(&mut self, endpoint: usize) {
        if self.endpoints[endpoint].state == EndpointState::Hung {
            self.endpoints[endpoint].resume(None);
        }
    }

    /// Starts the drain of a serving endpoint and returns the change of its list entry. Returns `None` if it is not
    /// serving.
    pub fn drain(&mut self, endpoint: usize) -> Option<Endpoint> {
        if self.endpoints[endpoint].state != EndpointState::Serving {
            return None;
        }
        self.endpoints[endpoint].state = EndpointState::Draining;
        Some(self.list_entry(endpoint, Lifecycle::Draining))
    }

    /// Adds an endpoint, which begins with its slow start, and returns its list entry.
    pub fn add(&mut self, context: &RunContext) -> Endpoint {
        let index = self.endpoints.len();
        let zone = index as u32 % context.configuration.topology.zones;
        self.push(SimulatedEndpoint::new(&context.configuration.endpoints, zone, context.now()));
        self.list_entry(index, Lifecycle::Running)
    }

    /// Makes all endpoints of a zone unreachable. Their attempts get no response.
    pub fn lose_zone(&mut self, zone: u32) {
        for endpoint in self.endpoints.iter_mut().filter(|endpoint| endpoint.zone == zone) {
            if !matches!(endpoint.state, EndpointState::Down | EndpointState::Gone) {
                endpoint.stop(EndpointState::Unreachable);
            }
        }
    }

    /// Starts the unreachable endpoints of a zone again and returns the changes of their list entries.
    pub fn restore_zone(&mut self, context: &RunContext, zone: u32) -> Vec<Endpoint> {
        let mut changes = Vec::new();
        for index in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[index];
            if endpoint.zone == zone && endpoint.state == EndpointState::Unreachable {
                endpoint.resume(Some(context.now()));
                changes.push(self.list_entry(index, Lifecycle::Running));
            }
        }
        changes
    }
}
