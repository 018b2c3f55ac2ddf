//! Decides whether a request is admitted: by its customer's quota, hard ceiling and limit on concurrent
//! attempts.
//!
//! [`AdmissionControl`] owns the state of all customers. Normally a request is covered by the units that this
//! gateway holds on lease, or it waits until the counter grants another block of units. If the quota is known
//! to be exhausted, the request is rejected at once. While the counter cannot be used, the gateway's even
//! share of the quota decides.

mod ceiling;
mod concurrency;
mod control;
mod customer;
mod customer_table;
mod leased_quota;
mod leasing;
mod unreported_units;

pub use control::AdmissionControl;

use crate::{
    interface::{RejectionReason, Request, Seconds},
    policy::{backends::Backends, context::Context},
    settings::Plan,
};
use leasing::LeaseManager;

/// Batches of events that must fit between a request's arrival and its deadline, besides the waits for the
/// counter.
const MIN_EVENT_INTERVALS: f64 = 4.0;

/// Decision about a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// Send the request; its units are spent.
    Admit,
    /// Let the request wait for the counter's reply to a lease call.
    AwaitLease,
    /// Let the request wait for one of its customer's concurrency slots; its units are spent.
    AwaitSlot,
    /// Reject the request.
    Reject(Rejection),
}

impl Admission {
    /// Returns a rejection. A `retry_after` of 0 gives no advice.
    pub fn reject(reason: RejectionReason, retry_after: Seconds) -> Self {
        Self::Reject(Rejection::new(reason, retry_after))
    }
}

/// Why a request is rejected, and when its client may try again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejection {
    /// Reason, for logs only.
    pub reason: RejectionReason,
    /// Time that the client should wait before a retry; 0 gives no advice.
    pub retry_after: Seconds,
}

impl Rejection {
    /// Creates a rejection.
    pub fn new(reason: RejectionReason, retry_after: Seconds) -> Self {
        Self { reason, retry_after }
    }
}

/// Request to decide about, with the other inputs of the decision besides the customer's state.
pub struct Candidate<'a> {
    pub request: &'a Request,
    /// Present plan of the request's customer.
    pub plan: Plan,
    /// Capacity and response times of the endpoints.
    pub backends: &'a Backends,
    pub context: &'a mut Context,
}

/// Returns whether a request's class and plan exist, its units are valid, and there is time to serve it.
pub fn is_servable(request: &Request, context: &Context) -> bool {
    let settings = &context.settings;
    let waits = 2.0 * LeaseManager::max_wait(settings);
    let has_time = request.deadline > context.now + waits + MIN_EVENT_INTERVALS * settings.event_interval;
    let class_and_plan_exist = request.class < settings.classes.len() && request.plan < settings.plans.len();
    let has_units = request.units.is_finite() && request.units >= 0.0;
    class_and_plan_exist && has_units && has_time
}
