//! The events that the event queue of a run holds.

use crate::fleet::counter_calls::{CallKey, CallResult};
use crate::fleet::discovery::SharedList;
use crate::fleet::gateways::GatewayAddress;
use crate::fleet::incident_plan::Incident;
use crate::fleet::requests::{AttemptKey, Demand};
use oliverack::{Event, ListKind, Seconds, Status};
use std::sync::Arc;

/// A counter call under way: who made it and what it adds.
#[derive(Debug, Clone, Copy)]
pub struct CounterCall {
    /// The caller.
    pub from: GatewayAddress,
    /// The call among those of its caller.
    pub key: CallKey,
    /// What it adds to the entry.
    pub amount: f64,
    /// Time to live of the entry, if this call creates it.
    pub ttl: Seconds,
}

/// Something that happens at a scheduled time.
#[derive(Debug)]
pub enum ScheduledEvent {
    /// A tenant's arrival process fires; thinning decides whether a demand arises.
    ArrivalCandidate(usize),
    /// A client submits a rejected demand again.
    ClientRetry(Box<Demand>),
    /// A client stops waiting for the response to this request.
    ClientDeadline(u64),
    /// An attempt reaches its endpoint.
    AttemptArrived {
        /// The attempt.
        attempt: AttemptKey,
        /// Index of the endpoint.
        endpoint: usize,
    },
    /// An endpoint has finished its work for an attempt.
    ServiceCompleted {
        /// The attempt.
        attempt: AttemptKey,
        /// Index of the endpoint.
        endpoint: usize,
        /// Incarnation of the endpoint that did the work.
        incarnation: u32,
    },
    /// The response to an attempt, its failure or its timeout reaches the gateway.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptKey,
        /// How it ended.
        status: Status,
    },
    /// A call reaches the counter.
    CounterCallArrived(CounterCall),
    /// The counter has served a call.
    CounterCallServed(CounterCall),
    /// The response to a counter call, or its timeout, reaches the gateway.
    CounterCallEnded {
        /// The caller.
        to: GatewayAddress,
        /// The call.
        call: CallKey,
        /// How it ended.
        result: CallResult,
    },
    /// A timer of the policy expires.
    PolicyTimer {
        /// The gateway that set it.
        to: GatewayAddress,
        /// The policy's token.
        token: u64,
    },
    /// A poll for the endpoint list reaches discovery.
    PollArrived(GatewayAddress),
    /// Discovery has finished with a poll.
    PollCompleted {
        /// The gateway that polled.
        to: GatewayAddress,
        /// False if the poll timed out in the queue.
        succeeded: bool,
    },
    /// An endpoint list or a change of it reaches a gateway.
    EndpointListArrived {
        /// The gateway.
        to: GatewayAddress,
        /// What the list holds.
        kind: ListKind,
        /// Its entries.
        list: Arc<SharedList>,
    },
    /// A gateway that is down starts, unless its zone is lost.
    GatewayStarted(usize),
    /// A planned fault begins or ends.
    Incident(Incident),
    /// A notification that must wait until the policy has returned from the call that caused it.
    DeferredNotification {
        /// The gateway.
        to: GatewayAddress,
        /// What its policy is notified of.
        event: Box<Event>,
    },
}
