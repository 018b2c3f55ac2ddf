//! Carries out what a policy wants done.

use super::{Occurrence, Simulation};
use crate::fleet::gatekeepers::Address;
use crate::fleet::requests::{Attempt, AttemptKey, number_of};
use crate::fleet::wire_size;
use oliverack::{Action, Event, Load, ServerId, Status};

impl Simulation {
    pub(super) fn carry_out(&mut self, from: Address, action: Action) {
        match action {
            Action::Send { job, server, timeout, .. } => {
                self.send(from, number_of(&job), server, timeout);
            }
            Action::Refuse { job, retry_after } => self.refuse(number_of(&job), retry_after),
            Action::Fail { job } => self.fail(number_of(&job)),
            Action::Cancel { job, attempt } => {
                let attempt = AttemptKey { request: number_of(&job), attempt };
                let ends = Occurrence::AttemptEnds { attempt, status: Status::Cancelled };
                self.queue.schedule(self.queue.now(), ends);
            }
            Action::Timer { token, at } => self.queue.schedule(at, Occurrence::Timer { to: from, token }),
            Action::Count { counter, amount, ttl } => self.count(from, counter, amount, ttl),
            Action::Watch => self.ask_list(from),
            Action::Probe { server } => {
                // Workers of the model answer no probes.
                let event = Event::Probed { server, status: Status::ConnectFailed, load: Load::default() };
                self.tell_later(from, event);
            }
            // Lines of the log are no figures, and an action that is new to the model has no effect in it.
            _ => {}
        }
    }

    /// Begins an attempt.
    fn send(&mut self, from: Address, number: u64, server: ServerId, timeout: f64) {
        let now = self.queue.now();
        let Some(request) = self.requests.get_mut(number) else { return };
        let attempt = AttemptKey { request: number, attempt: request.attempts.len() as u32 };
        request.attempts.push(Attempt { server: server.clone(), sent: now, out: true });
        let (answered, wish) = (request.answered, request.wish);
        let worker = self.worker_index.get(&server).copied();
        let (Some(worker), false) = (worker, answered) else {
            return self.queue.schedule(now, Occurrence::AttemptEnds { attempt, status: Status::Moot });
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
