//! Time limits of clients' connections. One regular look at all connections is cheaper than a timer for each.

use crate::node::connection::clients::state::{ConnectionState, ConnectionTable, Stage};
use std::time::Duration;

/// Time between two looks at the connections.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for a client to read a buffered response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time without progress of a streamed response. The system accepts more bytes only after a good part of its
/// buffer has drained, and slow clients read 64 kB a second.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for the client to close after the gateway has ended its side. An immediate close would reset the
/// connection while data is unread, and might destroy the response on its way.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Ends the connections that have exceeded a limit of their stage.
pub fn enforce(connections: &ConnectionTable) {
    for connection in connections.values() {
        enforce_on(connection);
    }
}

fn enforce_on(connection: &ConnectionState) {
    let time_in_stage = connection.entered_at.get().elapsed();
    match connection.stage.get() {
        Stage::ReadingRequest | Stage::ReceivingBody if connection.is_request_overdue() => {
            connection.request_close();
        }
        Stage::Idle if time_in_stage > IDLE_TIMEOUT => connection.request_close(),
        Stage::WritingResponse if time_in_stage > RESPONSE_TIMEOUT => connection.abort(),
        Stage::StreamingResponse if time_in_stage > STREAM_STALL_TIMEOUT => connection.abort(),
        Stage::Closing if time_in_stage > LINGER_TIMEOUT => connection.abort(),
        _ => {}
    }
}
