//! Events that the policy decides about.

use crate::interface::{
    Endpoint, EndpointId, HandoverSnapshot, ListKind, LoadReport, Request, RequestId, Seconds, Status,
};

/// An event for [`crate::Gateway::handle`]. Events are passed in the order in which they happened.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum Event {
    /// Discovery has updated the endpoint list, or a poll has failed.
    EndpointsUpdated {
        /// Content of the update.
        kind: ListKind,
        /// Entries of the update; empty if the poll has failed.
        endpoints: Vec<Endpoint>,
    },
    /// A client has sent a request, which must get exactly one final response.
    Request(Request),
    /// The first byte of a streamed response has arrived.
    ResponseStarted {
        /// Request that the response answers.
        request_id: RequestId,
    },
    /// An endpoint has paused within a response that was not delivered yet. It may go on, or another attempt may be faster.
    ResponseStalled {
        /// Request that the response answers.
        request_id: RequestId,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Request that the attempt was made for.
        request_id: RequestId,
        /// Index of the attempt among the request's attempts, from 0.
        attempt: u32,
        /// Endpoint that the attempt was sent to.
        endpoint: EndpointId,
        /// Result of the attempt.
        status: Status,
        /// Time since the attempt was sent.
        elapsed: Seconds,
        /// True if the request needs no further attempt and no further response.
        is_finished: bool,
        /// Units that the request took, where they are only known after the response.
        actual_units: Option<f64>,
        /// Load report of the endpoint; empty if it sent none.
        load: LoadReport,
    },
    /// Operators have put an endpoint into maintenance or taken it out. An endpoint in maintenance receives
    /// no attempts, whatever the endpoint list says.
    MaintenanceChanged {
        /// Endpoint that the operators named.
        endpoint: EndpointId,
        /// True if the endpoint is in maintenance from now on.
        in_maintenance: bool,
    },
    /// The number of processes that serve this gateway side by side has changed, as in a hot restart.
    ReplicasChanged {
        /// Index of this process among them, from 0 for the oldest.
        index: u32,
        /// Number of these processes, this one included.
        count: u32,
    },
    /// The predecessor in a hot restart has handed over its snapshot. Must come before the first request.
    SnapshotReceived(HandoverSnapshot),
    /// A client has disconnected, so its request needs no response any more.
    ClientDisconnected {
        /// Request of that client.
        request_id: RequestId,
    },
    /// A timer that [`crate::Action::SetTimer`] asked for is due.
    Timer {
        /// Token from that action.
        token: u64,
    },
    /// A counter call has ended.
    CounterReplied {
        /// Name of the count.
        counter: u64,
        /// Result of the call.
        status: Status,
        /// Units in the count after the call; valid only with [`Status::Ok`].
        total: f64,
        /// Time since the call was made.
        elapsed: Seconds,
    },
}
