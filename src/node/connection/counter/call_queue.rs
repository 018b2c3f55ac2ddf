//! The calls on one connection, in the order in which they are written and answered.

use crate::node::connection::counter::{
    call::{Call, CallEnd, CallId},
    error::CounterError,
    protocol::CounterReply,
};
use oliverack::Status;
use std::{
    collections::VecDeque,
    io::ErrorKind,
    mem,
    time::{Duration, Instant},
};
use tokio::net::tcp::OwnedWriteHalf;

/// See the [module](self).
#[derive(Default)]
pub struct CallQueue {
    calls: VecDeque<Call>,
}

impl CallQueue {
    /// Adds a call behind all others.
    pub fn push(&mut self, call: Call) {
        self.calls.push_back(call);
    }

    /// How many calls are written, to be written, or without a reply.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Removes all calls, as the connection ended by `error`; returns the awaited ones, the oldest first.
    pub fn end_all(&mut self, error: &CounterError) -> Vec<CallEnd> {
        let mut ends = Vec::new();
        for (position, call) in mem::take(&mut self.calls).into_iter().enumerate() {
            let status = call.status_after(error, position == 0);
            ends.extend(call.end(status, 0.0));
        }
        ends
    }

    /// Whether the policy awaits a reply to any call.
    pub fn has_awaited(&self) -> bool {
        self.calls.iter().any(Call::is_awaited)
    }

    /// Whether the policy awaits a reply to a call that adds to this counter.
    pub fn awaits_counter(&self, counter: u64) -> bool {
        self.calls.iter().any(|call| call.is_awaited() && call.adds_to(counter))
    }

    /// Whether the policy awaits the reply to this call.
    pub fn awaits_call(&self, id: CallId) -> bool {
        self.calls.iter().any(|call| call.is_awaited() && call.has_id(id))
    }

    /// Whether the oldest call has been without a reply for longer than `limit`.
    pub fn is_overdue(&self, limit: Duration) -> bool {
        self.calls.front().is_some_and(|call| call.started_at().elapsed() > limit)
    }

    /// When the oldest call will have been without a reply for `limit`.
    pub fn overdue_at(&self, limit: Duration) -> Option<Instant> {
        self.calls.front().map(|call| call.started_at() + limit)
    }

    /// Whether a part of a call is still to be written.
    pub fn has_unwritten(&self) -> bool {
        self.calls.back().is_some_and(|call| !call.unwritten_part().is_empty())
    }

    /// Writes as much as the socket takes.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn write_to(&mut self, socket: &OwnedWriteHalf) -> Result<(), CounterError> {
        for call in &mut self.calls {
            while !call.unwritten_part().is_empty() {
                match socket.try_write(call.unwritten_part()) {
                    Ok(bytes) => call.record_written(bytes),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                    Err(error) if error.kind() == ErrorKind::Interrupted => {}
                    Err(_) => return Err(CounterError::WriteFailed),
                }
            }
        }
        Ok(())
    }

    /// Ends a call whose time ran out; `None` if it is not awaited here. A call of which nothing was written is removed,
    /// so that nothing will be added; any other stays, as its reply is still to come.
    pub fn expire(&mut self, id: CallId) -> Option<CallEnd> {
        let index = self.calls.iter().position(|call| call.is_awaited() && call.has_id(id))?;
        let call = &mut self.calls[index];
        if call.is_unwritten() {
            let end = call.end(Status::ConnectFailed, 0.0);
            self.calls.remove(index);
            return end;
        }
        let end = call.end(Status::Timeout, 0.0);
        call.time_out();
        end
    }

    /// Removes the oldest call, which the reply answers; returns its end if it is awaited.
    ///
    /// # Errors
    /// There is no call, or the reply is not one to the oldest.
    pub fn answer_oldest(&mut self, reply: &CounterReply) -> Result<Option<CallEnd>, CounterError> {
        let oldest = self.calls.front().ok_or(CounterError::UnexpectedReply)?;
        let (status, total) = oldest.status_of_reply(reply).ok_or(CounterError::UnexpectedReply)?;
        let end = oldest.end(status, total);
        self.calls.pop_front();
        Ok(end)
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/counter_call_queue.rs"]
mod tests;
