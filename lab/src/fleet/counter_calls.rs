//! A gateway's calls to the counter: answers for one name are handed over in the order of the calls.

use oliverack::{Event, Status, Time};
use std::collections::{BTreeMap, VecDeque};

/// A call of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallKey {
    /// The count's name.
    pub name: u64,
    /// The call's number.
    pub number: u64,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallEnd {
    /// How.
    pub status: Status,
    /// The total, where the call was served.
    pub total: f64,
}

#[derive(Debug)]
struct Ended {
    end: CallEnd,
    elapsed: f64,
}

#[derive(Debug)]
struct Pending {
    number: u64,
    sent: Time,
    ended: Option<Ended>,
}

/// The calls whose end the policy has not been told.
#[derive(Debug, Default)]
pub struct CounterCalls {
    begun: u64,
    by_name: BTreeMap<u64, VecDeque<Pending>>,
}

impl CounterCalls {
    /// Begins a call.
    pub fn begin(&mut self, now: Time, name: u64) -> CallKey {
        self.begun += 1;
        let number = self.begun;
        self.by_name.entry(name).or_default().push_back(Pending { number, sent: now, ended: None });
        CallKey { name, number }
    }

    /// Ends a call, and gives what the policy is to be told now. A call that has ended before stays as it was.
    pub fn end(&mut self, now: Time, call: CallKey, end: CallEnd) -> Vec<Event> {
        let Some(calls) = self.by_name.get_mut(&call.name) else { return Vec::new() };
        let pending = calls.iter_mut().find(|pending| pending.number == call.number);
        if let Some(pending) = pending.filter(|pending| pending.ended.is_none()) {
            pending.ended = Some(Ended { end, elapsed: now - pending.sent });
        }
        let mut events = Vec::new();
        while let Some(Ended { end, elapsed }) = calls.front_mut().and_then(|pending| pending.ended.take()) {
            calls.pop_front();
            let CallEnd { status, total } = end;
            events.push(Event::CounterReplied { counter: call.name, status, total, elapsed });
        }
        if calls.is_empty() {
            self.by_name.remove(&call.name);
        }
        events
    }

    /// Whether the end of a call is still waited for.
    pub fn awaits(&self, call: CallKey) -> bool {
        let calls = self.by_name.get(&call.name);
        calls.is_some_and(|calls| calls.iter().any(|c| c.number == call.number && c.ended.is_none()))
    }
}
