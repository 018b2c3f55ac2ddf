//! The state of a client's connection, shared between the task that serves the connection and the code that closes
//! connections from outside: the listener, the time limits and the eviction.

use crate::node::wire::{request_body::BodyError, request_head::HeadError};
use fnv::FnvHashMap;
use hyper::{StatusCode, header::HeaderValue};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use thiserror::Error;
use tokio::{sync::Notify, task::AbortHandle};
use tracing::debug;

/// Longest time to receive a request, plus an allowance for each received byte, and longest time between two reads of
/// it. The time starts when the connection is accepted, and for later requests with the first byte. A client may take
/// 2 s to send a head, and one that sends nothing must get an error or a close within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Lowest rate at which a request may arrive without missing the deadline; slow clients send 64 kB a second.
const MIN_BYTES_PER_SECOND: f64 = 48_000.0;

/// All open connections by id.
pub type ConnectionTable = FnvHashMap<u64, Rc<ConnectionState>>;

/// The stage of a connection. A request usually passes through `ReadingRequest`, `Processing`, and `WritingResponse` or
/// `StreamingResponse`. Then the connection is `Idle` until the first byte of the next request, or `Closing` if it is
/// not kept open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Waiting for the first request, or reading a request that is incomplete.
    ReadingRequest,
    /// Waiting for more of a request body that is streamed or discarded.
    ReceivingBody,
    /// The gateway or an endpoint works on the request, and the client waits.
    Processing,
    /// Writing a buffered response.
    WritingResponse,
    /// Writing a frame of a streamed response.
    StreamingResponse,
    /// No request is open.
    Idle,
    /// The gateway has shut down its sending side and waits for the client to close.
    Closing,
}

/// The state of a client's connection, and the means to close it from outside its task.
pub struct ConnectionState {
    pub stage: Cell<Stage>,
    /// Time at which the connection entered the stage, or last made progress with a response.
    pub entered_at: Cell<Instant>,
    /// Time at which bytes of the current request last arrived.
    pub last_read_at: Cell<Instant>,
    /// Time by which the current request must be complete.
    request_deadline: Cell<Instant>,
    /// True from the first byte of a request until the end of the exchange.
    has_request_begun: Cell<bool>,
    /// Value of `entered_at` when a close was last requested. The close request is void once `entered_at` has changed.
    close_requested_for: Cell<Option<Instant>>,
    /// True if the close was requested to free capacity for another connection.
    pub is_evicted: Cell<bool>,
    /// Wakes the connection's task to check for a close request.
    pub close_signal: Notify,
    /// The connection's task; `None` until it is spawned.
    pub task: RefCell<Option<AbortHandle>>,
    /// Address of the client, for logs; `None` if the system does not know it.
    pub client_address: Option<SocketAddr>,
    /// Transaction id of the last request, for logs; `None` before the first one.
    pub last_transaction_id: RefCell<Option<HeaderValue>>,
}

impl Default for ConnectionState {
    /// Returns the state of a newly accepted connection.
    fn default() -> Self {
        let now = Instant::now();
        Self {
            stage: Cell::new(Stage::ReadingRequest),
            entered_at: Cell::new(now),
            last_read_at: Cell::new(now),
            request_deadline: Cell::new(now + REQUEST_TIMEOUT),
            has_request_begun: Cell::new(false),
            close_requested_for: Cell::new(None),
            is_evicted: Cell::new(false),
            close_signal: Notify::new(),
            task: RefCell::default(),
            client_address: None,
            last_transaction_id: RefCell::default(),
        }
    }
}

impl ConnectionState {
    /// Returns the state of a newly accepted connection from this address.
    pub fn for_client(client_address: Option<SocketAddr>) -> Self {
        Self { client_address, ..Self::default() }
    }

    /// Enters a stage and restarts its time, which voids an earlier close request.
    pub fn enter(&self, stage: Stage) {
        let now = Instant::now();
        match stage {
            Stage::ReadingRequest => {
                self.last_read_at.set(now);
                self.request_deadline.set(now + REQUEST_TIMEOUT);
                self.has_request_begun.set(true);
            }
            Stage::Idle => self.has_request_begun.set(false),
            _ => {}
        }
        self.is_evicted.set(false);
        self.stage.set(stage);
        self.entered_at.set(now);
    }

    /// Changes the stage without restarting its time, so that an earlier close request stays valid.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.set(stage);
    }

    /// Records that bytes of a request have arrived, and extends the request's deadline in proportion to them.
    pub fn record_read(&self, bytes: usize) {
        self.last_read_at.set(Instant::now());
        self.has_request_begun.set(true);
        let allowance = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND);
        self.request_deadline.set(self.request_deadline.get() + allowance);
    }

    /// Extends the request's deadline by a wait, just ended, in which the gateway and not the client delayed the body.
    pub fn exclude_gateway_wait(&self, wait_started_at: Instant) {
        self.last_read_at.set(Instant::now());
        self.request_deadline.set(self.request_deadline.get() + wait_started_at.elapsed());
    }

    /// Returns whether bytes of a request have arrived whose exchange has not ended.
    pub fn has_request_begun(&self) -> bool {
        self.has_request_begun.get()
    }

    /// Returns whether the current request has missed its deadline, or none of its bytes has arrived for too long.
    pub fn is_request_overdue(&self) -> bool {
        self.last_read_at.get().elapsed() > REQUEST_TIMEOUT || self.request_deadline.get() < Instant::now()
    }

    /// Asks the connection's task to close the connection. The task ignores this if it enters another stage first.
    pub fn request_close(&self) {
        self.close_requested_for.set(Some(self.entered_at.get()));
        self.close_signal.notify_one();
    }

    /// Returns whether a close was requested since the connection entered the stage. Earlier close requests are void.
    pub fn is_close_requested(&self) -> bool {
        self.close_requested_for.get() == Some(self.entered_at.get())
    }

    /// Logs that the connection ends, with the reason.
    pub fn log_end(&self, reason: CloseReason) {
        debug!(
            client = ?self.client_address,
            stage = ?self.stage.get(),
            seconds_in_stage = self.entered_at.get().elapsed().as_secs_f64(),
            last_request = ?self.last_transaction_id.borrow(),
            %reason,
            "client connection ended"
        );
    }

    /// Aborts the connection's task because its stage has taken too long.
    pub fn abort_overdue(&self) {
        self.log_end(CloseReason::StageOverdue);
        self.abort();
    }

    /// Aborts the connection's task.
    pub fn abort(&self) {
        if let Some(task) = &*self.task.borrow() {
            task.abort();
        }
    }
}

/// Reason why a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CloseReason {
    #[error("the client has closed or reset the connection")]
    ClientDisconnected,
    #[error("another connection needs the capacity")]
    Evicted,
    #[error("no request is open, and the connection was idle for too long or the gateway is shutting down")]
    Idle,
    #[error("the last response told the client that the connection closes")]
    AfterResponse,
    #[error("only part of a response was sent")]
    TruncatedResponse,
    #[error("the stage has taken too long")]
    StageOverdue,
    #[error("the request was answered with {0}")]
    ErrorResponse(StatusCode),
}

/// Way in which the gateway ends a connection.
#[derive(Debug)]
pub enum ConnectionEnd {
    /// Without a further response, because the client is gone or expects none.
    WithoutResponse(CloseReason),
    /// With a last response that has this status and no body.
    WithStatus(StatusCode),
}

impl ConnectionEnd {
    /// Returns the reason why the connection ends.
    pub fn reason(&self) -> CloseReason {
        match self {
            Self::WithoutResponse(reason) => *reason,
            Self::WithStatus(status) => CloseReason::ErrorResponse(*status),
        }
    }
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
