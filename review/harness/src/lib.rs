//! Stand-ins for discovery, the counter, workers and clients, and the start of gateway processes.
//!
//! All sockets are on loopback. The stand-ins follow the operators' pages; what a case makes them do beyond that is in
//! the case's own file under `bin/`.

pub mod client;
pub mod counter;
pub mod discovery;
pub mod gateway;
pub mod http;
pub mod record;
pub mod settings;
pub mod worker;

use std::{
    env, process, thread,
    time::{Duration, Instant},
};

/// Exit code if the rule held.
pub const HELD: i32 = 0;
/// Exit code if the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code if the case could not run.
pub const NOT_RUN: i32 = 2;

/// Returns whether the disruption is on: always, unless `TROUBLE=0`.
pub fn is_trouble_on() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the process, and the gateways that it started, if the case takes longer than `limit`.
pub fn start_watchdog(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        eprintln!("the case took too long");
        gateway::kill_all();
        process::exit(NOT_RUN);
    });
}

/// Waits until `is_done` returns true, at most until `deadline`. Returns whether it did.
pub fn wait_until(deadline: Instant, mut is_done: impl FnMut() -> bool) -> bool {
    while !is_done() {
        if Instant::now() >= deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
    true
}
