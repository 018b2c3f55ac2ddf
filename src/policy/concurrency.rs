//! Decides which of a customer's covered requests go out at once under its plan's cap on concurrent attempts,
//! and which wait for a slot.

use super::*;

/// Seconds over which the rate of a customer's requests is averaged.
pub const ARRIVALS_MEMORY: f64 = 20.0;
/// Share of the aim that a covered request may wait for a slot: the rest is for its answer.
const WAIT_SHARE: f64 = 0.4;
/// Share of a cap that many gateways fill on average: what comes by chance may meet it all.
const THIN_CAP_SHARE: f64 = 0.4;
/// A cap is thin with less than one slot for so many gateways.
const THIN_CAP_GATEWAYS: u32 = 4;

/// This process's share of a plan's cap, one at least.
fn slots(plan: &Plan, customer: &Customer, sharing: Sharing) -> u32 {
    if plan.max_concurrent_attempts == 0 {
        return u32::MAX;
    }
    let share = even_slots(plan.max_concurrent_attempts, customer.position, customer.spread);
    even_slots(share, sharing.position, sharing.processes).max(1)
}

impl Gateway {
    /// Whether a request is one too many under a cap of far fewer slots than gateways. By Little's law what
    /// comes in here tells what all of them have out.
    pub(super) fn exceeds_thin_cap(&mut self, customer: &CustomerId, plan: &Plan) -> bool {
        let customer = &self.customers[customer];
        let rate = customer.arrivals.level / ARRIVALS_MEMORY;
        let out = rate * f64::from(customer.spread) * self.overload.latency.mean;
        let is_thin = (1..customer.spread / THIN_CAP_GATEWAYS).contains(&plan.max_concurrent_attempts);
        is_thin && self.rng.f64() * out > THIN_CAP_SHARE * f64::from(plan.max_concurrent_attempts)
    }

    /// Sends a covered request, once a slot is free for it.
    pub(super) fn send_in_slot(&mut self, id: RequestId, units: f64, plan: &Plan) {
        let customer = &self.customers[&self.requests[&id].request.customer];
        if customer.attempts_out < slots(plan, customer, self.sharing) {
            self.send_first(id);
        } else {
            self.queue_for_slot(id, units, plan);
        }
    }

    /// A burst finds a gateway's few slots taken, and each is free again in an answer's time: a request waits
    /// where that leaves time for its answer. Where those before it take too long it is refused at once.
    fn queue_for_slot(&mut self, id: RequestId, units: f64, plan: &Plan) {
        let request = &self.requests[&id].request;
        let longest = WAIT_SHARE * self.settings.classes[request.class].latency_objective;
        let customer = self.customers.get_mut(&request.customer).expect("spending customers are known");
        let slots = f64::from(slots(plan, customer, self.sharing));
        let wait = (customer.slot_queue.len() + 1) as f64 * self.overload.latency.mean / slots;
        if wait > longest {
            customer.unspend(units);
            return self.end(&id, wait);
        }
        customer.slot_queue.push_back((id.clone(), units));
        self.set_timer(self.now + longest, TimerPurpose::StopQueueing(id));
    }

    /// Gives the slots that have come free to those that wait.
    pub(super) fn fill_slots(&mut self, key: &CustomerId) {
        while let Some(customer) = self.customers.get_mut(key) {
            if customer.attempts_out >= slots(&self.settings.plans[customer.plan], customer, self.sharing) {
                return;
            }
            match customer.slot_queue.pop_front() {
                Some((id, _)) if self.requests.contains_key(&id) => self.send_first(id),
                Some((_, units)) => customer.unspend(units), // Its client has left.
                None => return,
            }
        }
    }

    /// No slot came free in time.
    pub(super) fn stop_queueing(&mut self, id: &RequestId) {
        let Some(request_state) = self.requests.get(id) else { return };
        let Some(customer) = self.customers.get_mut(&request_state.request.customer) else { return };
        let Some(index) = customer.slot_queue.iter().position(|(queued, _)| queued == id) else { return };
        let unsent = customer.slot_queue.remove(index);
        unsent.into_iter().for_each(|(_, units)| customer.unspend(units));
        self.end(id, self.overload.latency.mean);
    }
}
