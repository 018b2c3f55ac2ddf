//! Composes the parts of the runtime, and routes actions, due timers, endpoint lists and messages of replica processes
//! to them. It makes no decisions of its own.

use crate::node::{
    config::Config,
    connection::{
        body_memory::BodyMemory, discovery::follower::EndpointListSink, endpoint_pool::EndpointPool,
    },
    hot_restart::{
        maintenance_file::MaintenanceFile, message::RequestIdHash, peer_connection::ReplicaHandler,
        replica_counts::ReplicaCounts, replica_table::ReplicaTable,
    },
    metrics::Metrics,
    runtime::{
        attempts::{AttemptSpec, Attempts},
        clock::Clock,
        counter_calls::CounterCalls,
        maintenance::Maintenance,
        policy_loop::{ActionExecutor, PolicyLoop},
        request_table::RequestTable,
        requests::Requests,
        timers::{TimerPurpose, Timers},
    },
    wire::endpoint_list::ListedEndpoint,
};
use oliverack::{
    Action, EndpointCounts, EndpointId, Event, Gateway, HandoverSnapshot, ListKind, SettingsError, Time,
};
use std::{
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::sync::Notify;
use tracing::{error, info};

/// Runtime of one gateway.
pub struct Driver {
    clock: Rc<Clock>,
    timers: Rc<Timers>,
    policy: Rc<PolicyLoop>,
    table: Rc<RequestTable>,
    requests: Rc<Requests>,
    attempts: Rc<Attempts>,
    counter_calls: CounterCalls,
    maintenance: Maintenance,
    endpoints: Rc<EndpointPool>,
    poll_requested: Rc<Notify>,
    replicas: Rc<ReplicaTable>,
    replica_counts: Rc<ReplicaCounts>,
    body_memory: Rc<BodyMemory>,
}

impl Driver {
    /// Creates the runtime of a gateway. It starts with the endpoint list `cached_endpoints`, which may be out of
    /// date, and opens at most `endpoint_budget` connections to endpoints.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn new(
        config: &Config,
        cached_endpoints: Vec<ListedEndpoint>,
        endpoint_budget: usize,
        metrics: &Metrics,
    ) -> Result<Rc<Self>, SettingsError> {
        let settings = &config.options.settings;
        let gateway = Gateway::new(settings.clone(), config.seed)?;
        let clock = Rc::new(Clock::new());
        let timers = Rc::new(Timers::default());
        let table = Rc::new(RequestTable::new(config.max_recent_request_ids()));
        let replica_counts = Rc::new(ReplicaCounts::default());
        let body_memory =
            BodyMemory::new(config.body_memory_bytes(), config.max_open_requests(), replica_counts.clone());
        let endpoints = endpoint_pool(config, endpoint_budget, metrics, body_memory.clone());
        let replicas = ReplicaTable::new(&config.name, config.max_list_bytes(), replica_counts.clone());
        let file = config.operator.and_then(|_| MaintenanceFile::new(&config.name));
        let driver = Rc::new_cyclic(|driver: &Weak<Self>| {
            let policy = PolicyLoop::new(gateway, clock.clone(), driver.clone());
            let attempts = Attempts::new(
                policy.clone(),
                clock.clone(),
                timers.clone(),
                table.clone(),
                endpoints.clone(),
                replicas.clone(),
                metrics.cuts.clone(),
            );
            let requests = Requests::new(
                policy.clone(),
                clock.clone(),
                timers.clone(),
                table.clone(),
                attempts.clone(),
                settings.classes.clone(),
            );
            let counter_calls = CounterCalls::new(config.counter, settings, policy.clone(), timers.clone());
            let maintenance = Maintenance::new(policy.clone(), endpoints.clone(), replicas.clone(), file);
            let poll_requested = Rc::default();
            Self {
                clock,
                timers,
                policy,
                table,
                requests,
                attempts,
                counter_calls,
                maintenance,
                endpoints,
                poll_requested,
                replicas,
                replica_counts,
                body_memory,
            }
        });
        driver.update_endpoints(ListKind::Stale, cached_endpoints);
        Ok(driver)
    }

    /// Returns the open requests.
    pub fn requests(&self) -> &Rc<Requests> {
        &self.requests
    }

    /// Returns the part that handles maintenance of endpoints.
    pub fn maintenance(&self) -> &Maintenance {
        &self.maintenance
    }

    /// Returns the part that calls the counter.
    pub fn counter_calls(&self) -> &CounterCalls {
        &self.counter_calls
    }

    /// Returns the table of the other processes of this gateway.
    pub fn replicas(&self) -> &Rc<ReplicaTable> {
        &self.replicas
    }

    /// Returns the counts of the processes that serve this gateway.
    pub fn replica_counts(&self) -> &Rc<ReplicaCounts> {
        &self.replica_counts
    }

    /// Returns the memory budget for bodies in transit.
    pub fn body_memory(&self) -> &Rc<BodyMemory> {
        &self.body_memory
    }

    /// Returns the signal that is notified when the policy requests a poll of discovery.
    pub fn poll_requested(&self) -> &Rc<Notify> {
        &self.poll_requested
    }

    /// Returns the number of endpoints, and how many of them receive no requests at present.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        self.policy.endpoint_counts()
    }

    /// Closes the connections to endpoints that have been idle for too long.
    pub fn close_idle_connections(&self) {
        self.endpoints.close_expired();
    }

    /// Fires timers when they are due. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            match self.timers.next_due() {
                Some(due) if due <= self.clock.now() => {
                    if let Some(purpose) = self.timers.pop_next() {
                        self.fire(purpose);
                    }
                }
                Some(due) => {
                    let until_due = tokio::time::sleep_until(self.clock.instant(due).into());
                    tokio::select! { () = until_due => {}, () = self.timers.wait_for_earlier() => {} }
                }
                None => self.timers.wait_for_earlier().await,
            }
        }
    }

    fn fire(&self, purpose: TimerPurpose) {
        match purpose {
            TimerPurpose::Policy(token) => self.policy.post(Event::Timer { token }),
            TimerPurpose::Attempt(request_id, number) => {
                self.attempts.time_out(&request_id, number);
            }
            TimerPurpose::CounterCall(client, call_id) => client.expire(&self.policy.sender(), call_id),
            TimerPurpose::DedupEnd(request_id) => self.attempts.release(&request_id),
            TimerPurpose::Deadline(request_id) => self.requests.fail_at_deadline(request_id),
        }
    }

    /// Updates the pool with the addresses of the endpoints, and the policy with everything else.
    fn update_endpoints(&self, kind: ListKind, endpoints: Vec<ListedEndpoint>) {
        self.endpoints.update(kind != ListKind::Changes, &endpoints);
        let endpoints = endpoints.into_iter().map(|listed| listed.endpoint).collect();
        self.policy.post(Event::EndpointsUpdated { kind, endpoints });
    }
}

/// Creates the pool of connections to endpoints, of which at most `budget` may be open.
fn endpoint_pool(
    config: &Config,
    budget: usize,
    metrics: &Metrics,
    body_memory: Rc<BodyMemory>,
) -> Rc<EndpointPool> {
    Rc::new(EndpointPool::new(
        budget,
        Duration::from_secs_f64(config.options.endpoint_idle_timeout),
        Duration::from_secs_f64(config.options.connect_timeout),
        metrics,
        body_memory,
    ))
}

impl ActionExecutor for Driver {
    fn execute(&self, now: Time, action: Action) {
        match action {
            Action::StartAttempt { request_id, endpoint, timeout, dedup_until } => {
                self.attempts.start(now, AttemptSpec { request_id, endpoint, timeout, dedup_until });
            }
            Action::Reject { request_id, retry_after, reason } => {
                self.requests.reject(&request_id, retry_after, reason);
            }
            Action::Fail { request_id } => self.requests.fail(&request_id),
            Action::SetTimer { token, at } => {
                self.timers.set(at, TimerPurpose::Policy(token));
            }
            Action::AddToCounter { counter, amount, ttl } => {
                self.counter_calls.add(now, counter, amount, ttl);
            }
            Action::PollEndpoints => self.poll_requested.notify_one(),
            unknown_action => error!(action = ?unknown_action, "unknown action of the policy"),
        }
    }
}

impl EndpointListSink for Driver {
    fn endpoints_updated(&self, kind: ListKind, endpoints: Vec<ListedEndpoint>) {
        self.update_endpoints(kind, endpoints);
    }

    fn poll_failed(&self) {
        self.policy.post(Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() });
    }
}

impl ReplicaHandler for Driver {
    fn receive_snapshot(&self, snapshot: HandoverSnapshot) {
        self.policy.post(Event::SnapshotReceived(snapshot));
    }

    fn snapshot(&self) -> HandoverSnapshot {
        self.policy.snapshot()
    }

    fn set_maintenance(&self, endpoint: &EndpointId, in_maintenance: bool) {
        self.maintenance.set(endpoint, in_maintenance);
    }

    fn request_ids(&self) -> Vec<RequestIdHash> {
        self.table.request_id_hashes()
    }

    fn receive_request_ids(&self, hashes: Vec<RequestIdHash>) {
        self.table.remember(hashes);
    }

    fn replicas_changed(&self) {
        let index = self.replica_counts.index();
        let count = self.replica_counts.count();
        info!(index, processes = count, "replicas changed");
        self.endpoints.set_process_count(count as usize);
        self.policy.post(Event::ReplicasChanged { index, count });
    }
}
