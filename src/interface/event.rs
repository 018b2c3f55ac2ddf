//! What a gateway is told.

use crate::interface::{
    Endpoint, EndpointId, HandoverSnapshot, ListKind, LoadReport, Request, RequestId, Seconds, Status,
};

/// Something that has happened, in the order in which [`crate::Gateway::handle`] is told of it.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum Event {
    /// Discovery has updated the endpoint list, or a poll of it has failed.
    EndpointsUpdated {
        /// What the update contains.
        kind: ListKind,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client has sent a request, which is owed exactly one final response.
    Request(Request),
    /// The first byte of a streamed response has arrived.
    ResponseStarted {
        /// The request that it answers.
        request_id: RequestId,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request that the attempt was for.
        request_id: RequestId,
        /// Index of the attempt among the request's attempts, from 0.
        attempt: u32,
        /// The endpoint that it was sent to.
        endpoint: EndpointId,
        /// How it ended.
        status: Status,
        /// Time since it was sent.
        elapsed: Seconds,
        /// The request needs no further attempt and no further response.
        is_finished: bool,
        /// Units that the request really took, where these are settled after the response.
        actual_units: Option<f64>,
        /// The endpoint's load report, where it sent one.
        load: LoadReport,
    },
    /// Operators have put an endpoint into maintenance or taken it out. In maintenance it receives nothing,
    /// whatever the endpoint list says.
    MaintenanceChanged {
        /// The endpoint.
        endpoint: EndpointId,
        /// It is in maintenance from now on.
        in_maintenance: bool,
    },
    /// The number of processes that serve this gateway side by side has changed, as in a hot restart.
    ReplicasChanged {
        /// Index of this process among them, the oldest first.
        index: u32,
        /// How many there are, this one included.
        count: u32,
    },
    /// The predecessor in a hot restart has handed over what it has learned. Comes before the first request.
    SnapshotReceived(HandoverSnapshot),
    /// The client has disconnected; no response is owed any more.
    ClientDisconnected {
        /// Its request.
        request_id: RequestId,
    },
    /// A timer that [`crate::Action::SetTimer`] asked for is due.
    Timer {
        /// The timer's token.
        token: u64,
    },
    /// A counter call has ended.
    CounterReplied {
        /// The count's name.
        counter: u64,
        /// How the call ended.
        status: Status,
        /// The count after the call; valid only with [`Status::Ok`].
        total: f64,
        /// Time since the call was made.
        elapsed: Seconds,
    },
}
