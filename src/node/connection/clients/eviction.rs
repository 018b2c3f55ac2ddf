//! Evicts a connection to make room for a new one when the connection budget is used up.

use crate::node::connection::clients::state::{CloseReason, ConnectionState, ConnectionTable, Stage};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Shortest time after which an idle connection may be evicted. An idle connection may never carry another request,
/// whereas a connection that waits to be accepted is about to send one.
const MIN_IDLE_TIME: Duration = Duration::from_millis(200);
/// Shortest time without a received byte after which a connection with an incomplete request may be evicted; also the
/// shortest time after which a closing connection may be.
const MIN_STALL_TIME: Duration = Duration::from_millis(150);

/// Evicts the connection that is least likely to carry a request. Does nothing if an eviction is in progress or no
/// connection has been inactive long enough.
pub fn evict_one(connections: &ConnectionTable) {
    if connections.values().any(|connection| connection.is_evicted.get()) {
        return;
    }
    if let Some(closing) = longest_inactive(connections, Stage::Closing, MIN_STALL_TIME) {
        closing.log_end(CloseReason::Evicted);
        closing.abort();
        return;
    }
    if let Some(victim) = select_idle_or_stalled(connections) {
        victim.is_evicted.set(true);
        victim.request_close();
    }
}

/// Returns the connection that has been idle longest if more connections are idle than reading a request. Otherwise, or
/// if no idle one is old enough, returns the one whose request has stalled longest. The larger group loses a connection
/// first: many connections that have sent no request must not displace those that have, nor the reverse.
fn select_idle_or_stalled(connections: &ConnectionTable) -> Option<&Rc<ConnectionState>> {
    let idle_count = count_in_stage(connections, Stage::Idle);
    let reading_count = count_in_stage(connections, Stage::ReadingRequest);
    let stalled = longest_inactive(connections, Stage::ReadingRequest, MIN_STALL_TIME);
    if idle_count > reading_count || reading_count == 0 {
        longest_inactive(connections, Stage::Idle, MIN_IDLE_TIME).or(stalled)
    } else {
        stalled
    }
}

/// Returns the connection in this stage that has been inactive longest, if that is longer than `min_time`. One whose
/// request has begun to arrive is chosen only if there is no other.
fn longest_inactive(
    connections: &ConnectionTable,
    stage: Stage,
    min_time: Duration,
) -> Option<&Rc<ConnectionState>> {
    connections
        .values()
        .filter(|connection| connection.stage.get() == stage)
        .filter(|connection| inactive_since(connection).elapsed() > min_time)
        .min_by_key(|connection| (connection.has_request_begun(), inactive_since(connection)))
}

/// Returns the start of the inactivity. While a request is being read, each received byte restarts the time, so that a
/// slow client counts as active.
fn inactive_since(connection: &ConnectionState) -> Instant {
    match connection.stage.get() {
        Stage::ReadingRequest => connection.last_read_at.get(),
        _ => connection.entered_at.get(),
    }
}

fn count_in_stage(connections: &ConnectionTable, stage: Stage) -> usize {
    connections.values().filter(|connection| connection.stage.get() == stage).count()
}

#[cfg(test)]
#[path = "../../../../tests/unit/eviction.rs"]
mod tests;
