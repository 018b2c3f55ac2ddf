//! A gateway's calls to the counter: the policy is notified of the results for one entry in the order of the calls.

use oliverack::{Event, Seconds, Status, Time};
use std::collections::{BTreeMap, VecDeque};

/// A call of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallKey {
    /// Name of the entry.
    pub name: u64,
    /// Number of the call.
    pub number: u64,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallResult {
    /// Its status.
    pub status: Status,
    /// The total of the entry, if the call was served.
    pub total: f64,
}

/// A call of which the policy has not been notified.
#[derive(Debug)]
struct PendingCall {
    number: u64,
    sent_at: Time,
    ended: Option<EndedCall>,
}

/// A call that has ended, but waits for earlier ones of its entry.
#[derive(Debug)]
struct EndedCall {
    result: CallResult,
    elapsed: Seconds,
}

/// The calls of a gateway of which its policy has not been notified.
#[derive(Debug, Default)]
pub struct CounterCalls {
    last_number: u64,
    by_name: BTreeMap<u64, VecDeque<PendingCall>>,
}

impl CounterCalls {
    /// Starts a call.
    pub fn start(&mut self, now: Time, name: u64) -> CallKey {
        self.last_number += 1;
        let number = self.last_number;
        let pending = PendingCall { number, sent_at: now, ended: None };
        self.by_name.entry(name).or_default().push_back(pending);
        CallKey { name, number }
    }

    /// Ends a call, and returns what the policy is notified of now. The result of a call that has ended before stays
    /// as it was.
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

    /// True until a call ends.
    pub fn is_in_flight(&self, call: CallKey) -> bool {
        let Some(calls) = self.by_name.get(&call.name) else { return false };
        calls.iter().any(|pending| pending.number == call.number && pending.ended.is_none())
    }
}
