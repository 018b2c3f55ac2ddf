//! A counter that replies at once.

use super::{GatewayHarness, counter_calls, started_attempts};
use oliverack::{Action, Status};
use std::collections::{BTreeMap, VecDeque};

/// A counter in memory that replies at once, as the service would.
#[derive(Default)]
pub struct FakeCounter {
    /// The total of each count.
    pub totals: BTreeMap<u64, f64>,
}

impl FakeCounter {
    /// Replies to the calls among `actions`, and to those that follow; returns the resulting actions.
    pub fn reply_to_calls(&mut self, harness: &mut GatewayHarness, actions: &[Action]) -> Vec<Action> {
        let mut pending: VecDeque<(u64, f64)> = counter_calls(actions).into();
        let mut resulting = Vec::new();
        while let Some((counter, amount)) = pending.pop_front() {
            let total = self.totals.entry(counter).or_default();
            *total += amount;
            let total = *total;
            let actions = harness.counter_replied(counter, Status::Ok, total);
            pending.extend(counter_calls(&actions));
            resulting.extend(actions);
        }
        resulting
    }

    /// Sends one request and replies to its calls; returns all its actions.
    pub fn send_request(&mut self, harness: &mut GatewayHarness, request_id: &str) -> Vec<Action> {
        let mut actions = harness.send_request(request_id);
        let resulting = self.reply_to_calls(harness, &actions);
        actions.extend(resulting);
        actions
    }

    /// Sends `count` requests with ids `{tag}0`, `{tag}1` and so on; each attempt succeeds at once. Returns the
    /// number of attempts.
    pub fn send_requests(&mut self, harness: &mut GatewayHarness, tag: &str, count: usize) -> usize {
        let mut attempts = 0;
        for i in 0..count {
            let actions = self.send_request(harness, &format!("{tag}{i}"));
            for (request_id, endpoint) in started_attempts(&actions) {
                attempts += 1;
                let actions = harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok);
                self.reply_to_calls(harness, &actions);
            }
        }
        attempts
    }

    /// The sum of all counts.
    pub fn total(&self) -> f64 {
        self.totals.values().sum()
    }
}
