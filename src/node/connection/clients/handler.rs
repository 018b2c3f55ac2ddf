//! Interface between the HTTP server for clients and the code that processes their requests.

use crate::node::{
    connection::{body_memory::MemoryPermit, response_body::BufferedBody},
    wire::{
        client_request::ClientRequest,
        client_response::{ClientResponse, ResponseBody},
        stream::BodyFrameReceiver,
    },
};
use hyper::StatusCode;
use oliverack::{RejectionReason, RequestId};
use std::time::Instant;
use tokio::sync::oneshot;

/// The final response to a request; each request gets exactly one.
#[derive(Debug)]
pub enum FinalResponse {
    /// The request was served; the body is buffered.
    Served(BufferedBody),
    /// The request was served; the body is streamed.
    Streamed {
        /// Length of the body in bytes; `None` if unknown.
        length: Option<u64>,
        frames: BodyFrameReceiver,
        /// Memory reserved for the stream.
        memory: MemoryPermit,
    },
    /// The request was rejected and no endpoint has worked on it, so the client may retry.
    Rejected {
        /// `Retry-After` in seconds; 0 omits the header.
        retry_after: f64,
        reason: RejectionReason,
    },
    /// The request failed; an endpoint may have worked on it.
    Failed,
}

impl FinalResponse {
    /// Returns the name of the response in log messages.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Streamed { .. } => "streamed",
            Self::Rejected { .. } => "rejected",
            Self::Failed => "failed",
        }
    }

    /// Returns the reason of a rejection; `None` for other responses.
    pub fn rejection_reason(&self) -> Option<RejectionReason> {
        match self {
            Self::Rejected { reason, .. } => Some(*reason),
            Self::Served(_) | Self::Streamed { .. } | Self::Failed => None,
        }
    }
}

impl FinalResponse {
    /// Returns the response to the client, and the memory that is reserved for its body.
    pub fn into_client_response(self) -> (ClientResponse, Option<MemoryPermit>) {
        match self {
            Self::Served(body) => (ClientResponse::with_body(StatusCode::OK, body.bytes), body.memory),
            Self::Streamed { length, frames, memory } => {
                let body = ResponseBody::Streamed { length, frames };
                (ClientResponse { body, ..ClientResponse::without_body(StatusCode::OK) }, Some(memory))
            }
            Self::Rejected { retry_after, .. } => {
                let status = StatusCode::TOO_MANY_REQUESTS;
                (ClientResponse { retry_after, ..ClientResponse::without_body(status) }, None)
            }
            Self::Failed => (ClientResponse::without_body(StatusCode::BAD_GATEWAY), None),
        }
    }
}

/// Processes clients' requests.
pub trait RequestHandler {
    /// Accepts a request and returns the receiver of the final response. `body_memory` is the reservation for the
    /// request's body. A body that is complete had arrived by `received_at`, from which the client's wait counts. Returns
    /// `None` if a request with the same transaction id is open.
    fn accept(
        &self,
        request: ClientRequest,
        body_memory: MemoryPermit,
        received_at: Instant,
    ) -> Option<(RequestId, oneshot::Receiver<FinalResponse>)>;
    /// Reports that the last byte of a streamed request body has arrived, which starts the request's deadline and the
    /// timeouts of its attempts.
    fn request_body_received(&self, request_id: &RequestId);
    /// Reports that the client has disconnected before the final response.
    fn client_disconnected(&self, request_id: &RequestId);
}
