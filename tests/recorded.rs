//! What the module decides over long random days: every action, and what it tells of the endpoints, goes into one
//! number for each fleet. A change of the code that should change no decision leaves the numbers as they are.
//!
//! The numbers hold for one C library: another one's exponential function may round in another way. They rest on
//! values alone: [`Digest`] writes each action in an encoding of its own, whatever its Rust names are.

mod common;
use common::*;
use oliverack::*;
use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hasher,
};

/// Events of one day, less those that follow on others.
const EVENTS: usize = 4000;

/// A running number over values: a byte tag for each action, then its fields in a fixed order.
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

    fn targets(&mut self, targets: EndpointCounts, knows: bool) {
        self.tag(10);
        self.integer(targets.listed as u64);
        self.integer(targets.avoided as u64);
        self.tag(u8::from(knows));
    }

    fn memory(&mut self, memory: &HandoverSnapshot) {
        self.tag(11);
        self.integer(memory.endpoints.len() as u64);
        for endpoint in &memory.endpoints {
            self.text(&endpoint.id);
            self.number(endpoint.warming_up_since);
            self.number(endpoint.mean_latency);
            self.number(endpoint.last_response_at);
            self.number(endpoint.ejected_until);
            self.number(endpoint.ejection_time);
        }
        self.integer(memory.in_maintenance.len() as u64);
        for endpoint in &memory.in_maintenance {
            self.text(endpoint);
        }
        self.number(memory.peak_units_per_second);
        let times = memory.response_times;
        for time in [times.mean, times.median, times.idle] {
            self.number(time);
        }
        self.number(memory.counter_calls_per_second);
    }
}

/// What a day has beside endpoints.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
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

/// Everything that the module may be told.
struct Day {
    rig: Rig,
    dice: fastrand::Rng,
    kind: Kind,
    digest: Digest,
    settings: Settings,
    endpoints: u32,
    /// Attempts that are out: job, number and endpoint.
    out: Vec<(RequestId, u32, EndpointId)>,
    attempts: BTreeMap<RequestId, u32>,
    timers: Vec<(Time, u64)>,
    counts: Vec<(u64, f64)>,
    totals: BTreeMap<u64, f64>,
    requests: u64,
    sent: usize,
}

fn rules(gateways: u32, kind: Kind) -> Settings {
    let has_counter = kind != Kind::Plain;
    let mut s = settings();
    (s.gateway_index, s.gateway_count, s.has_counter) = (gateways / 3, gateways, has_counter);
    let keyed = |group| Effect::IdempotencyKey { scope: group, window: 2.0 };
    s.classes = vec![
        class(1.0, Effect::Idempotent),
        class(0.5, keyed(IdempotencyScope::Zone)),
        class(0.5, keyed(IdempotencyScope::Cell)),
        class(0.3, Effect::AtMostOnce),
    ];
    s.plans = vec![Plan::default()];
    if has_counter {
        s.plans.extend([plan(20.0, 40.0), plan(3.0, 6.0)]);
        s.plans[1].max_concurrent_attempts = 8;
    }
    match kind {
        Kind::Plain | Kind::Quotas => {}
        Kind::Ceilings => {
            (s.plans[1].ceiling_rate, s.plans[1].ceiling_burst) = (24.0, 48.0);
            (s.plans[2].ceiling_rate, s.plans[2].ceiling_burst) = (4.0, 8.0);
            (s.plans[2].over_quota_weight_share, s.plans[2].over_quota_cost_share) = (0.4, 0.1);
        }
        Kind::FullTable => s.max_customers = 4,
        Kind::Settled => s.units_settle_later = true,
    }
    (s.slow_start_window, s.slow_start_initial_share, s.overload_multiple, s.overload_window) =
        (6.0, 0.25, 3.0, 1.5);
    s
}

fn class(aim: f64, effect: Effect) -> Class {
    let mut class = Class::default();
    (class.latency_objective, class.effect) = (aim, effect);
    class
}

impl Day {
    fn new(gateways: u32, endpoints: u32, kind: Kind) -> Self {
        let settings = rules(gateways, kind);
        let mut day = Self {
            rig: Rig::empty(settings.clone()),
            dice: fastrand::Rng::with_seed(u64::from(gateways) << 32 | u64::from(endpoints)),
            kind,
            digest: Digest::default(),
            settings,
            endpoints,
            out: Vec::new(),
            attempts: BTreeMap::new(),
            timers: Vec::new(),
            counts: Vec::new(),
            totals: BTreeMap::new(),
            requests: 0,
            sent: 0,
        };
        let list = day.whole_list();
        day.post(Event::EndpointsUpdated { kind: ListKind::Stale, endpoints: list });
        day
    }

    fn post(&mut self, event: Event) {
        for action in self.rig.event(event) {
            self.digest.action(self.rig.now, &action);
            match action {
                Action::StartAttempt { request_id, endpoint, .. } => {
                    let attempts = self.attempts.entry(request_id.clone()).or_default();
                    let number = *attempts;
                    *attempts += 1;
                    self.out.push((request_id, number, endpoint));
                    self.sent += 1;
                }
                Action::SetTimer { token, at } => self.timers.push((at, token)),
                Action::AddToCounter { counter, amount, .. } => self.counts.push((counter, amount)),
                _ => {}
            }
        }
        self.rig.actions.clear();
    }

    fn endpoint(&mut self, number: u32) -> Endpoint {
        let lifecycle = match self.dice.u32(0..20) {
            0 | 1 => Lifecycle::Draining,
            2 => Lifecycle::Gone,
            _ => Lifecycle::Running,
        };
        let mut endpoint = endpoint(&format!("s{number}"), lifecycle, 0.0);
        (endpoint.zone, endpoint.cell) = (number % 3, number % 7);
        if self.dice.u32(0..6) == 0 {
            endpoint.started = self.rig.now - 8.0 * self.dice.f64();
        }
        endpoint
    }

    fn whole_list(&mut self) -> Vec<Endpoint> {
        let mut list: Vec<Endpoint> = (0..self.endpoints).map(|number| self.endpoint(number)).collect();
        // In no order, some named twice, some missing.
        self.dice.shuffle(&mut list);
        list.truncate((list.len() * 9).div_ceil(10));
        if let Some(first) = list.first().cloned() {
            list.push(first);
        }
        list
    }

    fn any_endpoint(&mut self) -> u32 {
        // Some that no list names.
        self.dice.u32(0..self.endpoints + 2)
    }

    fn outcome(&mut self) {
        if self.out.is_empty() {
            return;
        }
        let place = self.dice.usize(0..self.out.len());
        let (request_id, attempt, endpoint) = self.out.swap_remove(place);
        let number: u32 = endpoint[1..].parse().expect("its number");
        // Every fifth fails most of the time, every seventh is slow.
        let status = match self.dice.u32(0..if number % 5 == 0 { 12 } else { 40 }) {
            0..4 => Status::ConnectFailed,
            4 => Status::Error,
            5 => Status::Timeout,
            6 => Status::Reset,
            7 => Status::Rejected,
            8 => Status::Cancelled,
            9 => Status::NotSent,
            _ => Status::Ok,
        };
        let elapsed = (0.02 + 0.05 * self.dice.f64()) * if number % 7 == 0 { 4.0 } else { 1.0 };
        let is_finished = status == Status::Ok;
        if is_finished && self.dice.u32(0..8) == 0 {
            self.post(Event::ResponseStarted { request_id: request_id.clone() });
        }
        let settles = is_finished && self.kind == Kind::Settled;
        let actual_units = settles.then(|| 0.5 + 1.5 * self.dice.f64());
        let load = LoadReport::default();
        self.post(Event::AttemptEnded {
            request_id,
            attempt,
            endpoint,
            status,
            elapsed,
            is_finished,
            actual_units,
            load,
        });
    }

    fn counted(&mut self) {
        if self.counts.is_empty() {
            return;
        }
        let (counter, amount) = self.counts.remove(0);
        let status = match self.dice.u32(0..20) {
            0 => Status::Timeout,
            1 => Status::Error,
            2 => Status::ConnectFailed,
            _ => Status::Ok,
        };
        let total = self.totals.entry(counter).or_default();
        *total += amount;
        let total = *total;
        self.post(Event::CounterReplied { counter, status, total, elapsed: 0.002 });
    }

    fn request(&mut self) {
        self.requests += 1;
        let mut request = request(&format!("j{}", self.requests), self.rig.now);
        request.plan = self.dice.usize(0..self.settings.plans.len());
        request.class = self.dice.usize(0..self.settings.classes.len());
        request.customer = format!("c{}", self.dice.u32(0..6)).into();
        if self.kind != Kind::Plain && self.kind != Kind::Quotas {
            request.units = f64::from(self.dice.u32(1..3));
        }
        request.customer_gateway_count = self.settings.gateway_count.min(4);
        self.post(Event::Request(request));
    }

    /// Another process takes over.
    fn upgrade(&mut self) {
        let memory = self.rig.gateway.snapshot();
        self.rig.gateway = Gateway::new(self.settings.clone(), self.requests).expect("usable settings");
        self.out.clear();
        self.timers.clear();
        self.counts.clear();
        let endpoints = self.whole_list();
        self.post(Event::EndpointsUpdated { kind: ListKind::Stale, endpoints });
        self.post(Event::SnapshotReceived(memory));
        let of = self.dice.u32(1..3);
        self.post(Event::ReplicasChanged { index: of - 1, count: of });
    }

    fn change(&mut self) {
        let endpoints: Vec<Endpoint> = (0..self.dice.u32(0..4))
            .map(|_| {
                let number = self.any_endpoint();
                self.endpoint(number)
            })
            .collect();
        self.post(Event::EndpointsUpdated { kind: ListKind::Changes, endpoints });
    }

    fn step(&mut self) {
        self.rig.now += 0.01 * self.dice.f64();
        let due: BTreeSet<u64> =
            self.timers.iter().filter(|(at, _)| *at <= self.rig.now).map(|(_, token)| *token).collect();
        self.timers.retain(|(at, _)| *at > self.rig.now);
        due.into_iter().for_each(|token| self.post(Event::Timer { token }));
        match self.dice.u32(0..1000) {
            0..450 => self.request(),
            450..900 => self.outcome(),
            900..950 => self.counted(),
            950..980 => self.change(),
            980..984 => {
                let endpoints = self.whole_list();
                self.post(Event::EndpointsUpdated { kind: ListKind::Full, endpoints });
            }
            984..986 => self.post(Event::EndpointsUpdated { kind: ListKind::Failed, endpoints: Vec::new() }),
            986..992 => {
                let endpoint: EndpointId = format!("s{}", self.any_endpoint()).into();
                self.post(Event::MaintenanceChanged { endpoint: endpoint.clone(), in_maintenance: true });
            }
            992..997 => {
                let first = self.rig.gateway.in_maintenance().next().cloned();
                if let Some(endpoint) = first {
                    self.post(Event::MaintenanceChanged { endpoint, in_maintenance: false });
                }
            }
            997 if self.dice.bool() => self.upgrade(),
            998 => self.rig.now += 9.0 * self.dice.f64(),
            _ => {
                if let Some((request_id, ..)) = self.out.first().cloned() {
                    self.post(Event::ClientDisconnected { request_id });
                }
            }
        }
    }

    /// Plays the day; its number.
    fn play(mut self) -> u64 {
        for event in 0..EVENTS {
            self.step();
            if event % 50 == 0 {
                let targets = self.rig.gateway.endpoint_counts(self.rig.now);
                let knows = self.rig.gateway.knows_endpoint(&"s1".into());
                self.digest.targets(targets, knows);
            }
            if event % 500 == 0 {
                let memory = self.rig.gateway.snapshot();
                self.digest.memory(&memory);
            }
        }
        assert!(self.endpoints == 0 || self.sent > EVENTS / 10, "a day with {} attempts only", self.sent);
        self.digest.0.finish()
    }
}

/// Gateways, endpoints and the day's number.
fn check(days: &[(u32, u32, u64)], kind: Kind) {
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
    check(&days, Kind::Plain);
}

#[test]
fn quota_decisions_match_recorded_digests() {
    let days = [
        (1, 1, 0xf52c_d5bf_3a6a_6371),
        (3, 9, 0xb207_0c78_d389_c84b),
        (12, 100, 0x1416_c152_2ded_f2b9),
        (680, 1024, 0x9edb_c5b4_33d7_58b4),
    ];
    check(&days, Kind::Quotas);
}

#[test]
fn ceiling_decisions_match_recorded_digests() {
    let days = [
        (1, 3, 0x746d_1307_8e08_abea),
        (3, 9, 0x19f5_92d2_5439_1633),
        (12, 100, 0xb44c_0abb_ba8a_fa93),
        (680, 1024, 0x0d82_2db5_fbba_9d82),
    ];
    check(&days, Kind::Ceilings);
}

#[test]
fn full_customer_table_decisions_match_recorded_digests() {
    let days =
        [(1, 3, 0x7c04_4cb1_0e4c_6936), (3, 9, 0x7906_add2_2016_3300), (12, 100, 0xa15a_b59d_c864_afa2)];
    check(&days, Kind::FullTable);
}

#[test]
fn settled_unit_decisions_match_recorded_digests() {
    let days =
        [(1, 3, 0x8030_5918_37c2_8c4f), (3, 9, 0x7140_185d_cd8a_cc52), (12, 100, 0x74f5_303d_820b_8a8b)];
    check(&days, Kind::Settled);
}
