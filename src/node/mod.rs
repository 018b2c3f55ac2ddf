//! The gateway on real sockets. Reads the configuration, wires the parts and ends in good order.

mod clients;
mod config;
mod counter;
mod discovery;
mod events;
mod figures;
mod gateway;
mod http;
mod keep;
mod link;
mod list;
mod operator;
mod processes;
mod siblings;
mod stream;
mod workers;

use clients::{Clients, Context};
use config::{Config, ConfigError};
use discovery::Discovery;
use gateway::Hub;
use oliverack::SettingsError;
use operator::{ByHandError, Operations, Operators};
use socket2::SockRef;
use std::{
    fmt, fs, io,
    net::SocketAddr,
    os::fd::{FromRawFd, RawFd},
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::TcpListener,
    runtime::LocalOptions,
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout_at},
};

/// After SIGTERM connections still come for up to 0.4 s.
const SERVE_ON: Duration = Duration::from_millis(500);
/// A connection accepted last has this long to bring its request.
const LAST_REQUESTS: Duration = Duration::from_millis(650);
/// SIGKILL comes so long after SIGTERM and the longest time that a client waits, of which no more than so much
/// counts.
const KILL: (Duration, Duration) = (Duration::from_millis(700), Duration::from_secs(3));
/// With a process beside this one, kept connections are closed so long before SIGKILL.
const LAST_ANSWERS: Duration = Duration::from_millis(1200);
/// So long before SIGKILL everything in hand has its final answer ...
const ANSWER_BY: Duration = Duration::from_millis(400);
/// ... and the process has ended.
const END_BY: Duration = Duration::from_millis(200);
/// Between looks for idle connections that are due.
const SWEEP: Duration = Duration::from_secs(1);
/// Descriptors beside clients and workers: the standard three, runtime, signals, listener, a client just accepted, discovery, a
/// configuration being read, and the counter's lines, also those at old addresses.
const OTHERS: usize = 21 + counter::LINES * (1 + gateway::RETIRED);

/// Why the gateway could not start, or go on.
#[derive(Debug)]
pub enum NodeError {
    Config(ConfigError),
    Settings(SettingsError),
    Listen(io::Error),
    Operators(io::Error),
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

async fn run(config: Config) -> Result<(), NodeError> {
    let mut term = signal(SignalKind::terminate()).map_err(NodeError::System)?;
    let mut int = signal(SignalKind::interrupt()).map_err(NodeError::System)?;
    let hangup = signal(SignalKind::hangup()).map_err(NodeError::System)?;
    let listener = match config.accept_fd {
        Some(fd) => inherited(fd).map_err(NodeError::Listen)?,
        None => TcpListener::bind(config.listen).await.map_err(NodeError::Listen)?,
    };
    let bound = listener.local_addr().map_err(NodeError::Listen)?;
    let name = config.name.clone();
    let longest = Duration::try_from_secs_f64(config.options.deadline).unwrap_or(KILL.1);
    let kill = KILL.0 + longest.min(KILL.1);
    // Usual clients hold a third of the descriptors at most for requests. So the larger part may go to clients,
    // to those that bring none, and workers get enough for an attempt a request and some kept ones.
    let mut shares = config.sockets - OTHERS;
    let operators = match config.operator {
        Some(addr) => {
            shares -= Config::OPERATOR_SOCKETS + siblings::SOCKETS;
            Some(TcpListener::bind(addr).await.map_err(NodeError::Operators)?)
        }
        None => None,
    };
    let to_workers = shares * 7 / 20;
    let bodies = config.memory / 4;
    let (place, places) = watch::channel(config.discovery);
    let hub = Hub::new(config, to_workers).map_err(NodeError::Settings)?;
    let mut calls = JoinSet::new();
    if operators.is_some() {
        let handler: siblings::Handler = Rc::new(hub.clone());
        let (followed, door) = siblings::meet(&hub.siblings, &handler).await;
        if !followed {
            hub.recall();
        }
        if let Some(door) = door {
            calls.spawn_local(siblings::welcome(hub.siblings.clone(), handler, door));
        }
    }
    hub.start_counter();
    let options = &hub.config().options;
    let following = Discovery {
        must_ask: options.settings.must_ask,
        version: hub.config().version,
        list_bound: hub.config().list_bound(),
        zones: options.zones.clone(),
        asked: hub.asked.clone(),
        sink: Rc::new(hub.clone()),
    };
    let discovery = tokio::task::spawn_local(discovery::follow(places, following));
    let timers = tokio::task::spawn_local(hub.clone().run_timers());
    let reloads = tokio::task::spawn_local(reload(hangup, place, hub.clone()));
    let sweeps = tokio::task::spawn_local(sweep(hub.clone()));
    let context = Context {
        handler: Box::new(hub.clone()),
        options: options.clone(),
        figures: hub.figures.clone(),
        processes: hub.processes.clone(),
    };
    let clients = Clients::new(context, shares - to_workers, bodies);
    let watch = tokio::task::spawn_local(clients.clone().watch());
    eprintln!("oliverack: {name} listens on {bound}");
    if let Some(listener) = operators {
        if let Ok(addr) = listener.local_addr() {
            eprintln!("oliverack: operators call {addr}");
        }
        let operations = Box::new(OperatorCalls { hub: hub.clone(), clients: clients.clone() });
        calls.spawn_local(Rc::new(Operators { operations }).serve(listener));
    }
    tokio::select! {
        () = clients.accept(&listener) => {}
        _ = term.recv() => {}
        _ = int.recv() => {}
        // These end by a panic only; without one of them, being started anew is better than going on.
        _ = discovery => return Err(NodeError::Part("discovery")),
        _ = timers => return Err(NodeError::Part("timers")),
        _ = watch => return Err(NodeError::Part("clients' time")),
        _ = reloads => return Err(NodeError::Part("reloads")),
        _ = sweeps => return Err(NodeError::Part("idle connections")),
        Some(_) = calls.join_next() => return Err(NodeError::Part("operators and siblings")),
    }
    eprintln!("oliverack: {name} stops with {} in hand", hub.in_hand());
    drain(&hub, &clients, listener, kill).await;
    eprintln!("oliverack: {name} has stopped");
    Ok(())
}

/// Operators' calls, carried out.
struct OperatorCalls {
    hub: Rc<Hub>,
    clients: Rc<Clients>,
}

impl Operations for OperatorCalls {
    fn is_accepting(&self) -> bool {
        self.clients.accepting()
    }

    fn render_figures(&self) -> String {
        self.hub.render_figures()
    }

    fn by_hand(&self, id: &str, out: bool) -> Result<(), ByHandError> {
        self.hub.by_hand(id, out)
    }
}

/// Takes over the listening socket that the platform holds. Closing it closes this process's copy only.
fn inherited(fd: RawFd) -> io::Result<TcpListener> {
    // An error, not a closed descriptor of somebody else's, where the variable names no socket.
    let link = fs::read_link(format!("/proc/self/fd/{fd}"))?;
    if fd < 3 || !link.to_string_lossy().starts_with("socket:") {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "NODE_ACCEPT_FD names no socket"));
    }
    // SAFETY: it is open (seen above), was inherited for this use alone, and nothing else here owns it.
    #[allow(unsafe_code)]
    let listener = unsafe { std::net::TcpListener::from_raw_fd(fd) };
    if !SockRef::from(&listener).is_listener()? {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "NODE_ACCEPT_FD does not listen"));
    }
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// The way out: serve on while connections still come, then take no more, answer what is in hand, end.
///
/// Where another process takes new clients, kept connections are served for longer: their clients lose nothing
/// by a close only while they have nothing under way.
async fn drain(hub: &Rc<Hub>, clients: &Rc<Clients>, listener: TcpListener, kill: Duration) {
    let start = Instant::now();
    clients.stop();
    let followed = hub.processes.is_followed();
    if !followed {
        let _ = timeout_at(start + SERVE_ON, clients.accept(&listener)).await;
    }
    drop(listener);
    let last_requests = if followed { kill.saturating_sub(LAST_ANSWERS) } else { LAST_REQUESTS };
    let answered = async {
        while clients.connections() > 0 {
            clients.one_ended().await;
        }
    };
    if timeout_at(start + last_requests.max(LAST_REQUESTS), answered).await.is_ok() && followed {
        return;
    }
    sleep_until(start + LAST_REQUESTS).await;
    clients.close();
    let answered = async {
        while clients.connections() > 0 {
            clients.one_ended().await;
        }
    };
    let mut answered = std::pin::pin!(answered);
    if timeout_at(start + (kill - ANSWER_BY), answered.as_mut()).await.is_err() {
        hub.fail_all();
        let _ = timeout_at(start + (kill - END_BY), answered).await;
    }
}

/// On each SIGHUP reads the configuration anew and moves discovery and counter to where it says; all else in
/// it holds for the life of the process. A file that can't be used changes nothing.
async fn reload(mut hangup: Signal, place: watch::Sender<SocketAddr>, hub: Rc<Hub>) {
    while hangup.recv().await.is_some() {
        match Config::load() {
            Ok(config) => {
                let counter = config.counter.map_or("none".to_owned(), |c| c.to_string());
                eprintln!("oliverack: reload: discovery at {}, counter at {counter}", config.discovery);
                place.send_replace(config.discovery);
                hub.move_counter(config.counter);
            }
            Err(error) => eprintln!("oliverack: reload: the old configuration stays: {error}"),
        }
    }
}

async fn sweep(hub: Rc<Hub>) {
    loop {
        sleep(SWEEP).await;
        hub.sweep();
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
