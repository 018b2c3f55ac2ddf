//! Attempts at the endpoints, and their way back.

use super::{ScheduledEvent, Simulation};
use crate::fleet::endpoints::{EndpointState, Reception};
use crate::fleet::requests::AttemptKey;
use crate::fleet::wire_size;
use oliverack::{Event, LoadReport, Status};

impl Simulation {
    pub(super) fn attempt_arrived(&mut self, attempt: AttemptKey, endpoint: usize, work: f64) {
        if self.requests.attempt_in_flight(attempt).is_none() {
            return;
        }
        let Some(request) = self.requests.get(attempt.request) else { return };
        let demand = request.demand;
        let reception = self.endpoints[endpoint].receive(attempt);
        let reached =
            !matches!(reception, Reception::Rejected(Status::ConnectFailed) | Reception::NoResponse);
        if reached || self.endpoints[endpoint].state == EndpointState::Hung {
            let bytes = wire_size::attempt(&self.request_head(&demand));
            self.measures.traffic.endpoints.count(bytes);
        }
        match reception {
            Reception::Started => self.begin_service(attempt, endpoint, work),
            Reception::Rejected(status) => self.answer_attempt(attempt, endpoint, status),
            Reception::Queued | Reception::NoResponse => {}
        }
    }

    fn begin_service(&mut self, attempt: AttemptKey, endpoint: usize, work: f64) {
        let now = self.queue.now();
        let seconds = work / self.endpoints[endpoint].capacity(now, &self.configuration.endpoints);
        let incarnation = self.endpoints[endpoint].incarnation;
        self.queue
            .schedule(now + seconds, ScheduledEvent::ServiceCompleted { attempt, endpoint, incarnation });
    }

    pub(super) fn service_completed(&mut self, attempt: AttemptKey, endpoint: usize, incarnation: u32) {
        if self.endpoints[endpoint].incarnation != incarnation {
            return;
        }
        self.endpoints[endpoint].finish(attempt);
        self.answer_attempt(attempt, endpoint, Status::Ok);
        let requests = &self.requests;
        // A gateway that has given an attempt up has closed its connection.
        let next = self.endpoints[endpoint].begin_next(|key| requests.attempt_in_flight(key).is_some());
        if let Some(next) = next {
            let work = self.requests.get(next.request).map_or(0.0, |request| request.demand.work);
            self.begin_service(next, endpoint, work);
        }
    }

    /// Sends a endpoint's answer, or the failure of its connection, back to the gateway.
    pub(super) fn answer_attempt(&mut self, attempt: AttemptKey, endpoint: usize, status: Status) {
        let Some(bytes) = self.answer_bytes(status) else {
            return self.end_after_delay(attempt, endpoint, status);
        };
        if self.requests.attempt_in_flight(attempt).is_some() {
            self.measures.traffic.endpoints.count(bytes);
            self.end_after_delay(attempt, endpoint, status);
        }
    }

    fn end_after_delay(&mut self, attempt: AttemptKey, endpoint: usize, status: Status) {
        let Some(request) = self.requests.get(attempt.request) else { return };
        let delay = self.delay(self.endpoints[endpoint].zone, self.gateways[request.gateway].zone);
        self.queue.schedule(self.queue.now() + delay, ScheduledEvent::AttemptEnded { attempt, status });
    }

    /// Bytes of a endpoint's answer; `None` where there is no message.
    fn answer_bytes(&self, status: Status) -> Option<u64> {
        match status {
            Status::Ok => Some(wire_size::served(self.configuration.clients.answer_body)),
            Status::Rejected => Some(wire_size::endpoint_rejected()),
            _ => None,
        }
    }

    /// An attempt ends at its gateway, however that comes; only the first end counts.
    pub(super) fn attempt_ended(&mut self, key: AttemptKey, status: Status) {
        let now = self.queue.now();
        let bytes = self.answer_bytes(status);
        let Some(request) = self.requests.get_mut(key.request) else { return };
        let Some(attempt) = request.attempts.get_mut(key.attempt as usize).filter(|a| a.in_flight) else {
            return;
        };
        attempt.in_flight = false;
        let (endpoint, elapsed, gateway) = (attempt.endpoint.clone(), now - attempt.sent_at, request.gateway);
        self.measures.attempts.count(status);
        if let Some(bytes) = bytes {
            self.gateways[gateway].traffic.count(bytes);
        }
        if status == Status::Ok {
            self.serve(key.request);
        }
        let is_finished = self.requests.get(key.request).is_none_or(|request| request.answered);
        let event = Event::AttemptEnded {
            request_id: crate::fleet::requests::request_id_of(key.request),
            attempt: key.attempt,
            endpoint,
            status,
            elapsed,
            is_finished,
            actual_units: None,
            load: LoadReport::default(),
        };
        let to = self.address(gateway);
        self.notify(to, event);
        self.close_if_finished(key.request);
    }
}
