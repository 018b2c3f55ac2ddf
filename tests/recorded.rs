//! Digests of all decisions of one gateway over long sequences of random events. A digest covers every action, the
//! endpoint counts and the handover snapshots. A change of the code that changes no decision leaves the digests as
//! they are.
//!
//! The digests hold for one C library, because the exponential function of another may round differently. [`Digest`]
//! encodes values only, so renaming a Rust type or field does not change a digest.

mod common;
use common::{AttemptEnd, GatewayHarness, endpoint, plan, request, settings};
use oliverack::{
    Action, Class, Effect, Endpoint, EndpointCounts, EndpointId, Event, Gateway, HandoverSnapshot,
    IdempotencyScope, Lifecycle, ListKind, Plan, RequestId, Settings, Status, Time,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hasher,
};

/// Random events of one run, without the events that timers and hot restarts add.
const EVENT_COUNT: usize = 4000;

/// A running hash over actions, endpoint counts and snapshots. A tag byte tells them apart; their fields follow in a
/// fixed order.
#[derive(Default)]
struct Digest(fnv::FnvHasher);

impl Digest {
    fn tag(&mut self, tag: u8) {
        self.0.write(&[tag]);
    }

    fn integer(&mut self, value: u64) {
        self.0.write(&value.to_le_bytes());
    }

    fn text(&mut self, text: &str) {
        self.integer(text.len() as u64);
        self.0.write(text.as_bytes());
    }

    /// Adds a number, rounded to six decimal places.
    fn number(&mut self, value: f64) {
        self.text(&format!("{value:.6}"));
    }

    /// Adds a number that may be missing; `None` differs from 0.
    fn optional(&mut self, value: Option<f64>) {
        self.tag(u8::from(value.is_some()));
        self.number(value.unwrap_or(0.0));
    }

    fn action(&mut self, now: Time, action: &Action) {
        self.text(&format!("{now:.3}"));
        match action {
            Action::StartAttempt { request_id, endpoint, timeout, dedup_until } => {
                self.tag(1);
                self.text(request_id);
                self.text(endpoint);
                self.number(*timeout);
                self.optional(*dedup_until);
            }
            Action::Reject { request_id, retry_after, .. } => {
                self.tag(2);
                self.text(request_id);
                self.number(*retry_after);
            }
            Action::Fail { request_id } => {
                self.tag(3);
                self.text(request_id);
            }
            Action::SetTimer { token, at } => {
                self.tag(5);
                self.integer(*token);
                self.number(*at);
            }
            Action::AddToCounter { counter, amount, ttl } => {
                self.tag(7);
                self.integer(*counter);
                self.number(*amount);
                self.number(*ttl);
            }
            Action::PollEndpoints => self.tag(8),
            unencoded => panic!("no encoding for {unencoded:?}"),
        }
    }

    fn endpoint_counts(&mut self, endpoint_counts: EndpointCounts, is_known_endpoint: bool) {
        self.tag(10);
        self.integer(endpoint_counts.listed as u64);
        self.integer(endpoint_counts.avoided as u64);
        self.tag(u8::from(is_known_endpoint));
    }

    fn snapshot(&mut self, snapshot: &HandoverSnapshot) {
        self.tag(11);
        self.integer(snapshot.endpoints.len() as u64);
        for endpoint in &snapshot.endpoints {
            self.text(&endpoint.id);
            self.number(endpoint.warming_up_since);
            self.number(endpoint.mean_latency);
            self.number(endpoint.last_response_at);
            self.number(endpoint.ejected_until);
            self.number(endpoint.next_ejection_duration);
        }
        self.integer(snapshot.in_maintenance.len() as u64);
        for endpoint in &snapshot.in_maintenance {
            self.text(endpoint);
        }
        self.number(snapshot.peak_units_per_second);
        let times = snapshot.response_times;
        for time in [times.mean, times.median, times.idle] {
            self.number(time);
        }
        self.number(snapshot.counter_calls_per_second);
    }
}

/// Limits that apply to the customers of a run.
#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    /// No quotas and no counter.
    NoQuotas,
    /// Quotas with a counter, and a concurrency limit.
    Quotas,
    /// Quotas, a concurrency limit and ceilings.
    Ceilings,
    /// Quotas, a concurrency limit, and more customers than the gateway keeps state for.
    FullCustomerTable,
    /// Quotas, a concurrency limit, and units that are only known after the response.
    SettledUnits,
}

/// A run of one gateway with random events of every kind.
struct RandomRun {
    harness: GatewayHarness,
    random: fastrand::Rng,
    scenario: Scenario,
    digest: Digest,
    settings: Settings,
    endpoint_count: u32,
    /// Request, index and endpoint of each attempt in flight.
    running_attempts: Vec<(RequestId, u32, EndpointId)>,
    /// Number of attempts of each request.
    attempt_counts: BTreeMap<RequestId, u32>,
    /// Time and token of each timer that is not yet due.
    timers: Vec<(Time, u64)>,
    /// Name of the count and units of each counter call without a reply.
    counter_calls: Vec<(u64, f64)>,
    /// Units in each count of the counter, by the name of the count.
    counter_totals: BTreeMap<u64, f64>,
    request_count: u64,
    /// Attempts of all requests together.
    started_attempt_count: usize,
}

fn run_settings(gateway_count: u32, scenario: Scenario) -> Settings {
    let has_counter = scenario != Scenario::NoQuotas;
    let mut settings = settings();
    settings.gateway_index = gateway_count / 3;
    settings.gateway_count = gateway_count;
    settings.has_counter = has_counter;
    let effect_with_key =
        |idempotency_scope| Effect::IdempotencyKey { scope: idempotency_scope, window: 2.0 };
    settings.classes = vec![
        class(1.0, Effect::Idempotent),
        class(0.5, effect_with_key(IdempotencyScope::Zone)),
        class(0.5, effect_with_key(IdempotencyScope::Cell)),
        class(0.3, Effect::AtMostOnce),
    ];
    settings.plans = vec![Plan::default()];
    if has_counter {
        settings.plans.extend([plan(20.0, 40.0), plan(3.0, 6.0)]);
        settings.plans[1].max_concurrent_attempts = 8;
    }
    match scenario {
        Scenario::NoQuotas | Scenario::Quotas => {}
        Scenario::Ceilings => {
            settings.plans[1].ceiling_rate = 24.0;
            settings.plans[1].ceiling_burst = 48.0;
            settings.plans[2].ceiling_rate = 4.0;
            settings.plans[2].ceiling_burst = 8.0;
            settings.plans[2].over_quota_weight_share = 0.4;
            settings.plans[2].over_quota_cost_share = 0.1;
        }
        Scenario::FullCustomerTable => settings.max_customers = 4,
        Scenario::SettledUnits => settings.units_settled_after_response = true,
    }
    settings.slow_start_window = 6.0;
    settings.slow_start_initial_share = 0.25;
    settings.overload_multiple = 3.0;
    settings.overload_window = 1.5;
    settings
}

fn class(latency_objective: f64, effect: Effect) -> Class {
    let mut class = Class::default();
    class.latency_objective = latency_objective;
    class.effect = effect;
    class
}

impl RandomRun {
    fn new(gateway_count: u32, endpoint_count: u32, scenario: Scenario) -> Self {
        let settings = run_settings(gateway_count, scenario);
        let mut run = Self {
            harness: GatewayHarness::without_endpoints(settings.clone()),
            random: fastrand::Rng::with_seed(u64::from(gateway_count) << 32 | u64::from(endpoint_count)),
            scenario,
            digest: Digest::default(),
            settings,
            endpoint_count,
            running_attempts: Vec::new(),
            attempt_counts: BTreeMap::new(),
            timers: Vec::new(),
            counter_calls: Vec::new(),
            counter_totals: BTreeMap::new(),
            request_count: 0,
            started_attempt_count: 0,
        };
        let initial_list = run.random_complete_list();
        run.deliver(Event::EndpointsUpdated { kind: ListKind::Stale, endpoints: initial_list });
        run
    }

    /// Passes an event to the gateway, adds the resulting actions to the digest and records them.
    fn deliver(&mut self, event: Event) {
        for action in self.harness.handle(event) {
            self.digest.action(self.harness.now, &action);
            match action {
                Action::StartAttempt { request_id, endpoint, .. } => {
                    let attempt_count = self.attempt_counts.entry(request_id.clone()).or_default();
                    let attempt = *attempt_count;
                    *attempt_count += 1;
                    self.running_attempts.push((request_id, attempt, endpoint));
                    self.started_attempt_count += 1;
                }
                Action::SetTimer { token, at } => self.timers.push((at, token)),
                Action::AddToCounter { counter, amount, .. } => self.counter_calls.push((counter, amount)),
                _ => {}
            }
        }
        self.harness.actions.clear();
    }

    /// Returns the entry of endpoint `s{number}` with a random lifecycle and, for one in six, a recent start.
    fn random_endpoint(&mut self, number: u32) -> Endpoint {
        let lifecycle = match self.random.u32(0..20) {
            0 | 1 => Lifecycle::Draining,
            2 => Lifecycle::Gone,
            _ => Lifecycle::Running,
        };
        let mut endpoint = endpoint(&format!("s{number}"), lifecycle, 0.0);
        endpoint.zone = number % 3;
        endpoint.cell = number % 7;
        if self.random.u32(0..6) == 0 {
            endpoint.started = self.harness.now - 8.0 * self.random.f64();
        }
        endpoint
    }

    /// Returns a complete endpoint list, unordered and with omissions and one duplicate.
    fn random_complete_list(&mut self) -> Vec<Endpoint> {
        let mut list: Vec<Endpoint> =
            (0..self.endpoint_count).map(|number| self.random_endpoint(number)).collect();
        self.random.shuffle(&mut list);
        list.truncate((list.len() * 9).div_ceil(10));
        if let Some(first) = list.first().cloned() {
            list.push(first);
        }
        list
    }

    fn random_endpoint_number(&mut self) -> u32 {
        // The last two numbers belong to endpoints that are in no complete list.
        self.random.u32(0..self.endpoint_count + 2)
    }

    fn end_random_attempt(&mut self) {
        if self.running_attempts.is_empty() {
            return;
        }
        let position = self.random.usize(0..self.running_attempts.len());
        let (request_id, attempt, endpoint) = self.running_attempts.swap_remove(position);
        let number: u32 = endpoint[1..].parse().expect("a number after `s`");
        // Every fifth endpoint fails most of the time, every seventh is slow.
        let status = match self.random.u32(0..if number % 5 == 0 { 12 } else { 40 }) {
            0..4 => Status::ConnectFailed,
            4 => Status::Error,
            5 => Status::Timeout,
            6 => Status::Reset,
            7 => Status::Rejected,
            8 => Status::Cancelled,
            9 => Status::NotSent,
            _ => Status::Ok,
        };
        let elapsed = (0.02 + 0.05 * self.random.f64()) * if number % 7 == 0 { 4.0 } else { 1.0 };
        let is_finished = status == Status::Ok;
        if is_finished && self.random.u32(0..8) == 0 {
            self.deliver(Event::ResponseStarted { request_id: request_id.clone() });
        }
        let is_settled = is_finished && self.scenario == Scenario::SettledUnits;
        let actual_units = is_settled.then(|| 0.5 + 1.5 * self.random.f64());
        let attempt_end = AttemptEnd::new(&request_id, &endpoint)
            .attempt(attempt)
            .status(status)
            .elapsed(elapsed)
            .actual_units(actual_units);
        self.deliver(attempt_end.event());
    }

    fn reply_to_counter_call(&mut self) {
        if self.counter_calls.is_empty() {
            return;
        }
        let (counter, amount) = self.counter_calls.remove(0);
        let status = match self.random.u32(0..20) {
            0 => Status::Timeout,
            1 => Status::Error,
            2 => Status::ConnectFailed,
            _ => Status::Ok,
        };
        let total = self.counter_totals.entry(counter).or_default();
        *total += amount;
        let total = *total;
        self.deliver(Event::CounterReplied { counter, status, total, elapsed: 0.002 });
    }

    fn send_random_request(&mut self) {
        self.request_count += 1;
        let mut request = request(&format!("j{}", self.request_count), self.harness.now);
        request.plan = self.random.usize(0..self.settings.plans.len());
        request.class = self.random.usize(0..self.settings.classes.len());
        request.customer = format!("c{}", self.random.u32(0..6)).into();
        if self.scenario != Scenario::NoQuotas && self.scenario != Scenario::Quotas {
            request.units = f64::from(self.random.u32(1..3));
        }
        request.customer_gateway_count = self.settings.gateway_count.min(4);
        self.deliver(Event::Request(request));
    }

    /// Replaces the gateway by a successor, as a hot restart does. No event of the predecessor's attempts, timers and
    /// counter calls follows.
    fn hot_restart(&mut self) {
        let snapshot = self.harness.gateway.snapshot();
        self.harness.gateway =
            Gateway::new(self.settings.clone(), self.request_count).expect("valid settings");
        self.running_attempts.clear();
        self.timers.clear();
        self.counter_calls.clear();
        let endpoints = self.random_complete_list();
        self.deliver(Event::EndpointsUpdated { kind: ListKind::Stale, endpoints });
        self.deliver(Event::SnapshotReceived(snapshot));
        let replica_count = self.random.u32(1..3);
        self.deliver(Event::ReplicasChanged { index: replica_count - 1, count: replica_count });
    }

    fn change_endpoints(&mut self) {
        let endpoints: Vec<Endpoint> = (0..self.random.u32(0..4))
            .map(|_| {
                let number = self.random_endpoint_number();
                self.random_endpoint(number)
            })
            .collect();
        self.deliver(Event::EndpointsUpdated { kind: ListKind::Changes, endpoints });
    }

    /// Advances the clock, fires the timers that are due and delivers one random event.
    fn step(&mut self) {
        self.harness.now += 0.01 * self.random.f64();
        let due: BTreeSet<u64> = self
            .timers
            .iter()
            .filter(|(due_at, _)| *due_at <= self.harness.now)
            .map(|(_, token)| *token)
            .collect();
        self.timers.retain(|(due_at, _)| *due_at > self.harness.now);
        for token in due {
            self.deliver(Event::Timer { token });
        }
        match self.random.u32(0..1000) {
            0..450 => self.send_random_request(),
            450..900 => self.end_random_attempt(),
            900..950 => self.reply_to_counter_call(),
            950..980 => self.change_endpoints(),
            980..984 => {
                let endpoints = self.random_complete_list();
                self.deliver(Event::EndpointsUpdated { kind: ListKind::Full, endpoints });
            }
            984..986 => {
                self.deliver(Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() });
            }
            986..992 => {
                let endpoint: EndpointId = format!("s{}", self.random_endpoint_number()).into();
                self.deliver(Event::MaintenanceChanged { endpoint: endpoint.clone(), in_maintenance: true });
            }
            992..997 => {
                let first = self.harness.gateway.endpoints_in_maintenance().next().cloned();
                if let Some(endpoint) = first {
                    self.deliver(Event::MaintenanceChanged { endpoint, in_maintenance: false });
                }
            }
            997 if self.random.bool() => self.hot_restart(),
            998 => self.harness.now += 9.0 * self.random.f64(),
            _ => {
                if let Some((request_id, ..)) = self.running_attempts.first().cloned() {
                    self.deliver(Event::ClientDisconnected { request_id });
                }
            }
        }
    }

    /// Delivers all events of the run and returns the digest.
    fn digest(mut self) -> u64 {
        for event in 0..EVENT_COUNT {
            self.step();
            if event % 50 == 0 {
                let endpoint_counts = self.harness.gateway.endpoint_counts(self.harness.now);
                let is_known_endpoint = self.harness.gateway.is_known_endpoint(&"s1".into());
                self.digest.endpoint_counts(endpoint_counts, is_known_endpoint);
            }
            if event % 500 == 0 {
                let snapshot = self.harness.gateway.snapshot();
                self.digest.snapshot(&snapshot);
            }
        }
        assert!(
            self.endpoint_count == 0 || self.started_attempt_count > EVENT_COUNT / 10,
            "only {} attempts were started",
            self.started_attempt_count
        );
        self.digest.0.finish()
    }
}

/// Asserts that each run gives the recorded digest. A run is given as the number of gateways, the number of endpoints
/// and the digest.
fn assert_digests(runs: &[(u32, u32, u64)], scenario: Scenario) {
    let digests: Vec<(u32, u32, u64)> = runs
        .iter()
        .map(|&(gateway_count, endpoint_count, _)| {
            (gateway_count, endpoint_count, RandomRun::new(gateway_count, endpoint_count, scenario).digest())
        })
        .collect();
    assert_eq!(digests, runs);
}

#[test]
fn endpoint_selection_matches_recorded_digests() {
    let runs = [
        (1, 0, 0x6493_9a6b_4a52_c7da),
        (1, 1, 0x940b_91cf_16f9_1ac2),
        (2, 2, 0xef5e_7641_cc79_18aa),
        (3, 9, 0x673f_ae15_4dcf_4b48),
        (12, 100, 0xd82b_4b6e_7bf1_d0f4),
        (680, 100, 0xbb32_791c_5c91_1b00),
        (30, 1024, 0xd102_99ec_5da1_bd41),
        (680, 9200, 0x1397_a4a7_5f45_942c),
        (680, 10_000, 0x34b3_d1c7_be85_58fc),
    ];
    assert_digests(&runs, Scenario::NoQuotas);
}

#[test]
fn quota_decisions_match_recorded_digests() {
    let runs = [
        (1, 1, 0xf52c_d5bf_3a6a_6371),
        (3, 9, 0xb207_0c78_d389_c84b),
        (12, 100, 0x1416_c152_2ded_f2b9),
        (680, 1024, 0x9edb_c5b4_33d7_58b4),
    ];
    assert_digests(&runs, Scenario::Quotas);
}

#[test]
fn ceiling_decisions_match_recorded_digests() {
    let runs = [
        (1, 3, 0x746d_1307_8e08_abea),
        (3, 9, 0x19f5_92d2_5439_1633),
        (12, 100, 0xb44c_0abb_ba8a_fa93),
        (680, 1024, 0x0d82_2db5_fbba_9d82),
    ];
    assert_digests(&runs, Scenario::Ceilings);
}

#[test]
fn decisions_with_full_customer_table_match_recorded_digests() {
    let runs =
        [(1, 3, 0x7c04_4cb1_0e4c_6936), (3, 9, 0x7906_add2_2016_3300), (12, 100, 0xa15a_b59d_c864_afa2)];
    assert_digests(&runs, Scenario::FullCustomerTable);
}

#[test]
fn decisions_with_settled_units_match_recorded_digests() {
    let runs =
        [(1, 3, 0x8030_5918_37c2_8c4f), (3, 9, 0x7140_185d_cd8a_cc52), (12, 100, 0x74f5_303d_820b_8a8b)];
    assert_digests(&runs, Scenario::SettledUnits);
}
