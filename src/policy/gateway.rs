//! Entry point of the policy: passes each event to the component that handles it and returns the actions.

use crate::{
    interface::{
        Action, Endpoint, EndpointCounts, EndpointId, Event, HandoverSnapshot, ListKind, Seconds, Time,
    },
    policy::{
        backends::Backends,
        context::Context,
        counter::CounterReply,
        handover,
        replicas::Replicas,
        requests::{AttemptEnd, RequestLifecycle},
        routing::ListPoller,
        timers::TimerPurpose,
    },
    settings::{Settings, SettingsError},
};

/// Interval between scans for idle customers.
const IDLE_SCAN_INTERVAL: Seconds = 5.0;

/// Decides for one gateway which actions each event leads to. Performs no I/O and reads no clock.
#[derive(Debug, Default)]
pub struct Gateway {
    context: Context,
    pub(super) backends: Backends,
    requests: RequestLifecycle,
    list_poller: ListPoller,
}

impl Gateway {
    /// Creates a gateway without endpoints, customers or requests. `seed` determines all random decisions.
    ///
    /// # Errors
    /// There are no gateways, the gateway's index is out of range, or a number in the settings is negative or
    /// not finite.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            backends: Backends::new(settings.gateway_index),
            requests: RequestLifecycle::new(settings.gateway_count, settings.plans.len()),
            context: Context::new(settings, seed),
            list_poller: ListPoller::default(),
        })
    }

    /// Handles an event that happens at `now` and appends the resulting actions, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.context.now = now;
        self.requests.admission().customers().record_first_event(now);
        self.dispatch(event);
        self.context.drain_actions(actions);
    }

    fn dispatch(&mut self, event: Event) {
        let Self { context, backends, requests, .. } = self;
        match event {
            Event::EndpointsUpdated { kind, endpoints } => self.endpoints_updated(kind, endpoints),
            Event::Request(request) => requests.request_arrived(request, backends, context),
            Event::ResponseStarted { request_id } => {
                requests.response_started(&request_id, backends, context);
            }
            Event::ResponseStalled { request_id } => requests.hedge(&request_id, backends, context),
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
                let attempt_end =
                    AttemptEnd { request_id, attempt, endpoint, status, elapsed, is_finished, actual_units };
                requests.attempt_ended(&attempt_end, backends, context);
            }
            Event::MaintenanceChanged { endpoint, in_maintenance } => {
                let mean_latency = backends.mean_latency();
                backends.router.set_maintenance(&endpoint, in_maintenance, mean_latency, context);
            }
            Event::ReplicasChanged { index, count } => {
                context.replicas = Replicas { index, count: count.max(1) };
                requests.admission().customers().replicas_changed(context.now);
            }
            Event::SnapshotReceived(snapshot) => {
                handover::restore(snapshot, backends, requests, context);
            }
            Event::ClientDisconnected { request_id } => requests.finish(&request_id),
            Event::Timer { token } => self.timer_due(token),
            Event::CounterReplied { counter, status, total, elapsed } => {
                let reply = CounterReply { counter, status, total, elapsed };
                requests.counter_replied(&reply, backends, context);
            }
        }
    }

    fn endpoints_updated(&mut self, kind: ListKind, endpoints: Vec<Endpoint>) {
        self.list_poller.list_updated(kind, &mut self.context);
        if kind == ListKind::Stale {
            self.schedule_idle_scan();
        }
        let mean_latency = self.backends.mean_latency();
        self.backends.router.update(kind, endpoints, mean_latency, &mut self.context);
    }

    fn timer_due(&mut self, token: u64) {
        let Self { context, backends, requests, .. } = self;
        match context.take_timer(token) {
            Some(TimerPurpose::EndLeaseWait(customer)) => {
                requests.end_lease_wait(&customer, token, backends, context);
            }
            Some(TimerPurpose::Hedge(id)) => requests.hedge(&id, backends, context),
            Some(TimerPurpose::EndSlotWait(id)) => requests.end_slot_wait(&id, backends, context),
            Some(TimerPurpose::PollEndpoints) => context.push_action(Action::PollEndpoints),
            Some(TimerPurpose::EvictIdleCustomers) => {
                requests.admission().customers().evict_idle(context.now);
                self.schedule_idle_scan();
            }
            None => {}
        }
    }

    fn schedule_idle_scan(&mut self) {
        let scan_at = self.context.now + IDLE_SCAN_INTERVAL;
        self.context.set_timer(scan_at, TimerPurpose::EvictIdleCustomers);
    }

    /// Returns whether an endpoint is listed, in maintenance, or still has attempts in flight.
    pub fn is_known_endpoint(&self, endpoint: &EndpointId) -> bool {
        self.backends.router.endpoints().is_known(endpoint)
    }

    /// Counts the listed endpoints, and those of them that are avoided at `now`.
    pub fn endpoint_counts(&self, now: Time) -> EndpointCounts {
        self.backends.router.counts(now)
    }

    /// Returns the endpoints that operators have put into maintenance, whether listed or not.
    pub fn endpoints_in_maintenance(&self) -> impl Iterator<Item = &EndpointId> {
        self.backends.router.endpoints().in_maintenance()
    }

    /// Returns the state to hand over to the successor in a hot restart.
    pub fn snapshot(&self) -> HandoverSnapshot {
        handover::snapshot(&self.backends, &self.requests)
    }
}
