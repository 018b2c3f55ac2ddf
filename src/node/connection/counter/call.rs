//! One call to the counter, from its first byte to its end.

use crate::node::connection::{
    counter::{
        error::CounterError,
        protocol::{self, CounterReply},
    },
    events::EventSender,
};
use oliverack::{Event, Status};
use std::time::Instant;

/// Identifies a call within its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallId(pub u64);

/// What a call is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    /// Keeps the connection from idling out; nobody awaits its reply.
    Ping,
    /// Adds to a counter; the policy awaits the reply.
    Add { id: CallId, counter: u64 },
}

/// How far a call has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallStage {
    /// Nothing was written, so the counter can't have carried it out.
    Unwritten,
    /// So many bytes were written; the rest must follow, as the next call is written behind it.
    PartlyWritten { bytes: usize },
    /// All of it was written.
    AwaitingReply,
    /// Its time ran out after so many bytes were written, and the policy was notified. The rest is still written, and
    /// the reply is discarded.
    TimedOut { bytes: usize },
}

/// See the [module](self).
#[derive(Debug)]
pub struct Call {
    kind: CallKind,
    started_at: Instant,
    line: Vec<u8>,
    stage: CallStage,
}

impl Call {
    /// A call that adds `amount` to a counter, which is kept for `ttl` seconds if it is new.
    pub fn add(id: CallId, counter: u64, amount: f64, ttl: f64) -> Self {
        Self::new(CallKind::Add { id, counter }, protocol::add_line(counter, amount, ttl))
    }

    /// A call that keeps the connection from idling out.
    pub fn ping() -> Self {
        Self::new(CallKind::Ping, protocol::PING.to_vec())
    }

    fn new(kind: CallKind, line: Vec<u8>) -> Self {
        Self { kind, started_at: Instant::now(), line, stage: CallStage::Unwritten }
    }

    /// When the call was made.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Whether this is the call with the given id.
    pub fn has_id(&self, wanted: CallId) -> bool {
        matches!(self.kind, CallKind::Add { id, .. } if id == wanted)
    }

    /// Whether the call adds to the given counter.
    pub fn adds_to(&self, wanted: u64) -> bool {
        matches!(self.kind, CallKind::Add { counter, .. } if counter == wanted)
    }

    /// Whether the policy awaits the reply.
    pub fn is_awaited(&self) -> bool {
        self.kind != CallKind::Ping && !matches!(self.stage, CallStage::TimedOut { .. })
    }

    /// Whether nothing of the call was written.
    pub fn is_unwritten(&self) -> bool {
        self.stage == CallStage::Unwritten
    }

    /// The part of the call that is still to be written.
    pub fn unwritten_part(&self) -> &[u8] {
        &self.line[self.written_bytes()..]
    }

    /// Notes that so many further bytes were written.
    pub fn record_written(&mut self, new_bytes: usize) {
        let bytes = self.written_bytes() + new_bytes;
        self.stage = match self.stage {
            CallStage::TimedOut { .. } => CallStage::TimedOut { bytes },
            _ if bytes == self.line.len() => CallStage::AwaitingReply,
            _ => CallStage::PartlyWritten { bytes },
        };
    }

    /// Notes that the call's time ran out.
    pub fn time_out(&mut self) {
        self.stage = CallStage::TimedOut { bytes: self.written_bytes() };
    }

    fn written_bytes(&self) -> usize {
        match self.stage {
            CallStage::Unwritten => 0,
            CallStage::PartlyWritten { bytes } | CallStage::TimedOut { bytes } => bytes,
            CallStage::AwaitingReply => self.line.len(),
        }
    }

    /// The call's status and the counter's total that a reply gives. `None` if it is not the reply to such a call.
    pub fn status_of_reply(&self, reply: &CounterReply) -> Option<(Status, f64)> {
        match (reply, self.kind) {
            (CounterReply::Pong, CallKind::Ping) => Some((Status::Ok, 0.0)),
            (CounterReply::Total(total), CallKind::Add { .. }) => Some((Status::Ok, *total)),
            (CounterReply::NothingAdded, CallKind::Add { .. }) => Some((Status::Rejected, 0.0)),
            _ => None,
        }
    }

    /// The call's status after its connection ended by `error`. Only a call that was written completely can have been
    /// carried out. If the reply was invalid it belonged to the oldest call, so that one was.
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

    /// What to notify the policy of when the call ends; `None` if the policy does not await it.
    pub fn end(&self, status: Status, total: f64) -> Option<CallEnd> {
        match self.kind {
            CallKind::Add { counter, .. } if self.is_awaited() => {
                Some(CallEnd { counter, status, total, started_at: self.started_at })
            }
            _ => None,
        }
    }
}

/// The end of a call that the policy awaits.
#[derive(Debug)]
pub struct CallEnd {
    counter: u64,
    /// How the call ended.
    pub status: Status,
    total: f64,
    started_at: Instant,
}

impl CallEnd {
    /// Notifies the policy.
    pub fn post(self, events: &EventSender) {
        let elapsed = self.started_at.elapsed().as_secs_f64();
        let Self { counter, status, total, .. } = self;
        events.clone().post(Event::CounterReplied { counter, status, total, elapsed });
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/counter_call.rs"]
mod tests;
