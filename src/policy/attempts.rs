//! Decides about a request's attempts: the first, a retry after a failure, a second one beside the first (a
//! hedge), and the one final answer.

use super::*;

/// Share of the aim after which a second attempt may go out.
const HEDGE_SHARE: f64 = 0.4;
/// Times the mean answer's time that it waits at least: most answers come before.
const HEDGE_LATENCIES: f64 = 3.0;
/// Further attempts that each first one allows: too few to feed an overload.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Further attempts that may be saved up.
pub const SAVED_RETRIES: f64 = 10.0;
/// What one costs of these behind a broken connection: an overload turns away and is late, it breaks none.
const BROKEN_PRICE: f64 = 0.25;
/// Seconds after which an error counts for little: it is mended as suddenly as it came.
pub const ERROR_MEMORY: f64 = 4.0;

/// The group, with its zone and cell, that further attempts keep to; `None`: they may go anywhere.
pub type Anchor = Option<(Group, u32, u32)>;

impl Gateway {
    /// Rule 2: `None`: no further attempt may go out; `Some(None)`: anywhere; else only to that group.
    pub(super) fn anchor(&self, job: &Job) -> Option<Anchor> {
        if job.out() > 0 && !self.settings.second_copies {
            return None;
        }
        let Some(first) = job.first_that_may_run() else { return Some(None) };
        match self.settings.classes[job.request.class].effect {
            Effect::Safe => Some(None),
            Effect::Unsafe => None,
            Effect::Keyed { group, .. } => {
                let server = &self.servers[self.servers.find(&first.server)?];
                (self.now < self.dedup_until(job)?).then_some(Some((group, server.zone, server.cell)))
            }
        }
    }

    /// Until when servers discard repeats of a job: counted from the first attempt that may have run.
    fn dedup_until(&self, job: &Job) -> Option<Time> {
        let first = job.first_that_may_run()?;
        let Effect::Keyed { window, .. } = self.settings.classes[job.request.class].effect else {
            return None;
        };
        Some(first.sent + window)
    }

    /// Sends a covered request on, or refuses it where no server takes it.
    pub(super) fn send_first(&mut self, id: JobId) {
        self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(SAVED_RETRIES);
        if !self.send(&id) {
            self.end(&id, self.settings.max_retry_after);
        }
    }

    /// Begins an attempt where the rules and a server's bound allow one.
    fn send(&mut self, id: &JobId) -> bool {
        let Some(mut job) = self.jobs.remove(id) else { return false };
        let class = self.settings.classes[job.request.class].clone();
        let useful = if class.late_worth > 0.0 { f64::INFINITY } else { job.arrived + class.aim };
        let timeout = (useful - 2.0 * self.settings.step).min(job.request.expires) - self.now;
        let may_send = job.attempts.len() < self.settings.max_attempts as usize && timeout > 0.0 && !job.over;
        let place = if may_send { self.choose(&job) } else { None };
        if let Some(place) = place {
            let server = self.servers.id(place).clone();
            let state = &mut self.servers[place];
            state.health_mut().inflight += 1.0;
            state.cold.level -= job.request.units.max(1.0);
            self.overload.in_flight += 1.0;
            if let Some(customer) = self.customers.get_mut(&job.request.customer) {
                customer.attempts_out += 1;
            }
            self.sent_units.add(self.now, job.request.units, choice::SENT_MEMORY);
            let dedup_until = self.dedup_until(&job);
            let attempt = Attempt { server: server.clone(), sent: self.now, ran: Ran::Out, begun: false };
            job.attempts.push(attempt);
            self.actions.push(Action::Send { job: id.clone(), server, timeout, dedup_until });
            let delay = (HEDGE_SHARE * class.aim).max(HEDGE_LATENCIES * self.overload.latency.mean);
            if self.settings.second_copies && delay < timeout {
                self.set_timer(self.now + delay, TimerPurpose::Hedge(id.clone()));
            }
        }
        self.jobs.insert(id.clone(), job);
        place.is_some()
    }

    /// A long answer has begun: its server has done the work, and its customer's slot is free.
    pub(super) fn begun(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let (Some(server), key) = (job.begin_stream(), job.request.customer.clone()) else { return };
        self.release(&server);
        let customer = self.customers.get_mut(&key);
        customer.into_iter().for_each(|c| c.attempts_out = c.attempts_out.saturating_sub(1));
        self.fill_slots(&key);
    }

    /// An attempt has ended: a retry, or the end.
    pub(super) fn outcome(
        &mut self,
        id: &JobId,
        attempt: u32,
        status: Status,
        over: bool,
        settled: Option<f64>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(tried) = job.attempts.get_mut(attempt as usize) else { return };
        if tried.ran == Ran::Out {
            tried.ran = if status.never_ran() { Ran::Never } else { Ran::Maybe };
            if let Some(customer) = self.customers.get_mut(&job.request.customer) {
                customer.attempts_out = customer.attempts_out.saturating_sub(u32::from(!tried.begun));
                if let Some(units) = settled {
                    customer.unreported += units - job.request.units;
                }
            }
        }
        if over || job.over {
            return self.over(id);
        }
        if job.streaming || job.out() > 0 {
            return;
        }
        let price = if matches!(status, Status::Reset | Status::ConnectFailed) { BROKEN_PRICE } else { 1.0 };
        if self.retry_budget >= 1.0 && status != Status::Timeout && self.has_room(1.0) && self.send(id) {
            self.retry_budget -= price;
            return;
        }
        self.end(id, self.overload.latency.mean);
    }

    /// The first attempt is late: another one beside it.
    pub(super) fn hedge(&mut self, id: &JobId) {
        let waits = self.jobs.get(id).is_some_and(|j| !j.over && !j.streaming && j.out() == 1);
        if waits && self.retry_budget >= 1.0 && self.has_room(overload::SPARE_SHARE) && self.send(id) {
            self.retry_budget -= 1.0;
        }
    }

    /// Gives the one final answer, refusing where a retry is known to do no harm.
    pub(super) fn end(&mut self, id: &JobId, retry_after: f64) {
        let Some(job) = self.jobs.get(id).filter(|j| !j.over) else { return };
        let clean = job.first_that_may_run().is_none();
        let harmless = match self.settings.classes.get(job.request.class).map(|c| c.effect) {
            Some(Effect::Unsafe) => clean,
            Some(Effect::Keyed { group, .. }) => clean || group == Group::All,
            _ => true,
        };
        if harmless {
            let longest = if self.settings.retry_after { self.settings.max_retry_after } else { 0.0 };
            let retry_after = retry_after.max(0.0).min(longest);
            self.actions.push(Action::Refuse { job: id.clone(), retry_after });
        } else {
            self.actions.push(Action::Fail { job: id.clone() });
        }
        self.over(id);
    }

    /// The request is over; it is kept only while attempts are out.
    pub(super) fn over(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.over = true;
            if job.out() == 0 {
                self.jobs.remove(id);
            }
        }
    }
}
