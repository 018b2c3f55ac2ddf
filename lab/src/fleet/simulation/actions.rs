//! Carries out what a policy wants done.

use super::{ScheduledEvent, Simulation};
use crate::fleet::gateways::GatewayAddress;
use crate::fleet::requests::{AttemptKey, SentAttempt, request_number};
use crate::fleet::wire_size;
use oliverack::{Action, EndpointId, Status};

impl Simulation {
    pub(super) fn execute(&mut self, from: GatewayAddress, action: Action) {
        match action {
            Action::StartAttempt { request_id, endpoint, timeout, .. } => {
                self.send(from, request_number(&request_id), endpoint, timeout);
            }
            Action::Reject { request_id, retry_after } => {
                self.reject(request_number(&request_id), retry_after)
            }
            Action::Fail { request_id } => self.fail(request_number(&request_id)),
            Action::SetTimer { token, at } => {
                self.queue.schedule(at, ScheduledEvent::PolicyTimer { to: from, token })
            }
            Action::AddToCounter { counter, amount, ttl } => self.count(from, counter, amount, ttl),
            Action::PollEndpoints => self.poll_endpoints(from),
            // An action that is new to the model has no effect in it.
            _ => {}
        }
    }

    /// Begins an attempt.
    fn send(&mut self, from: GatewayAddress, number: u64, endpoint: EndpointId, timeout: f64) {
        let now = self.queue.now();
        let Some(request) = self.requests.get_mut(number) else { return };
        let attempt = AttemptKey { request: number, attempt: request.attempts.len() as u32 };
        request.attempts.push(SentAttempt { endpoint: endpoint.clone(), sent_at: now, in_flight: true });
        let (answered, demand) = (request.answered, request.demand);
        let endpoint_index = self.endpoint_index.get(&endpoint).copied();
        let (Some(endpoint), false) = (endpoint_index, answered) else {
            return self
                .queue
                .schedule(now, ScheduledEvent::AttemptEnded { attempt, status: Status::NotSent });
        };
        if attempt.attempt == 0 {
            self.draw_on_quota(&demand);
        }
        self.measures.attempts.sent += 1;
        self.measures.second(now).attempts += 1;
        let bytes = wire_size::attempt(&self.request_head(&demand));
        self.gateways[from.gateway].traffic.count(bytes);
        let delay = self.delay(self.gateways[from.gateway].zone, self.endpoints[endpoint].zone);
        let arrives = ScheduledEvent::AttemptArrived { attempt, endpoint, work: demand.work };
        self.queue.schedule(now + delay, arrives);
        let given_up = ScheduledEvent::AttemptEnded { attempt, status: Status::Timeout };
        self.queue.schedule((now + timeout).min(demand.deadline), given_up);
    }
}
