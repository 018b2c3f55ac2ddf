//! Every decision of a gateway; its types, events and actions stand in `src/interface/`.
//!
//! [`Gateway`] takes the events and hands each to the part that decides about it. Ordinary path of a request:
//! `quota` spends its customer's lease, else `leases` asks the counter for a block, else it is refused at
//! once; `concurrency` gives it a slot, and `attempts` sends it to the endpoint that `choice` names.

mod attempts;
mod choice;
mod concurrency;
mod counter_budget;
mod endpoints;
mod handover;
mod leases;
mod overload;
mod quota;

use crate::allotment::{Allotment, Sharing, even_slots};
use crate::counter_call::{CallPurpose, CounterCall};
use crate::customer::Customer;
use crate::customer_table::CustomerTable;
use crate::decaying_sum::DecayingSum;
use crate::endpoint_state::EndpointState;
use crate::endpoint_table::EndpointTable;
use crate::interface::*;
use crate::latency_estimate::LatencyEstimate;
use crate::ordered_table::Place;
use crate::quota_window::{QuotaWindow, window_offset};
use crate::request_state::{Attempt, Ran, RequestState};
use crate::settings::{Effect, IdempotencyScope, Plan, Settings, SettingsError};
use crate::thin_flow::ThinFlow;
use crate::timer_table::{TimerPurpose, TimerTable};
use crate::token_bucket::TokenBucket;
use counter_budget::CounterBudget;
use overload::Overload;
use std::collections::{BTreeMap, VecDeque};

/// Weight of a new value in a mean.
const GAIN: f64 = 0.15;
/// Seconds after which an idle customer is forgotten, its shares refilled.
const CUSTOMER_MEMORY: f64 = 26.0;
/// The golden section: its multiples' fractions lie evenly on a circle, however many.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// The decisions of one gateway.
#[derive(Debug, Default)]
pub struct Gateway {
    settings: Settings,
    now: Time,
    actions: Vec<Action>,
    rng: fastrand::Rng,
    /// Where among the usable endpoints, from 0 to 1, this gateway's own begin.
    subset_start: f64,
    sharing: Sharing,
    /// When it took over from another process; 0: it did not.
    inherited_at: Time,
    /// Since when quotas and ceilings are dealt out as they are.
    shared_since: Time,
    requests: BTreeMap<RequestId, RequestState>,
    customers: CustomerTable,
    endpoints: EndpointTable,
    /// Until then no endpoint beyond those that it keeps to may be chosen.
    none_beyond_until: Time,
    /// The span within which the list was last asked for; 0: it came since.
    list_call_span: f64,
    /// By the name of the count, in the order in which they were made.
    calls: BTreeMap<u64, VecDeque<CounterCall>>,
    budget: CounterBudget,
    /// By plan.
    thin_flows: Vec<ThinFlow>,
    /// Units sent of late.
    sent_units: DecayingSum,
    /// The most units a second that an endpoint was sent of late.
    peak_units: DecayingSum,
    overload: Overload,
    /// Further attempts that may be made.
    retry_budget: f64,
    timers: TimerTable,
}

impl Gateway {
    /// A gateway that knows nothing yet. `seed` feeds all its randomness.
    ///
    /// # Errors
    /// Settings that no gateway can work with.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            // Even over the gateways, and far apart for those in a row, as a customer's are.
            subset_start: (f64::from(settings.gateway_index) * GOLDEN).fract(),
            budget: CounterBudget::new(settings.gateway_count),
            thin_flows: vec![ThinFlow::default(); settings.plans.len()],
            retry_budget: attempts::SAVED_RETRIES,
            settings,
            ..Self::default()
        })
    }

    /// Takes one event at `now` and appends what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        if self.shared_since == 0.0 {
            self.shared_since = now;
        }
        match event {
            Event::EndpointsUpdated { kind, endpoints } => self.list(kind, endpoints),
            Event::Request(request) => self.request(request),
            Event::ResponseStarted { request_id } => self.response_started(&request_id),
            Event::AttemptEnded {
                request_id,
                attempt,
                endpoint,
                status,
                elapsed,
                is_finished,
                actual_units,
                load: _,
            } => {
                let request =
                    self.requests.get(&request_id).map(|j| (j.request.customer.clone(), j.request.class));
                let (customer, class) = request.unzip();
                if !self.requests.get(&request_id).is_some_and(|j| j.has_begun(attempt)) {
                    self.release(&endpoint);
                }
                self.observe(&endpoint, class, status, elapsed);
                self.outcome(&request_id, attempt, status, is_finished, actual_units);
                customer.into_iter().for_each(|c| self.fill_slots(&c));
            }
            Event::MaintenanceChanged { endpoint, in_maintenance: out } => {
                self.set_maintenance(&endpoint, out)
            }
            Event::ReplicasChanged { index: place, count: of } => {
                self.sharing = Sharing { position: place, processes: of.max(1) };
                self.shared_since = now; // Until now it was dealt otherwise.
            }
            Event::SnapshotReceived(memory) => self.inherit(memory),
            Event::ClientDisconnected { request_id } => self.finish(&request_id),
            Event::Timer { token } => self.timer(token),
            Event::CounterReplied { counter, status, total, elapsed } => {
                self.counted(counter, status, total, elapsed)
            }
        }
        actions.append(&mut self.actions);
    }

    /// Whether the list names the endpoint, or operators have left it out.
    pub fn knows_endpoint(&self, endpoint: &EndpointId) -> bool {
        self.endpoints.knows(endpoint)
    }

    /// How many endpoints are listed, and how many of them are avoided at `now`.
    pub fn endpoint_counts(&self, now: Time) -> EndpointCounts {
        self.endpoints.targets(now)
    }

    /// The endpoints that operators have left out.
    pub fn in_maintenance(&self) -> impl Iterator<Item = &EndpointId> {
        self.endpoints.in_maintenance()
    }

    /// Whether one more attempt may go out within `share` of the bound on what is out.
    fn has_room(&mut self, share: f64) -> bool {
        let aim = self
            .settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .reduce(f64::min)
            .unwrap_or(1.0)
            .max(1e-3);
        let (endpoints, chance) = (self.endpoints.usable().len(), self.rng.f64());
        self.overload.has_room(share, endpoints, self.settings.gateway_count, aim, chance)
    }

    /// Asks for a timer; returns its token.
    fn set_timer(&mut self, at: Time, purpose: TimerPurpose) -> u64 {
        let token = self.timers.add(purpose);
        self.actions.push(Action::SetTimer { token, at });
        token
    }

    fn timer(&mut self, token: u64) {
        match self.timers.take(token) {
            Some(TimerPurpose::StopHolding(key)) => self.stop_holding(&key, token),
            Some(TimerPurpose::Hedge(id)) => self.hedge(&id),
            Some(TimerPurpose::StopQueueing(id)) => self.stop_queueing(&id),
            Some(TimerPurpose::WatchList) => self.actions.push(Action::PollEndpoints),
            Some(TimerPurpose::Sweep) => {
                self.customers.forget(self.now, CUSTOMER_MEMORY);
                self.set_timer(self.now + endpoints::SWEEP_INTERVAL, TimerPurpose::Sweep);
            }
            None => {}
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/subset.rs"]
mod tests;
