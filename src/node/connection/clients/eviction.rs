//! Chooses the connection that gives way to a new one when the budget is used up.

use crate::node::connection::clients::state::{ConnectionState, ConnectionTable, Stage};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// An idle connection may be evicted after this time. It may never carry another request, whereas a connection that
/// waits to be accepted has its request on the way.
const MIN_IDLE_TIME: Duration = Duration::from_millis(200);
/// A connection without a complete request, or one that is closing, may be evicted after this time without a byte.
const MIN_SILENCE: Duration = Duration::from_millis(150);

/// Ends the connection that is least likely to carry a request, if there is one and no eviction is under way.
pub fn evict_one(connections: &ConnectionTable) {
    if connections.values().any(|connection| connection.is_evicted.get()) {
        return;
    }
    if let Some(closing) = longest_inactive(connections, Stage::Closing, MIN_SILENCE) {
        closing.abort();
        return;
    }
    if let Some(victim) = idle_or_silent(connections) {
        victim.is_evicted.set(true);
        victim.request_close();
    }
}

/// The longest idle connection, or the longest silent one if the idle are fewer. The larger group gives way first: many
/// connections without a request must not displace those that have carried some, nor the reverse.
fn idle_or_silent(connections: &ConnectionTable) -> Option<&Rc<ConnectionState>> {
    let idle_count = count(connections, Stage::Idle);
    let reading_count = count(connections, Stage::ReadingRequest);
    let silent = longest_inactive(connections, Stage::ReadingRequest, MIN_SILENCE);
    if idle_count > reading_count || reading_count == 0 {
        longest_inactive(connections, Stage::Idle, MIN_IDLE_TIME).or(silent)
    } else {
        silent
    }
}

/// The connection in this stage that has been inactive longest, if for more than `min_time`.
fn longest_inactive(
    connections: &ConnectionTable,
    stage: Stage,
    min_time: Duration,
) -> Option<&Rc<ConnectionState>> {
    connections
        .values()
        .filter(|connection| connection.stage.get() == stage)
        .filter(|connection| inactive_since(connection).elapsed() > min_time)
        .min_by_key(|connection| inactive_since(connection))
}

/// A slow client that still sends something is not inactive.
fn inactive_since(connection: &ConnectionState) -> Instant {
    match connection.stage.get() {
        Stage::ReadingRequest => connection.last_read_at.get(),
        _ => connection.entered_at.get(),
    }
}

fn count(connections: &ConnectionTable, stage: Stage) -> usize {
    connections.values().filter(|connection| connection.stage.get() == stage).count()
}

#[cfg(test)]
#[path = "../../../../tests/unit/eviction.rs"]
mod tests;
