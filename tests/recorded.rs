//! What the module decides over long random days: every action, and what it tells of the servers, goes into one
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
            Action::Send { job, server, timeout, dedup_until } => {
                self.tag(1);
                self.text(job);
                self.text(server);
                self.number(*timeout);
                self.optional(*dedup_until);
            }
            Action::Refuse { job, retry_after } => {
                self.tag(2);
                self.text(job);
                self.number(*retry_after);
            }
            Action::Fail { job } => {
                self.tag(3);
                self.text(job);
            }
            Action::Cancel { job, attempt } => {
                self.tag(4);
                self.text(job);
                self.integer(u64::from(*attempt));
            }
            Action::Timer { token, at } => {
                self.tag(5);
                self.integer(*token);
                self.number(*at);
            }
            Action::Probe { server } => {
                self.tag(6);
                self.text(server);
            }
            Action::Count { counter, amount, ttl } => {
                self.tag(7);
                self.integer(*counter);
                self.number(*amount);
                self.number(*ttl);
            }
            Action::Watch => self.tag(8),
            Action::Log(line) => {
                self.tag(9);
                self.text(line);
            }
            other => panic!("no encoding for {other:?}"),
        }
    }

    fn targets(&mut self, targets: Targets, knows: bool) {
        self.tag(10);
        self.integer(targets.listed as u64);
        self.integer(targets.avoided as u64);
        self.tag(u8::from(knows));
    }

    fn memory(&mut self, memory: &Memory) {
        self.tag(11);
        self.integer(memory.servers.len() as u64);
        for server in &memory.servers {
            self.text(&server.id);
            self.number(server.cold_since);
            self.number(server.latency);
            self.number(server.heard);
            self.number(server.out_until);
            self.number(server.out_for);
        }
        self.integer(memory.left_out.len() as u64);
        for server in &memory.left_out {
            self.text(server);
        }
        self.number(memory.carried);
        for time in memory.times {
            self.number(time);
        }
        self.number(memory.call_rate);
    }
}

/// What a day has beside servers.
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
    servers: u32,
    /// Attempts that are out: job, number and server.
    out: Vec<(JobId, u32, ServerId)>,
    attempts: BTreeMap<JobId, u32>,
    timers: Vec<(Time, u64)>,
    counts: Vec<(u64, f64)>,
    totals: BTreeMap<u64, f64>,
    jobs: u64,
    sent: usize,
}

fn rules(gateways: u32, kind: Kind) -> Settings {
    let has_counter = kind != Kind::Plain;
    let mut s = settings();
    (s.me, s.gateways, s.has_counter) = (gateways / 3, gateways, has_counter);
    let keyed = |group| Effect::Keyed { group, window: 2.0 };
    s.classes = vec![
        class(1.0, Effect::Safe),
        class(0.5, keyed(Group::Zone)),
        class(0.5, keyed(Group::Cell)),
        class(0.3, Effect::Unsafe),
    ];
    s.plans = vec![Plan::default()];
    if has_counter {
        s.plans.extend([plan(20.0, 40.0), plan(3.0, 6.0)]);
        s.plans[1].open = 8;
    }
    match kind {
        Kind::Plain | Kind::Quotas => {}
        Kind::Ceilings => {
            (s.plans[1].ceiling_rate, s.plans[1].ceiling_burst) = (24.0, 48.0);
            (s.plans[2].ceiling_rate, s.plans[2].ceiling_burst) = (4.0, 8.0);
            (s.plans[2].excess_worth, s.plans[2].overrun_cost) = (0.4, 0.1);
        }
        Kind::FullTable => s.max_customers = 4,
        Kind::Settled => s.post_paid = true,
    }
    (s.cold, s.cold_from, s.fall_multiple, s.fall) = (6.0, 0.25, 3.0, 1.5);
    s
}

fn class(aim: f64, effect: Effect) -> Class {
    let mut class = Class::default();
    (class.aim, class.effect) = (aim, effect);
    class
}

impl Day {
    fn new(gateways: u32, servers: u32, kind: Kind) -> Self {
        let settings = rules(gateways, kind);
        let mut day = Self {
            rig: Rig::empty(settings.clone()),
            dice: fastrand::Rng::with_seed(u64::from(gateways) << 32 | u64::from(servers)),
            kind,
            digest: Digest::default(),
            settings,
            servers,
            out: Vec::new(),
            attempts: BTreeMap::new(),
            timers: Vec::new(),
            counts: Vec::new(),
            totals: BTreeMap::new(),
            jobs: 0,
            sent: 0,
        };
        let list = day.whole_list();
        day.post(Event::List { kind: ListKind::Stale, servers: list });
        day
    }

    fn post(&mut self, event: Event) {
        for action in self.rig.event(event) {
            self.digest.action(self.rig.now, &action);
            match action {
                Action::Send { job, server, .. } => {
                    let attempts = self.attempts.entry(job.clone()).or_default();
                    let number = *attempts;
                    *attempts += 1;
                    self.out.push((job, number, server));
                    self.sent += 1;
                }
                Action::Timer { token, at } => self.timers.push((at, token)),
                Action::Count { counter, amount, .. } => self.counts.push((counter, amount)),
                _ => {}
            }
        }
        self.rig.actions.clear();
    }

    fn server(&mut self, number: u32) -> Server {
        let lifecycle = match self.dice.u32(0..20) {
            0 | 1 => Lifecycle::Draining,
            2 => Lifecycle::Gone,
            _ => Lifecycle::Running,
        };
        let mut server = server(&format!("s{number}"), lifecycle, 0.0);
        (server.zone, server.cell) = (number % 3, number % 7);
        if self.dice.u32(0..6) == 0 {
            server.started = self.rig.now - 8.0 * self.dice.f64();
        }
        server
    }

    fn whole_list(&mut self) -> Vec<Server> {
        let mut list: Vec<Server> = (0..self.servers).map(|number| self.server(number)).collect();
        // In no order, some named twice, some missing.
        self.dice.shuffle(&mut list);
        list.truncate((list.len() * 9).div_ceil(10));
        if let Some(first) = list.first().cloned() {
            list.push(first);
        }
        list
    }

    fn any_server(&mut self) -> u32 {
        // Some that no list names.
        self.dice.u32(0..self.servers + 2)
    }

    fn outcome(&mut self) {
        if self.out.is_empty() {
            return;
        }
        let place = self.dice.usize(0..self.out.len());
        let (job, attempt, server) = self.out.swap_remove(place);
        let number: u32 = server[1..].parse().expect("its number");
        // Every fifth fails most of the time, every seventh is slow.
        let status = match self.dice.u32(0..if number % 5 == 0 { 12 } else { 40 }) {
            0..4 => Status::ConnectFailed,
            4 => Status::Error,
            5 => Status::Timeout,
            6 => Status::Reset,
            7 => Status::Full,
            8 => Status::Cancelled,
            9 => Status::Moot,
            _ => Status::Ok,
        };
        let spent = (0.02 + 0.05 * self.dice.f64()) * if number % 7 == 0 { 4.0 } else { 1.0 };
        let over = status == Status::Ok;
        if over && self.dice.u32(0..8) == 0 {
            self.post(Event::FirstByte { job: job.clone() });
        }
        let settles = over && self.kind == Kind::Settled;
        let settled = settles.then(|| 0.5 + 1.5 * self.dice.f64());
        let load = Load::default();
        self.post(Event::Outcome { job, attempt, server, status, spent, over, settled, load });
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
        self.post(Event::Counted { counter, status, total, spent: 0.002 });
    }

    fn request(&mut self) {
        self.jobs += 1;
        let mut request = request(&format!("j{}", self.jobs), self.rig.now);
        request.plan = self.dice.usize(0..self.settings.plans.len());
        request.class = self.dice.usize(0..self.settings.classes.len());
        request.customer = format!("c{}", self.dice.u32(0..6)).into();
        if self.kind != Kind::Plain && self.kind != Kind::Quotas {
            request.units = f64::from(self.dice.u32(1..3));
        }
        request.spread = self.settings.gateways.min(4);
        self.post(Event::Request(request));
    }

    /// Another process takes over.
    fn upgrade(&mut self) {
        let memory = self.rig.gateway.memory();
        self.rig.gateway = Gateway::new(self.settings.clone(), self.jobs).expect("usable settings");
        self.out.clear();
        self.timers.clear();
        self.counts.clear();
        let servers = self.whole_list();
        self.post(Event::List { kind: ListKind::Stale, servers });
        self.post(Event::Inherit(memory));
        let of = self.dice.u32(1..3);
        self.post(Event::Sharing { place: of - 1, of });
    }

    fn change(&mut self) {
        let servers: Vec<Server> = (0..self.dice.u32(0..4))
            .map(|_| {
                let number = self.any_server();
                self.server(number)
            })
            .collect();
        self.post(Event::List { kind: ListKind::Changes, servers });
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
                let servers = self.whole_list();
                self.post(Event::List { kind: ListKind::Full, servers });
            }
            984..986 => self.post(Event::List { kind: ListKind::Failed, servers: Vec::new() }),
            986..992 => {
                let server: ServerId = format!("s{}", self.any_server()).into();
                self.post(Event::ByHand { server: server.clone(), out: true });
            }
            992..997 => {
                let first = self.rig.gateway.left_out().next().cloned();
                if let Some(server) = first {
                    self.post(Event::ByHand { server, out: false });
                }
            }
            997 if self.dice.bool() => self.upgrade(),
            998 => self.rig.now += 9.0 * self.dice.f64(),
            _ => {
                if let Some((job, ..)) = self.out.first().cloned() {
                    self.post(Event::Left { job });
                }
            }
        }
    }

    /// Plays the day; its number.
    fn play(mut self) -> u64 {
        for event in 0..EVENTS {
            self.step();
            if event % 50 == 0 {
                let targets = self.rig.gateway.targets(self.rig.now);
                let knows = self.rig.gateway.knows(&"s1".into());
                self.digest.targets(targets, knows);
            }
            if event % 500 == 0 {
                let memory = self.rig.gateway.memory();
                self.digest.memory(&memory);
            }
        }
        assert!(self.servers == 0 || self.sent > EVENTS / 10, "a day with {} attempts only", self.sent);
        self.digest.0.finish()
    }
}

/// Gateways, servers and the day's number.
fn check(days: &[(u32, u32, u64)], kind: Kind) {
    let played: Vec<(u32, u32, u64)> = days
        .iter()
        .map(|&(gateways, servers, _)| (gateways, servers, Day::new(gateways, servers, kind).play()))
        .collect();
    assert_eq!(played, days);
}

#[test]
fn the_choice_of_servers_is_as_recorded() {
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
fn with_quotas_all_decisions_are_as_recorded() {
    let days = [
        (1, 1, 0xf52c_d5bf_3a6a_6371),
        (3, 9, 0xb207_0c78_d389_c84b),
        (12, 100, 0x1416_c152_2ded_f2b9),
        (680, 1024, 0x9edb_c5b4_33d7_58b4),
    ];
    check(&days, Kind::Quotas);
}

#[test]
fn with_ceilings_all_decisions_are_as_recorded() {
    let days = [
        (1, 3, 0x746d_1307_8e08_abea),
        (3, 9, 0x19f5_92d2_5439_1633),
        (12, 100, 0xb44c_0abb_ba8a_fa93),
        (680, 1024, 0x0d82_2db5_fbba_9d82),
    ];
    check(&days, Kind::Ceilings);
}

#[test]
fn with_a_full_customer_table_all_decisions_are_as_recorded() {
    let days =
        [(1, 3, 0x7c04_4cb1_0e4c_6936), (3, 9, 0x7906_add2_2016_3300), (12, 100, 0xa15a_b59d_c864_afa2)];
    check(&days, Kind::FullTable);
}

#[test]
fn with_settled_units_all_decisions_are_as_recorded() {
    let days =
        [(1, 3, 0x8030_5918_37c2_8c4f), (3, 9, 0x7140_185d_cd8a_cc52), (12, 100, 0x74f5_303d_820b_8a8b)];
    check(&days, Kind::Settled);
}
