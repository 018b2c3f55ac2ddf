//! Turns the faults of a configuration into single incidents, each with its time.

use super::configuration::{Configuration, Fault};
use super::event_queue::RUN_START;
use super::randomness::{sample, uniform};
use oliverack::Time;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// One thing that happens to the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Incident {
    /// A gateway dies, to start anew after the time that this takes.
    RestartGateway(usize),
    /// A zone falls silent.
    LoseZone(u32),
    /// A zone starts anew.
    RestoreZone(u32),
    /// A zone is cut off from the counter, or joined to it again.
    CutCounter {
        /// The zone.
        zone: u32,
        /// It is cut off.
        cut: bool,
    },
    /// The counter takes so many times as long for a call.
    SlowCounter(f64),
    /// The counter falls silent, or speaks again.
    SilenceCounter(bool),
    /// The counter forgets this share of its names.
    ForgetCounts(f64),
    /// A endpoint crashes.
    CrashEndpoint(usize),
    /// A endpoint that crashed starts anew.
    StartEndpoint(usize),
    /// A endpoint stops to answer.
    HangEndpoint(usize),
    /// A endpoint that hung goes on.
    ResumeEndpoint(usize),
    /// A endpoint drains.
    DrainEndpoint(usize),
    /// A endpoint that drained is gone.
    RemoveEndpoint(usize),
    /// A endpoint is added.
    AddEndpoint,
}

/// An incident and its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedIncident {
    /// When.
    pub at: Time,
    /// What.
    pub incident: Incident,
}

/// Collects incidents, with times counted from the run's start.
#[derive(Debug, Default)]
struct IncidentPlan {
    incidents: Vec<PlannedIncident>,
}

impl IncidentPlan {
    fn add(&mut self, seconds: f64, incident: Incident) {
        self.incidents.push(PlannedIncident { at: RUN_START + seconds, incident });
    }

    fn add_span(&mut self, at: f64, begin: Incident, until: f64, end: Incident) {
        self.add(at, begin);
        self.add(until, end);
    }
}

/// Seconds that a endpoint drains for before it is replaced.
const REPLACEMENT_DRAIN_SECONDS: f64 = 2.0;

/// All incidents of a run, in the order of the file.
pub fn plan(configuration: &Configuration, generator: &mut ChaCha8Rng) -> Vec<PlannedIncident> {
    let mut plan = IncidentPlan::default();
    for fault in &configuration.faults {
        plan_fault(configuration, fault, &mut plan, generator);
    }
    plan.incidents
}

fn plan_fault(
    configuration: &Configuration,
    fault: &Fault,
    plan: &mut IncidentPlan,
    generator: &mut ChaCha8Rng,
) {
    let endpoints = configuration.endpoints.count as usize;
    let gateways = configuration.gateways.count as usize;
    match *fault {
        Fault::RestartAtOnce { at, share } => {
            for gateway in sample(generator, gateways, share) {
                plan.add(at, Incident::RestartGateway(gateway));
            }
        }
        Fault::RestartOneByOne { from, until, count } => {
            for _ in 0..count {
                let gateway = generator.random_range(0..gateways);
                plan.add(uniform(generator, [from, until]), Incident::RestartGateway(gateway));
            }
        }
        Fault::LoseZone { at, until, zone } => {
            plan.add_span(at, Incident::LoseZone(zone), until, Incident::RestoreZone(zone));
        }
        Fault::CutCounter { at, until, zone } => {
            let [cut, joined] = [true, false].map(|cut| Incident::CutCounter { zone, cut });
            plan.add_span(at, cut, until, joined);
        }
        Fault::SlowCounter { at, until, factor } => {
            plan.add_span(at, Incident::SlowCounter(factor), until, Incident::SlowCounter(1.0));
        }
        Fault::SilenceCounter { at, until } => {
            plan.add_span(at, Incident::SilenceCounter(true), until, Incident::SilenceCounter(false));
        }
        Fault::ForgetCounts { at, share } => plan.add(at, Incident::ForgetCounts(share)),
        Fault::CrashEndpoints { at, until, share } => {
            for endpoint in sample(generator, endpoints, share) {
                plan.add_span(
                    at,
                    Incident::CrashEndpoint(endpoint),
                    until,
                    Incident::StartEndpoint(endpoint),
                );
            }
        }
        Fault::HangEndpoints { at, until, share } => {
            for endpoint in sample(generator, endpoints, share) {
                plan.add_span(
                    at,
                    Incident::HangEndpoint(endpoint),
                    until,
                    Incident::ResumeEndpoint(endpoint),
                );
            }
        }
        Fault::DrainEndpoints { at, until, share } => {
            for endpoint in sample(generator, endpoints, share) {
                plan.add_span(
                    at,
                    Incident::DrainEndpoint(endpoint),
                    until,
                    Incident::RemoveEndpoint(endpoint),
                );
            }
        }
        Fault::ReplaceEndpoints { from, until, count } => {
            for endpoint in sample(generator, endpoints, f64::from(count) / endpoints as f64) {
                let at = uniform(generator, [from, until]);
                let gone = at + REPLACEMENT_DRAIN_SECONDS;
                plan.add_span(
                    at,
                    Incident::DrainEndpoint(endpoint),
                    gone,
                    Incident::RemoveEndpoint(endpoint),
                );
                plan.add(gone, Incident::AddEndpoint);
            }
        }
    }
}
