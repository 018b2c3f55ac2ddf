//! Expands the faults of a configuration into incidents, each with one target and one time.

use super::configuration::{Configuration, Fault, Range};
use super::event_queue::RUN_START;
use super::randomness::{sample, uniform};
use oliverack::{Seconds, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Start or end of a fault at one part of the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Incident {
    /// A gateway stops, and starts again after the configured restart time.
    RestartGateway(usize),
    /// The gateways of a zone stop and its endpoints become unreachable.
    LoseZone(u32),
    /// The gateways and endpoints of a lost zone start again.
    RestoreZone(u32),
    /// A zone is cut off from the counter, or connected again.
    SetCounterCut {
        /// Number of the zone.
        zone: u32,
        /// True to cut the zone off, false to connect it again.
        is_cut: bool,
    },
    /// The service time of counter calls is multiplied by this factor.
    SlowCounter(f64),
    /// The counter stops responding (true) or responds again (false).
    SilenceCounter(bool),
    /// The counter loses a random share of its entries.
    LoseCounterEntries(f64),
    /// An endpoint crashes.
    CrashEndpoint(usize),
    /// A crashed endpoint starts again.
    StartEndpoint(usize),
    /// An endpoint hangs.
    HangEndpoint(usize),
    /// A hung endpoint serves again.
    ResumeEndpoint(usize),
    /// An endpoint starts to drain.
    DrainEndpoint(usize),
    /// A draining endpoint shuts down.
    RemoveEndpoint(usize),
    /// An endpoint is added.
    AddEndpoint,
}

/// Incident and its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedIncident {
    /// Time of the incident.
    pub at: Time,
    /// Kind and target of the incident.
    pub incident: Incident,
}

/// Incidents planned so far, in the order of the faults.
#[derive(Debug, Default)]
struct IncidentPlan {
    incidents: Vec<PlannedIncident>,
}

impl IncidentPlan {
    /// Plans an incident at `after` seconds from the start of the run.
    fn add(&mut self, after: Seconds, incident: Incident) {
        self.incidents.push(PlannedIncident { at: RUN_START + after, incident });
    }

    /// Plans the start and the end of a fault.
    fn add_span(
        &mut self,
        starts_at: Seconds,
        start_incident: Incident,
        ends_at: Seconds,
        end_incident: Incident,
    ) {
        self.add(starts_at, start_incident);
        self.add(ends_at, end_incident);
    }

    /// Plans the replacement of an endpoint by another one.
    fn add_replacement(&mut self, starts_at: Seconds, endpoint: usize) {
        let ends_at = starts_at + REPLACEMENT_DRAIN;
        self.add_drain(starts_at, ends_at, endpoint);
        self.add(ends_at, Incident::AddEndpoint);
    }

    /// Plans the drain and the shutdown of an endpoint.
    fn add_drain(&mut self, starts_at: Seconds, ends_at: Seconds, endpoint: usize) {
        self.add_span(
            starts_at,
            Incident::DrainEndpoint(endpoint),
            ends_at,
            Incident::RemoveEndpoint(endpoint),
        );
    }

    /// Plans all incidents of a fault.
    fn add_fault(&mut self, configuration: &Configuration, fault: &Fault, generator: &mut ChaCha8Rng) {
        let endpoint_count = configuration.endpoints.count as usize;
        let gateway_count = configuration.gateways.count as usize;
        match *fault {
            Fault::RestartAtOnce { at, share } => {
                for gateway in sample(generator, gateway_count, share) {
                    self.add(at, Incident::RestartGateway(gateway));
                }
            }
            Fault::RestartOneByOne { from, until, count } => {
                for _ in 0..count {
                    let gateway = generator.random_range(0..gateway_count);
                    let restarts_at = uniform(generator, Range { min: from, max: until });
                    self.add(restarts_at, Incident::RestartGateway(gateway));
                }
            }
            Fault::LoseZone { at, until, zone } => {
                self.add_span(at, Incident::LoseZone(zone), until, Incident::RestoreZone(zone));
            }
            Fault::CutCounter { at, until, zone } => {
                let cut = Incident::SetCounterCut { zone, is_cut: true };
                let reconnection = Incident::SetCounterCut { zone, is_cut: false };
                self.add_span(at, cut, until, reconnection);
            }
            Fault::SlowCounter { at, until, factor } => {
                self.add_span(at, Incident::SlowCounter(factor), until, Incident::SlowCounter(1.0));
            }
            Fault::SilenceCounter { at, until } => {
                self.add_span(at, Incident::SilenceCounter(true), until, Incident::SilenceCounter(false));
            }
            Fault::LoseCounterEntries { at, share } => self.add(at, Incident::LoseCounterEntries(share)),
            Fault::CrashEndpoints { at, until, share } => {
                for endpoint in sample(generator, endpoint_count, share) {
                    let (crash, start) =
                        (Incident::CrashEndpoint(endpoint), Incident::StartEndpoint(endpoint));
                    self.add_span(at, crash, until, start);
                }
            }
            Fault::HangEndpoints { at, until, share } => {
                for endpoint in sample(generator, endpoint_count, share) {
                    let (hang, resume) =
                        (Incident::HangEndpoint(endpoint), Incident::ResumeEndpoint(endpoint));
                    self.add_span(at, hang, until, resume);
                }
            }
            Fault::DrainEndpoints { at, until, share } => {
                for endpoint in sample(generator, endpoint_count, share) {
                    self.add_drain(at, until, endpoint);
                }
            }
            Fault::ReplaceEndpoints { from, until, count } => {
                for endpoint in sample(generator, endpoint_count, f64::from(count) / endpoint_count as f64) {
                    self.add_replacement(uniform(generator, Range { min: from, max: until }), endpoint);
                }
            }
        }
    }
}

/// Time for which an endpoint drains before it is replaced.
const REPLACEMENT_DRAIN: Seconds = 2.0;

/// Returns all incidents of a run, in the order of the faults in the file and not of their times.
pub fn plan(configuration: &Configuration, generator: &mut ChaCha8Rng) -> Vec<PlannedIncident> {
    let mut plan = IncidentPlan::default();
    for fault in &configuration.faults {
        plan.add_fault(configuration, fault, generator);
    }
    plan.incidents
}
