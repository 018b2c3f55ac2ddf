//! What happens to the fleet: restarts, lost zones, and faults of endpoints and of the counter.

use super::{ScheduledEvent, Simulation, endpoint_id};
use crate::fleet::endpoints::{EndpointState, SimulatedEndpoint};
use crate::fleet::gateways;
use crate::fleet::incident_plan::Incident;
use oliverack::{Lifecycle, SettingsError, Status};
use rand::Rng;

impl Simulation {
    pub(super) fn incident(&mut self, incident: Incident) {
        match incident {
            Incident::RestartGateway(gateway) => self.restart(gateway),
            Incident::LoseZone(zone) => self.lose_zone(zone),
            Incident::RestoreZone(zone) => self.restore_zone(zone),
            Incident::CutCounter { zone, cut } => self.zones_cut[zone as usize] = cut,
            Incident::SlowCounter(factor) => {
                self.counter.iter_mut().for_each(|counter| counter.set_slowdown(factor));
            }
            Incident::SilenceCounter(silent) => {
                self.counter.iter_mut().for_each(|counter| counter.set_silent(silent));
            }
            Incident::ForgetCounts(share) => {
                if let Some(counter) = &mut self.counter {
                    let lost = counter.forget(share, &mut self.generators.counter);
                    self.measures.counter_calls.entries_lost += lost as u64;
                }
            }
            Incident::CrashEndpoint(endpoint) => self.crash(endpoint),
            Incident::StartEndpoint(endpoint) => self.start_endpoint(endpoint),
            Incident::HangEndpoint(endpoint) => self.hang(endpoint),
            Incident::ResumeEndpoint(endpoint) => self.resume(endpoint),
            Incident::DrainEndpoint(endpoint) => self.drain(endpoint),
            Incident::RemoveEndpoint(endpoint) => self.remove(endpoint),
            Incident::AddEndpoint => self.add_endpoint(),
        }
    }

    fn restart(&mut self, gateway: usize) {
        if self.gateways[gateway].down_since.is_some() {
            return;
        }
        self.measures.fleet.restarts += 1;
        self.kill(gateway);
        let at = self.queue.now() + self.configuration.gateways.restart_seconds;
        self.queue.schedule(at, ScheduledEvent::GatewayStarted(gateway));
    }

    /// Ends a gateway's incarnation; its clients' requests are lost with it.
    fn kill(&mut self, gateway: usize) {
        let now = self.queue.now();
        self.count_watches(gateway, now);
        self.gateways[gateway].stop(now);
        for request in self.requests.drop_all_of(gateway) {
            if !request.answered {
                self.lose(&request.demand);
            }
        }
    }

    /// Starts a gateway that is down, unless its zone is lost: then it starts when the zone is back.
    pub(super) fn start(&mut self, gateway: usize) -> Result<(), SettingsError> {
        let zone = self.gateways[gateway].zone;
        if self.zones_lost[zone as usize] || self.gateways[gateway].down_since.is_none() {
            return Ok(());
        }
        let settings = gateways::settings(&self.configuration, gateway as u32, zone);
        let seed = self.generators.policies.random();
        self.gateways[gateway].start(settings, seed, self.queue.now())?;
        self.begin_incarnation(gateway);
        Ok(())
    }

    fn lose_zone(&mut self, zone: u32) {
        self.zones_lost[zone as usize] = true;
        for gateway in 0..self.gateways.len() {
            let lost = &self.gateways[gateway];
            if lost.zone == zone && lost.down_since.is_none() {
                self.kill(gateway);
            }
        }
        let runs = |endpoint: &SimulatedEndpoint| {
            !matches!(endpoint.state, EndpointState::Down | EndpointState::Gone)
        };
        for endpoint in self.endpoints.iter_mut().filter(|endpoint| endpoint.zone == zone && runs(endpoint)) {
            // Nobody hears of what it held.
            endpoint.stop(EndpointState::Unreachable);
        }
    }

    fn restore_zone(&mut self, zone: u32) {
        let now = self.queue.now();
        self.zones_lost[zone as usize] = false;
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].zone == zone {
                self.queue.schedule(now, ScheduledEvent::GatewayStarted(gateway));
            }
        }
        for endpoint in 0..self.endpoints.len() {
            let lost = &mut self.endpoints[endpoint];
            if lost.zone == zone && lost.state == EndpointState::Unreachable {
                lost.resume(Some(now));
                self.publish_change(endpoint, Lifecycle::Running);
            }
        }
    }

    fn crash(&mut self, endpoint: usize) {
        if self.endpoints[endpoint].state != EndpointState::Serving {
            return;
        }
        for attempt in self.endpoints[endpoint].stop(EndpointState::Down) {
            self.answer_attempt(attempt, endpoint, Status::Reset);
        }
        self.publish_change(endpoint, Lifecycle::Gone);
    }

    fn start_endpoint(&mut self, endpoint: usize) {
        if self.endpoints[endpoint].state != EndpointState::Down {
            return;
        }
        if self.zones_lost[self.endpoints[endpoint].zone as usize] {
            // It starts with its zone.
            self.endpoints[endpoint].state = EndpointState::Unreachable;
        } else {
            self.endpoints[endpoint].resume(Some(self.queue.now()));
            self.publish_change(endpoint, Lifecycle::Running);
        }
    }

    fn hang(&mut self, endpoint: usize) {
        if self.endpoints[endpoint].state == EndpointState::Serving {
            // What it held stays without an answer.
            self.endpoints[endpoint].stop(EndpointState::Hung);
        }
    }

    fn resume(&mut self, endpoint: usize) {
        if self.endpoints[endpoint].state == EndpointState::Hung {
            self.endpoints[endpoint].resume(None);
        }
    }

    fn drain(&mut self, endpoint: usize) {
        if self.endpoints[endpoint].state == EndpointState::Serving {
            self.endpoints[endpoint].state = EndpointState::Draining;
            self.publish_change(endpoint, Lifecycle::Draining);
        }
    }

    fn remove(&mut self, endpoint: usize) {
        if self.endpoints[endpoint].state != EndpointState::Draining {
            return;
        }
        for attempt in self.endpoints[endpoint].stop(EndpointState::Gone) {
            self.answer_attempt(attempt, endpoint, Status::Reset);
        }
        self.publish_change(endpoint, Lifecycle::Gone);
    }

    /// Adds a endpoint, which starts cold.
    fn add_endpoint(&mut self) {
        let index = self.endpoints.len();
        let zone = index as u32 % self.configuration.topology.zones;
        let endpoint = SimulatedEndpoint::new(&self.configuration.endpoints, zone, self.queue.now());
        let id = endpoint_id(index);
        self.endpoints.push(endpoint);
        self.endpoint_ids.push(id.clone());
        self.endpoint_index.insert(id, index);
        self.publish_change(index, Lifecycle::Running);
    }
}
