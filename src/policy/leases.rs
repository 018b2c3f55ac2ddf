//! Decides how much of a quota to lease from the counter, and reads what it answers. A quota is counted in
//! windows, each under a name of its own; a gateway adds a block to the count and keeps what the window's
//! burst allows.

use super::*;

/// Length of a window, in bursts over rate: several, as each new window costs calls.
const WINDOW_BURSTS: f64 = 4.0;
/// Shortest window, in seconds: none ends within a refresh.
const MIN_WINDOW: f64 = 2.0;
/// Longest window, in seconds: the counter keeps a name for less than `MAX_NAME_LIFE`.
const MAX_WINDOW: f64 = 25.0;
/// Lengths of a window for which the counter keeps its name: it is still read in the next one.
const NAME_LIFE_WINDOWS: f64 = 2.2;
/// Most seconds for which the counter keeps a name.
const MAX_NAME_LIFE: f64 = 60.0;
/// Seconds of recent demand that a block covers: short, as demand moves and blocks strand.
const BLOCK_SPAN: f64 = 0.3;
/// Seconds over which demand is averaged: a few blocks.
pub const DEMAND_MEMORY: f64 = 1.0;
/// Share of the burst by which the count may lag uncorrected, for the first call in a window.
const FIRST_LAPSE_SLACK: f64 = 0.1;
/// The same for other calls.
const LAPSE_SLACK: f64 = 0.5;
/// Share of the counter's time limit that a request is held for: a few milliseconds.
const HOLD_SHARE: f64 = 0.4;

/// The window at `now`; each customer's begin at an offset of its own.
pub fn window(plan: &Plan, id: &CustomerId, now: Time) -> QuotaWindow {
    let length = (WINDOW_BURSTS * plan.burst / plan.rate).clamp(MIN_WINDOW, MAX_WINDOW);
    QuotaWindow::at(now, length, window_offset(id))
}

impl Gateway {
    /// How long a request may wait for the counter, in seconds.
    pub(super) fn hold(&self) -> f64 {
        HOLD_SHARE * self.settings.counter_timeout
    }

    /// Calls the counter for what the held requests need and recent demand wants.
    pub(super) fn ask_for_block(&mut self, key: &CustomerId, plan: &Plan) {
        let window = window(plan, key, self.now).number;
        let customer = self.customers.get_mut(key).expect("asked for known customers only");
        let need: f64 = customer.held.iter().map(|id| self.requests[id].request.units).sum();
        let left = customer.known_left(self.now, plan, f64::INFINITY).unwrap_or(f64::INFINITY);
        let spare =
            (customer.demand.level / DEMAND_MEMORY * BLOCK_SPAN).min(left / f64::from(customer.spread));
        // Whole units beyond the need only: a unit stranded at each gateway is most of a small burst.
        let wanted = ((need - customer.lease).ceil() + spare.floor()).max(0.0);
        let is_thin = plan.burst < f64::from(customer.spread) * need;
        let flow = &mut self.thin_flows[customer.plan];
        flow.ask(self.now, need, concurrency::ARRIVALS_MEMORY);
        let charged = if is_thin { flow.take(need, plan.burst) } else { 0.0 };
        let unreported = customer.unreported + charged;
        (customer.unreported, customer.window, customer.call_overdue) = (0.0, window, false);
        let purpose = CallPurpose::Lease { wanted, unreported };
        let call = CounterCall { customer: key.clone(), window, amount: wanted + unreported, purpose };
        self.call_counter(call, plan);
        let timer = self.set_timer(self.now + self.hold(), TimerPurpose::StopHolding(key.clone()));
        self.customers.get_mut(key).expect("seen above").pending_call = Some(timer);
    }

    fn call_counter(&mut self, call: CounterCall, plan: &Plan) {
        let (counter, amount) = (call.counter(self.customers[&call.customer].plan), call.amount);
        let length = window(plan, &call.customer, self.now).length;
        self.calls.entry(counter).or_default().push_back(call);
        self.budget.take();
        let ttl = (NAME_LIFE_WINDOWS * length).min(MAX_NAME_LIFE);
        self.actions.push(Action::AddToCounter { counter, amount, ttl });
    }

    /// A call has ended.
    pub(super) fn counted(&mut self, counter: u64, status: Status, total: f64, elapsed: f64) {
        let Some(call) = self.calls.get_mut(&counter).and_then(VecDeque::pop_front) else { return };
        if self.calls[&counter].is_empty() {
            self.calls.remove(&counter);
        }
        self.budget.observe(self.now, status, elapsed, self.settings.counter_timeout);
        let Some(customer) = self.customers.get_mut(&call.customer) else { return };
        let plan = self.settings.plans[customer.plan].clone();
        match (status, call.purpose) {
            (Status::Ok, CallPurpose::ReadPrevious) => self.settle_previous(&call, total, &plan),
            (Status::Ok, CallPurpose::Lease { wanted, unreported }) => {
                self.settle_lease(&call, total, wanted, unreported, &plan);
            }
            // Nothing was added: what the count was to hear of, it still has to.
            (Status::Rejected | Status::ConnectFailed, CallPurpose::Lease { unreported, .. }) => {
                customer.report_later(unreported, &plan);
            }
            (Status::Rejected | Status::ConnectFailed, CallPurpose::Correct) => {
                customer.report_later(call.amount, &plan);
            }
            // The answer was spoilt, the amount added: nobody got the block, so the count has it too much.
            (Status::Error, CallPurpose::Lease { wanted, .. }) => customer.report_later(-wanted, &plan),
            _ => {} // It may have been added: left so, as the quota is not to be passed.
        }
        if let CallPurpose::Lease { .. } = call.purpose {
            let customer = self.customers.get_mut(&call.customer).expect("seen above");
            customer.pending_call = None;
            for id in std::mem::take(&mut customer.held) {
                self.release_held(id, status == Status::Ok, &plan);
            }
        }
    }

    /// A slow counter must not hold requests: after a few milliseconds the even share decides.
    pub(super) fn stop_holding(&mut self, key: &CustomerId, timer: u64) {
        let Some(customer) = self.customers.get_mut(key) else { return };
        if customer.pending_call != Some(timer) {
            return;
        }
        customer.call_overdue = true;
        let plan = self.settings.plans[customer.plan].clone();
        for id in std::mem::take(&mut customer.held) {
            self.release_held(id, false, &plan);
        }
    }

    fn release_held(&mut self, id: RequestId, answered: bool, plan: &Plan) {
        let Some(request_state) = self.requests.get(&id).filter(|j| !j.is_finished) else { return };
        let (units, customer) =
            (request_state.request.units, &self.customers[&request_state.request.customer]);
        if customer.lease >= units {
            self.spend(id, units, false);
        } else if answered {
            self.beyond(id, plan);
        } else {
            self.fall_back(id, plan);
        }
    }

    /// Takes over what was not left in the window before.
    fn settle_previous(&mut self, call: &CounterCall, total: f64, plan: &Plan) {
        let window = window(plan, &call.customer, self.now);
        if call.window + 1 != window.number || total - call.amount <= 1e-6 {
            return;
        }
        let customer = self.customers.get_mut(&call.customer).expect("actual_units for known customers only");
        let left = plan.burst + plan.rate * window.length - total;
        let missing = plan.burst - (left + plan.rate * window.age).min(plan.burst);
        customer.known_level.iter_mut().for_each(|l| l.level -= missing);
        if missing > FIRST_LAPSE_SLACK * plan.burst {
            self.call_counter(call.follow_up(window.number, missing, CallPurpose::Correct), plan);
        }
    }

    /// Grants what the count leaves of the wanted block: the window's limit is the burst plus what the rate
    /// has refilled since it began.
    ///
    /// Whoever finds a count at nothing is first in a window, or finds it emptied: it adds what was not
    /// left over, from the level it knows or from the window before. Where more is left than the burst, the
    /// rest lapses: it is added.
    fn settle_lease(&mut self, call: &CounterCall, total: f64, wanted: f64, unreported: f64, plan: &Plan) {
        let QuotaWindow { number, age, length } = window(plan, &call.customer, self.now);
        let customer = self.customers.get_mut(&call.customer).expect("actual_units for known customers only");
        let limit = plan.burst + plan.rate * age;
        let prior = total - call.amount;
        let shift = (number - call.window.min(number)) as f64 * plan.rate * length;
        let before = limit + shift - prior;
        let mut left = before.min(plan.burst);
        let first = prior.abs() < 1e-6;
        let known = customer.known_left(self.now, plan, age.max(quota::REFRESH));
        if first {
            left = left.min(known.unwrap_or(f64::INFINITY));
        }
        let lapsed = before - left;
        let granted = wanted.min((left - unreported + 1e-6).floor().max(0.0));
        customer.lease += granted;
        // What was sent beyond the quota takes nothing from it.
        let beyond = (unreported - left.max(0.0)).max(0.0);
        let level = left - unreported - granted + beyond;
        customer.known_level = Some(TokenBucket { level, at: self.now });
        let mut correction = granted - wanted - beyond;
        if lapsed > if first { FIRST_LAPSE_SLACK } else { LAPSE_SLACK } * plan.burst {
            correction += lapsed;
        }
        if correction.abs() > 1e-6 {
            self.call_counter(call.follow_up(call.window, correction, CallPurpose::Correct), plan);
        }
        if first && known.is_none() && call.window > 0 {
            self.call_counter(call.follow_up(call.window - 1, 0.0, CallPurpose::ReadPrevious), plan);
        }
    }
}
