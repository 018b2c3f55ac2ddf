//! What a gateway wants done.

use crate::interface::{EndpointId, RequestId, Seconds, Time};

/// Something to carry out, in the order in which [`crate::Gateway::handle`] returned it.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum Action {
    /// Send a request to an endpoint. A request's attempts are numbered from 0 in the order of these actions.
    StartAttempt {
        /// The request.
        request_id: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// How long to wait for the response.
        timeout: Seconds,
        /// From this moment on endpoints may have forgotten the request and would run a retry again, so no
        /// attempt may be written any more, not even one that waits for its connection. `None` if there is no
        /// such moment.
        dedup_until: Option<Time>,
    },
    /// Give the final response: rejected. The client may retry safely.
    Reject {
        /// The request.
        request_id: RequestId,
        /// How long the client should wait before a retry; 0 gives no advice.
        retry_after: Seconds,
    },
    /// Give the final response: failed. The request may have run.
    Fail {
        /// The request.
        request_id: RequestId,
    },
    /// Deliver [`crate::Event::Timer`] at a given time.
    SetTimer {
        /// The timer's token.
        token: u64,
        /// When it is due.
        at: Time,
    },
    /// Add to a count and return the total.
    AddToCounter {
        /// The count's name, below 2^63.
        counter: u64,
        /// Units to add.
        amount: f64,
        /// How long the counter keeps a count that is new.
        ttl: Seconds,
    },
    /// Poll discovery for the endpoint list.
    PollEndpoints,
}
