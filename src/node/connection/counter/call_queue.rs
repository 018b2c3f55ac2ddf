//! Queue of the calls on one connection.

use crate::node::connection::counter::{
    call::{Call, CallId, CallResult},
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

/// Calls on one connection, in the order in which they are written and answered.
#[derive(Default)]
pub struct CallQueue {
    calls: VecDeque<Call>,
}

impl CallQueue {
    /// Appends a call to the queue.
    pub fn push(&mut self, call: Call) {
        self.calls.push_back(call);
    }

    /// Returns the number of calls that are still to be written or have no reply.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Removes all calls after the connection ended with `error`. Returns the results of the awaited ones, the oldest
    /// first.
    pub fn end_all(&mut self, error: &CounterError) -> Vec<CallResult> {
        let mut results = Vec::new();
        for (position, call) in mem::take(&mut self.calls).into_iter().enumerate() {
            let status = call.status_after(error, position == 0);
            results.extend(call.result(status, 0.0));
        }
        results
    }

    /// Returns whether the policy awaits the reply to any call.
    pub fn has_awaited(&self) -> bool {
        self.calls.iter().any(Call::is_awaited)
    }

    /// Returns whether the policy awaits the reply to a call that adds to this counter.
    pub fn awaits_counter(&self, counter: u64) -> bool {
        self.calls.iter().any(|call| call.is_awaited() && call.adds_to(counter))
    }

    /// Returns whether the policy awaits the reply to this call.
    pub fn awaits_call(&self, id: CallId) -> bool {
        self.calls.iter().any(|call| call.is_awaited() && call.has_id(id))
    }

    /// Returns whether the oldest call has been without a reply for longer than `limit`.
    pub fn is_overdue(&self, limit: Duration) -> bool {
        self.calls.front().is_some_and(|call| call.started_at().elapsed() > limit)
    }

    /// Returns the time at which the oldest call will have been without a reply for `limit`, or `None` without calls.
    pub fn overdue_at(&self, limit: Duration) -> Option<Instant> {
        self.calls.front().map(|call| call.started_at() + limit)
    }

    /// Returns whether a part of a call is still to be written.
    pub fn has_unwritten(&self) -> bool {
        self.calls.back().is_some_and(|call| !call.unwritten_part().is_empty())
    }

    /// Writes as much of the calls as the socket accepts without waiting.
    ///
    /// # Errors
    /// The connection has failed.
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

    /// Ends a call that has reached the call timeout. Returns `None` if it is not awaited on this connection. A call
    /// of which nothing was written is removed, so that nothing will be added. Any other stays in the queue, because
    /// its reply is still to come.
    pub fn expire(&mut self, id: CallId) -> Option<CallResult> {
        let index = self.calls.iter().position(|call| call.is_awaited() && call.has_id(id))?;
        let call = &mut self.calls[index];
        if call.is_unwritten() {
            let result = call.result(Status::ConnectFailed, 0.0);
            self.calls.remove(index);
            return result;
        }
        let result = call.result(Status::Timeout, 0.0);
        call.mark_timed_out();
        result
    }

    /// Removes the oldest call, which `reply` answers. Returns its result, or `None` if it is not awaited.
    ///
    /// # Errors
    /// There is no call, or `reply` doesn't answer the oldest one.
    pub fn answer_oldest(&mut self, reply: &CounterReply) -> Result<Option<CallResult>, CounterError> {
        let oldest = self.calls.front().ok_or(CounterError::UnexpectedReply)?;
        let (status, total) = oldest.match_reply(reply).ok_or(CounterError::UnexpectedReply)?;
        let result = oldest.result(status, total);
        self.calls.pop_front();
        Ok(result)
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/counter_call_queue.rs"]
mod tests;
