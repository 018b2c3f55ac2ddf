//! Actions that the policy asks its caller to carry out.

use crate::interface::{EndpointId, RequestId, Seconds, Time};

/// Reason why the policy rejects a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum RejectionReason {
    /// The class or the plan does not exist, the units are invalid, or too little time is left.
    NotServable,
    /// The gateway has as many open requests as it may have.
    TooManyOpenRequests,
    /// The table of customers is full.
    TooManyCustomers,
    /// The endpoints have no spare capacity.
    NoCapacity,
    /// The customer's quota does not cover the request.
    OverQuota,
    /// The customer's hard ceiling does not cover the request.
    AboveCeiling,
    /// The customer has too many attempts in flight.
    ConcurrencyLimit,
    /// No endpoint may receive the request, or no time is left to send it.
    NoEndpoint,
    /// All attempts have ended without a response.
    AttemptsEnded,
}

/// An action for the caller to carry out. Actions are carried out in the order in which
/// [`crate::Gateway::handle`] appends them.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum Action {
    /// Sends a request to an endpoint. The attempts of a request are numbered from 0 in the order of these
    /// actions.
    StartAttempt {
        /// Request to send.
        request_id: RequestId,
        /// Endpoint to send the request to.
        endpoint: EndpointId,
        /// Longest wait for the response.
        timeout: Seconds,
        /// End of the time in which endpoints are sure to recognise a retry. Later they may run the request
        /// again, so the attempt must not be written any more, even if it still waits for a connection.
        /// `None` if there is no such limit.
        dedup_until: Option<Time>,
    },
    /// Sends the final response: rejected. The client may retry safely.
    Reject {
        /// Request to respond to.
        request_id: RequestId,
        /// Time that the client should wait before a retry; 0 gives no advice.
        retry_after: Seconds,
        /// Reason for the rejection, for logs only.
        reason: RejectionReason,
    },
    /// Sends the final response: failed. The request may have run.
    Fail {
        /// Request to respond to.
        request_id: RequestId,
    },
    /// Schedules [`crate::Event::Timer`] for a given time.
    SetTimer {
        /// Token that the event must carry.
        token: u64,
        /// Time at which the event is due.
        at: Time,
    },
    /// Adds units to a count of the counter. The result comes with [`crate::Event::CounterReplied`].
    AddToCounter {
        /// Name of the count, below 2^63.
        counter: u64,
        /// Units to add.
        amount: f64,
        /// Time after which the counter deletes the count, if this call creates it.
        ttl: Seconds,
    },
    /// Polls discovery for the endpoint list.
    PollEndpoints,
}
