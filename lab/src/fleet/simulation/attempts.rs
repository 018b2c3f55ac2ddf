//! Attempts at the workers, and their way back.

use super::{Occurrence, Simulation};
use crate::fleet::requests::AttemptKey;
use crate::fleet::wire_size;
use crate::fleet::workers::{Condition, Reception};
use oliverack::{Event, LoadReport, Status};

impl Simulation {
    pub(super) fn attempt_arrives(&mut self, attempt: AttemptKey, worker: usize, work: f64) {
        if self.requests.attempt_out(attempt).is_none() {
            return;
        }
        let Some(request) = self.requests.get(attempt.request) else { return };
        let wish = request.wish;
        let reception = self.workers[worker].receive(attempt);
        let reached = !matches!(reception, Reception::Rejected(Status::ConnectFailed) | Reception::Silent);
        if reached || self.workers[worker].condition == Condition::Hung {
            let bytes = wire_size::attempt(&self.request_head(&wish));
            self.measures.traffic.workers.count(bytes);
        }
        match reception {
            Reception::Begins => self.begin_service(attempt, worker, work),
            Reception::Rejected(status) => self.answer_attempt(attempt, worker, status),
            Reception::Waits | Reception::Silent => {}
        }
    }

    fn begin_service(&mut self, attempt: AttemptKey, worker: usize, work: f64) {
        let now = self.queue.now();
        let seconds = work / self.workers[worker].capacity(now, &self.configuration.workers);
        let life = self.workers[worker].life;
        self.queue.schedule(now + seconds, Occurrence::ServiceEnds { attempt, worker, life });
    }

    pub(super) fn service_ends(&mut self, attempt: AttemptKey, worker: usize, life: u32) {
        if self.workers[worker].life != life {
            return;
        }
        self.workers[worker].finish(attempt);
        self.answer_attempt(attempt, worker, Status::Ok);
        let requests = &self.requests;
        // A gatekeeper that has given an attempt up has closed its connection.
        let next = self.workers[worker].begin_next(|key| requests.attempt_out(key).is_some());
        if let Some(next) = next {
            let work = self.requests.get(next.request).map_or(0.0, |request| request.wish.work);
            self.begin_service(next, worker, work);
        }
    }

    /// Sends a worker's answer, or the failure of its connection, back to the gatekeeper.
    pub(super) fn answer_attempt(&mut self, attempt: AttemptKey, worker: usize, status: Status) {
        let Some(bytes) = self.answer_bytes(status) else {
            return self.end_after_delay(attempt, worker, status);
        };
        if self.requests.attempt_out(attempt).is_some() {
            self.measures.traffic.workers.count(bytes);
            self.end_after_delay(attempt, worker, status);
        }
    }

    fn end_after_delay(&mut self, attempt: AttemptKey, worker: usize, status: Status) {
        let Some(request) = self.requests.get(attempt.request) else { return };
        let delay = self.delay(self.workers[worker].zone, self.gatekeepers[request.gatekeeper].zone);
        self.queue.schedule(self.queue.now() + delay, Occurrence::AttemptEnds { attempt, status });
    }

    /// Bytes of a worker's answer; `None` where there is no message.
    fn answer_bytes(&self, status: Status) -> Option<u64> {
        match status {
            Status::Ok => Some(wire_size::served(self.configuration.clients.answer_body)),
            Status::Rejected => Some(wire_size::turned_away()),
            _ => None,
        }
    }

    /// An attempt ends at its gatekeeper, however that comes; only the first end counts.
    pub(super) fn attempt_ends(&mut self, key: AttemptKey, status: Status) {
        let now = self.queue.now();
        let bytes = self.answer_bytes(status);
        let Some(request) = self.requests.get_mut(key.request) else { return };
        let Some(attempt) = request.attempts.get_mut(key.attempt as usize).filter(|a| a.out) else { return };
        attempt.out = false;
        let (endpoint, elapsed, gatekeeper) =
            (attempt.endpoint.clone(), now - attempt.sent, request.gatekeeper);
        self.measures.attempts.count(status);
        if let Some(bytes) = bytes {
            self.gatekeepers[gatekeeper].traffic.count(bytes);
        }
        if status == Status::Ok {
            self.serve(key.request);
        }
        let is_finished = self.requests.get(key.request).is_none_or(|request| request.answered);
        let event = Event::AttemptEnded {
            request_id: crate::fleet::requests::job_id(key.request),
            attempt: key.attempt,
            endpoint,
            status,
            elapsed,
            is_finished,
            actual_units: None,
            load: LoadReport::default(),
        };
        let to = self.address(gatekeeper);
        self.tell(to, event);
        self.close_if_over(key.request);
    }
}
