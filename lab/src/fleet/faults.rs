//! Turns the faults of a configuration into single incidents, each with its time.

use super::clock::START;
use super::configuration::{Configuration, Fault};
use super::randomness::{between, sample};
use oliverack::Time;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// One thing that happens to the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Incident {
    /// A gatekeeper dies, to start anew after the time that this takes.
    RestartGatekeeper(usize),
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
    /// A worker crashes.
    CrashWorker(usize),
    /// A worker that crashed starts anew.
    StartWorker(usize),
    /// A worker stops to answer.
    HangWorker(usize),
    /// A worker that hung goes on.
    ResumeWorker(usize),
    /// A worker drains.
    DrainWorker(usize),
    /// A worker that drained is gone.
    RemoveWorker(usize),
    /// A worker is added.
    AddWorker,
}

/// An incident and its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Planned {
    /// When.
    pub at: Time,
    /// What.
    pub incident: Incident,
}

/// Collects incidents, with times counted from the run's start.
#[derive(Debug, Default)]
struct Plan {
    incidents: Vec<Planned>,
}

impl Plan {
    fn add(&mut self, seconds: f64, incident: Incident) {
        self.incidents.push(Planned { at: START + seconds, incident });
    }

    fn add_span(&mut self, at: f64, begin: Incident, until: f64, end: Incident) {
        self.add(at, begin);
        self.add(until, end);
    }
}

/// Seconds that a worker drains for before it is replaced.
const DRAIN_SECONDS: f64 = 2.0;

/// All incidents of a run, in the order of the file.
pub fn plan(configuration: &Configuration, generator: &mut ChaCha8Rng) -> Vec<Planned> {
    let mut plan = Plan::default();
    for fault in &configuration.faults {
        plan_fault(configuration, fault, &mut plan, generator);
    }
    plan.incidents
}

fn plan_fault(configuration: &Configuration, fault: &Fault, plan: &mut Plan, generator: &mut ChaCha8Rng) {
    let workers = configuration.workers.count as usize;
    let gatekeepers = configuration.gatekeepers.count as usize;
    match *fault {
        Fault::RestartAtOnce { at, share } => {
            for gatekeeper in sample(generator, gatekeepers, share) {
                plan.add(at, Incident::RestartGatekeeper(gatekeeper));
            }
        }
        Fault::RestartOneByOne { from, until, count } => {
            for _ in 0..count {
                let gatekeeper = generator.random_range(0..gatekeepers);
                plan.add(between(generator, [from, until]), Incident::RestartGatekeeper(gatekeeper));
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
        Fault::CrashWorkers { at, until, share } => {
            for worker in sample(generator, workers, share) {
                plan.add_span(at, Incident::CrashWorker(worker), until, Incident::StartWorker(worker));
            }
        }
        Fault::HangWorkers { at, until, share } => {
            for worker in sample(generator, workers, share) {
                plan.add_span(at, Incident::HangWorker(worker), until, Incident::ResumeWorker(worker));
            }
        }
        Fault::DrainWorkers { at, until, share } => {
            for worker in sample(generator, workers, share) {
                plan.add_span(at, Incident::DrainWorker(worker), until, Incident::RemoveWorker(worker));
            }
        }
        Fault::ReplaceWorkers { from, until, count } => {
            for worker in sample(generator, workers, f64::from(count) / workers as f64) {
                let at = between(generator, [from, until]);
                let gone = at + DRAIN_SECONDS;
                plan.add_span(at, Incident::DrainWorker(worker), gone, Incident::RemoveWorker(worker));
                plan.add(gone, Incident::AddWorker);
            }
        }
    }
}
