//! Time limits of clients' connections. One periodic check of all connections is cheaper than a timer for each.

use crate::node::{
    connection::clients::state::{ConnectionState, ConnectionTable, Stage},
    metrics::{CutCounters, CutReason},
};
use std::time::Duration;

/// Time between two checks of all connections.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time without progress of a response. Slow clients read 64 kB a second, and the system accepts more bytes only
/// after a good part of the send buffer has drained.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for the client to close after the gateway has shut down its sending side. If the gateway closed at
/// once, unread data would turn the close into a reset, which may discard the response before the client reads it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time between two requests on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Closes or aborts the connections that have exceeded the time limit of their stage.
pub fn enforce(connections: &ConnectionTable, cuts: &CutCounters) {
    for connection in connections.values() {
        enforce_on_connection(connection, cuts);
    }
}

/// Asks each idle connection to close.
pub fn close_idle(connections: &ConnectionTable) {
    for connection in connections.values().filter(|connection| connection.stage.get() == Stage::Idle) {
        connection.request_close();
    }
}

fn enforce_on_connection(connection: &ConnectionState, cuts: &CutCounters) {
    let time_in_stage = connection.entered_at.get().elapsed();
    match connection.stage.get() {
        Stage::ReadingRequest | Stage::ReceivingBody if connection.is_request_overdue() => {
            if !connection.is_close_requested() {
                cuts.count(CutReason::RequestOverdue);
            }
            connection.request_close();
        }
        Stage::Idle if time_in_stage > IDLE_TIMEOUT => connection.request_close(),
        Stage::WritingResponse | Stage::StreamingResponse if time_in_stage > RESPONSE_STALL_TIMEOUT => {
            cuts.count(CutReason::ClientStalled);
            connection.abort_overdue();
        }
        Stage::Closing if time_in_stage > LINGER_TIMEOUT => connection.abort_overdue(),
        _ => {}
    }
}
