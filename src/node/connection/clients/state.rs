//! What a client's connection is at, as those see it that watch over all of them.

use crate::node::wire::{request_body::BodyError, request_head::HeadError};
use hyper::StatusCode;
use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};
use tokio::{sync::Notify, task::AbortHandle};

/// Longest time for a request to come whole, from the connection or its first byte on, beside what its body takes
/// at the slowest; and longest time without a byte of it. A client may take 2 s for a head, and one that brings
/// nothing is owed an error or a close within 3 s.
const REQUEST_TIME: Duration = Duration::from_millis(2500);
/// Bytes a second at which a body must come at least: slow clients send 64 kB.
const SLOWEST: f64 = 48_000.0;

/// What a connection is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// A request is awaited or half there.
    Reading,
    /// A body that passes through is half there.
    Body,
    /// A request is in hand.
    Busy,
    /// An answer is written whole.
    Writing,
    /// An answer is passed on in pieces.
    Passing,
    /// Nothing is under way.
    Idle,
    /// It is closed from this side.
    Leaving,
}

/// A client's connection as the others see it.
pub struct ConnectionState {
    /// What it is at.
    pub stage: Cell<Stage>,
    /// Since when.
    pub since: Cell<Instant>,
    /// When something of the present request last came.
    pub heard: Cell<Instant>,
    /// By when it must have come whole.
    pub until: Cell<Instant>,
    /// It is to close, if it is still where it was at that time.
    pub close_requested: Cell<Option<Instant>>,
    /// It was told so to make room for another.
    pub makes_room: Cell<bool>,
    /// Wakes the connection's task to look at that.
    pub close: Notify,
    /// The connection's task, once that was started.
    pub task: RefCell<Option<AbortHandle>>,
}

impl Default for ConnectionState {
    /// One that has just been accepted.
    fn default() -> Self {
        let now = Instant::now();
        Self {
            stage: Cell::new(Stage::Reading),
            since: Cell::new(now),
            heard: Cell::new(now),
            until: Cell::new(now + REQUEST_TIME),
            close_requested: Cell::new(None),
            makes_room: Cell::new(false),
            close: Notify::new(),
            task: RefCell::default(),
        }
    }
}

impl ConnectionState {
    /// Moves on to another stage.
    pub fn enter(&self, stage: Stage) {
        let now = Instant::now();
        if stage == Stage::Reading {
            self.heard.set(now);
            self.until.set(now + REQUEST_TIME);
        }
        self.makes_room.set(false);
        self.stage.set(stage);
        self.since.set(now);
    }

    /// So many bytes of a request have come.
    pub fn note_read(&self, bytes: usize) {
        self.heard.set(Instant::now());
        self.until.set(self.until.get() + Duration::from_secs_f64(bytes as f64 / SLOWEST));
    }

    /// Nothing was read of it since then, so its client had no part in that.
    pub fn extend_since(&self, since: Instant) {
        self.heard.set(Instant::now());
        self.until.set(self.until.get() + since.elapsed());
    }

    /// The request has had its time, or brings nothing more.
    pub fn is_overdue(&self) -> bool {
        self.heard.get().elapsed() > REQUEST_TIME || self.until.get() < Instant::now()
    }

    /// Wakes the connection's task to close it.
    pub fn request_close(&self) {
        self.close_requested.set(Some(self.since.get()));
        self.close.notify_one();
    }

    /// Ends the connection's task at once.
    pub fn abort(&self) {
        self.task.borrow().iter().for_each(AbortHandle::abort);
    }
}

/// How a connection ends.
pub enum Closing {
    /// With nothing more to say: the client is gone, or owed nothing.
    Quietly,
    /// With this, as the last answer.
    With(StatusCode),
}

impl From<HeadError> for Closing {
    fn from(error: HeadError) -> Self {
        Self::With(error.status())
    }
}

impl From<BodyError> for Closing {
    fn from(error: BodyError) -> Self {
        Self::With(error.status())
    }
}
