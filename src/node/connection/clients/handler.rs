//! What takes clients' requests, and how it answers them.

use crate::node::wire::{client_request::ClientRequest, stream::Pieces};
use bytes::Bytes;
use oliverack::RequestId;
use tokio::sync::oneshot;

/// The one final answer to a client.
#[derive(Debug)]
pub enum FinalAnswer {
    /// Served, with this body.
    Served(Bytes),
    /// Served, with a body that comes in pieces.
    Streamed {
        /// Of this length, if it is known.
        length: Option<u64>,
        /// Its pieces.
        pieces: Pieces,
    },
    /// Refused: a retry does no harm.
    Refused {
        /// Seconds to stay away; 0: no advice.
        retry_after: f64,
    },
    /// Failed, with no promise.
    Failed,
}

impl FinalAnswer {
    /// Its name in the log.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Streamed { .. } => "streamed",
            Self::Refused { .. } => "refused",
            Self::Failed => "failed",
        }
    }
}

/// Takes clients' requests and answers them.
pub trait RequestHandler {
    /// Takes a request; its final answer comes by the receiver. `None`: its name is that of one that is open, and so
    /// another client's.
    fn accept(&self, request: ClientRequest) -> Option<(RequestId, oneshot::Receiver<FinalAnswer>)>;
    /// The request's last byte has come: its time, and that of its attempts, begins.
    fn received_whole(&self, request_id: &RequestId);
    /// The client is gone before its answer.
    fn left(&self, request_id: &RequestId);
}
