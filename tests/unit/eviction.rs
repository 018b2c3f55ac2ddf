//! Selection of the connection to evict when the budget is used up.

use super::*;

/// Creates a connection that has been in a stage, without receiving a byte, for this many milliseconds.
fn connection(stage: Stage, millis: u64) -> Rc<ConnectionState> {
    let state = ConnectionState::default();
    let since = Instant::now() - Duration::from_millis(millis);
    state.stage.set(stage);
    state.entered_at.set(since);
    state.last_read_at.set(since);
    Rc::new(state)
}

/// Evicts one connection and returns the position of the connection that is marked as evicted.
fn evicted(connections: &[Rc<ConnectionState>]) -> Option<usize> {
    evict_one(&(0..).zip(connections.iter().cloned()).collect());
    connections.iter().position(|connection| connection.is_evicted.get())
}

#[test]
fn longest_idle_connection_is_evicted() {
    let idle = [250, 400, 300].map(|millis| connection(Stage::Idle, millis));
    assert_eq!(evicted(&idle), Some(1));
    assert!(idle[1].is_close_requested() && !idle[0].is_close_requested());
}

#[test]
fn busy_and_recent_connections_are_not_evicted() {
    let recent = [connection(Stage::Idle, 100), connection(Stage::ReadingRequest, 100)];
    assert_eq!(evicted(&recent), None);
    let busy = [Stage::Processing, Stage::ReceivingBody, Stage::WritingResponse, Stage::StreamingResponse];
    assert_eq!(evicted(&busy.map(|stage| connection(stage, 5000))), None);
}

#[test]
fn larger_group_of_idle_and_reading_connections_is_evicted_first() {
    let mostly_reading = [
        connection(Stage::Idle, 5000),
        connection(Stage::ReadingRequest, 200),
        connection(Stage::ReadingRequest, 300),
    ];
    assert_eq!(evicted(&mostly_reading), Some(2));
    let mostly_idle =
        [connection(Stage::Idle, 300), connection(Stage::Idle, 400), connection(Stage::ReadingRequest, 5000)];
    assert_eq!(evicted(&mostly_idle), Some(1));
}

#[test]
fn stalled_connection_is_evicted_if_no_idle_one_is_old_enough() {
    let connections =
        [connection(Stage::Idle, 100), connection(Stage::Idle, 100), connection(Stage::ReadingRequest, 300)];
    assert_eq!(evicted(&connections), Some(2));
}

#[test]
fn eviction_in_progress_prevents_another() {
    let connections = [connection(Stage::Idle, 300), connection(Stage::Idle, 400)];
    connections[0].is_evicted.set(true);
    assert_eq!(evicted(&connections), Some(0));
    assert!(!connections[1].is_close_requested());
}

#[test]
fn closing_connection_is_aborted_first() {
    let connections = [connection(Stage::Idle, 5000), connection(Stage::Closing, 200)];
    assert_eq!(evicted(&connections), None);
    assert!(!connections[0].is_close_requested());
}

/// Guards against a request that is cut off by an eviction while its client pauses, though another connection has sent
/// nothing.
#[test]
fn connection_without_any_byte_is_evicted_before_incomplete_request() {
    let connections = [connection(Stage::ReadingRequest, 400), connection(Stage::ReadingRequest, 200)];
    connections[0].record_read(10);
    connections[0].last_read_at.set(Instant::now() - Duration::from_millis(400));
    assert_eq!(evicted(&connections), Some(1));
    assert_eq!(evicted(&connections[..1]), Some(0));
}
