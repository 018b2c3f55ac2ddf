//! Writes the policy's actions as the simulator's decisions.

use oliverack::Action;
use serde_json::{Value, json};

/// Encodes the decisions of one gateway.
pub fn decisions(gateway: u64, actions: Vec<Action>) -> Value {
    let decisions: Vec<Value> = actions.into_iter().map(decision).collect();
    json!({"GatekeeperId": gateway, "decisions": decisions})
}

/// Builds the reply to a batch. `decisions` holds an item for each gateway that has decided something.
pub fn reply(batch_number: u64, decisions: Vec<Value>) -> Value {
    json!({"n": batch_number, "groups": decisions})
}

fn decision(action: Action) -> Value {
    match action {
        Action::StartAttempt { request_id, endpoint, timeout, .. } => {
            json!(["PLACE", &*request_id, timeout, &*endpoint])
        }
        Action::Reject { request_id, retry_after, .. } => json!(["PUSH_BACK", &*request_id, retry_after]),
        Action::Fail { request_id } => json!(["SURRENDER", &*request_id]),
        Action::SetTimer { token, at } => json!(["DEFER", token, at]),
        Action::AddToCounter { counter, amount, ttl } => json!(["INCR", counter, amount, ttl]),
        Action::PollEndpoints => json!(["SUBSCRIBE", true]),
        unknown_action => json!(["PANIC", format!("no wire form for {unknown_action:?}")]),
    }
}
