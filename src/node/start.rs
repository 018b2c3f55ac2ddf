//! Reads the configuration, wires the parts and runs them until one fails or the process is told to end.

use crate::node::{
    config::{Config, ConfigError},
    connection::{
        clients::{Clients, Context},
        discovery::follower::{self, Discovery},
        operators::{MaintenanceError, Operations, Operators},
    },
    descriptors::DescriptorBudget,
    drain::{drain, time_to_kill},
    hot_restart::{peer_connection, predecessor, successor},
    listener::inherited,
    reload::reload,
    runtime::driver::Driver,
};
use oliverack::SettingsError;
use std::{fmt, io, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::TcpListener,
    runtime::LocalOptions,
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    task::{JoinSet, spawn_local},
    time::sleep,
};
use tracing::info;

/// Between looks for idle connections that are due.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The share of the memory that bodies on their way may take.
const BODIES_SHARE: usize = 4;

/// Why the gateway could not start, or go on.
#[derive(Debug)]
pub enum NodeError {
    /// The configuration can't be used.
    Config(ConfigError),
    /// Its settings can't.
    Settings(SettingsError),
    /// Clients can't be listened for.
    Listen(io::Error),
    /// Operators can't be listened for.
    Operators(io::Error),
    /// The system gave no runtime, or no signals.
    System(io::Error),
    /// The named part has failed.
    Part(&'static str),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config(e) => e.fmt(f),
            Self::Settings(e) => write!(f, "the configuration's settings: {e}"),
            Self::Listen(e) => write!(f, "can't listen: {e}"),
            Self::Operators(e) => write!(f, "can't listen for operators: {e}"),
            Self::System(e) => write!(f, "can't start: {e}"),
            Self::Part(name) => write!(f, "the part that minds {name} has failed"),
        }
    }
}

impl std::error::Error for NodeError {}

/// The signals that the process heeds.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Runs the gateway until it is told to end.
///
/// # Errors
/// It can't start, or one of its parts has failed.
pub fn run_configured() -> Result<(), NodeError> {
    let config = Config::load().map_err(NodeError::Config)?;
    // Not a LocalSet on a runtime: there each wake of a task from a task costs a write to the event loop's
    // own descriptor and a turn of the loop to read it.
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.map_err(NodeError::System)?.block_on(run(config))
}

async fn run(config: Config) -> Result<(), NodeError> {
    let Signals { mut terminate, mut interrupt, hangup } = Signals::new().map_err(NodeError::System)?;
    let listener = match config.accept_fd {
        Some(fd) => inherited(fd).map_err(NodeError::Listen)?,
        None => TcpListener::bind(config.listen).await.map_err(NodeError::Listen)?,
    };
    let bound = listener.local_addr().map_err(NodeError::Listen)?;
    let operators = match config.operator {
        Some(addr) => Some(TcpListener::bind(addr).await.map_err(NodeError::Operators)?),
        None => None,
    };
    let name = config.name.clone();
    let kill = time_to_kill(config.options.deadline);
    let budget = DescriptorBudget::new(&config);
    let (address, addresses) = watch::channel(config.discovery);
    let driver = Driver::new(config, budget.endpoints).map_err(NodeError::Settings)?;
    let mut calls = JoinSet::new();
    if operators.is_some() {
        meet_siblings(&driver, &mut calls).await;
    }
    driver.start_counter();
    let discovery = follow_discovery(&driver, addresses);
    let timers = spawn_local(driver.clone().run_timers());
    let reloads = spawn_local(reload(hangup, address, driver.clone()));
    let sweeps = spawn_local(sweep(driver.clone()));
    let clients = Clients::new(clients_context(&driver), budget.clients);
    let watch = spawn_local(clients.clone().watch());
    info!(gateway = %name, address = %bound, "listening");
    if let Some(listener) = operators {
        serve_operators(&driver, &clients, listener, &mut calls);
    }
    tokio::select! {
        () = clients.accept(&listener) => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        // These end by a panic only; without one of them, being started anew is better than going on.
        _ = discovery => return Err(NodeError::Part("discovery")),
        _ = timers => return Err(NodeError::Part("timers")),
        _ = watch => return Err(NodeError::Part("clients' time")),
        _ = reloads => return Err(NodeError::Part("reloads")),
        _ = sweeps => return Err(NodeError::Part("idle connections")),
        Some(_) = calls.join_next() => return Err(NodeError::Part("operators and siblings")),
    }
    info!(gateway = %name, waiting = driver.waiting_requests(), "stopping");
    drain(&driver, &clients, listener, kill).await;
    info!(gateway = %name, "stopped");
    Ok(())
}

/// Takes over from a process beside this one, or what the last one has kept.
async fn meet_siblings(driver: &Rc<Driver>, calls: &mut JoinSet<()>) {
    let handler: peer_connection::Handler = Rc::new(driver.clone());
    let (met, listener) = predecessor::meet(&driver.siblings, &handler).await;
    if !met {
        driver.restore_maintenance();
    }
    if let Some(listener) = listener {
        calls.spawn_local(successor::welcome(driver.siblings.clone(), handler, listener));
    }
}

fn follow_discovery(
    driver: &Rc<Driver>,
    addresses: watch::Receiver<SocketAddr>,
) -> tokio::task::JoinHandle<()> {
    let config = &driver.config;
    let discovery = Discovery {
        must_ask: config.options.settings.discovery_is_polled,
        version: config.version,
        list_bound: config.list_bound(),
        zones: config.options.zones.clone(),
        asked: driver.asked.clone(),
        sink: Rc::new(driver.clone()),
    };
    spawn_local(follower::follow(addresses, discovery))
}

fn clients_context(driver: &Rc<Driver>) -> Context {
    let (options, metrics) = (driver.config.options.clone(), driver.metrics.clone());
    let bodies = driver.config.memory / BODIES_SHARE;
    Context::new(Box::new(driver.clone()), options, metrics, driver.processes.clone(), bodies)
}

fn serve_operators(
    driver: &Rc<Driver>,
    clients: &Rc<Clients>,
    listener: TcpListener,
    calls: &mut JoinSet<()>,
) {
    if let Ok(addr) = listener.local_addr() {
        info!(address = %addr, "listening for operators");
    }
    let operations = Box::new(OperatorCalls { driver: driver.clone(), clients: clients.clone() });
    calls.spawn_local(Rc::new(Operators { operations }).serve(listener));
}

/// Operators' calls, carried out.
struct OperatorCalls {
    driver: Rc<Driver>,
    clients: Rc<Clients>,
}

impl Operations for OperatorCalls {
    fn is_accepting(&self) -> bool {
        self.clients.is_accepting()
    }

    fn render_metrics(&self) -> String {
        self.driver.render_metrics()
    }

    fn set_maintenance(&self, id: &str, out: bool) -> Result<(), MaintenanceError> {
        self.driver.set_and_store_maintenance(id, out)
    }
}

async fn sweep(driver: Rc<Driver>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        driver.sweep();
    }
}
