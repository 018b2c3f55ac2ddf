//! Events in the event queue of a run.

use crate::fleet::counter_calls::{CallKey, CallResult};
use crate::fleet::discovery::SharedList;
use crate::fleet::gateways::GatewayAddress;
use crate::fleet::incident_plan::Incident;
use crate::fleet::requests::{AttemptKey, Demand};
use oliverack::{Event, ListKind, Seconds, Status};
use std::sync::Arc;

/// Counter call on its way to the counter or in service there.
#[derive(Debug, Clone, Copy)]
pub struct CounterCall {
    /// Incarnation of the gateway that made the call.
    pub from: GatewayAddress,
    /// Key of the call at that gateway.
    pub key: CallKey,
    /// Amount to add to the entry.
    pub amount: f64,
    /// Time to live of the entry, if this call creates it.
    pub ttl: Seconds,
}

/// Event of the simulation that happens at a scheduled time.
#[derive(Debug)]
pub enum ScheduledEvent {
    /// A demand of this tenant may arrive;
    /// [`Tenant::accepts_candidate`](crate::fleet::tenants::Tenant::accepts_candidate) decides.
    ArrivalCandidate(usize),
    /// A client submits a rejected demand again.
    ClientRetry(Box<Demand>),
    /// A client stops waiting for the response to this request.
    ClientDeadline(u64),
    /// An attempt reaches its endpoint.
    AttemptArrived {
        /// Key of the attempt.
        attempt: AttemptKey,
        /// Index of the endpoint.
        endpoint: usize,
    },
    /// An endpoint completes the service of an attempt.
    ServiceCompleted {
        /// Key of the attempt.
        attempt: AttemptKey,
        /// Index of the endpoint.
        endpoint: usize,
        /// Incarnation of the endpoint that started the service.
        incarnation: u32,
    },
    /// The response to an attempt, its failure or its timeout reaches the gateway.
    AttemptEnded {
        /// Key of the attempt.
        attempt: AttemptKey,
        /// Result of the attempt.
        status: Status,
    },
    /// A call reaches the counter.
    CounterCallArrived(CounterCall),
    /// The counter completes the service of a call.
    CounterCallServed(CounterCall),
    /// The response to a counter call, or its timeout, reaches the gateway.
    CounterCallEnded {
        /// Incarnation of the gateway that made the call.
        to: GatewayAddress,
        /// Key of the call at that gateway.
        call: CallKey,
        /// Result of the call.
        result: CallResult,
    },
    /// A timer of the policy expires.
    PolicyTimer {
        /// Incarnation of the gateway whose policy set the timer.
        to: GatewayAddress,
        /// Token by which the policy recognises the timer.
        token: u64,
    },
    /// A poll for the endpoint list reaches discovery.
    PollArrived(GatewayAddress),
    /// Discovery answers a poll, or the poll times out.
    PollCompleted {
        /// Incarnation of the gateway that polled.
        to: GatewayAddress,
        /// False if the poll timed out in the queue.
        is_answered: bool,
    },
    /// An endpoint list or a change of it reaches a gateway.
    EndpointListArrived {
        /// Incarnation of the gateway that receives the list.
        to: GatewayAddress,
        /// Kind of the list: complete, changed entries, or stale.
        kind: ListKind,
        /// Entries and size of the list.
        list: Arc<SharedList>,
    },
    /// A gateway that is down starts, unless its zone is lost.
    GatewayStarted(usize),
    /// A planned fault starts or ends.
    Incident(Incident),
    /// The policy is notified of an event that one of its own actions caused, after all those actions are executed.
    DeferredNotification {
        /// Incarnation of the gateway whose policy is notified.
        to: GatewayAddress,
        /// Event of which the policy is notified.
        event: Box<Event>,
    },
}
