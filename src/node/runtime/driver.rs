//! Drives the one `Gateway`: turns what happens into events and carries out the actions. It decides nothing.

use crate::node::{
    config::Config,
    connection::{
        discovery::follower::ListSink,
        endpoint_pool::EndpointPool,
        events::{EventSender, EventSink},
    },
    hot_restart::{maintenance_file::MaintenanceFile, replica_counts::Processes, replica_table::Siblings},
    metrics::Metrics,
    runtime::{
        clock::Clock,
        counters::CounterClients,
        open_requests::OpenRequest,
        timers::{TimerPurpose, Timers},
    },
    wire::endpoint_list::Listed,
};
use fnv::{FnvHashMap, FnvHashSet};
use hyper::header::HeaderValue;
use oliverack::{Action, Event, Gateway, ListKind, RequestId, SettingsError, Status, Time};
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::sync::Notify;
use tracing::error;

/// Events are being handed to the policy.
struct Working<'a>(&'a Cell<bool>);

impl Drop for Working<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// See the [module](self).
pub struct Driver {
    pub config: Config,
    pub(super) clock: Clock,
    pub(super) gateway: RefCell<Gateway>,
    /// Those that the policy has still to hear of, in order.
    pub(super) events: RefCell<VecDeque<Event>>,
    is_working: Cell<bool>,
    pub(super) open: RefCell<FnvHashMap<RequestId, OpenRequest>>,
    /// The clients' names of the open requests.
    pub(super) transactions: RefCell<FnvHashSet<HeaderValue>>,
    pub(super) last_job: Cell<u64>,
    pub(super) timers: Timers,
    /// The policy wants the list followed, where that has its price.
    pub asked: Rc<Notify>,
    pub(super) endpoints: EndpointPool,
    pub metrics: Rc<Metrics>,
    counters: CounterClients,
    /// Other processes of this gateway.
    pub siblings: Rc<Siblings>,
    pub processes: Rc<Processes>,
    /// `None`: there are no operators' calls, or no folder.
    pub(super) maintenance_file: Option<MaintenanceFile>,
}

impl Driver {
    /// The driver of a gateway that knows the list of its configuration.
    ///
    /// # Errors
    /// Settings that no gateway can work with.
    pub fn new(mut config: Config, endpoint_budget: usize) -> Result<Rc<Self>, SettingsError> {
        let settings = &config.options.settings;
        let gateway = Gateway::new(settings.clone(), config.seed)?;
        let counter = config.counter.filter(|_| settings.has_counter);
        let counters = CounterClients::new(counter, Duration::from_secs_f64(settings.counter_timeout));
        let metrics = Metrics::new(config.options.classes.len());
        let endpoints = EndpointPool::new(
            endpoint_budget,
            Duration::from_secs_f64(config.options.conn_idle),
            Duration::from_secs_f64(config.options.connect_timeout),
            metrics.dispatches.clone(),
        );
        let processes = Rc::new(Processes::default());
        // Needed once; later lists make it void.
        let known = std::mem::take(&mut config.known);
        let driver = Rc::new(Self {
            clock: Clock::new(),
            gateway: RefCell::new(gateway),
            events: RefCell::default(),
            is_working: Cell::new(false),
            open: RefCell::default(),
            transactions: RefCell::default(),
            last_job: Cell::new(0),
            timers: Timers::default(),
            asked: Rc::default(),
            endpoints,
            metrics,
            counters,
            siblings: Siblings::new(&config.name, config.list_bound(), processes.clone()),
            processes,
            maintenance_file: config.operator.and_then(|_| MaintenanceFile::new(&config.name)),
            config,
        });
        driver.list(ListKind::Stale, known);
        Ok(driver)
    }

    /// Tells the policy of what connections tell.
    pub(super) fn sender(self: &Rc<Self>) -> EventSender {
        self.clone()
    }

    /// Connects to the counter before the first call needs it.
    pub fn start_counter(self: &Rc<Self>) {
        self.counters.start(&self.sender());
    }

    /// Takes another address of the counter, where the settings have one.
    pub fn move_counter(self: &Rc<Self>, addr: Option<SocketAddr>) {
        let addr = addr.filter(|_| self.config.options.settings.has_counter);
        self.counters.move_to(addr, &self.sender());
    }

    /// Closes idle connections that are due.
    pub fn sweep(&self) {
        self.endpoints.sweep();
    }

    /// Hands the policy one event and carries out what it wants; events that this leads to come after it.
    pub fn post(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.is_working.replace(true) {
            return;
        }
        // Given back also if the policy panics: the requests of others go on.
        let _working = Working(&self.is_working);
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            let now = self.clock.now();
            self.gateway.borrow_mut().handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.carry_out(now, action));
        }
    }

    /// News of the endpoints. Names are mapped to addresses here, which are each gateway's own.
    fn list(self: &Rc<Self>, kind: ListKind, endpoints: Vec<Listed>) {
        self.endpoints.listed(kind != ListKind::Changes, &endpoints);
        let endpoints = endpoints.into_iter().map(|listed| listed.endpoint).collect();
        self.post(Event::EndpointsUpdated { kind, endpoints });
    }

    fn carry_out(self: &Rc<Self>, now: Time, action: Action) {
        match action {
            Action::StartAttempt { request_id, endpoint, timeout, dedup_until } => {
                self.send(now, request_id, endpoint, timeout, dedup_until);
            }
            Action::Reject { request_id, retry_after } => self.refuse(&request_id, retry_after),
            Action::Fail { request_id } => self.fail(&request_id),
            Action::SetTimer { token, at } => {
                self.timers.set(at, TimerPurpose::Policy(token));
            }
            Action::AddToCounter { counter, amount, ttl } => self.count(now, counter, amount, ttl),
            Action::PollEndpoints => self.asked.notify_one(),
            other => error!(action = ?other, "unknown action of the policy"),
        }
    }

    fn count(self: &Rc<Self>, now: Time, counter: u64, amount: f64, ttl: f64) {
        if let Some(client) = self.counters.client_for(counter) {
            let number = client.call(&self.sender(), counter, amount, ttl);
            let limit = self.config.options.settings.counter_timeout;
            self.timers.set(now + limit, TimerPurpose::CounterCall(client, number));
        } else {
            let event =
                Event::CounterReplied { counter, status: Status::ConnectFailed, total: 0.0, elapsed: 0.0 };
            self.events.borrow_mut().push_back(event);
        }
    }

    fn fire(self: &Rc<Self>, purpose: TimerPurpose) {
        match purpose {
            TimerPurpose::Policy(token) => self.post(Event::Timer { token }),
            TimerPurpose::Attempt(request_id, number) => self.stop(&request_id, number, Status::Timeout),
            TimerPurpose::CounterCall(client, number) => client.expire(&self.sender(), number),
            TimerPurpose::DedupEnd(request_id) => self.wind_up(&request_id),
            TimerPurpose::Deadline(request_id) => self.fail_at_deadline(request_id),
        }
    }

    /// Fires timers for good.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            match self.timers.next_due() {
                Some(at) if at <= self.clock.now() => {
                    let purpose = self.timers.take_next();
                    purpose.into_iter().for_each(|purpose| self.fire(purpose));
                }
                Some(at) => {
                    let until = tokio::time::sleep_until(self.clock.instant(at).into());
                    tokio::select! { () = until => {}, () = self.timers.earlier_one() => {} }
                }
                None => self.timers.earlier_one().await,
            }
        }
    }
}

impl EventSink for Driver {
    fn post(self: Rc<Self>, event: Event) {
        Driver::post(&self, event);
    }
}

impl ListSink for Rc<Driver> {
    fn list(&self, kind: ListKind, endpoints: Vec<Listed>) {
        Driver::list(self, kind, endpoints);
    }

    fn unlisted(&self) {
        Driver::post(self, Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() });
    }
}
