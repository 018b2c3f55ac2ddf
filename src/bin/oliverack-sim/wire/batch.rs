//! The messages that the simulator sends at one moment.

use serde::Deserialize;
use serde_json::Value;

/// All messages of one moment.
#[derive(Deserialize)]
pub struct Batch {
    /// The time, in seconds.
    #[serde(rename = "Moment")]
    pub now: f64,
    /// The batch's number, which the reply repeats.
    #[serde(rename = "n")]
    pub number: u64,
    /// The messages by the gateway that they are for.
    #[serde(rename = "groups")]
    pub inboxes: Vec<Inbox>,
}

/// The messages for one gateway, in order.
#[derive(Deserialize)]
pub struct Inbox {
    /// The gateway.
    #[serde(rename = "GatekeeperId")]
    pub gateway: u64,
    /// The messages: each a name followed by its values.
    #[serde(rename = "msgs")]
    pub messages: Vec<Vec<Value>>,
}
