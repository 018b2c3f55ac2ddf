//! Digests of all decisions over long random days: every action, the endpoint counts and the handover snapshots go
//! into one number for each fleet. A change of the code that should change no decision leaves the digests as they
//! are.
//!
//! The digests hold for one C library, as the exponential function of another may round differently. They depend on
//! values alone: [`Digest`] writes each action in an encoding of its own, whatever its Rust names are.

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

/// Events of one day, without those that result from others.
const EVENTS: usize = 4000;

/// A running hash over values: a byte tag for each action, then its fields in a fixed order.
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

    /// A number to six digits behind the point.
    fn number(&mut self, value: f64) {
        self.text(&format!("{value:.6}"));
    }

    /// A number that may be missing.
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
            Action::Reject { request_id, retry_after } => {
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
            other => panic!("no encoding for {other:?}"),
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

/// What a day contains beside endpoints.
#[derive(Clone, Copy, PartialEq)]
enum DayKind {
    /// No counter, no quota.
    Plain,
    /// Quotas behind a counter, and a cap on concurrent attempts.
    Quotas,
    /// Hard ceilings besides.
    Ceilings,
    /// More customers than the gateway may know of.
    FullTable,
    /// Units that are settled after the answer.
    Settled,
}

/// One day of a gateway, with every kind of event.
struct Day {
    harness: GatewayHarness,
    random: fastrand::Rng,
    kind: DayKind,
    digest: Digest,
    settings: Settings,
    endpoints: u32,
    /// Running attempts: request, index and endpoint.
    running_attempts: Vec<(RequestId, u32, EndpointId)>,
    attempts: BTreeMap<RequestId, u32>,
    timers: Vec<(Time, u64)>,
    counter_calls: Vec<(u64, f64)>,
    totals: BTreeMap<u64, f64>,
    requests: u64,
    sent: usize,
}

fn day_settings(gateways: u32, kind: DayKind) -> Settings {
    let has_counter = kind != DayKind::Plain;
    let mut settings = settings();
    settings.gateway_index = gateways / 3;
    settings.gateway_count = gateways;
    settings.has_counter = has_counter;
    let keyed = |group| Effect::IdempotencyKey { scope: group, window: 2.0 };
    settings.classes = vec![
        class(1.0, Effect::Idempotent),
        class(0.5, keyed(IdempotencyScope::Zone)),
        class(0.5, keyed(IdempotencyScope::Cell)),
        class(0.3, Effect::AtMostOnce),
    ];
    settings.plans = vec![Plan::default()];
    if has_counter {
        settings.plans.extend([plan(20.0, 40.0), plan(3.0, 6.0)]);
        settings.plans[1].max_concurrent_attempts = 8;
    }
    match kind {
        DayKind::Plain | DayKind::Quotas => {}
        DayKind::Ceilings => {
            settings.plans[1].ceiling_rate = 24.0;
            settings.plans[1].ceiling_burst = 48.0;
            settings.plans[2].ceiling_rate = 4.0;
            settings.plans[2].ceiling_burst = 8.0;
            settings.plans[2].over_quota_weight_share = 0.4;
            settings.plans[2].over_quota_cost_share = 0.1;
        }
        DayKind::FullTable => settings.max_customers = 4,
        DayKind::Settled => settings.units_settled_after_response = true,
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

impl Day {
    fn new(gateways: u32, endpoints: u32, kind: DayKind) -> Self {
        let settings = day_settings(gateways, kind);
        let mut day = Self {
            harness: GatewayHarness::without_endpoints(settings.clone()),
            random: fastrand::Rng::with_seed(u64::from(gateways) << 32 | u64::from(endpoints)),
            kind,
            digest: Digest::default(),
            settings,
            endpoints,
            running_attempts: Vec::new(),
            attempts: BTreeMap::new(),
            timers: Vec::new(),
            counter_calls: Vec::new(),
            totals: BTreeMap::new(),
            requests: 0,
            sent: 0,
        };
        let list = day.complete_list();
        day.deliver(Event::EndpointsUpdated { kind: ListKind::Stale, endpoints: list });
        day
    }

    fn deliver(&mut self, event: Event) {
        for action in self.harness.handle(event) {
            self.digest.action(self.harness.now, &action);
            match action {
                Action::StartAttempt { request_id, endpoint, .. } => {
                    let attempts = self.attempts.entry(request_id.clone()).or_default();
                    let number = *attempts;
                    *attempts += 1;
                    self.running_attempts.push((request_id, number, endpoint));
                    self.sent += 1;
                }
                Action::SetTimer { token, at } => self.timers.push((at, token)),
                Action::AddToCounter { counter, amount, .. } => self.counter_calls.push((counter, amount)),
                _ => {}
            }
        }
        self.harness.actions.clear();
    }

    fn endpoint(&mut self, number: u32) -> Endpoint {
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

    fn complete_list(&mut self) -> Vec<Endpoint> {
        let mut list: Vec<Endpoint> = (0..self.endpoints).map(|number| self.endpoint(number)).collect();
        // Unordered, with duplicates and omissions.
        self.random.shuffle(&mut list);
        list.truncate((list.len() * 9).div_ceil(10));
        if let Some(first) = list.first().cloned() {
            list.push(first);
        }
        list
    }

    fn any_endpoint(&mut self) -> u32 {
        // Includes endpoints that are in no list.
        self.random.u32(0..self.endpoints + 2)
    }

    fn attempt_ended(&mut self) {
        if self.running_attempts.is_empty() {
            return;
        }
        let position = self.random.usize(0..self.running_attempts.len());
        let (request_id, attempt, endpoint) = self.running_attempts.swap_remove(position);
        let number: u32 = endpoint[1..].parse().expect("its number");
        // Every fifth fails most of the time, every seventh is slow.
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
        let settles = is_finished && self.kind == DayKind::Settled;
        let actual_units = settles.then(|| 0.5 + 1.5 * self.random.f64());
        let end = AttemptEnd::new(&request_id, &endpoint)
            .attempt(attempt)
            .status(status)
            .elapsed(elapsed)
            .actual_units(actual_units);
        self.deliver(end.event());
    }

    fn counter_replied(&mut self) {
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
        let total = self.totals.entry(counter).or_default();
        *total += amount;
        let total = *total;
        self.deliver(Event::CounterReplied { counter, status, total, elapsed: 0.002 });
    }

    fn request(&mut self) {
        self.requests += 1;
        let mut request = request(&format!("j{}", self.requests), self.harness.now);
        request.plan = self.random.usize(0..self.settings.plans.len());
        request.class = self.random.usize(0..self.settings.classes.len());
        request.customer = format!("c{}", self.random.u32(0..6)).into();
        if self.kind != DayKind::Plain && self.kind != DayKind::Quotas {
            request.units = f64::from(self.random.u32(1..3));
        }
        request.customer_gateway_count = self.settings.gateway_count.min(4);
        self.deliver(Event::Request(request));
    }

    /// Replaces the gateway by a successor in a hot restart.
    fn hot_restart(&mut self) {
        let snapshot = self.harness.gateway.snapshot();
        self.harness.gateway = Gateway::new(self.settings.clone(), self.requests).expect("usable settings");
        self.running_attempts.clear();
        self.timers.clear();
        self.counter_calls.clear();
        let endpoints = self.complete_list();
        self.deliver(Event::EndpointsUpdated { kind: ListKind::Stale, endpoints });
        self.deliver(Event::SnapshotReceived(snapshot));
        let of = self.random.u32(1..3);
        self.deliver(Event::ReplicasChanged { index: of - 1, count: of });
    }

    fn change_endpoints(&mut self) {
        let endpoints: Vec<Endpoint> = (0..self.random.u32(0..4))
            .map(|_| {
                let number = self.any_endpoint();
                self.endpoint(number)
            })
            .collect();
        self.deliver(Event::EndpointsUpdated { kind: ListKind::Changes, endpoints });
    }

    fn step(&mut self) {
        self.harness.now += 0.01 * self.random.f64();
        let due: BTreeSet<u64> =
            self.timers.iter().filter(|(at, _)| *at <= self.harness.now).map(|(_, token)| *token).collect();
        self.timers.retain(|(at, _)| *at > self.harness.now);
        for token in due {
            self.deliver(Event::Timer { token });
        }
        match self.random.u32(0..1000) {
            0..450 => self.request(),
            450..900 => self.attempt_ended(),
            900..950 => self.counter_replied(),
            950..980 => self.change_endpoints(),
            980..984 => {
                let endpoints = self.complete_list();
                self.deliver(Event::EndpointsUpdated { kind: ListKind::Full, endpoints });
            }
            984..986 => {
                self.deliver(Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() });
            }
            986..992 => {
                let endpoint: EndpointId = format!("s{}", self.any_endpoint()).into();
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

    /// Plays the day and returns its digest.
    fn play(mut self) -> u64 {
        for event in 0..EVENTS {
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
        assert!(self.endpoints == 0 || self.sent > EVENTS / 10, "a day with {} attempts only", self.sent);
        self.digest.0.finish()
    }
}

/// Checks days: gateways, endpoints and the recorded digest.
fn check(days: &[(u32, u32, u64)], kind: DayKind) {
    let played: Vec<(u32, u32, u64)> = days
        .iter()
        .map(|&(gateways, endpoints, _)| (gateways, endpoints, Day::new(gateways, endpoints, kind).play()))
        .collect();
    assert_eq!(played, days);
}

#[test]
fn endpoint_selection_matches_recorded_digests() {
    let days = [
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
    check(&days, DayKind::Plain);
}

#[test]
fn quota_decisions_match_recorded_digests() {
    let days = [
        (1, 1, 0xf52c_d5bf_3a6a_6371),
        (3, 9, 0xb207_0c78_d389_c84b),
        (12, 100, 0x1416_c152_2ded_f2b9),
        (680, 1024, 0x9edb_c5b4_33d7_58b4),
    ];
    check(&days, DayKind::Quotas);
}

#[test]
fn ceiling_decisions_match_recorded_digests() {
    let days = [
        (1, 3, 0x746d_1307_8e08_abea),
        (3, 9, 0x19f5_92d2_5439_1633),
        (12, 100, 0xb44c_0abb_ba8a_fa93),
        (680, 1024, 0x0d82_2db5_fbba_9d82),
    ];
    check(&days, DayKind::Ceilings);
}

#[test]
fn full_customer_table_decisions_match_recorded_digests() {
    let days =
        [(1, 3, 0x7c04_4cb1_0e4c_6936), (3, 9, 0x7906_add2_2016_3300), (12, 100, 0xa15a_b59d_c864_afa2)];
    check(&days, DayKind::FullTable);
}

#[test]
fn settled_unit_decisions_match_recorded_digests() {
    let days =
        [(1, 3, 0x8030_5918_37c2_8c4f), (3, 9, 0x7140_185d_cd8a_cc52), (12, 100, 0x74f5_303d_820b_8a8b)];
    check(&days, DayKind::Settled);
}
