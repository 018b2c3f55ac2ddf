//! The interface to the part of the gateway that serves clients' requests.

use crate::node::wire::{
    client_request::ClientRequest,
    client_response::{ClientResponse, ResponseBody},
    stream::PieceReceiver,
};
use bytes::Bytes;
use hyper::StatusCode;
use oliverack::RequestId;
use tokio::sync::oneshot;

/// The one final response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// Served, with a buffered body.
    Served(Bytes),
    /// Served, with a streamed body.
    Streamed {
        /// In bytes, if it is known.
        length: Option<u64>,
        pieces: PieceReceiver,
    },
    /// Rejected before any endpoint may have worked on it; the client may retry.
    Rejected {
        /// Retry-After in seconds; 0 leaves the header out.
        retry_after: f64,
    },
    /// Failed; an endpoint may have worked on it.
    Failed,
}

impl FinalResponse {
    /// Its name in the log.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Streamed { .. } => "streamed",
            Self::Rejected { .. } => "rejected",
            Self::Failed => "failed",
        }
    }
}

impl From<FinalResponse> for ClientResponse {
    fn from(response: FinalResponse) -> Self {
        match response {
            FinalResponse::Served(body) => Self::with_body(StatusCode::OK, body),
            FinalResponse::Streamed { length, pieces } => {
                Self { body: ResponseBody::Streamed { length, pieces }, ..Self::without_body(StatusCode::OK) }
            }
            FinalResponse::Rejected { retry_after } => {
                Self { retry_after, ..Self::without_body(StatusCode::TOO_MANY_REQUESTS) }
            }
            FinalResponse::Failed => Self::without_body(StatusCode::BAD_GATEWAY),
        }
    }
}

/// Serves clients' requests.
pub trait RequestHandler {
    /// Takes a request; the receiver gets its final response. `None` if a request with the same transaction id is open.
    fn accept(&self, request: ClientRequest) -> Option<(RequestId, oneshot::Receiver<FinalResponse>)>;
    /// The last byte of a streamed request body has arrived: the request's deadline and its attempts' time-outs start.
    fn request_body_received(&self, request_id: &RequestId);
    /// The client has disconnected before the final response.
    fn client_disconnected(&self, request_id: &RequestId);
}
