//! Calls of one gateway to the counter. The policy is notified of results for the same entry in the order of the
//! calls.

use oliverack::{Event, Seconds, Status, Time};
use std::collections::{BTreeMap, VecDeque};

/// Identifies a call among those of its gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallKey {
    /// Name of the entry.
    pub name: u64,
    /// Number of the call, from 1; unique within an incarnation of the gateway.
    pub number: u64,
}

/// Result of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallResult {
    /// Status of the call.
    pub status: Status,
    /// Total of the entry if the call was served, else 0.
    pub total: f64,
}

/// Call of whose result the policy has not been notified.
#[derive(Debug)]
struct PendingCall {
    number: u64,
    sent_at: Time,
    ended: Option<EndedCall>,
}

/// Result that is held back until all earlier calls for the same entry have ended.
#[derive(Debug)]
struct EndedCall {
    result: CallResult,
    elapsed: Seconds,
}

/// Calls of a gateway of whose results its policy has not been notified.
#[derive(Debug, Default)]
pub struct CounterCalls {
    last_number: u64,
    by_name: BTreeMap<u64, VecDeque<PendingCall>>,
}

impl CounterCalls {
    /// Records the start of a call and returns its key.
    pub fn start(&mut self, now: Time, name: u64) -> CallKey {
        self.last_number += 1;
        let number = self.last_number;
        let pending = PendingCall { number, sent_at: now, ended: None };
        self.by_name.entry(name).or_default().push_back(pending);
        CallKey { name, number }
    }

    /// Ends a call and returns the notifications for the policy that no longer have to wait for an earlier call. Does
    /// not change the result of a call that has already ended.
    pub fn end(&mut self, now: Time, call: CallKey, result: CallResult) -> Vec<Event> {
        let Some(calls) = self.by_name.get_mut(&call.name) else { return Vec::new() };
        let pending = calls.iter_mut().find(|pending| pending.number == call.number);
        if let Some(pending) = pending.filter(|pending| pending.ended.is_none()) {
            pending.ended = Some(EndedCall { result, elapsed: now - pending.sent_at });
        }
        let mut events = Vec::new();
        while let Some(ended) = calls.front_mut().and_then(|pending| pending.ended.take()) {
            calls.pop_front();
            let CallResult { status, total } = ended.result;
            let elapsed = ended.elapsed;
            events.push(Event::CounterReplied { counter: call.name, status, total, elapsed });
        }
        if calls.is_empty() {
            self.by_name.remove(&call.name);
        }
        events
    }

    /// Returns whether a call has not ended yet.
    pub fn is_in_flight(&self, call: CallKey) -> bool {
        let Some(calls) = self.by_name.get(&call.name) else { return false };
        calls.iter().any(|pending| pending.number == call.number && pending.ended.is_none())
    }
}
