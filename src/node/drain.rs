//! The way out after SIGTERM.

use crate::node::{connection::clients::Clients, runtime::driver::Driver};
use std::{rc::Rc, time::Duration};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep_until, timeout_at},
};

/// After SIGTERM connections still come for up to 0.4 s.
const SERVE_ON: Duration = Duration::from_millis(500);
/// A connection accepted last has this long to bring its request.
const LAST_REQUESTS: Duration = Duration::from_millis(650);
/// SIGKILL comes so long after SIGTERM and the longest time that a client waits, ...
const KILL_AFTER: Duration = Duration::from_millis(700);
/// ... of which no more than so much counts.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// With a process beside this one, kept connections are closed so long before SIGKILL.
const LAST_ANSWERS: Duration = Duration::from_millis(1200);
/// So long before SIGKILL everything in hand has its final answer ...
const ANSWER_BY: Duration = Duration::from_millis(400);
/// ... and the process has ended.
const END_BY: Duration = Duration::from_millis(200);

/// How long after SIGTERM the process is killed, where clients wait for so many seconds at most.
pub fn time_to_kill(longest_wait: f64) -> Duration {
    let longest = Duration::try_from_secs_f64(longest_wait).unwrap_or(MAX_WAIT);
    KILL_AFTER + longest.min(MAX_WAIT)
}

/// Waits until no connection is left.
async fn all_ended(clients: &Clients) {
    while clients.connections() > 0 {
        clients.one_ended().await;
    }
}

/// The way out: serve on while connections still come, then take no more, answer what is in hand, end.
///
/// Where another process takes new clients, kept connections are served for longer: their clients lose nothing
/// by a close only while they have nothing under way.
pub async fn drain(driver: &Rc<Driver>, clients: &Rc<Clients>, listener: TcpListener, kill: Duration) {
    let start = Instant::now();
    clients.stop();
    let followed = driver.processes.is_followed();
    if !followed {
        let _ = timeout_at(start + SERVE_ON, clients.accept(&listener)).await;
    }
    drop(listener);
    let last_requests = if followed { kill.saturating_sub(LAST_ANSWERS) } else { LAST_REQUESTS };
    let answered_by = start + last_requests.max(LAST_REQUESTS);
    if timeout_at(answered_by, all_ended(clients)).await.is_ok() && followed {
        return;
    }
    sleep_until(start + LAST_REQUESTS).await;
    clients.close();
    let mut answered = std::pin::pin!(all_ended(clients));
    if timeout_at(start + (kill - ANSWER_BY), answered.as_mut()).await.is_err() {
        driver.fail_all();
        let _ = timeout_at(start + (kill - END_BY), answered).await;
    }
}
