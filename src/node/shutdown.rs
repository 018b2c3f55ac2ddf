//! Graceful shutdown: from SIGTERM to the end of the process.
//!
//! The platform kills the process some time after SIGTERM, so each phase ends at a fixed time before the kill.
//! Where a successor takes new clients, the listener is closed at once, and open connections are served for
//! longer: their clients lose nothing by a close only while they have no request in flight.

use crate::node::{connection::clients::ClientListener, runtime::driver::Driver};
use std::{rc::Rc, time::Duration};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep_until, timeout_at},
};

/// How long new connections are accepted after SIGTERM. They still arrive for up to 0.4 s.
const ACCEPT_TIME: Duration = Duration::from_millis(500);
/// How long after SIGTERM open connections may bring requests: those accepted last need some time.
const REQUEST_TIME: Duration = Duration::from_millis(650);
/// Time from SIGTERM to SIGKILL, beside the longest time that a client waits.
const KILL_TIME_BESIDE_CLIENT_WAIT: Duration = Duration::from_millis(700);
/// The part of the longest client wait that the platform adds to the kill time, at most.
const MAX_CLIENT_WAIT: Duration = Duration::from_secs(3);
/// Where there is a successor: how long before SIGKILL open connections stop bringing requests.
const LAST_REQUESTS_BEFORE_KILL: Duration = Duration::from_millis(1200);
/// How long before SIGKILL requests that are still open are failed.
const FAIL_OPEN_BEFORE_KILL: Duration = Duration::from_millis(400);
/// How long before SIGKILL the process ends, whatever is open.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(200);

/// How long after SIGTERM the process is killed, where clients wait for `longest_client_wait` seconds at most.
pub fn time_to_kill(longest_client_wait: f64) -> Duration {
    let wait = Duration::try_from_secs_f64(longest_client_wait).unwrap_or(MAX_CLIENT_WAIT);
    KILL_TIME_BESIDE_CLIENT_WAIT + wait.min(MAX_CLIENT_WAIT)
}

/// What the process is doing during its shutdown.
enum Phase {
    /// New connections still arrive: they are accepted and served, and closed after their response.
    Serve(TcpListener),
    /// New connections are refused. Open ones may still bring requests.
    RefuseConnections,
    /// Idle connections are closed, and requests in flight get their responses.
    AnswerInFlight,
    /// Requests that are still open are failed, so that each client has a response before the kill.
    FailOpenRequests,
    /// Nothing is left to do.
    Ended,
}

/// When each phase ends.
struct Schedule {
    accept_until: Instant,
    /// When idle connections are closed, at the earliest.
    close_from: Instant,
    requests_until: Instant,
    responses_until: Instant,
    exit_at: Instant,
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
            exit_at: start + (kill_after - EXIT_BEFORE_KILL),
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
    /// Begins the shutdown of a process that will be killed after `kill_after`: from now on each response
    /// closes its connection.
    pub fn begin(driver: Rc<Driver>, clients: Rc<ClientListener>, kill_after: Duration) -> Self {
        let start = Instant::now();
        clients.begin_shutdown();
        let has_successor = driver.replica_counts().has_successor();
        let schedule = Schedule::new(start, kill_after, has_successor);
        Self { driver, clients, has_successor, schedule }
    }

    /// Completes the shutdown; afterwards the process may exit.
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
                Phase::AnswerInFlight => self.answer_in_flight().await,
                Phase::FailOpenRequests => self.fail_open_requests().await,
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
        Phase::AnswerInFlight
    }

    async fn answer_in_flight(&self) -> Phase {
        self.clients.close_connections();
        if self.all_connections_closed_by(self.schedule.responses_until).await {
            Phase::Ended
        } else {
            Phase::FailOpenRequests
        }
    }

    async fn fail_open_requests(&self) -> Phase {
        self.driver.requests().fail_all();
        self.all_connections_closed_by(self.schedule.exit_at).await;
        Phase::Ended
    }

    /// Waits until no connection is open; whether that happened by the deadline.
    async fn all_connections_closed_by(&self, deadline: Instant) -> bool {
        let all_closed = async {
            while self.clients.connection_count() > 0 {
                self.clients.connection_ended().await;
            }
        };
        timeout_at(deadline, all_closed).await.is_ok()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/shutdown.rs"]
mod tests;
