//! What happens to the fleet: restarts, lost zones, and faults of workers and of the counter.

use super::{Occurrence, Simulation, worker_id};
use crate::fleet::faults::Incident;
use crate::fleet::gatekeepers;
use crate::fleet::workers::{Condition, Worker};
use oliverack::{Lifecycle, SettingsError, Status};
use rand::Rng;

impl Simulation {
    pub(super) fn incident(&mut self, incident: Incident) {
        match incident {
            Incident::RestartGatekeeper(gatekeeper) => self.restart(gatekeeper),
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
                    self.measures.counter_calls.names_lost += lost as u64;
                }
            }
            Incident::CrashWorker(worker) => self.crash(worker),
            Incident::StartWorker(worker) => self.start_worker(worker),
            Incident::HangWorker(worker) => self.hang(worker),
            Incident::ResumeWorker(worker) => self.resume(worker),
            Incident::DrainWorker(worker) => self.drain(worker),
            Incident::RemoveWorker(worker) => self.remove(worker),
            Incident::AddWorker => self.add_worker(),
        }
    }

    fn restart(&mut self, gatekeeper: usize) {
        if self.gatekeepers[gatekeeper].down_since.is_some() {
            return;
        }
        self.measures.fleet.restarts += 1;
        self.kill(gatekeeper);
        let at = self.queue.now() + self.configuration.gatekeepers.restart_seconds;
        self.queue.schedule(at, Occurrence::Start(gatekeeper));
    }

    /// Ends a gatekeeper's life; its clients' requests are lost with it.
    fn kill(&mut self, gatekeeper: usize) {
        let now = self.queue.now();
        self.count_watches(gatekeeper, now);
        self.gatekeepers[gatekeeper].die(now);
        for request in self.requests.drop_all_of(gatekeeper) {
            if !request.answered {
                self.lose(&request.wish);
            }
        }
    }

    /// Starts a gatekeeper that is down, unless its zone is lost: then it starts when the zone is back.
    pub(super) fn start(&mut self, gatekeeper: usize) -> Result<(), SettingsError> {
        let zone = self.gatekeepers[gatekeeper].zone;
        if self.zones_lost[zone as usize] || self.gatekeepers[gatekeeper].down_since.is_none() {
            return Ok(());
        }
        let settings = gatekeepers::settings(&self.configuration, gatekeeper as u32, zone);
        let seed = self.generators.policies.random();
        self.gatekeepers[gatekeeper].start(settings, seed, self.queue.now())?;
        self.begin_life(gatekeeper);
        Ok(())
    }

    fn lose_zone(&mut self, zone: u32) {
        self.zones_lost[zone as usize] = true;
        for gatekeeper in 0..self.gatekeepers.len() {
            let lost = &self.gatekeepers[gatekeeper];
            if lost.zone == zone && lost.down_since.is_none() {
                self.kill(gatekeeper);
            }
        }
        let runs = |worker: &Worker| !matches!(worker.condition, Condition::Down | Condition::Gone);
        for worker in self.workers.iter_mut().filter(|worker| worker.zone == zone && runs(worker)) {
            // Nobody hears of what it held.
            worker.stop(Condition::Unreachable);
        }
    }

    fn restore_zone(&mut self, zone: u32) {
        let now = self.queue.now();
        self.zones_lost[zone as usize] = false;
        for gatekeeper in 0..self.gatekeepers.len() {
            if self.gatekeepers[gatekeeper].zone == zone {
                self.queue.schedule(now, Occurrence::Start(gatekeeper));
            }
        }
        for worker in 0..self.workers.len() {
            let lost = &mut self.workers[worker];
            if lost.zone == zone && lost.condition == Condition::Unreachable {
                lost.resume(Some(now));
                self.tell_change(worker, Lifecycle::Running);
            }
        }
    }

    fn crash(&mut self, worker: usize) {
        if self.workers[worker].condition != Condition::Serving {
            return;
        }
        for attempt in self.workers[worker].stop(Condition::Down) {
            self.answer_attempt(attempt, worker, Status::Reset);
        }
        self.tell_change(worker, Lifecycle::Gone);
    }

    fn start_worker(&mut self, worker: usize) {
        if self.workers[worker].condition != Condition::Down {
            return;
        }
        if self.zones_lost[self.workers[worker].zone as usize] {
            // It starts with its zone.
            self.workers[worker].condition = Condition::Unreachable;
        } else {
            self.workers[worker].resume(Some(self.queue.now()));
            self.tell_change(worker, Lifecycle::Running);
        }
    }

    fn hang(&mut self, worker: usize) {
        if self.workers[worker].condition == Condition::Serving {
            // What it held stays without an answer.
            self.workers[worker].stop(Condition::Hung);
        }
    }

    fn resume(&mut self, worker: usize) {
        if self.workers[worker].condition == Condition::Hung {
            self.workers[worker].resume(None);
        }
    }

    fn drain(&mut self, worker: usize) {
        if self.workers[worker].condition == Condition::Serving {
            self.workers[worker].condition = Condition::Draining;
            self.tell_change(worker, Lifecycle::Draining);
        }
    }

    fn remove(&mut self, worker: usize) {
        if self.workers[worker].condition != Condition::Draining {
            return;
        }
        for attempt in self.workers[worker].stop(Condition::Gone) {
            self.answer_attempt(attempt, worker, Status::Reset);
        }
        self.tell_change(worker, Lifecycle::Gone);
    }

    /// Adds a worker, which starts cold.
    fn add_worker(&mut self) {
        let index = self.workers.len();
        let zone = index as u32 % self.configuration.topology.zones;
        let worker = Worker::new(&self.configuration.workers, zone, self.queue.now());
        let id = worker_id(index);
        self.workers.push(worker);
        self.worker_ids.push(id.clone());
        self.worker_index.insert(id, index);
        self.tell_change(index, Lifecycle::Running);
    }
}
