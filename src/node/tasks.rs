//! Starts the tasks that run until the process ends.

use crate::node::{
    assembly::Node,
    config::Config,
    connection::{
        discovery::follower::{self, DiscoveryOptions},
        operators::OperatorServer,
    },
    error::EssentialTask,
    hot_restart::{peer_connection, predecessor, successor},
    operator_calls::OperatorCalls,
    reload::reload_on_hangup,
    runtime::driver::Driver,
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::TcpListener,
    signal::unix::Signal,
    sync::watch,
    task::{JoinHandle, JoinSet, spawn_local},
    time::sleep,
};
use tracing::info;

/// Interval at which connections to endpoints that have been idle for too long are closed.
const IDLE_CONNECTION_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Handles of the essential tasks. A task ends only by a panic.
pub struct Tasks {
    discovery: JoinHandle<()>,
    timers: JoinHandle<()>,
    reload: JoinHandle<()>,
    idle_connections: JoinHandle<()>,
    client_time_limits: JoinHandle<()>,
    /// Servers of operators and of replica processes; empty if there are no operator calls.
    operators_and_replicas: JoinSet<()>,
}

impl Tasks {
    /// Takes over the state of a predecessor, if there is one, and starts the tasks.
    pub async fn spawn(node: &mut Node, hangup: Signal) -> Self {
        let driver = &node.driver;
        let mut operators_and_replicas = JoinSet::new();
        if node.operator_listener.is_some() {
            connect_to_replicas(driver, &mut operators_and_replicas).await;
        }
        driver.counter_calls().connect();
        let (discovery_address, discovery_addresses) = watch::channel(node.config.discovery);
        let mut tasks = Self {
            discovery: follow_discovery(&node.config, driver, discovery_addresses),
            timers: spawn_local(driver.clone().run_timers()),
            reload: spawn_local(reload_on_hangup(hangup, discovery_address, driver.clone())),
            idle_connections: spawn_local(close_idle_connections(driver.clone())),
            client_time_limits: spawn_local(node.clients.clone().enforce_time_limits()),
            operators_and_replicas,
        };
        info!(gateway = %node.config.name, address = %node.address, "listening");
        if let Some(listener) = node.operator_listener.take() {
            serve_operators(node, listener, &mut tasks.operators_and_replicas);
        }
        tasks
    }

    /// Waits until one of the tasks ends, and returns which one.
    pub async fn wait_for_first_end(&mut self) -> EssentialTask {
        tokio::select! {
            _ = &mut self.discovery => EssentialTask::Discovery,
            _ = &mut self.timers => EssentialTask::Timers,
            _ = &mut self.client_time_limits => EssentialTask::ClientTimeLimits,
            _ = &mut self.reload => EssentialTask::Reload,
            _ = &mut self.idle_connections => EssentialTask::IdleConnections,
            Some(_) = self.operators_and_replicas.join_next() => EssentialTask::OperatorsAndReplicas,
        }
    }
}

/// Takes over the state of the predecessors and listens for successors. Without a predecessor, restores the endpoints
/// in maintenance that the last process stored.
async fn connect_to_replicas(driver: &Rc<Driver>, tasks: &mut JoinSet<()>) {
    let handler: peer_connection::SharedHandler = driver.clone();
    let setup = predecessor::connect_to_predecessors(driver.replicas(), &handler).await;
    if !setup.has_predecessor {
        driver.maintenance().restore();
    }
    if let Some(listener) = setup.successor_listener {
        tasks.spawn_local(successor::accept_successors(driver.replicas().clone(), handler, listener));
    }
}

fn follow_discovery(
    config: &Config,
    driver: &Rc<Driver>,
    addresses: watch::Receiver<SocketAddr>,
) -> JoinHandle<()> {
    let options = DiscoveryOptions {
        is_polled: config.options.settings.discovery_is_polled,
        version: config.cached_version,
        max_list_bytes: config.max_list_bytes(),
        zones: config.options.zone_names.clone(),
        poll_requested: driver.poll_requested().clone(),
        sink: driver.clone(),
    };
    spawn_local(follower::follow(addresses, options))
}

fn serve_operators(node: &Node, listener: TcpListener, tasks: &mut JoinSet<()>) {
    if let Ok(address) = listener.local_addr() {
        info!(address = %address, "listening for operators");
    }
    let operations = Box::new(OperatorCalls {
        driver: node.driver.clone(),
        clients: node.clients.clone(),
        metrics: node.metrics.clone(),
        class_names: node.config.options.class_names.clone(),
    });
    tasks.spawn_local(Rc::new(OperatorServer { operations }).serve(listener));
}

async fn close_idle_connections(driver: Rc<Driver>) {
    loop {
        sleep(IDLE_CONNECTION_SWEEP_INTERVAL).await;
        driver.close_idle_connections();
    }
}
