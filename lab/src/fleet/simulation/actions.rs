//! Carries out what a policy wants done.

use super::{Occurrence, Simulation};
use crate::fleet::gatekeepers::Address;
use crate::fleet::requests::{Attempt, AttemptKey, number_of};
use crate::fleet::wire_size;
use oliverack::{Action, EndpointId, Status};

impl Simulation {
    pub(super) fn carry_out(&mut self, from: Address, action: Action) {
        match action {
            Action::StartAttempt { request_id, endpoint, timeout, .. } => {
                self.send(from, number_of(&request_id), endpoint, timeout);
            }
            Action::Reject { request_id, retry_after } => self.refuse(number_of(&request_id), retry_after),
            Action::Fail { request_id } => self.fail(number_of(&request_id)),
            Action::SetTimer { token, at } => self.queue.schedule(at, Occurrence::Timer { to: from, token }),
            Action::AddToCounter { counter, amount, ttl } => self.count(from, counter, amount, ttl),
            Action::PollEndpoints => self.ask_list(from),
            // An action that is new to the model has no effect in it.
            _ => {}
        }
    }

    /// Begins an attempt.
    fn send(&mut self, from: Address, number: u64, endpoint: EndpointId, timeout: f64) {
        let now = self.queue.now();
        let Some(request) = self.requests.get_mut(number) else { return };
        let attempt = AttemptKey { request: number, attempt: request.attempts.len() as u32 };
        request.attempts.push(Attempt { endpoint: endpoint.clone(), sent: now, out: true });
        let (answered, wish) = (request.answered, request.wish);
        let worker = self.worker_index.get(&endpoint).copied();
        let (Some(worker), false) = (worker, answered) else {
            return self.queue.schedule(now, Occurrence::AttemptEnds { attempt, status: Status::NotSent });
        };
        if attempt.attempt == 0 {
            self.draw_on_quota(&wish);
        }
        self.measures.attempts.sent += 1;
        self.measures.second(now).attempts += 1;
        let bytes = wire_size::attempt(&self.request_head(&wish));
        self.gatekeepers[from.gatekeeper].traffic.count(bytes);
        let delay = self.delay(self.gatekeepers[from.gatekeeper].zone, self.workers[worker].zone);
        let arrives = Occurrence::AttemptArrives { attempt, worker, work: wish.work };
        self.queue.schedule(now + delay, arrives);
        let given_up = Occurrence::AttemptEnds { attempt, status: Status::Timeout };
        self.queue.schedule((now + timeout).min(wish.until), given_up);
    }
}
