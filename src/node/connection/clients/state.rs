//! The stage of a client's connection, shared between its own task and those that watch over all connections.

use crate::node::wire::{request_body::BodyError, request_head::HeadError};
use fnv::FnvHashMap;
use hyper::StatusCode;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{sync::Notify, task::AbortHandle};

/// Longest time for a complete request, from the connection or the request's first byte, with an allowance for its
/// body; also the longest time without a byte of it. A client may take 2 s for a head, and one that sends nothing is owed an
/// error or a close within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Slowest rate at which a request may arrive without running out of time; slow clients send 64 kB a second.
const MIN_BYTES_PER_SECOND: f64 = 48_000.0;

/// All open connections by their id.
pub type ConnectionTable = FnvHashMap<u64, Rc<ConnectionState>>;

/// The stage of a connection. The usual way is from `ReadingRequest` by `Processing`, and `WritingResponse` or
/// `StreamingResponse`, to `Idle`, and from there with the next byte to `ReadingRequest`. A connection that is not kept
/// open goes to `Closing` instead of `Idle`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The first request is awaited, or a request is incomplete.
    ReadingRequest,
    /// More of a streamed request body is awaited, or the rest of an unwanted one.
    ReceivingBody,
    /// The gateway works on a request, and the client waits.
    Processing,
    /// A buffered response is being written.
    WritingResponse,
    /// A piece of a streamed response is being written.
    StreamingResponse,
    /// No request is open.
    Idle,
    /// The gateway has ended its side and waits for the client to close.
    Closing,
}

/// A client's connection as the listener, the time limits and the eviction see it.
pub struct ConnectionState {
    pub stage: Cell<Stage>,
    /// When the connection entered its stage, or last made progress with a streamed response.
    pub entered_at: Cell<Instant>,
    /// When bytes of the present request last arrived.
    pub last_read_at: Cell<Instant>,
    /// Time by which the present request must be complete.
    request_deadline: Cell<Instant>,
    /// The connection is to close, provided that it has not left the stage that it entered at this time.
    close_requested_for: Cell<Option<Instant>>,
    /// The close was requested to free capacity for another connection.
    pub is_evicted: Cell<bool>,
    /// Wakes the connection's task to look at the close request.
    pub close_signal: Notify,
    /// The connection's task, once it was spawned.
    pub task: RefCell<Option<AbortHandle>>,
}

impl Default for ConnectionState {
    /// The state of a connection that has just been accepted.
    fn default() -> Self {
        let now = Instant::now();
        Self {
            stage: Cell::new(Stage::ReadingRequest),
            entered_at: Cell::new(now),
            last_read_at: Cell::new(now),
            request_deadline: Cell::new(now + REQUEST_TIMEOUT),
            close_requested_for: Cell::new(None),
            is_evicted: Cell::new(false),
            close_signal: Notify::new(),
            task: RefCell::default(),
        }
    }
}

impl ConnectionState {
    /// Enters a stage, which makes an earlier close request void.
    pub fn enter(&self, stage: Stage) {
        let now = Instant::now();
        if stage == Stage::ReadingRequest {
            self.last_read_at.set(now);
            self.request_deadline.set(now + REQUEST_TIMEOUT);
        }
        self.is_evicted.set(false);
        self.stage.set(stage);
        self.entered_at.set(now);
    }

    /// Changes the stage without restarting its time, so that a close request made just before stays valid.
    pub fn continue_in(&self, stage: Stage) {
        self.stage.set(stage);
    }

    /// Records that bytes of a request have arrived, and extends its deadline by their allowance.
    pub fn note_read(&self, bytes: usize) {
        self.last_read_at.set(Instant::now());
        let allowance = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND);
        self.request_deadline.set(self.request_deadline.get() + allowance);
    }

    /// Extends the request's deadline by a time in which the gateway, not the client, held up its body.
    pub fn exclude_wait(&self, started_at: Instant) {
        self.last_read_at.set(Instant::now());
        self.request_deadline.set(self.request_deadline.get() + started_at.elapsed());
    }

    /// Whether the request has missed its deadline, or no byte of it has arrived for too long.
    pub fn is_request_overdue(&self) -> bool {
        self.last_read_at.get().elapsed() > REQUEST_TIMEOUT || self.request_deadline.get() < Instant::now()
    }

    /// Asks the connection's task to close it, unless it enters another stage first.
    pub fn request_close(&self) {
        self.close_requested_for.set(Some(self.entered_at.get()));
        self.close_signal.notify_one();
    }

    /// Whether a close was requested in the present stage. An older request says nothing about it.
    pub fn is_close_requested(&self) -> bool {
        self.close_requested_for.get() == Some(self.entered_at.get())
    }

    /// Aborts the connection's task.
    pub fn abort(&self) {
        if let Some(task) = &*self.task.borrow() {
            task.abort();
        }
    }
}

/// How a connection ends.
#[derive(Debug)]
pub enum ConnectionEnd {
    /// Without a further response: the client is gone, or owed nothing.
    Silent,
    /// With this status as the last response.
    WithStatus(StatusCode),
}

impl From<HeadError> for ConnectionEnd {
    fn from(error: HeadError) -> Self {
        Self::WithStatus(error.status())
    }
}

impl From<BodyError> for ConnectionEnd {
    fn from(error: BodyError) -> Self {
        Self::WithStatus(error.status())
    }
}
