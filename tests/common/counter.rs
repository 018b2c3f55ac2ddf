//! A fake counter for tests of one or few gateways without a simulated clock.

use super::{GatewayHarness, counter_calls, started_attempts};
use oliverack::{Action, Status};
use std::collections::{BTreeMap, VecDeque};

/// A counter in memory that replies to each call at once.
#[derive(Default)]
pub struct FakeCounter {
    /// Units in each count, by the name of the count.
    pub totals: BTreeMap<u64, f64>,
}

impl FakeCounter {
    /// Replies to the counter calls among `actions` and to further calls that the replies cause. Returns the actions
    /// that result from the replies.
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

    /// Sends one request and replies to the counter calls that it causes. Returns all resulting actions.
    pub fn send_request(&mut self, harness: &mut GatewayHarness, request_id: &str) -> Vec<Action> {
        let mut actions = harness.send_request(request_id);
        let resulting = self.reply_to_calls(harness, &actions);
        actions.extend(resulting);
        actions
    }

    /// Sends `count` requests with ids `{id_prefix}0`, `{id_prefix}1` and so on, whose attempts succeed at once.
    /// Returns the number of attempts.
    pub fn send_requests(&mut self, harness: &mut GatewayHarness, id_prefix: &str, count: usize) -> usize {
        let mut attempts = 0;
        for i in 0..count {
            let actions = self.send_request(harness, &format!("{id_prefix}{i}"));
            for (request_id, endpoint) in started_attempts(&actions) {
                attempts += 1;
                let actions = harness.attempt_ended(&request_id, 0, &endpoint, Status::Ok);
                self.reply_to_calls(harness, &actions);
            }
        }
        attempts
    }

    /// Returns the sum of all counts.
    pub fn total(&self) -> f64 {
        self.totals.values().sum()
    }
}
