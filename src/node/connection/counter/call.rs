//! State of one call to the counter.

use crate::node::connection::{
    counter::{
        error::CounterError,
        protocol::{self, CounterReply},
    },
    events::EventSender,
};
use oliverack::{Event, Status};
use std::time::Instant;

/// Number of a call, unique within its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallId(pub u64);

/// Purpose of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    /// Keeps the counter from closing an idle connection. The policy doesn't await the reply.
    Ping,
    /// Adds to a counter. The policy awaits the reply.
    Add { id: CallId, counter: u64 },
}

/// Progress of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallStage {
    /// Nothing was written, so the counter can't have executed the call.
    Unwritten,
    /// Only the first `bytes` were written. The rest must be written before the next call.
    PartlyWritten { bytes: usize },
    /// The whole call was written.
    AwaitingReply,
    /// The call reached its timeout after `bytes` were written, and the policy was notified. The rest is still
    /// written, and the reply is discarded.
    TimedOut { bytes: usize },
}

/// Call to the counter that is waiting to be written or for its reply.
#[derive(Debug)]
pub struct Call {
    kind: CallKind,
    started_at: Instant,
    line: Vec<u8>,
    stage: CallStage,
}

impl Call {
    /// Returns a call that adds `amount` to a counter, which is kept for `ttl` seconds if it is new.
    pub fn add(id: CallId, counter: u64, amount: f64, ttl: f64) -> Self {
        Self::new(CallKind::Add { id, counter }, protocol::add_line(counter, amount, ttl))
    }

    /// Returns a call that keeps the counter from closing an idle connection.
    pub fn ping() -> Self {
        Self::new(CallKind::Ping, protocol::PING.to_vec())
    }

    fn new(kind: CallKind, line: Vec<u8>) -> Self {
        Self { kind, started_at: Instant::now(), line, stage: CallStage::Unwritten }
    }

    /// Returns the time at which the call was created.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns whether the call has the given id. Pings have none.
    pub fn has_id(&self, wanted_id: CallId) -> bool {
        matches!(self.kind, CallKind::Add { id, .. } if id == wanted_id)
    }

    /// Returns whether the call adds to the given counter.
    pub fn adds_to(&self, wanted_counter: u64) -> bool {
        matches!(self.kind, CallKind::Add { counter, .. } if counter == wanted_counter)
    }

    /// Returns whether the policy awaits the reply.
    pub fn is_awaited(&self) -> bool {
        self.kind != CallKind::Ping && !matches!(self.stage, CallStage::TimedOut { .. })
    }

    /// Returns whether no byte of the call was written.
    pub fn is_unwritten(&self) -> bool {
        self.stage == CallStage::Unwritten
    }

    /// Returns the part of the call that is still to be written.
    pub fn unwritten_part(&self) -> &[u8] {
        &self.line[self.written_bytes()..]
    }

    /// Records that `new_bytes` further bytes were written.
    pub fn record_written(&mut self, new_bytes: usize) {
        let bytes = self.written_bytes() + new_bytes;
        self.stage = match self.stage {
            CallStage::TimedOut { .. } => CallStage::TimedOut { bytes },
            _ if bytes == self.line.len() => CallStage::AwaitingReply,
            _ => CallStage::PartlyWritten { bytes },
        };
    }

    /// Marks the call as timed out, so that it is no longer awaited.
    pub fn mark_timed_out(&mut self) {
        self.stage = CallStage::TimedOut { bytes: self.written_bytes() };
    }

    fn written_bytes(&self) -> usize {
        match self.stage {
            CallStage::Unwritten => 0,
            CallStage::PartlyWritten { bytes } | CallStage::TimedOut { bytes } => bytes,
            CallStage::AwaitingReply => self.line.len(),
        }
    }

    /// Returns the call's status and the counter's total according to a reply, or `None` if a call of this kind can't
    /// get such a reply.
    pub fn match_reply(&self, reply: &CounterReply) -> Option<(Status, f64)> {
        match (reply, self.kind) {
            (CounterReply::Pong, CallKind::Ping) => Some((Status::Ok, 0.0)),
            (CounterReply::Total(total), CallKind::Add { .. }) => Some((Status::Ok, *total)),
            (CounterReply::NothingAdded, CallKind::Add { .. }) => Some((Status::Rejected, 0.0)),
            _ => None,
        }
    }

    /// Returns the call's status after its connection ended with `error`. Only a call that was written completely can
    /// have been executed. An invalid reply belongs to the oldest call, which therefore has been executed.
    pub fn status_after(&self, error: &CounterError, is_oldest: bool) -> Status {
        if !self.unwritten_part().is_empty() {
            Status::ConnectFailed
        } else if is_oldest && error.is_invalid_reply() {
            Status::Error
        } else if error.is_timeout() {
            Status::Timeout
        } else {
            Status::Reset
        }
    }

    /// Returns the result to report to the policy, or `None` if the policy doesn't await the call.
    pub fn result(&self, status: Status, total: f64) -> Option<CallResult> {
        match self.kind {
            CallKind::Add { counter, .. } if self.is_awaited() => {
                Some(CallResult { counter, status, total, started_at: self.started_at })
            }
            _ => None,
        }
    }
}

/// Result of a call that the policy awaits.
#[derive(Debug)]
pub struct CallResult {
    counter: u64,
    /// Whether the amount was added, or how the call failed.
    pub status: Status,
    total: f64,
    started_at: Instant,
}

impl CallResult {
    /// Reports the result to the policy.
    pub fn post(self, events: &EventSender) {
        let elapsed = self.started_at.elapsed().as_secs_f64();
        let Self { counter, status, total, .. } = self;
        events.clone().post(Event::CounterReplied { counter, status, total, elapsed });
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/counter_call.rs"]
mod tests;
