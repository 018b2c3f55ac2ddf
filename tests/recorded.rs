//! What the module decides over long random days: every action, and what it tells of the servers, goes into one
//! number for each fleet. A change of the code that should change no decision leaves the numbers as they are.
//!
//! The numbers hold for one C library: another one's exponential function may round in another way.

mod common;
use common::*;
use oliverack::*;
use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hasher,
};

/// Events of one day, less those that follow on others.
const EVENTS: usize = 4000;

/// Everything that the module may be told.
struct Day {
    rig: Rig,
    dice: fastrand::Rng,
    digest: fnv::FnvHasher,
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

fn rules(gateways: u32, has_counter: bool) -> Settings {
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
    (s.cold, s.cold_from, s.fall_multiple, s.fall) = (6.0, 0.25, 3.0, 1.5);
    s
}

fn class(aim: f64, effect: Effect) -> Class {
    let mut class = Class::default();
    (class.aim, class.effect) = (aim, effect);
    class
}

impl Day {
    fn new(gateways: u32, servers: u32, has_counter: bool) -> Self {
        let settings = rules(gateways, has_counter);
        let mut day = Self {
            rig: Rig::empty(settings.clone()),
            dice: fastrand::Rng::with_seed(u64::from(gateways) << 32 | u64::from(servers)),
            digest: fnv::FnvHasher::default(),
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

    fn note(&mut self, text: &str) {
        self.digest.write(text.as_bytes());
    }

    fn post(&mut self, event: Event) {
        for action in self.rig.event(event) {
            self.note(&format!("{:.3} {action:.6?}", self.rig.now));
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
        let (settled, load) = (None, Load::default());
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
                self.note(&format!("{targets:?} {knows}"));
            }
            if event % 500 == 0 {
                let memory = self.rig.gateway.memory();
                self.note(&format!("{memory:.6?}"));
            }
        }
        assert!(self.servers == 0 || self.sent > EVENTS / 10, "a day with {} attempts only", self.sent);
        self.digest.finish()
    }
}

/// Gateways, servers and the day's number.
fn check(days: &[(u32, u32, u64)], has_counter: bool) {
    let played: Vec<(u32, u32, u64)> = days
        .iter()
        .map(|&(gateways, servers, _)| (gateways, servers, Day::new(gateways, servers, has_counter).play()))
        .collect();
    assert_eq!(played, days);
}

#[test]
fn the_choice_of_servers_is_as_recorded() {
    let days = [
        (1, 0, 0x4090_d1d3_3f70_0b10),
        (1, 1, 0xf0bd_168f_187e_5930),
        (2, 2, 0x89aa_9819_9800_b354),
        (3, 9, 0x2187_e1df_38ac_2bbe),
        (12, 100, 0x361e_8580_d2c4_12b4),
        (680, 100, 0x2d7c_8c27_d179_da48),
        (30, 1024, 0x0f97_5b9f_718c_7d3a),
        (680, 9200, 0x3dcd_e14c_4798_dd50),
        (680, 10_000, 0x7bb0_15c6_2d43_0a45),
    ];
    check(&days, false);
}

#[test]
fn with_quotas_all_decisions_are_as_recorded() {
    let days = [
        (1, 1, 0x720b_aa48_19c5_56b8),
        (3, 9, 0x93b1_1847_32de_7c5c),
        (12, 100, 0x1238_fd1f_eb3a_2c46),
        (680, 1024, 0x5776_92e6_c4ab_b585),
    ];
    check(&days, true);
}
