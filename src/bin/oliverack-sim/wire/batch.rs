//! Batches of messages from the simulator.

use serde::Deserialize;
use serde_json::Value;

/// All messages that the simulator sends at one simulated time.
#[derive(Deserialize)]
pub struct Batch {
    /// Simulated time in seconds.
    #[serde(rename = "Moment")]
    pub now: f64,
    /// Number of the batch, which the reply repeats.
    #[serde(rename = "n")]
    pub number: u64,
    /// Messages, grouped by the gateway that receives them.
    #[serde(rename = "groups")]
    pub inboxes: Vec<Inbox>,
}

/// Messages to one gateway.
#[derive(Deserialize)]
pub struct Inbox {
    /// Number of the gateway.
    #[serde(rename = "GatekeeperId")]
    pub gateway: u64,
    /// Messages in order; each is a name followed by positional values.
    #[serde(rename = "msgs")]
    pub messages: Vec<Vec<Value>>,
}
