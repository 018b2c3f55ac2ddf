//! Bounds the time at which a client has written the last byte of a streamed request body.
//!
//! The gateway reads such a body only as fast as the endpoint takes it. Bytes that it has not read yet wait in the
//! buffers of the two systems, so the client may have written its last byte long before the gateway reads it. The
//! client's wait counts from that byte, so the gateway assumes the earliest time that is possible.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Limit on the bytes that a client has written and the gateway has not forwarded yet. The send buffer of the client's
/// system holds up to 4 MiB by default on Linux. The rest is for the receive buffer, which is limited to
/// [`RECEIVE_BUFFER_BYTES`], and for bytes that the gateway has read ahead.
pub const MAX_UNREAD_BYTES: usize = 5 << 20;

/// Size that is set for the system's receive buffer of a client's connection. Linux doubles it for its own overhead.
pub const RECEIVE_BUFFER_BYTES: usize = 256 * 1024;

/// Longest time for which a close may go unseen before an attempt begins. After 0.1 s the protocol allows none.
const MAX_CLOSE_DELAY: Duration = Duration::from_millis(80);

/// Who delays the body at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The gateway has read all bytes that have arrived and waits for more.
    AwaitingClient,
    /// Bytes may wait unread.
    Backlogged,
}

/// A number of forwarded bytes and the time at which it was reached.
#[derive(Debug, Clone, Copy)]
struct Mark {
    at: Instant,
    forwarded_bytes: usize,
}

/// Arrival of one streamed request body.
#[derive(Debug)]
pub struct BodyArrival {
    phase: Cell<Phase>,
    /// Time at which the gateway last received bytes for which it had waited.
    last_awaited_at: Cell<Instant>,
    /// Length of the complete body in bytes; `None` if it is not known.
    length: Option<usize>,
    forwarded_bytes: Cell<usize>,
    /// Last time at which bytes were forwarded while the rest was longer than [`MAX_UNREAD_BYTES`], or the beginning of
    /// the body. Used if the length is known.
    rest_was_long_at: Cell<Instant>,
    newer_mark: Cell<Mark>,
    /// Mark that is at least [`MAX_UNREAD_BYTES`] behind, or the beginning of the body.
    older_mark: Cell<Mark>,
    /// Time since which a close by the client would not be seen behind unread bytes; `None` if it would be.
    close_hidden_since: Cell<Option<Instant>>,
    /// True once an attempt has begun to send the body.
    is_taken: Cell<bool>,
}

impl BodyArrival {
    /// Creates the arrival of a body of this length, if it is known, of which the gateway received the first bytes, or the
    /// head, at `now`.
    pub fn new(now: Instant, length: Option<usize>) -> Self {
        let beginning = Mark { at: now, forwarded_bytes: 0 };
        Self {
            length,
            rest_was_long_at: Cell::new(now),
            phase: Cell::new(Phase::Backlogged),
            last_awaited_at: Cell::new(now),
            forwarded_bytes: Cell::new(0),
            newer_mark: Cell::new(beginning),
            older_mark: Cell::new(beginning),
            close_hidden_since: Cell::new(None),
            is_taken: Cell::new(false),
        }
    }

    /// Records that the gateway has read and forwarded all bytes and waits for more.
    pub fn await_client(&self) {
        self.phase.set(Phase::AwaitingClient);
    }

    /// Records that the wait is over. `last_awaited_at` is the time at which bytes last arrived on an empty socket.
    pub fn end_wait(&self, last_awaited_at: Instant) {
        self.phase.set(Phase::Backlogged);
        self.last_awaited_at.set(self.last_awaited_at.get().max(last_awaited_at));
    }

    /// Records that the attempt has taken more bytes.
    pub fn record_forwarded(&self, bytes: usize, now: Instant) {
        let forwarded_bytes = self.forwarded_bytes.get() + bytes;
        self.forwarded_bytes.set(forwarded_bytes);
        if self.had_long_rest(bytes) {
            self.rest_was_long_at.set(now);
        }
        let newer_mark = self.newer_mark.get();
        if forwarded_bytes - newer_mark.forwarded_bytes >= MAX_UNREAD_BYTES {
            self.older_mark.set(newer_mark);
            self.newer_mark.set(Mark { at: now, forwarded_bytes });
        }
    }

    /// Returns whether, before these last bytes were forwarded, more was missing than the buffers can hold.
    fn had_long_rest(&self, bytes: usize) -> bool {
        let forwarded_before = self.forwarded_bytes.get() - bytes;
        self.length.is_some_and(|length| length.saturating_sub(forwarded_before) > MAX_UNREAD_BYTES)
    }

    /// Records that an attempt begins to send the body.
    pub fn mark_taken(&self) {
        self.is_taken.set(true);
    }

    /// Returns whether an attempt has begun to send the body.
    pub fn is_taken(&self) -> bool {
        self.is_taken.get()
    }

    /// Records that the gateway stops reading at `now`, so that a close by the client is not seen from now on.
    pub fn hide_close(&self, now: Instant) {
        if self.close_hidden_since.get().is_none() {
            self.close_hidden_since.set(Some(now));
        }
    }

    /// Records that the gateway reads again.
    pub fn show_close(&self) {
        self.close_hidden_since.set(None);
    }

    /// Returns whether the client may have disconnected so long before `now` that nothing may be sent for it any more.
    pub fn may_be_abandoned(&self, now: Instant) -> bool {
        let hidden_since = self.close_hidden_since.get();
        hidden_since.is_some_and(|since| now.saturating_duration_since(since) > MAX_CLOSE_DELAY)
    }

    /// Returns the earliest time at which the client can have written the last byte; `None` while it has not, because
    /// the gateway waits for more bytes. A body of which more is missing than the buffers can hold is treated as written
    /// if the endpoint takes nothing more of it.
    pub fn earliest_end(&self) -> Option<Instant> {
        if self.phase.get() == Phase::AwaitingClient {
            return None;
        }
        let last_awaited_at = self.last_awaited_at.get();
        let not_before = match self.length {
            Some(_) => self.rest_was_long_at.get(),
            None => self.older_mark.get().at,
        };
        Some(last_awaited_at.max(not_before))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/body_arrival.rs"]
mod tests;
