//! Decides whether a request is covered by its customer's quota and ceiling: by a lease, else by a block that
//! the counter grants, else, while the counter can't be used, by an even share. The uncovered is refused at
//! once.

use super::*;

/// Seconds after which a known level is asked again: the page's refresh.
pub const REFRESH: f64 = 1.0;
/// Share of a ceiling's burst that is dealt out: the rest is for requests that reach their endpoints late.
const CEILING_SHARE: f64 = 0.8;

impl Gateway {
    /// A client's request: it is refused, held for the counter, or sent.
    pub(super) fn request(&mut self, request: Request) {
        let id = request.id.clone();
        if self.requests.contains_key(&id) {
            return;
        }
        let readable = self.is_readable(&request);
        let full = self.requests.len() >= self.settings.max_open_requests as usize;
        self.requests.insert(id.clone(), RequestState::new(request.clone(), self.now));
        if !readable {
            return self.end(&id, 0.0);
        }
        let (most, step) = (self.settings.max_customers, self.settings.event_interval);
        if full || !self.customers.has_room(&request.customer, most, self.now, CUSTOMER_MEMORY, step) {
            return self.end(&id, self.settings.max_retry_after);
        }
        let plan = self.settings.plans[request.plan].clone();
        self.note_arrival(&request, &plan);
        if !self.has_room(1.0) {
            return self.end(&id, self.settings.max_retry_after);
        }
        if plan.rate <= 0.0 {
            return self.spend(id, 0.0, false);
        }
        self.cover(id, &plan);
    }

    /// Whether the settings know what the request names, and there is time to serve it.
    fn is_readable(&self, request: &Request) -> bool {
        (request.class < self.settings.classes.len() && request.plan < self.settings.plans.len())
            && (request.units.is_finite() && request.units >= 0.0)
            && request.deadline > self.now + 2.0 * self.hold() + 4.0 * self.settings.event_interval
    }

    /// Notes a request at its customer, who may be new.
    fn note_arrival(&mut self, request: &Request, plan: &Plan) {
        let (now, gateways) = (self.now, self.settings.gateway_count);
        let spread = request.customer_gateway_count.clamp(1, gateways);
        let full = (plan.burst / self.holders(spread)).max(request.units);
        // One that follows another process has only what was dealt since: the other may have spent the rest.
        let even_share = match self.inherited_at {
            0.0 => TokenBucket { level: full, at: now },
            inherited_at => TokenBucket { level: 0.0, at: inherited_at },
        };
        // A restarted gateway does not know what it spent of a ceiling: it has what was dealt since.
        let ceiling_share = TokenBucket { level: 0.0, at: self.unspent_since() };
        let unseen = || Customer { even_share, ceiling_share, ..Customer::default() };
        let customer = self.customers.entry(request.customer.clone()).or_insert_with(unseen);
        (customer.plan, customer.spread, customer.last_seen) = (request.plan, spread, now);
        customer.position =
            (self.settings.gateway_index + gateways - request.first_gateway % gateways) % gateways;
        customer.demand.add(now, request.units, leases::DEMAND_MEMORY);
        customer.arrivals.add(now, 1.0, concurrency::ARRIVALS_MEMORY);
    }

    /// The ordinary path: lease, else block, else refusal; the even share while the counter can't be used.
    fn cover(&mut self, id: RequestId, plan: &Plan) {
        let (units, key) = self.units_of(&id);
        if !self.ceiling_covers(&key, plan, units) {
            return self.refuse_above_ceiling(&id, plan);
        }
        let may_call =
            self.budget.affords(self.now, units * plan.priority_weight) && self.settings.has_counter;
        let customer = self.customers.get_mut(&key).expect("admitted customers are known");
        if customer.window != leases::window(plan, &key, self.now).number {
            customer.lease = 0.0; // It lapses with its window.
        }
        if customer.lease >= units {
            return self.spend(id, units, false);
        }
        if customer.pending_call.is_some() && !customer.call_overdue {
            customer.held.push_back(id);
            return;
        }
        let left = customer.known_left(self.now, plan, REFRESH);
        if left.is_some_and(|left| left + customer.lease + 1e-6 < units) {
            return self.beyond(id, plan);
        }
        if customer.pending_call.is_some() || !may_call {
            return self.fall_back(id, plan);
        }
        let unseen = customer.known_level.is_none() && plan.burst >= f64::from(customer.spread) * units;
        customer.held.push_back(id.clone());
        self.ask_for_block(&key, plan);
        if unseen && self.even_share_covers(&key, plan, units) {
            self.customers.get_mut(&key).expect("still known").held.pop_back();
            self.spend(id, units, true);
        }
    }

    /// The units that a request takes, and its customer.
    fn units_of(&self, id: &RequestId) -> (f64, CustomerId) {
        let request = &self.requests[id].request;
        (request.units, request.customer.clone())
    }

    /// Since when what is dealt of a ceiling is surely unspent, where nothing is known of a customer.
    fn unspent_since(&self) -> Time {
        self.shared_since.max(self.customers.forgotten_before())
    }

    /// Among how many processes a customer's even share is dealt out.
    fn holders(&self, spread: u32) -> f64 {
        f64::from(spread) * f64::from(self.sharing.processes)
    }

    /// While the counter can't be used: an even share of rate and burst, one request at least.
    fn even_share_covers(&mut self, key: &CustomerId, plan: &Plan, units: f64) -> bool {
        let holders = self.holders(self.customers[key].spread);
        let customer = self.customers.get_mut(key).expect("asked for known customers only");
        customer.even_share.refill(self.now, plan.rate / holders, (plan.burst / holders).max(units)) >= units
    }

    /// Rule 5: whatever the count says, a gateway sends no more than an even share of the ceiling. A count
    /// may be lost or granted anew at a window's turn, and leases are spent later than they are granted: an
    /// even share holds all the same, whoever restarts, as that deals nothing out again.
    fn ceiling_covers(&mut self, key: &CustomerId, plan: &Plan, units: f64) -> bool {
        if plan.ceiling_rate <= 0.0 {
            return true;
        }
        let holders = self.holders(self.customers[key].spread);
        let since = self.unspent_since();
        let customer = self.customers.get_mut(key).expect("asked for known customers only");
        let position = customer.position % customer.spread + customer.spread * self.sharing.position;
        let allotment = Allotment {
            rate: plan.ceiling_rate,
            burst: CEILING_SHARE * plan.ceiling_burst,
            deal: self.settings.max_units.max(1.0),
            place: f64::from(position) + window_offset(key),
            holders,
        };
        customer.refill_ceiling(self.now, since, &allotment) >= units
    }

    /// Refuses a request that the share of its customer's ceiling does not cover, until about the next deal.
    fn refuse_above_ceiling(&mut self, id: &RequestId, plan: &Plan) {
        let request = &self.requests[id].request;
        let holders = self.holders(self.customers[&request.customer].spread);
        self.end(id, request.units * holders / plan.ceiling_rate);
    }

    /// Beyond the quota (the source's soft limit): refused, but where the settings say that such a request
    /// earns more than it costs and there is room to spare, it goes; under a ceiling only within the share.
    pub(super) fn beyond(&mut self, id: RequestId, plan: &Plan) {
        let pays =
            plan.over_quota_weight_share > plan.over_quota_cost_share && plan.max_concurrent_attempts == 0;
        let (units, key) = self.units_of(&id);
        if !(pays && self.has_room(overload::SPARE_SHARE) && self.ceiling_covers(&key, plan, units)) {
            let customer = &self.customers[&key];
            let known = customer.known_level.map_or(0.0, |l| l.level + plan.rate * (self.now - l.at));
            let left = customer.lease + known;
            return self.end(&id, (units - left).max(0.0) / plan.rate);
        }
        let customer = self.customers.get_mut(&key).expect("judged customers are known");
        customer.even_share.level = (customer.even_share.level - units).max(0.0);
        customer.ceiling_share.level -= units;
        self.send_first(id);
    }

    /// The counter can't be used, or not in time.
    pub(super) fn fall_back(&mut self, id: RequestId, plan: &Plan) {
        let (units, key) = self.units_of(&id);
        if self.even_share_covers(&key, plan, units) {
            self.spend(id, units, true);
        } else {
            self.beyond(id, plan);
        }
    }

    /// Spends what covers a request, the lease or what the count has yet to be told of, and sends it.
    pub(super) fn spend(&mut self, id: RequestId, units: f64, off_count: bool) {
        let key = self.requests[&id].request.customer.clone();
        let plan = self.settings.plans[self.requests[&id].request.plan].clone();
        if self.exceeds_thin_cap(&key, &plan) {
            return self.end(&id, self.overload.latency.mean);
        }
        if !self.ceiling_covers(&key, &plan, units) {
            return self.refuse_above_ceiling(&id, &plan);
        }
        let customer = self.customers.get_mut(&key).expect("spending customers are known");
        customer.ceiling_share.level -= units;
        if off_count && plan.burst < f64::from(customer.spread) * units {
            self.thin_flows[customer.plan].spend(self.now, units, concurrency::ARRIVALS_MEMORY);
        } else if off_count {
            // No more than a share's burst: the rest was paid by the refill of the time it was spent in.
            let most = (plan.burst / f64::from(customer.spread)).max(units);
            customer.unreported = (customer.unreported + units).min(most);
        } else {
            customer.lease -= units;
        }
        let drawn = if off_count { units } else { 0.0 };
        customer.even_share.level = (customer.even_share.level - drawn).max(0.0);
        self.send_in_slot(id, units, &plan);
    }
}
