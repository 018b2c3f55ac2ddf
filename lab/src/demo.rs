//! The `demo` command: runs the built program on this machine, with stand-ins for endpoints, discovery and the counter,
//! so that requests can be sent to it by hand.

use crate::process::{
    Error,
    kill_on_drop::KillOnDrop,
    stand_in_counter::StandInCounter,
    stand_in_discovery::{EntryState, ListEntry, ListResponse, StandInDiscovery},
    stand_in_endpoints::StandInEndpoints,
};
use serde_json::{Value, json};
use std::{
    io::{self, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};
use tempfile::NamedTempFile;

/// Number of endpoints behind the gateway.
const ENDPOINT_COUNT: usize = 4;
/// Name of the only class of requests.
const CLASS: &str = "lookup";
/// Name of the only plan, with a quota of a few requests.
const PLAN: &str = "small";
/// Interval between checks whether the program has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Arguments of the `demo` command.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// Path of the built program.
    #[arg(long, default_value = concat!(env!("CARGO_MANIFEST_DIR"), "/../target/release/oliverack"))]
    program: PathBuf,
    /// Address on which the program listens for clients.
    #[arg(long, default_value = "127.0.0.1:8080")]
    listen: SocketAddr,
    /// Address on which the program listens for operators.
    #[arg(long, default_value = "127.0.0.1:8081")]
    operator: SocketAddr,
    /// Ends after this many seconds; without it, runs until interrupted.
    #[arg(long)]
    seconds: Option<u64>,
}

/// Addresses of the program and of the services that it calls.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Address on which the program listens for clients.
    pub listen: SocketAddr,
    /// Address on which the program listens for operators.
    pub operator: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the counter.
    pub counter: SocketAddr,
}

/// Returns the program's configuration. Its one plan allows a burst of three requests, and then one every two seconds.
pub fn configuration(addresses: Addresses, endpoints: &[ListEntry]) -> Value {
    json!({
        "name": "demo",
        "listen": addresses.listen,
        "operator": addresses.operator,
        "discovery": addresses.discovery,
        "counter": addresses.counter,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": ListResponse { version: 0, full: true, endpoints },
        "settings": {
            "Classes": [{"Name": CLASS, "Effect": "idempotent", "Slo": 2.0, "Deadline": 5.0}],
            "Plans": [{"Name": PLAN, "QuotaRate": 0.5, "Depth": 3.0, "OverrunCost": 1.0}],
            "Dcs": ["zone-a"],
            "Domain": {"HasCounter": true, "CountLimit": 0.05, "MaxUnits": 1},
            "Limits": {"ConnIdle": 30.0, "ConnectTimeout": 0.25, "SendCap": 3, "RetryAfter": true,
                "MaxRetryAfter": 10.0, "OpenCap": 1000},
        },
    })
}

/// Starts the stand-ins and the program, and waits until the program ends or the time limit has passed.
///
/// # Errors
/// The program does not exist, or a stand-in or the program does not start.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    if !arguments.program.is_file() {
        return Err(Error::ProgramMissing(arguments.program.clone()));
    }
    let endpoints = StandInEndpoints::start()?;
    let entry = |number| ListEntry::new(number, endpoints.address(number), EntryState::Serving);
    let entries: Vec<ListEntry> = (0..ENDPOINT_COUNT).map(entry).collect();
    let discovery = StandInDiscovery::start(entries.clone())?;
    let counter = StandInCounter::start()?;
    let addresses = Addresses {
        listen: arguments.listen,
        operator: arguments.operator,
        discovery: discovery.address,
        counter: counter.address,
    };
    let mut file = NamedTempFile::new().map_err(Error::io("writing the program's configuration"))?;
    let text = configuration(addresses, &entries).to_string();
    file.write_all(text.as_bytes()).map_err(Error::io("writing the program's configuration"))?;
    let program =
        start_program(&arguments.program, file.path()).map_err(Error::io("starting the program"))?;
    println!("configuration: {}", file.path().display());
    wait_for_exit(KillOnDrop(program), arguments.seconds.map(Duration::from_secs))
        .map_err(Error::io("waiting for the program"))
}

fn start_program(program: &Path, configuration: &Path) -> io::Result<Child> {
    let mut command = Command::new(program);
    command.env("NODE_CONFIG", configuration).env_remove("NODE_OPERATOR").env_remove("NODE_ACCEPT_FD");
    command.stdin(Stdio::null()).spawn()
}

fn wait_for_exit(mut program: KillOnDrop, limit: Option<Duration>) -> io::Result<()> {
    let started = Instant::now();
    while program.0.try_wait()?.is_none() && limit.is_none_or(|limit| started.elapsed() < limit) {
        thread::sleep(EXIT_POLL_INTERVAL);
    }
    Ok(())
}
