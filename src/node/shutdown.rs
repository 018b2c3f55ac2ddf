//! Shuts the process down gracefully, from SIGTERM to its end.
//!
//! The platform kills the process some time after SIGTERM, at the earliest after a time that follows from the settings.
//! Shortly before that every request that waits gets its final response. From then on the process may be killed at any
//! moment, but doesn't end by itself while a response is on its way: it rejects further requests and ends after its
//! last response. If a successor accepts new clients, the listener is closed at once and open connections are served for longer:
//! a client loses nothing by the close of its connection only while it has no request in flight.

use crate::node::{connection::clients::ClientListener, runtime::driver::Driver};
use std::{rc::Rc, time::Duration};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep_until, timeout_at},
};
use tracing::info;

/// Time after SIGTERM during which new connections are accepted. They still arrive for up to 0.4 s.
const ACCEPT_TIME: Duration = Duration::from_millis(500);
/// Time after SIGTERM during which open connections may bring requests. It is longer than [`ACCEPT_TIME`], as the
/// connections accepted last need some time.
const REQUEST_TIME: Duration = Duration::from_millis(650);
/// Earliest time from SIGTERM to SIGKILL, without the longest client wait that the platform adds.
const KILL_TIME_WITHOUT_CLIENT_WAIT: Duration = Duration::from_millis(700);
/// Maximum client wait that the platform adds to the earliest time from SIGTERM to SIGKILL.
const MAX_CLIENT_WAIT: Duration = Duration::from_secs(3);
/// Time left until the earliest SIGKILL when open connections may no longer bring requests, if there is a successor.
const LAST_REQUESTS_BEFORE_KILL: Duration = Duration::from_millis(1200);
/// Time left until the earliest SIGKILL when requests that still wait are failed.
const FAIL_OPEN_BEFORE_KILL: Duration = Duration::from_millis(400);

/// Returns the earliest time from SIGTERM to SIGKILL if clients wait for a response for at most `longest_client_wait` seconds.
pub fn time_to_kill(longest_client_wait: f64) -> Duration {
    let wait = Duration::try_from_secs_f64(longest_client_wait).unwrap_or(MAX_CLIENT_WAIT);
    KILL_TIME_WITHOUT_CLIENT_WAIT + wait.min(MAX_CLIENT_WAIT)
}

/// Phase of the shutdown.
enum Phase {
    /// New connections are accepted, and each is closed after its response.
    Serve(TcpListener),
    /// New connections are refused. Open connections may still bring requests.
    RefuseConnections,
    /// Idle connections are closed. Requests in flight, and those that are arriving, still get their responses.
    DrainRequests,
    /// Requests that wait are failed and further ones rejected, so that each client has a response before SIGKILL.
    /// Responses that are on their way go on until they end or the process is killed.
    FinishResponses,
    /// The process may exit.
    Ended,
}

/// Times at which the phases end.
struct Schedule {
    accept_until: Instant,
    /// Earliest time at which idle connections are closed.
    close_from: Instant,
    requests_until: Instant,
    /// Time until which requests wait for their responses.
    responses_until: Instant,
}

impl Schedule {
    fn new(start: Instant, kill_after: Duration, has_successor: bool) -> Self {
        let request_time = if has_successor {
            kill_after.saturating_sub(LAST_REQUESTS_BEFORE_KILL).max(REQUEST_TIME)
        } else {
            REQUEST_TIME
        };
        Self {
            accept_until: start + ACCEPT_TIME,
            close_from: start + REQUEST_TIME,
            requests_until: start + request_time,
            responses_until: start + (kill_after - FAIL_OPEN_BEFORE_KILL),
        }
    }
}

/// The shutdown of one process.
pub struct Shutdown {
    driver: Rc<Driver>,
    clients: Rc<ClientListener>,
    has_successor: bool,
    schedule: Schedule,
}

impl Shutdown {
    /// Begins the shutdown of a process that may be killed after `kill_after`. From now on, each connection is closed
    /// after its response.
    pub fn begin(driver: Rc<Driver>, clients: Rc<ClientListener>, kill_after: Duration) -> Self {
        let start = Instant::now();
        clients.begin_shutdown();
        let has_successor = driver.replica_counts().has_successor();
        let schedule = Schedule::new(start, kill_after, has_successor);
        Self { driver, clients, has_successor, schedule }
    }

    /// Runs the phases of the shutdown. The process may exit when this returns.
    pub async fn complete(self, listener: TcpListener) {
        let mut phase = if self.has_successor {
            drop(listener);
            Phase::RefuseConnections
        } else {
            Phase::Serve(listener)
        };
        loop {
            phase = match phase {
                Phase::Serve(listener) => self.serve(&listener).await,
                Phase::RefuseConnections => self.refuse_connections().await,
                Phase::DrainRequests => self.drain_requests().await,
                Phase::FinishResponses => self.finish_responses().await,
                Phase::Ended => return,
            }
        }
    }

    async fn serve(&self, listener: &TcpListener) -> Phase {
        let _ = timeout_at(self.schedule.accept_until, self.clients.accept(listener)).await;
        Phase::RefuseConnections
    }

    async fn refuse_connections(&self) -> Phase {
        let all_closed = self.all_connections_closed_by(self.schedule.requests_until).await;
        if all_closed && self.has_successor {
            return Phase::Ended;
        }
        sleep_until(self.schedule.close_from).await;
        Phase::DrainRequests
    }

    async fn drain_requests(&self) -> Phase {
        self.clients.close_connections();
        if self.all_connections_closed_by(self.schedule.responses_until).await {
            Phase::Ended
        } else {
            Phase::FinishResponses
        }
    }

    async fn finish_responses(&self) -> Phase {
        self.clients.reject_requests();
        self.driver.requests().fail_all();
        info!(connections = self.clients.connection_count(), "finishing responses");
        self.all_connections_closed().await;
        Phase::Ended
    }

    /// Waits until no connection is open, or until `deadline`. Returns whether all connections are closed.
    async fn all_connections_closed_by(&self, deadline: Instant) -> bool {
        timeout_at(deadline, self.all_connections_closed()).await.is_ok()
    }

    /// Waits until no connection is open. The time limits of connections and attempts bound the wait for peers that make
    /// no progress.
    async fn all_connections_closed(&self) {
        while self.clients.connection_count() > 0 {
            self.clients.connection_ended().await;
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/shutdown.rs"]
mod tests;
