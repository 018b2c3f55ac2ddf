//! Runs the process: loads the configuration, builds and starts the parts, serves until a signal asks to stop, and
//! shuts down.

use crate::node::{
    assembly::Node,
    config::Config,
    error::{EssentialTask, NodeError},
    shutdown::{Shutdown, time_to_kill},
    tasks::Tasks,
};
use std::io;
use tokio::{
    runtime::{self, LocalOptions},
    signal::unix::{Signal, SignalKind, signal},
};
use tracing::info;

/// The signals that stop the process: SIGTERM and SIGINT.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> io::Result<Self> {
        Ok(Self { terminate: signal(SignalKind::terminate())?, interrupt: signal(SignalKind::interrupt())? })
    }

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Reason why the process stops serving.
enum StopReason {
    /// A signal asked the process to stop.
    StopRequested,
    /// An essential task has ended. The process ends, too, so that it is restarted instead of running without the
    /// task.
    TaskEnded(EssentialTask),
}

/// Runs the gateway with the configuration that the environment names, until SIGTERM or SIGINT.
///
/// # Errors
/// The gateway can't start, or an essential task has ended.
pub fn run_configured() -> Result<(), NodeError> {
    let config = Config::load().map_err(NodeError::Config)?;
    // A local runtime instead of a LocalSet on a runtime: there, each wake of a task by another task costs a write to
    // the event loop's own descriptor and an iteration of the loop to read it.
    let runtime = runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.map_err(NodeError::System)?.block_on(run(config))
}

async fn run(config: Config) -> Result<(), NodeError> {
    let mut stop_signals = StopSignals::new().map_err(NodeError::System)?;
    let hangup = signal(SignalKind::hangup()).map_err(NodeError::System)?;
    let mut node = Node::build(config).await?;
    let mut tasks = Tasks::spawn(&mut node, hangup).await;
    match serve(&node, &mut tasks, &mut stop_signals).await {
        StopReason::StopRequested => {}
        StopReason::TaskEnded(task) => return Err(NodeError::TaskEnded(task)),
    }
    shut_down(node).await;
    Ok(())
}

async fn serve(node: &Node, tasks: &mut Tasks, stop_signals: &mut StopSignals) -> StopReason {
    tokio::select! {
        () = node.clients.accept(&node.listener) => StopReason::StopRequested,
        () = stop_signals.recv() => StopReason::StopRequested,
        task = tasks.wait_for_first_end() => StopReason::TaskEnded(task),
    }
}

async fn shut_down(node: Node) {
    let gateway = node.config.name;
    info!(gateway = %gateway, waiting = node.driver.requests().waiting_count(), "stopping");
    let kill_after = time_to_kill(node.config.options.longest_deadline);
    Shutdown::begin(node.driver, node.clients, kill_after).complete(node.listener).await;
    info!(gateway = %gateway, "stopped");
}
