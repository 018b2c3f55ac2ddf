//! Seeded soak of the built program on real sockets: endpoints that read and write slowly, stop or break off, clients
//! that leave and come again, crowds, and a hot restart under signals. Each run checks the rules on lost and repeated
//! requests, on clients that have left, and the memory limit.
//!
//! `SOAK_SEEDS=A-B` sets the seeds; by default a few run.

#[path = "../fakes/mod.rs"]
mod fakes;

mod clients;
mod endpoints;
mod gateway;
mod record;

use clients::{run_client, run_crowd};
use endpoints::{FIRST_ENDLESS_SEED, FIRST_PAUSING_SEED, SoakEndpoint};
use gateway::SoakGateway;
use record::{Record, Violation};
use std::{
    env,
    ops::RangeInclusive,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const ENDPOINTS: usize = 6;
const CLIENTS: u64 = 24;
/// Time for which the clients send requests.
const RUN_TIME: Duration = Duration::from_millis(6500);
/// Time after which the hot restart begins, in the runs that have one.
const RESTART_AT: Duration = Duration::from_millis(1500);
/// Seeds that run by default: without pauses of the endpoints, with them, and with responses that never end.
const DEFAULT_SEEDS: [RangeInclusive<u64>; 3] =
    [1..=4, FIRST_PAUSING_SEED + 1..=FIRST_PAUSING_SEED + 2, FIRST_ENDLESS_SEED + 1..=FIRST_ENDLESS_SEED + 2];

/// Returns the seeds that the environment names.
fn seeds() -> Vec<u64> {
    let Ok(text) = env::var("SOAK_SEEDS") else { return DEFAULT_SEEDS.into_iter().flatten().collect() };
    let (first, last) = text.split_once('-').expect("SOAK_SEEDS=A-B");
    (first.parse().expect("a number")..=last.parse().expect("a number")).collect()
}

/// Runs one seed and returns the rules that were broken. Prints the gateway's log of each request concerned.
fn run_seed(seed: u64) -> Vec<Violation> {
    let record = Arc::new(Record::default());
    let endpoints: Vec<SoakEndpoint> =
        (0..ENDPOINTS).map(|_| SoakEndpoint::start(seed, record.clone())).collect();
    let addresses: Vec<_> = endpoints.iter().map(|endpoint| endpoint.addr).collect();
    let mut gateway = SoakGateway::start(&addresses, seed >= FIRST_PAUSING_SEED);
    let has_restart = seed % 4 != 0;
    let has_crowd = seed % 3 == 0;
    let is_over = Arc::new(AtomicBool::new(false));
    let listen = gateway.address();
    let mut threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, is_over) = (record.clone(), is_over.clone());
            thread::spawn(move || run_client(listen, seed * 1000 + number, &record, &is_over))
        })
        .collect();
    if has_crowd {
        let is_over = is_over.clone();
        threads.push(thread::spawn(move || run_crowd(listen, seed, &is_over)));
    }
    thread::sleep(RESTART_AT);
    if has_restart {
        gateway.restart(seed);
    }
    thread::sleep(RUN_TIME.saturating_sub(gateway.age()));
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().expect("no panic");
    }
    let mut violations = record.violations();
    violations.extend(gateway.violations());
    for request_id in violations.iter().filter_map(|violation| violation.request_id.as_ref()) {
        for line in gateway.log_of(request_id) {
            eprintln!("seed {seed}, log: {line}");
        }
    }
    eprintln!("seed {seed}, restart {has_restart}, crowd {has_crowd}: {}", record.summary());
    violations
}

/// Guards against answers that come late or never, requests that run twice or after their client has left, and a gateway
/// that is over its memory limit or ends, under many faults at once.
#[test]
fn rules_hold_under_seeded_faults() {
    let mut failed = Vec::new();
    for seed in seeds() {
        for violation in run_seed(seed) {
            eprintln!("seed {seed}: {}", violation.description);
            failed.push(format!("seed {seed}: {}", violation.description));
        }
    }
    assert!(failed.is_empty(), "{} violations: {failed:#?}", failed.len());
}
