//! The messages that two processes of a gateway exchange in a hot restart.

use oliverack::{EndpointId, HandoverSnapshot};
use serde::{Deserialize, Serialize};

/// The messages' form; a process that speaks another one is not talked to.
pub const FORM: u32 = 1;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The younger's first message.
    Hello { form: u32, node: String },
    /// The elder's first message.
    Knows(HandoverSnapshot),
    ByHand {
        #[serde(rename = "server")]
        endpoint: EndpointId,
        out: bool,
    },
}

#[cfg(test)]
#[path = "../../../tests/unit/hot_restart_message.rs"]
mod tests;
