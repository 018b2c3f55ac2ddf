//! The messages that two processes of a gateway exchange.
//!
//! Processes of different versions exchange them, so their serialized names are fixed; the variants and fields map
//! them to the terms that the code uses.

use oliverack::{EndpointId, HandoverSnapshot};
use serde::{Deserialize, Serialize};

/// Version of the message format. A process that announces another version is rejected.
pub const FORMAT_VERSION: u32 = 1;

/// A message between two processes of a gateway.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The first message of a successor.
    Hello {
        /// The format version that the successor uses.
        #[serde(rename = "form")]
        format_version: u32,
        /// The name of the successor's gateway.
        #[serde(rename = "node")]
        gateway_name: String,
    },
    /// The first message of a predecessor.
    #[serde(rename = "Knows")]
    Snapshot(HandoverSnapshot),
    /// Operators have put an endpoint into maintenance or taken it out.
    #[serde(rename = "ByHand")]
    MaintenanceChanged {
        /// The endpoint.
        #[serde(rename = "server")]
        endpoint: EndpointId,
        /// Whether it is in maintenance now.
        #[serde(rename = "out")]
        in_maintenance: bool,
    },
}

impl Message {
    /// The serialized name of the kind of message.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "Hello",
            Self::Snapshot(_) => "Knows",
            Self::MaintenanceChanged { .. } => "ByHand",
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/hot_restart_message.rs"]
mod tests;
