//! Messages that two processes of a gateway exchange.
//!
//! The processes may have different versions, so the serialized names are fixed. Attributes map
//! them to the terms that the code uses.

use oliverack::{EndpointId, HandoverSnapshot};
use serde::{Deserialize, Serialize};

/// Version of the message format. A process that announces another version is rejected.
pub const FORMAT_VERSION: u32 = 1;

/// Hash of a request's transaction id, the same in all processes of a gateway.
pub type RequestIdHash = u64;

/// A message between two processes of a gateway.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// First message of a successor.
    Hello {
        /// Version of the message format that the successor uses.
        #[serde(rename = "form")]
        format_version: u32,
        /// Name of the successor's gateway.
        #[serde(rename = "node")]
        gateway_name: String,
        /// True if the successor knows [`Message::RequestIds`]. Earlier versions neither send nor read this.
        #[serde(rename = "ids", default, skip_serializing_if = "std::ops::Not::not")]
        shares_request_ids: bool,
    },
    /// First message of a predecessor: the state that the successor takes over.
    #[serde(rename = "Knows")]
    Snapshot(HandoverSnapshot),
    /// An operator has put an endpoint into maintenance or taken it out.
    #[serde(rename = "ByHand")]
    MaintenanceChanged {
        /// Id of the endpoint.
        #[serde(rename = "server")]
        endpoint: EndpointId,
        /// True if the endpoint was put into maintenance, false if it was taken out.
        #[serde(rename = "out")]
        in_maintenance: bool,
    },
    /// Requests that may have run and must not run again, by the hashes of their transaction ids. A predecessor sends
    /// it before the snapshot to a successor that knows it, and both send more while they run.
    RequestIds { hashes: Vec<RequestIdHash> },
}

impl Message {
    /// Returns the serialized name of the message's variant.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "Hello",
            Self::Snapshot(_) => "Knows",
            Self::MaintenanceChanged { .. } => "ByHand",
            Self::RequestIds { .. } => "RequestIds",
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/hot_restart_message.rs"]
mod tests;
