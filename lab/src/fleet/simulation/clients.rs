//! Clients, the front that deals out their requests, and the answers that they get.

use super::{Occurrence, Simulation};
use crate::fleet::clock::START;
use crate::fleet::gatekeepers::Address;
use crate::fleet::measures::{Ending, Sent};
use crate::fleet::randomness::{exponential, weighted};
use crate::fleet::requests::{Wish, job_id};
use crate::fleet::wire_size::{self, Quota, RequestHead};
use oliverack::{Event, Request};
use rand::Rng;

/// Seconds past its deadline that a client still takes an answer: that to a time-out that ends with the deadline.
const LAST_ANSWER: f64 = 0.01;

/// Where the front sends a request.
enum Route {
    /// To this gatekeeper.
    Up(usize),
    /// Nowhere: the gatekeeper is down and the front has not noticed, or all of them are down.
    Lost,
}

/// The worth of a wish, where the quota holds it.
fn inside_worth(wish: &Wish) -> f64 {
    if wish.inside { wish.worth } else { 0.0 }
}

impl Simulation {
    pub(super) fn schedule_candidate(&mut self, tenant: usize) {
        let now = self.queue.now();
        let next = self.tenants[tenant].next_candidate(now, &mut self.generators.arrivals);
        if let Some(at) = next.filter(|at| *at < START + self.configuration.seconds) {
            self.queue.schedule(at, Occurrence::Candidate(tenant));
        }
    }

    pub(super) fn candidate(&mut self, tenant: usize) {
        let now = self.queue.now();
        self.schedule_candidate(tenant);
        if self.tenants[tenant].accepts(now, &mut self.generators.arrivals) {
            let wish = self.draw_wish(tenant);
            self.measures.count_wish(now, inside_worth(&wish));
            self.try_wish(wish);
        }
    }

    fn draw_wish(&mut self, tenant: usize) -> Wish {
        let now = self.queue.now();
        let generator = &mut self.generators.arrivals;
        let shares: Vec<f64> = self.configuration.classes.iter().map(|class| class.share).collect();
        let class = weighted(generator, &shares);
        let units = f64::from(generator.random_range(1..=self.configuration.tenants.max_units));
        let workers = &self.configuration.workers;
        let mean = workers.service_seconds + workers.service_seconds_per_unit * units;
        let varied = exponential(generator, mean * workers.service_variation);
        let figures = &self.configuration.classes[class];
        let plan = &self.configuration.plans[self.tenants[tenant].plan];
        Wish {
            tenant,
            class,
            units,
            since: now,
            until: now + figures.deadline,
            work: mean * (1.0 - workers.service_variation) + varied,
            worth: figures.worth * plan.pays * units,
            inside: self.tenants[tenant].asked.try_take(now, units),
            retries: 0,
        }
    }

    /// Chooses a gatekeeper of the tenant's set; the front goes past those that it knows to be down.
    fn route(&mut self, tenant: usize) -> Route {
        let now = self.queue.now();
        let count = self.gatekeepers.len();
        let tenant = &self.tenants[tenant];
        let start = weighted(&mut self.generators.clients, &tenant.weights);
        let spread = tenant.spread as usize;
        for step in 0..spread {
            let gatekeeper = (tenant.first as usize + (start + step) % spread) % count;
            match self.gatekeepers[gatekeeper].down_since {
                None => return Route::Up(gatekeeper),
                Some(since) if now - since < self.configuration.clients.front_notices_after => {
                    return Route::Lost;
                }
                Some(_) => {}
            }
        }
        Route::Lost
    }

    /// A client's try, the first or a later one.
    pub(super) fn try_wish(&mut self, wish: Wish) {
        let now = self.queue.now();
        let Route::Up(gatekeeper) = self.route(wish.tenant) else {
            return self.measures.count_ending(now, Ending::Lost, inside_worth(&wish));
        };
        self.measures.tries += 1;
        let number = self.requests.open(wish, gatekeeper);
        self.measures.most_open = self.measures.most_open.max(self.requests.len());
        let bytes = self.client_request_bytes(&wish);
        self.gatekeepers[gatekeeper].traffic.count(bytes);
        self.gatekeepers[gatekeeper].note_request(wish.tenant);
        self.queue.schedule(wish.until + LAST_ANSWER, Occurrence::Deadline(number));
        let tenant = &self.tenants[wish.tenant];
        let request = Request {
            id: job_id(number),
            units: wish.units,
            deadline: wish.until,
            plan: tenant.plan,
            customer_gateway_count: tenant.spread,
            first_gateway: tenant.first,
            class: wish.class,
            customer: tenant.id.clone(),
            is_retry: wish.retries > 0,
        };
        let to: Address = self.address(gatekeeper);
        self.tell(to, Event::Request(request));
    }

    pub(super) fn request_head(&self, wish: &Wish) -> RequestHead<'_> {
        let class = &self.configuration.classes[wish.class];
        RequestHead {
            class: &class.name,
            repeat: class.repeat,
            remaining: wish.until - self.queue.now(),
            body: self.configuration.clients.request_body,
        }
    }

    fn client_request_bytes(&self, wish: &Wish) -> u64 {
        let tenant = &self.tenants[wish.tenant];
        let quota = Quota {
            plan: &self.configuration.plans[tenant.plan].name,
            units: wish.units,
            spread: tenant.spread,
            first: tenant.first,
            resent: wish.retries > 0,
        };
        wire_size::client_request(&self.request_head(wish), &quota)
    }

    /// Draws on the true quota and the true ceiling for a try that is sent on for the first time.
    pub(super) fn draw_on_quota(&mut self, wish: &Wish) {
        let now = self.queue.now();
        let tenant = &mut self.tenants[wish.tenant];
        let inside = tenant.sent.try_take(now, wish.units);
        if let Some(ceiling) = &mut tenant.ceiling {
            tenant.lowest_ceiling = tenant.lowest_ceiling.min(ceiling.draw(now, wish.units));
        }
        let overrun_cost = self.configuration.plans[tenant.plan].overrun_cost;
        let sent = Sent { units: wish.units, worth: wish.worth, overrun_cost, inside };
        self.measures.count_sent(now, sent);
    }

    /// Marks a request as answered with so many bytes. `None`: it had its answer.
    fn answer(&mut self, number: u64, bytes: u64) -> Option<Wish> {
        let request = self.requests.get_mut(number).filter(|request| !request.answered)?;
        request.answered = true;
        let (wish, gatekeeper) = (request.wish, request.gatekeeper);
        self.gatekeepers[gatekeeper].traffic.count(bytes);
        Some(wish)
    }

    pub(super) fn serve(&mut self, number: u64) {
        let now = self.queue.now();
        let bytes = wire_size::served(self.configuration.clients.answer_body);
        let Some(wish) = self.answer(number, bytes) else { return };
        let late = now - wish.since > self.configuration.classes[wish.class].aim;
        self.measures.count_latency(now - wish.since);
        let ending = if late { Ending::ServedLate } else { Ending::Served };
        self.measures.count_ending(now, ending, inside_worth(&wish));
    }

    pub(super) fn refuse(&mut self, number: u64, retry_after: f64) {
        let now = self.queue.now();
        let Some(wish) = self.answer(number, wire_size::refused(retry_after)) else { return };
        self.close_if_over(number);
        let clients = &self.configuration.clients;
        let wait = if retry_after > 0.0 { retry_after } else { clients.retry_seconds };
        let again = wish.retries < clients.max_retries
            && now + wait < wish.until
            && self.generators.clients.random::<f64>() < clients.retry_share;
        if again {
            let wish = Box::new(Wish { retries: wish.retries + 1, ..wish });
            self.queue.schedule(now + wait, Occurrence::Retry(wish));
        } else {
            self.measures.count_ending(now, Ending::Refused, inside_worth(&wish));
        }
    }

    pub(super) fn fail(&mut self, number: u64) {
        if let Some(wish) = self.answer(number, wire_size::failed()) {
            self.close_if_over(number);
            self.measures.count_ending(self.queue.now(), Ending::Failed, inside_worth(&wish));
        }
    }

    /// A client that has no answer by now leaves.
    pub(super) fn deadline(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(number).filter(|r| !r.answered) else { return };
        request.answered = true;
        let (wish, gatekeeper) = (request.wish, request.gatekeeper);
        self.measures.count_ending(self.queue.now(), Ending::Abandoned, inside_worth(&wish));
        let to = self.address(gatekeeper);
        self.tell(to, Event::ClientDisconnected { request_id: job_id(number) });
        self.close_if_over(number);
    }

    /// Counts a request that was lost with its gatekeeper.
    pub(super) fn lose(&mut self, wish: &Wish) {
        self.measures.count_ending(self.queue.now(), Ending::Lost, inside_worth(wish));
    }

    pub(super) fn close_if_over(&mut self, number: u64) {
        let gatekeeper = self.requests.get(number).map(|request| request.gatekeeper);
        if self.requests.close_if_over(number) {
            if let Some(gatekeeper) = gatekeeper {
                self.gatekeepers[gatekeeper].open -= 1;
            }
        }
    }
}
